#pragma once

#include <chrono>

#include "zinniadock/process/observing/timeline.h"

namespace zinniadock
{

/// Detects that the process was not scheduled for a while, from the time between iterations of a frequent loop.
class PauseDetector
{
public:
    /// Marks one iteration of the loop. Records an event if the previous iteration was more than \c pauseThreshold ago.
    void tick(Timeline &timeline)
    {
        const auto now = std::chrono::steady_clock::now();
        const auto elapsed = std::chrono::duration_cast<std::chrono::milliseconds>(now - m_last);
        m_last = now;
        if (elapsed > pauseThreshold) {
            timeline.record(EventKind::ProcessPaused, { .detail = formatMilliseconds(elapsed) });
        }
    }

private:
    static constexpr std::chrono::milliseconds pauseThreshold{ 500 };

    std::chrono::steady_clock::time_point m_last = std::chrono::steady_clock::now();
};

} // namespace zinniadock
