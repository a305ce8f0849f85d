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

/// Parses `debug`, `info`, `warning` or `error`.
std::optional<LogLevel> parseLogLevel(std::string_view name);

/// Sends log lines of at least \p level to standard error, each with time, level and \p instance.
void startLog(LogLevel level, const std::string &instance);

/// Writes short log sentences behind the fixed prefix of one part.
class Log
{
public:
    explicit constexpr Log(const char *part)
        : m_part(part)
    {
    }

    void debug(std::string_view sentence) const;
    void info(std::string_view sentence) const;
    void warning(std::string_view sentence) const;
    void error(std::string_view sentence) const;

private:
    void write(LogLevel level, std::string_view sentence) const;

    const char *m_part;
};

} // namespace zinniadock
