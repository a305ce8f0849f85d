#pragma once

#include <chrono>
#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>
#include <type_traits>

namespace zinniadock
{

/// One named value of a log line, in the form in which it is written.
class LogField
{
public:
    LogField(const char *name, std::string_view text);
    LogField(const char *name, const std::string &text);
    LogField(const char *name, const char *text);
    LogField(const char *name, std::chrono::milliseconds duration);

    template <typename Number, typename = std::enable_if_t<std::is_arithmetic_v<Number>>>
    LogField(const char *name, Number number)
        : m_name(name)
        , m_value(printed(static_cast<double>(number)))
    {
    }

    const char *name() const;

    /// Returns the value as JSON.
    const std::string &value() const;

private:
    static std::string printed(double number);

    const char *m_name;
    std::string m_value;
};

/// Starts the thread that writes log lines to standard output.
void startEventLog(const std::string &instance);

/// Writes what is left and stops the thread.
void stopEventLog();

/// Writes one line of JSON: when, which instance and part, what happened, and the values that decided it. Never
/// blocks; lines beyond a bounded rate are counted and left out.
void logEvent(std::string_view part, std::string_view event, std::initializer_list<LogField> fields);

/// Returns the number of lines that were left out.
std::uint64_t droppedLogLines();

} // namespace zinniadock
