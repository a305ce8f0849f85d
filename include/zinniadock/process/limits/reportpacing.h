#pragma once

#include <chrono>

#include "zinniadock/process/servers/serverdirectory.h"

namespace zinniadock
{

/// Decides when an entry reports to its parent in the tree of entries. On average at most one report is sent per
/// interval. Not thread-safe.
class ReportPacing
{
public:
    /// Records that a request could have used a permit that this entry did not have.
    void recordUnmetDemand();

    /// Returns whether a report is due although no request waits for a permit: after one interval with unmet demand,
    /// otherwise after \c heartbeatIntervals.
    bool isDue(std::chrono::milliseconds interval, SteadyTime now) const;

    /// Returns whether a report may be sent now, and counts it. Up to \c maxBurst reports may be sent at once.
    bool take(std::chrono::milliseconds interval, SteadyTime now);

private:
    double m_credit = 0; ///< reports that may be sent now
    SteadyTime m_creditedUntil; ///< \c m_credit includes the time up to this one
    SteadyTime m_lastReport;
    bool m_hasUnmetDemand = false; ///< since the last report
};

} // namespace zinniadock
