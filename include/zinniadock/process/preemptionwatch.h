#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "zinniadock/process/serverdirectory.h"

namespace zinniadock
{

/// A run that its engine interrupted for want of memory and has taken up again.
struct Preemption
{
    EngineRun lastReported; ///< as last reported before it was interrupted
    std::uint32_t usedTokens = 0; ///< of the engine's memory at that time
};

/// Finds preempted runs by comparing the reports of one engine: a run that is reported again after it was missing has
/// been read in anew.
class PreemptionWatch
{
public:
    /// Returns the runs that are back. Complexity: linear in the runs of this report and the one before.
    std::vector<Preemption> update(const EngineLoad &load);

private:
    struct Seen
    {
        EngineRun run;
        std::uint32_t usedTokens = 0;
        std::uint32_t reportsMissed = 0;
    };

    std::map<std::string, Seen> m_runs; ///< by request; those that have not been missing for long
    std::int64_t m_startTimeMs = 0;
};

} // namespace zinniadock
