#include "zinniadock/process/observing/log.h"

#include <atomic>
#include <iostream>

#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/sources/severity_logger.hpp>
#include <boost/log/support/date_time.hpp>
#include <boost/log/trivial.hpp>
#include <boost/log/utility/setup/common_attributes.hpp>
#include <boost/log/utility/setup/console.hpp>

namespace zinniadock
{

namespace
{

namespace blog = boost::log;

// Messages below this level are discarded before Boost.Log creates a record, so that a disabled debug message is
// cheap enough for the token path.
std::atomic<LogLevel> threshold{ LogLevel::Warning }; // NOLINT: one log per process

blog::trivial::severity_level severityOf(LogLevel level)
{
    switch (level) {
    case LogLevel::Debug:
        return blog::trivial::debug;
    case LogLevel::Info:
        return blog::trivial::info;
    case LogLevel::Warning:
        return blog::trivial::warning;
    case LogLevel::Error:
        return blog::trivial::error;
    }
    return blog::trivial::error;
}

} // namespace

std::optional<LogLevel> parseLogLevel(std::string_view name)
{
    if (name == "debug") {
        return LogLevel::Debug;
    }
    if (name == "info") {
        return LogLevel::Info;
    }
    if (name == "warning") {
        return LogLevel::Warning;
    }
    if (name == "error") {
        return LogLevel::Error;
    }
    return std::nullopt;
}

void startLog(LogLevel level, const std::string &instance)
{
    namespace expr = blog::expressions;
    threshold = level;
    blog::add_common_attributes();
    blog::add_console_log(std::clog,
                          blog::keywords::format = expr::stream
                              << expr::format_date_time<boost::posix_time::ptime>("TimeStamp", "%Y-%m-%dT%H:%M:%S.%f")
                              << " " << blog::trivial::severity << " " << instance << " " << expr::smessage,
                          blog::keywords::auto_flush = true);
}

void Log::debug(std::string_view message) const
{
    write(LogLevel::Debug, message);
}

void Log::info(std::string_view message) const
{
    write(LogLevel::Info, message);
}

void Log::warning(std::string_view message) const
{
    write(LogLevel::Warning, message);
}

void Log::error(std::string_view message) const
{
    write(LogLevel::Error, message);
}

void Log::write(LogLevel level, std::string_view message) const
{
    if (level < threshold.load(std::memory_order_relaxed)) {
        return;
    }
    BOOST_LOG_STREAM_WITH_PARAMS(blog::trivial::logger::get(), (blog::keywords::severity = severityOf(level)))
        << m_part << ": " << message;
}

} // namespace zinniadock
