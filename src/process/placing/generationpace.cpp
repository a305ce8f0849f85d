#include "zinniadock/process/placing/generationpace.h"

#include <algorithm>

namespace zinniadock
{

namespace
{

/// A value counts for one to two windows after it was recorded.
constexpr std::chrono::milliseconds window{ 4000 };

/// Factor on recorded durations, since the engines may become slower until the generation ends.
constexpr double slowdownMargin = 1.5;

std::chrono::microseconds withMargin(std::chrono::microseconds recorded)
{
    return std::chrono::duration_cast<std::chrono::microseconds>(slowdownMargin * recorded);
}

} // namespace

void RecentMaximum::record(std::chrono::microseconds value, SteadyTime now)
{
    rotate(now);
    m_current = std::max(m_current, value);
}

std::chrono::microseconds RecentMaximum::value(SteadyTime now) const
{
    RecentMaximum rotated = *this;
    rotated.rotate(now);
    return std::max(rotated.m_current, rotated.m_previous);
}

void RecentMaximum::rotate(SteadyTime now)
{
    const auto age = now - m_currentSince;
    if (age < window) {
        return;
    }
    m_previous = age < 2 * window ? m_current : std::chrono::microseconds(0);
    m_current = std::chrono::microseconds(0);
    m_currentSince = now;
}

void GenerationPace::recordFirstEvent(std::chrono::microseconds delay, SteadyTime now)
{
    m_firstEvent.record(delay, now);
}

void GenerationPace::recordEventInterval(std::chrono::microseconds interval, SteadyTime now)
{
    m_eventInterval.record(interval, now);
}

std::chrono::milliseconds GenerationPace::longestTime(std::uint32_t events, const GenerationSpeed &assumed,
                                                      SteadyTime now) const
{
    const auto firstEvent = std::max(assumed.firstEvent, withMargin(m_firstEvent.value(now)));
    const auto interval = std::max(assumed.eventInterval, withMargin(m_eventInterval.value(now)));
    return std::chrono::ceil<std::chrono::milliseconds>(firstEvent + events * interval);
}

} // namespace zinniadock
