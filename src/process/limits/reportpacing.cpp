#include "zinniadock/process/limits/reportpacing.h"

#include <algorithm>

namespace zinniadock
{

namespace
{

constexpr int heartbeatIntervals = 2;
constexpr double maxBurst = 3;

} // namespace

void ReportPacing::recordUnmetDemand()
{
    m_hasUnmetDemand = true;
}

bool ReportPacing::isDue(std::chrono::milliseconds interval, SteadyTime now) const
{
    return now - m_lastReport >= (m_hasUnmetDemand ? 1 : heartbeatIntervals) * interval;
}

bool ReportPacing::take(std::chrono::milliseconds interval, SteadyTime now)
{
    const double intervals = std::chrono::duration<double>(now - m_creditedUntil) / interval;
    m_credit = std::min(m_credit + intervals, maxBurst);
    m_creditedUntil = now;
    if (m_credit < 1) {
        return false;
    }
    m_credit -= 1;
    m_lastReport = now;
    m_hasUnmetDemand = false;
    return true;
}

} // namespace zinniadock
