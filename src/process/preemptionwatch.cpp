#include "zinniadock/process/preemptionwatch.h"

namespace zinniadock
{

namespace
{

/// Number of reports after which a missing run counts as ended. A preempted run waits for memory no longer than this.
constexpr std::uint32_t maxMissedReports = 100;

} // namespace

std::vector<Preemption> PreemptionWatch::update(const EngineLoad &load)
{
    if (load.startTimeMs != m_startTimeMs) {
        m_runs.clear();
        m_startTimeMs = load.startTimeMs;
    }
    std::vector<Preemption> preemptions;
    for (auto &[request, tracked] : m_runs) {
        ++tracked.missedReports;
    }
    for (const EngineRun &run : load.runs) {
        const auto [position, isNew] = m_runs.try_emplace(run.request);
        TrackedRun &tracked = position->second;
        if (!isNew && tracked.missedReports > 1) {
            preemptions.push_back({ tracked.run, tracked.usedTokens });
        }
        tracked = { run, load.usedTokens, 0 };
    }
    std::erase_if(m_runs, [](const auto &entry) {
        return entry.second.missedReports > maxMissedReports;
    });
    return preemptions;
}

} // namespace zinniadock
