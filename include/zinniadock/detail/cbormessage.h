#pragma once

#include <optional>
#include <string>

#include <nlohmann/json.hpp>

namespace zinniadock::detail
{

/// Encodes a message between zinniadock processes as CBOR.
inline std::string toCbor(const nlohmann::json &document)
{
    const std::vector<std::uint8_t> bytes = nlohmann::json::to_cbor(document);
    return { bytes.begin(), bytes.end() };
}

/// Decodes a CBOR message. Returns nothing for malformed bytes, and for missing fields or fields of the wrong type.
/// \param read  converts the decoded document into a message; throws nlohmann::json::exception for a missing field or a
///              field of the wrong type
template <typename Message, typename Read>
std::optional<Message> fromCbor(const std::string &bytes, Read read)
{
    try {
        return read(nlohmann::json::from_cbor(bytes));
    } catch (const nlohmann::json::exception &) {
        return std::nullopt;
    }
}

} // namespace zinniadock::detail
