#pragma once

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <string>

#include "zinniadock/process/servers/serverdirectory.h"

namespace zinniadock
{

/// Measures the time between two events of a generation from successive load reports of one engine, separately while
/// the engine reads a prompt and while it reads none. Runs in the sidecar of the engine. Has no clock and no thread.
class EngineSpeed
{
public:
    /// Applies a load report that was read at \p now. A report of another incarnation discards the measurements.
    /// Complexity: logarithmic in the generations for each; linear in the samples about five times per second.
    void update(const EngineLoad &load, SteadyTime now);

    const EventTimes &eventTimes() const;

private:
    struct Sample
    {
        SteadyTime measuredAt;
        std::chrono::microseconds eventTime{ 0 };
    };

    /// Samples of one state of the engine, and the intervals that will become the next sample.
    struct Series
    {
        std::deque<Sample> samples; ///< oldest first
        std::chrono::microseconds elapsed{ 0 };
        std::chrono::microseconds streamTime{ 0 }; ///< elapsed time, summed over the generations
        std::int64_t events = 0;
        SteadyTime lastIntervalAt;
    };

    void addInterval(Series &series, const EngineLoad &load, std::chrono::microseconds interval, SteadyTime now) const;
    static void restart(Series &series);
    static bool takeSample(Series &series, SteadyTime now);
    static std::optional<EventTime> summarize(const Series &series);

    std::int64_t m_startTimeMs = 0;
    std::optional<SteadyTime> m_lastReportAt;
    bool m_wasReading = false;
    std::map<std::string, std::uint32_t> m_lastEvents; ///< by request
    Series m_alone;
    Series m_besidePrompt;
    EventTimes m_eventTimes;
};

} // namespace zinniadock
