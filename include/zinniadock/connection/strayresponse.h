#pragma once

#include <string_view>

#include "zinniadock/connection/responseend.h"

namespace zinniadock
{

/// Returns whether the bytes of a body contain the head of an HTTP response. A server that sends a second response on a
/// connection appends it to a body that ends with the connection. A version counts if it begins a line, or if it is
/// part of a status line and a header field follows that is no field of an event stream.
/// Complexity: linear in the bytes.
bool containsResponseHead(std::string_view bytes);

/// Returns whether a whole body contains another response. Only a body that ends with the connection can.
bool containsStrayResponse(BodyFraming framing, std::string_view body);

} // namespace zinniadock
