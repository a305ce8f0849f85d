#include "zinniadock/detail/fieldtable.h"

#include <algorithm>
#include <charconv>
#include <cmath>

#include <Poco/Exception.h>
#include <Poco/Net/IPAddress.h>
#include <Poco/NumberFormatter.h>
#include <Poco/NumberParser.h>
#include <Poco/String.h>
#include <Poco/StringTokenizer.h>

namespace zinniadock
{

std::string Endpoint::text() const
{
    if (address.empty()) {
        return {};
    }
    const bool isIpv6 = address.find(':') != std::string::npos;
    return (isIpv6 ? "[" + address + "]" : address) + ":" + std::to_string(port);
}

namespace detail
{

namespace
{

bool isWithin(double number, const Range &range)
{
    return number >= range.min && number <= range.max;
}

bool hasControlCharacter(const std::string &text)
{
    return std::any_of(text.begin(), text.end(), [](unsigned char c) {
        return c < ' ';
    });
}

} // namespace

bool parseValue(const std::string &text, const Range &range, std::string &value)
{
    value = text;
    return !hasControlCharacter(text) && isWithin(static_cast<double>(text.size()), range);
}

bool parseValue(const std::string &text, const Range &range, std::uint32_t &value)
{
    const char *end = text.data() + text.size();
    const auto [position, error] = std::from_chars(text.data(), end, value);
    return error == std::errc() && position == end && isWithin(value, range);
}

bool parseValue(const std::string &text, const Range &range, double &value)
{
    return Poco::NumberParser::tryParseFloat(text, value) && std::isfinite(value) && isWithin(value, range);
}

bool parseValue(const std::string &text, const Range & /*range*/, bool &value)
{
    value = text == "yes";
    return text == "yes" || text == "no";
}

bool parseValue(const std::string &text, const Range &range, std::chrono::milliseconds &value)
{
    std::uint32_t count = 0;
    if (!parseValue(text, range, count)) {
        return false;
    }
    value = std::chrono::milliseconds(count);
    return true;
}

bool parseValue(const std::string &text, const Range &range, std::vector<std::string> &value)
{
    const Poco::StringTokenizer elements(text, ",",
                                         Poco::StringTokenizer::TOK_TRIM | Poco::StringTokenizer::TOK_IGNORE_EMPTY);
    value.assign(elements.begin(), elements.end());
    return isWithin(static_cast<double>(value.size()), range);
}

bool parseValue(const std::string &text, const Range & /*range*/, Endpoint &value)
{
    const std::size_t colon = text.rfind(':');
    if (colon == std::string::npos) {
        return false;
    }
    std::string address = text.substr(0, colon);
    if (address.size() > 2 && address.front() == '[' && address.back() == ']') {
        address = address.substr(1, address.size() - 2);
    }
    Poco::Net::IPAddress parsed;
    std::uint32_t port = 0;
    constexpr Range portRange{ 0, 65535 };
    if (!Poco::Net::IPAddress::tryParse(address, parsed) || !parseValue(text.substr(colon + 1), portRange, port)) {
        return false;
    }
    value = Endpoint{ .address = address, .port = static_cast<std::uint16_t>(port) };
    return true;
}

bool parseValue(const std::string &text, const Range &range, std::vector<Endpoint> &value)
{
    std::vector<std::string> texts;
    if (!parseValue(text, range, texts)) {
        return false;
    }
    value.clear();
    return std::all_of(texts.begin(), texts.end(), [&](const std::string &element) {
        return parseValue(element, range, value.emplace_back());
    });
}

std::string formatValue(const std::string &value)
{
    return value;
}

std::string formatValue(std::uint32_t value)
{
    return std::to_string(value);
}

std::string formatValue(double value)
{
    return Poco::NumberFormatter::format(value);
}

std::string formatValue(bool value)
{
    return value ? "yes" : "no";
}

std::string formatValue(std::chrono::milliseconds value)
{
    return std::to_string(value.count());
}

std::string formatValue(const std::vector<std::string> &value)
{
    return Poco::cat(std::string(", "), value.begin(), value.end());
}

std::string formatValue(const Endpoint &value)
{
    return value.text();
}

std::string formatValue(const std::vector<Endpoint> &value)
{
    std::vector<std::string> texts;
    for (const Endpoint &endpoint : value) {
        texts.push_back(endpoint.text());
    }
    return formatValue(texts);
}

} // namespace detail

} // namespace zinniadock
