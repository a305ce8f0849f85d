#pragma once

#include <chrono>

namespace zinniadock
{

/// The longest delay with which the event loop has served a timer lately. It shows how long a response that has arrived
/// waits until the event loop reads it. No clock of its own.
class LoopDelay
{
public:
    using Time = std::chrono::steady_clock::time_point;

    /// Records that a timer which expired at \p due is served at \p now.
    void record(Time due, Time now);

    /// Returns the longest delay in the last 5 to 10 seconds.
    std::chrono::milliseconds longest(Time now) const;

private:
    void startPeriod(Time now);

    Time m_periodStart;
    std::chrono::milliseconds m_current{ 0 }; ///< longest delay since m_periodStart
    std::chrono::milliseconds m_previous{ 0 }; ///< longest delay in the period before
};

} // namespace zinniadock
