#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace zinniadock
{

enum class LogLevel {
    Debug,
    Info,
    Warning,
    Error,
};

/// Parses `debug`, `info`, `warning` or `error`; returns nothing for any other name.
std::optional<LogLevel> parseLogLevel(std::string_view name);

/// Starts writing log messages of at least \p level to standard error, each with the time, the level and \p instance.
void startLog(LogLevel level, const std::string &instance);

/// Writes log messages with the name of one part of the program as a prefix. Thread-safe.
class Log
{
public:
    explicit constexpr Log(const char *part)
        : m_part(part)
    {
    }

    void debug(std::string_view message) const;
    void info(std::string_view message) const;
    void warning(std::string_view message) const;
    void error(std::string_view message) const;

private:
    void write(LogLevel level, std::string_view message) const;

    const char *m_part;
};

} // namespace zinniadock
