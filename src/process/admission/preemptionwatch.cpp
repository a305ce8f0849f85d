#include "zinniadock/process/admission/preemptionwatch.h"

namespace zinniadock
{

namespace
{

/// A generation that is missing from more than this number of consecutive reports counts as ended. A preempted
/// generation waits for memory no longer than this.
constexpr std::uint32_t maxMissedReports = 100;

} // namespace

std::vector<Preemption> PreemptionWatch::update(const EngineLoad &load)
{
    if (load.startTimeMs != m_startTimeMs) {
        m_generations.clear();
        m_startTimeMs = load.startTimeMs;
    }
    std::vector<Preemption> preemptions;
    for (auto &[request, tracked] : m_generations) {
        ++tracked.missedReports;
    }
    for (const EngineGeneration &generation : load.generations) {
        const auto [position, isNew] = m_generations.try_emplace(generation.request);
        TrackedGeneration &tracked = position->second;
        if (!isNew && tracked.missedReports > 1) {
            preemptions.push_back({ tracked.generation, tracked.usedTokens });
        }
        tracked = { generation, load.usedTokens, 0 };
    }
    std::erase_if(m_generations, [](const auto &entry) {
        return entry.second.missedReports > maxMissedReports;
    });
    return preemptions;
}

} // namespace zinniadock
