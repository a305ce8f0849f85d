#pragma once

#include <chrono>
#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>
#include <type_traits>

namespace zinniadock
{

/// A field of a log line: a name and a value that is already formatted as JSON.
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
        , m_value(formatNumber(static_cast<double>(number)))
    {
    }

    const char *name() const;

    /// Returns the value, formatted as JSON.
    const std::string &value() const;

private:
    /// Formats whole numbers below 10^15 without a fraction.
    static std::string formatNumber(double number);

    const char *m_name;
    std::string m_value;
};

/// Starts the thread that writes log lines to standard output.
void startEventLog(const std::string &instance);

/// Writes the buffered lines and stops the thread.
void stopEventLog();

/// Queues one line of JSON with the time, the instance, the part, the event and the given fields, which hold the values
/// that led to the event. Never waits for the output: a line that exceeds the rate limit or does not fit in the buffer
/// is dropped and counted. Thread-safe.
void logEvent(std::string_view part, std::string_view event, std::initializer_list<LogField> fields);

/// Returns the number of dropped lines.
std::uint64_t droppedLogLines();

} // namespace zinniadock
