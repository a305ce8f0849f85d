#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace zinniadock
{

/// A 128-bit request identifier, unique in the fleet.
struct RequestId
{
    std::uint64_t high = 0;
    std::uint64_t low = 0;

    auto operator<=>(const RequestId &) const = default;

    /// Generates a random identifier.
    static RequestId random();

    /// Parses 32 hexadecimal digits. Returns nothing for any other text.
    static std::optional<RequestId> parse(std::string_view text);

    /// Returns 32 hexadecimal digits.
    std::string text() const;
};

/// Number of a generation of one request, from 1. The caller gets tokens of one generation only.
using GenerationId = std::uint32_t;

/// Number of a token of one generation, from 0.
using SequenceNumber = std::uint64_t;

/// Identifies one generation of one request.
struct GenerationKey
{
    RequestId request;
    GenerationId generation = 1;

    auto operator<=>(const GenerationKey &) const = default;

    /// Returns `<request>-<generation>`, the identifier of the generation at the engine.
    std::string text() const;

    /// Parses the result of text().
    static std::optional<GenerationKey> parse(std::string_view text);
};

/// Returns a random 64-bit number, for incarnations and nonces.
std::uint64_t randomNumber();

} // namespace zinniadock

template <>
struct std::hash<zinniadock::RequestId>
{
    std::size_t operator()(const zinniadock::RequestId &id) const noexcept
    {
        return id.high ^ (id.low * 0x9E3779B97F4A7C15ULL);
    }
};

template <>
struct std::hash<zinniadock::GenerationKey>
{
    std::size_t operator()(const zinniadock::GenerationKey &key) const noexcept
    {
        return std::hash<zinniadock::RequestId>{}(key.request) + key.generation;
    }
};
