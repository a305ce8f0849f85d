#include "zinniadock/process/observing/loopdelay.h"

#include <algorithm>

namespace zinniadock
{

namespace
{

constexpr std::chrono::seconds period{ 5 };

} // namespace

void LoopDelay::record(Time due, Time now)
{
    if (now - m_periodStart >= period) {
        startPeriod(now);
    }
    m_current = std::max(m_current, std::chrono::duration_cast<std::chrono::milliseconds>(now - due));
}

void LoopDelay::startPeriod(Time now)
{
    const bool isNextPeriod = now - m_periodStart < 2 * period;
    m_previous = isNextPeriod ? m_current : std::chrono::milliseconds(0);
    m_current = std::chrono::milliseconds(0);
    m_periodStart = now;
}

std::chrono::milliseconds LoopDelay::longest(Time now) const
{
    if (now - m_periodStart >= 2 * period) {
        return std::chrono::milliseconds(0);
    }
    return std::max(m_current, m_previous);
}

} // namespace zinniadock
