#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

#include <Poco/NumberParser.h>

#include "zinniadock/process/store.h"
#include "zinniadock/version/configuration.h"

namespace zinniadock
{

/// Largest value that is written to the store, in bytes. A longer text is cut into chunks.
constexpr std::size_t maxStoreValueSize = 900000;

namespace detail
{

/// Begins the value that stands in place of a chunked text; no canonical text begins like it.
constexpr std::string_view chunkedTextMarker = "#chunks ";

inline std::string chunkKey(const std::string &key, std::size_t number)
{
    return key + "/" + std::to_string(number);
}

} // namespace detail

/// Reads a text that was published under its digest, and verifies it; nothing if it can't be had whole.
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

/// Writes a text under its key, the chunks of a long one first, so that a reader finds it whole or not at all.
/// \param writeIfAbsent  writes one value under a key that may exist already; false if it could not be written
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
