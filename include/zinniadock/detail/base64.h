#pragma once

#include <optional>
#include <string>

namespace zinniadock::detail
{

/// Returns bytes as base64 without line breaks.
std::string toBase64(const std::string &bytes);

/// Decodes base64. Returns nothing for malformed text.
std::optional<std::string> fromBase64(const std::string &text);

} // namespace zinniadock::detail
