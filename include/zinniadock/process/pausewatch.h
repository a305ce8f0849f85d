#pragma once

#include <chrono>

#include "zinniadock/process/timeline.h"

namespace zinniadock
{

/// Notices that the process stood still, from the time between the rounds of a loop that runs often.
class PauseWatch
{
public:
    /// Marks one round, and records a pause before it.
    void beat(Timeline &timeline)
    {
        const auto now = std::chrono::steady_clock::now();
        const auto since = std::chrono::duration_cast<std::chrono::milliseconds>(now - m_last);
        m_last = now;
        if (since > longRound) {
            timeline.record(EventKind::ProcessPaused, { .detail = formatMilliseconds(since) });
        }
    }

private:
    static constexpr std::chrono::milliseconds longRound{ 500 };

    std::chrono::steady_clock::time_point m_last = std::chrono::steady_clock::now();
};

} // namespace zinniadock
