#pragma once

#include <atomic>
#include <chrono>

namespace zinniadock
{

/// Decides which work a process still takes after it was asked to stop: only work that ends before the process does.
/// Thread-safe.
class StopAdmission
{
public:
    using TimePoint = std::chrono::steady_clock::time_point;

    /// Records that the process was asked to stop, and ends at \p end at the latest.
    void begin(TimePoint end);

    /// Returns whether the process was asked to stop.
    bool isStopping() const;

    /// Returns whether the process may take work that ends at \p latestEnd at the latest. Returns true before begin().
    bool mayTake(TimePoint latestEnd) const;

private:
    std::atomic<TimePoint> m_end{ TimePoint::max() };
};

} // namespace zinniadock
