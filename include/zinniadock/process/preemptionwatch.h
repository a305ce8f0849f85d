#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "zinniadock/process/serverdirectory.h"

namespace zinniadock
{

/// A run that its engine preempted for lack of memory and has resumed.
struct Preemption
{
    EngineRun lastReported; ///< the run as last reported before its preemption
    std::uint32_t usedTokens = 0; ///< used memory of the engine in that report
};

/// Detects preempted runs by comparing the reports of one engine: a run that is reported again after it was missing was
/// preempted, and its prompt was read again.
class PreemptionWatch
{
public:
    /// Returns the runs that have reappeared. Complexity: linear in the runs of this report and the one before.
    std::vector<Preemption> update(const EngineLoad &load);

private:
    struct TrackedRun
    {
        EngineRun run;
        std::uint32_t usedTokens = 0;
        std::uint32_t missedReports = 0;
    };

    std::map<std::string, TrackedRun> m_runs; ///< by request; without runs that have been missing for long
    std::int64_t m_startTimeMs = 0;
};

} // namespace zinniadock
