#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "zinniadock/process/servers/serverdirectory.h"

namespace zinniadock
{

/// A generation that its engine preempted for lack of memory and has resumed.
struct Preemption
{
    EngineGeneration lastReported; ///< the generation as last reported before its preemption
    std::uint32_t usedTokens = 0; ///< used memory of the engine in that report
};

/// Detects preempted generations by comparing the reports of one engine: a generation that is reported again after it
/// was missing was preempted, and its prompt was read again.
class PreemptionWatch
{
public:
    /// Returns the generations that have reappeared. Complexity: linear in the generations of this report and the one
    /// before.
    std::vector<Preemption> update(const EngineLoad &load);

private:
    struct TrackedGeneration
    {
        EngineGeneration generation;
        std::uint32_t usedTokens = 0;
        std::uint32_t missedReports = 0;
    };

    /// The known generations by request. A generation that is missing from many reports is removed.
    std::map<std::string, TrackedGeneration> m_generations;
    std::int64_t m_startTimeMs = 0;
};

} // namespace zinniadock
