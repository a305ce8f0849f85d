#pragma once

#include <cstdint>
#include <string>
#include <variant>

#include "zinniadock/connection/enginestream.h"
#include "zinniadock/connection/linkmessage.h"

namespace zinniadock
{

/// Sends one call to a plain service and waits for the response. A response that was broken off is a Failure.
/// The verdict of a Failure is NotRun only if the service cannot have received the call.
std::variant<ServiceResponse, Failure> callService(const Endpoint &service, const Offer &offer,
                                                   BackendTimeouts timeouts);

/// Returns whether a plain service accepts TCP connections.
bool isServiceReachable(const Endpoint &service, BackendTimeouts timeouts);

} // namespace zinniadock
