#pragma once

#include <chrono>
#include <cstdint>

#include "zinniadock/process/servers/serverdirectory.h"

namespace zinniadock
{

/// The maximum of the durations that were recorded in the last seconds. Not thread-safe.
class RecentMaximum
{
public:
    void record(std::chrono::microseconds value, SteadyTime now);

    /// Returns the maximum; 0 if nothing was recorded in the last seconds.
    std::chrono::microseconds value(SteadyTime now) const;

private:
    void rotate(SteadyTime now);

    std::chrono::microseconds m_current{ 0 }; ///< maximum since m_currentSince
    std::chrono::microseconds m_previous{ 0 }; ///< maximum of the window before
    SteadyTime m_currentSince;
};

/// How fast an engine runs a generation.
struct GenerationSpeed
{
    std::chrono::microseconds firstEvent{ 0 }; ///< from the arrival of the request to the first event
    std::chrono::microseconds eventInterval{ 0 }; ///< mean time between two events
};

/// The slowest speed at which the engines of one pool have run generations in the last seconds. Not thread-safe.
class GenerationPace
{
public:
    /// Records the time from the arrival of a request to its first event, or to now if it has no event yet.
    void recordFirstEvent(std::chrono::microseconds delay, SteadyTime now);

    /// Records the mean time between the events of one generation.
    void recordEventInterval(std::chrono::microseconds interval, SteadyTime now);

    /// Returns an upper estimate of the time from the arrival of a request to the last event of its generation.
    /// \param events  maximum number of events of the generation
    /// \param assumed  speed that is assumed to be possible at any time; the estimate is based on the slower one of it
    /// and the recorded one
    std::chrono::milliseconds longestTime(std::uint32_t events, const GenerationSpeed &assumed, SteadyTime now) const;

private:
    RecentMaximum m_firstEvent;
    RecentMaximum m_eventInterval;
};

} // namespace zinniadock
