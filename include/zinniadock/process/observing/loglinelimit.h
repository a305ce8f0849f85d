#pragma once

#include <atomic>
#include <cstdint>

namespace zinniadock
{

/// What a log line is about.
enum class LogSubject {
    Request, ///< one request, so that the number of lines grows with the load
    Process, ///< what the process believes or decides for all requests
};

/// Limits the number of log lines per second. Lines about requests leave a part of the limit to the others, so that a
/// burst of requests does not hide the events that explain it. No clock of its own. Safe to use from several threads.
class LogLineLimit
{
public:
    static constexpr std::uint32_t maxLinesPerSecond = 400;
    static constexpr std::uint32_t maxRequestLinesPerSecond = 300;

    /// Counts a line. Returns whether it may be written.
    /// \param second  time of the line in seconds
    bool tryAcquire(std::int64_t second, LogSubject subject);

private:
    std::atomic<std::int64_t> m_second{ 0 };
    std::atomic<std::uint32_t> m_lines{ 0 }; ///< in this second
};

} // namespace zinniadock
