#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

#include <Poco/NumberParser.h>

#include "zinniadock/process/store/store.h"
#include "zinniadock/version/configuration.h"

namespace zinniadock
{

/// Maximum size of a value that is written to the store, in bytes. A longer text is split into chunks.
constexpr std::size_t maxStoreValueSize = 900000;

namespace detail
{

/// Prefix of the value that replaces a chunked text; the number of chunks follows. No canonical text starts with it.
constexpr std::string_view chunkedTextMarker = "#chunks ";

inline std::string chunkKey(const std::string &key, std::size_t number)
{
    return key + "/" + std::to_string(number);
}

} // namespace detail

/// Reads a text that was published under its digest. Returns nothing if a part can't be read or the digest differs.
template <Store StoreType>
std::optional<std::string> readPublishedText(StoreType &store, const std::string &key, const std::string &digest)
{
    const StoreRead found = store.read(key);
    if (!found.value) {
        return std::nullopt;
    }
    std::string text = found.value->value;
    if (text.starts_with(detail::chunkedTextMarker)) {
        unsigned count = 0;
        if (!Poco::NumberParser::tryParseUnsigned(text.substr(detail::chunkedTextMarker.size()), count)) {
            return std::nullopt;
        }
        text.clear();
        for (unsigned number = 0; number < count; ++number) {
            const StoreRead chunk = store.read(detail::chunkKey(key, number));
            if (!chunk.value) {
                return std::nullopt;
            }
            text += chunk.value->value;
        }
    }
    return sha256(text) == digest ? std::optional(text) : std::nullopt;
}

/// Writes a text under its key. The chunks of a long text are written first, so a reader finds either the complete text
/// or none.
/// \param writeIfAbsent  writes a value unless its key exists already; returns false if the write failed
template <typename WriteIfAbsent>
bool writePublishedText(const std::string &key, const std::string &text, const WriteIfAbsent &writeIfAbsent)
{
    if (text.size() <= maxStoreValueSize) {
        return writeIfAbsent(key, text);
    }
    std::size_t count = 0;
    for (std::size_t begin = 0; begin < text.size(); begin += maxStoreValueSize) {
        if (!writeIfAbsent(detail::chunkKey(key, count++), text.substr(begin, maxStoreValueSize))) {
            return false;
        }
    }
    return writeIfAbsent(key, std::string(detail::chunkedTextMarker) + std::to_string(count));
}

} // namespace zinniadock
