#pragma once

#include <algorithm>
#include <array>
#include <chrono>
#include <cstdint>
#include <limits>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "zinniadock/version/inidocument.h"

namespace zinniadock
{

/// An IP address and a port.
struct Endpoint
{
    std::string address;
    std::uint16_t port = 0;

    bool operator==(const Endpoint &) const = default;

    /// Returns `address:port`, with brackets around an IPv6 address; empty for an empty address.
    std::string text() const;
};

namespace detail
{

/// Inclusive bounds of a number, of the length of a text or of the number of elements of a list.
struct Range
{
    double min = 0;
    double max = std::numeric_limits<double>::max();
};

/// Parses the text of a value. Returns false, with \p value unspecified, if the text has the wrong format or the value
/// is outside of \p range. A bool and an endpoint have no range: \p range is ignored.
/// @{
bool parseValue(const std::string &text, const Range &range, std::string &value);
bool parseValue(const std::string &text, const Range &range, std::uint32_t &value);
bool parseValue(const std::string &text, const Range &range, double &value);
bool parseValue(const std::string &text, const Range &range, bool &value);
bool parseValue(const std::string &text, const Range &range, std::chrono::milliseconds &value);
bool parseValue(const std::string &text, const Range &range, std::vector<std::string> &value);
bool parseValue(const std::string &text, const Range &range, Endpoint &value);
bool parseValue(const std::string &text, const Range &range, std::vector<Endpoint> &value);
/// @}

/// Returns the text of a value that parseValue() reads back.
/// @{
std::string formatValue(const std::string &value);
std::string formatValue(std::uint32_t value);
std::string formatValue(double value);
std::string formatValue(bool value);
std::string formatValue(std::chrono::milliseconds value);
std::string formatValue(const std::vector<std::string> &value);
std::string formatValue(const Endpoint &value);
std::string formatValue(const std::vector<Endpoint> &value);
/// @}

/// Parser, bounds, formatter and documentation of one key of a section.
template <typename Object>
struct FieldRule
{
    std::string_view key;
    bool required;
    Range range;
    std::string_view expected; ///< description of valid values, for error messages and the reference page
    std::string_view brief; ///< description of the key, for the reference page
    bool (*parse)(Object &object, const std::string &text, const Range &range);
    std::string (*format)(const Object &object);
};

/// The class of a pointer to member.
template <typename>
struct MemberOwner;

template <typename Object, typename Value>
struct MemberOwner<Value Object::*>
{
    using Type = Object;
};

/// Returns the rule of the key that is stored in one member of an aggregate.
template <auto Member>
constexpr auto fieldRule(std::string_view key, bool required, Range range, std::string_view expected,
                         std::string_view brief)
{
    using Object = typename MemberOwner<decltype(Member)>::Type;
    return FieldRule<Object>{ key,
                              required,
                              range,
                              expected,
                              brief,
                              [](Object &object, const std::string &text, const Range &bounds) {
                                  return parseValue(text, bounds, object.*Member);
                              },
                              [](const Object &object) {
                                  return formatValue(object.*Member);
                              } };
}

/// Returns a table of rules as a span, whose type does not depend on the number of rules.
template <typename Object, std::size_t Count>
std::span<const FieldRule<Object>> spanOf(const std::array<FieldRule<Object>, Count> &rules)
{
    return { rules.data(), rules.size() };
}

/// Fills an aggregate from a section. Appends every unknown key, invalid value and missing required key to
/// \p problems.
template <typename Object>
Object parseSection(const IniSection &section, const std::string &file, std::span<const FieldRule<Object>> rules,
                    Problems &problems)
{
    Object object;
    for (const auto &entry : section.values) {
        const std::string &key = entry.first;
        const std::string &text = entry.second;
        const auto rule = std::find_if(rules.begin(), rules.end(), [&key](const auto &candidate) {
            return candidate.key == key;
        });
        if (rule == rules.end()) {
            problems.push_back({ file, section.line, section.heading(), key, "is not a key of this section" });
        } else if (!rule->parse(object, text, rule->range)) {
            problems.push_back({ file, section.line, section.heading(), key,
                                 "expected " + std::string(rule->expected) + ", found \"" + text + "\"" });
        }
    }
    for (const auto &rule : rules) {
        if (rule.required && !section.values.contains(std::string(rule.key))) {
            problems.push_back({ file, section.line, section.heading(), std::string(rule.key),
                                 "is missing; expected " + std::string(rule.expected) });
        }
    }
    return object;
}

/// Returns an aggregate as the text of a section, which parseSection() reads back. Omits keys with an empty value.
template <typename Object>
std::string formatSection(const std::string &heading, const Object &object, std::span<const FieldRule<Object>> rules)
{
    std::string out = "[" + heading + "]\n";
    for (const auto &rule : rules) {
        const std::string text = rule.format(object);
        if (!text.empty()) {
            out += std::string(rule.key) + " = " + text + "\n";
        }
    }
    return out;
}

} // namespace detail

} // namespace zinniadock
