#include "zinniadock/request/requestid.h"

#include <charconv>
#include <random>

namespace zinniadock
{

namespace
{

constexpr std::size_t hexDigitsPerWord = 16;

std::string formatHexWord(std::uint64_t word)
{
    constexpr std::string_view digits = "0123456789abcdef";
    std::string text(hexDigitsPerWord, '0');
    for (std::size_t i = hexDigitsPerWord; i-- > 0; word >>= 4U) {
        text[i] = digits[word & 0xFU];
    }
    return text;
}

template <typename Number>
std::optional<Number> parseNumber(std::string_view text, int base)
{
    Number value = 0;
    const char *end = text.data() + text.size();
    const auto [position, error] = std::from_chars(text.data(), end, value, base);
    if (text.empty() || error != std::errc() || position != end) {
        return std::nullopt;
    }
    return value;
}

} // namespace

std::uint64_t randomNumber()
{
    thread_local std::random_device device;
    return (static_cast<std::uint64_t>(device()) << 32U) | device();
}

RequestId RequestId::random()
{
    return RequestId{ .high = randomNumber(), .low = randomNumber() };
}

std::optional<RequestId> RequestId::parse(std::string_view text)
{
    if (text.size() != 2 * hexDigitsPerWord) {
        return std::nullopt;
    }
    const auto high = parseNumber<std::uint64_t>(text.substr(0, hexDigitsPerWord), 16);
    const auto low = parseNumber<std::uint64_t>(text.substr(hexDigitsPerWord), 16);
    if (!high || !low) {
        return std::nullopt;
    }
    return RequestId{ .high = *high, .low = *low };
}

std::string RequestId::text() const
{
    return formatHexWord(high) + formatHexWord(low);
}

std::string GenerationKey::text() const
{
    return request.text() + "-" + std::to_string(generation);
}

std::optional<GenerationKey> GenerationKey::parse(std::string_view text)
{
    constexpr std::size_t idSize = 2 * hexDigitsPerWord;
    if (text.size() < idSize + 2 || text[idSize] != '-') {
        return std::nullopt;
    }
    const auto request = RequestId::parse(text.substr(0, idSize));
    const auto generation = parseNumber<GenerationId>(text.substr(idSize + 1), 10);
    if (!request || !generation) {
        return std::nullopt;
    }
    return GenerationKey{ .request = *request, .generation = *generation };
}

} // namespace zinniadock
