#include "zinniadock/process/pausedetector.h"

#include <ctime>

namespace zinniadock
{

namespace
{

/// The event loop runs several times in this time, also under load.
constexpr std::chrono::milliseconds minPause{ 700 };

/// Shorter differences of the two clocks are rounding.
constexpr std::chrono::milliseconds minUncounted{ 50 };

std::chrono::nanoseconds readClock(clockid_t clock)
{
    timespec time{};
    ::clock_gettime(clock, &time);
    return std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec);
}

} // namespace

SystemTime currentSystemTime()
{
    return { .steady = readClock(CLOCK_MONOTONIC), .boot = readClock(CLOCK_BOOTTIME) };
}

std::optional<ProcessPause> PauseDetector::observe(const SystemTime &now)
{
    const SystemTime last = m_last.value_or(now);
    m_last = now;
    const auto duration = std::chrono::duration_cast<std::chrono::milliseconds>(now.boot - last.boot);
    const auto counted = std::chrono::duration_cast<std::chrono::milliseconds>(now.steady - last.steady);
    const auto uncounted = duration - counted;
    if (duration < minPause && uncounted < minUncounted) {
        return std::nullopt;
    }
    return ProcessPause{ .duration = duration,
                         .uncounted = uncounted < minUncounted ? std::chrono::milliseconds(0) : uncounted };
}

} // namespace zinniadock
