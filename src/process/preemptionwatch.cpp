#include "zinniadock/process/preemptionwatch.h"

namespace zinniadock
{

namespace
{

/// Reports after which a run that is missing has ended; an interrupted one waits for room no longer than this.
constexpr std::uint32_t mostReportsMissed = 100;

} // namespace

std::vector<Preemption> PreemptionWatch::update(const EngineLoad &load)
{
    if (load.startTimeMs != m_startTimeMs) {
        m_runs.clear();
        m_startTimeMs = load.startTimeMs;
    }
    std::vector<Preemption> preemptions;
    for (auto &[request, seen] : m_runs) {
        ++seen.reportsMissed;
    }
    for (const EngineRun &run : load.runs) {
        const auto [position, isNew] = m_runs.try_emplace(run.request);
        Seen &seen = position->second;
        if (!isNew && seen.reportsMissed > 1) {
            preemptions.push_back({ seen.run, seen.usedTokens });
        }
        seen = { run, load.usedTokens, 0 };
    }
    std::erase_if(m_runs, [](const auto &entry) {
        return entry.second.reportsMissed > mostReportsMissed;
    });
    return preemptions;
}

} // namespace zinniadock
