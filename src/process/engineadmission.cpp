#include "zinniadock/process/engineadmission.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace zinniadock
{

namespace
{

/// Share of their outputs to come that runs are taken to need at one time: they don't all end at the same moment.
constexpr double growthShare = 0.6;

/// Share of its output so far by which an output that has outgrown its estimate is expected to go on.
constexpr double overdueShare = 0.5;

/// Output to come and prompt of work that did not ask here, in tokens.
constexpr double foreignGrowth = 350;
constexpr double foreignPrompt = 2500;

/// The engine's report holds work that was admitted so long before it.
constexpr std::chrono::milliseconds reportDelay{ 60 };

/// Admitted work that the engine does not show after so long never came.
constexpr std::chrono::milliseconds arrivalTime{ 250 };
constexpr std::chrono::milliseconds longestRead{ 6000 };
constexpr std::chrono::milliseconds longestCopy{ 3000 };

} // namespace

double expectedGrowth(double promptTokens, double heldTokens, double expectedTokens, double maxTokens)
{
    const double output = std::max(0.0, heldTokens - promptTokens);
    const double growth = std::max(expectedTokens - std::max(heldTokens, promptTokens), overdueShare * output);
    const double bound = maxTokens > 0 ? maxTokens - std::max(heldTokens, promptTokens) : growth;
    return std::clamp(growth, 0.0, std::max(bound, 0.0));
}

double neededTokens(const AdmissionQuery &query)
{
    const double held = std::max(query.promptTokens, query.heldTokens);
    return held + growthShare * expectedGrowth(query.promptTokens, held, query.expectedTokens, query.maxTokens);
}

void EngineAdmission::update(const EngineLoad &load, SteadyTime now)
{
    if (load.startTimeMs != m_load.startTimeMs) {
        m_work.clear();
    }
    m_load = load;
    m_loadAt = now;
    for (auto &[request, work] : m_work) {
        const auto run = std::find_if(load.runs.begin(), load.runs.end(), [&request = request](const EngineRun &each) {
            return each.request == request;
        });
        const bool listed = run != load.runs.end();
        work.tokens = listed ? run->tokens : 0;
        work.runs = work.runs || listed;
    }
    std::erase_if(m_work, [](const auto &entry) {
        return entry.second.runs && entry.second.tokens == 0;
    });
    dropStale(now);
}

// Work that waits longer than the engine has anything unread was given up on its way, or has ended between two reports.
void EngineAdmission::dropStale(SteadyTime now)
{
    std::vector<std::pair<SteadyTime, std::string>> waiting;
    for (const auto &[request, work] : m_work) {
        const bool copies = work.query.heldTokens > 0 && now - work.since < longestCopy;
        if (!work.runs && !copies && now - work.since > arrivalTime) {
            waiting.emplace_back(work.since, request);
        }
    }
    std::sort(waiting.begin(), waiting.end());
    const std::size_t most = unread();
    for (std::size_t i = 0; i < waiting.size(); ++i) {
        const bool isBeyond = i + most < waiting.size();
        if (isBeyond || now - waiting[i].first > longestRead) {
            m_work.erase(waiting[i].second);
        }
    }
}

// An engine lists a run from its first token on; what it runs beyond those reads its prompt.
std::size_t EngineAdmission::unread() const
{
    const std::size_t running = m_load.running;
    return running - std::min(m_load.runs.size(), running) + m_load.queued;
}

bool EngineAdmission::isInReport(const Admitted &work) const
{
    return work.runs || work.since + reportDelay < m_loadAt;
}

double EngineAdmission::committedTokens() const
{
    double tokens = m_load.usedTokens;
    double growth = 0;
    std::size_t known = 0;
    for (const auto &[request, work] : m_work) {
        const AdmissionQuery &query = work.query;
        const double held = std::max(work.tokens, query.heldTokens);
        growth += expectedGrowth(query.promptTokens, held, query.expectedTokens, query.maxTokens);
        if (isInReport(work)) {
            known += work.runs || query.heldTokens == 0 ? 1 : 0;
        } else {
            tokens += std::max(query.promptTokens, query.heldTokens);
        }
    }
    const std::size_t foreign = m_load.running - std::min<std::size_t>(known, m_load.running);
    growth += foreignGrowth * static_cast<double>(foreign);
    return tokens + growthShare * growth + foreignPrompt * m_load.queued;
}

double EngineAdmission::waitingTokens() const
{
    double tokens = 0;
    std::size_t known = 0;
    for (const auto &[request, work] : m_work) {
        const bool reads = !work.runs && work.query.heldTokens == 0;
        tokens += reads ? work.query.promptTokens : 0;
        known += reads && isInReport(work) ? 1 : 0;
    }
    const std::size_t foreign = unread() - std::min(known, unread());
    return tokens + foreignPrompt * static_cast<double>(foreign);
}

AdmissionAnswer EngineAdmission::admit(const AdmissionQuery &query, SteadyTime now)
{
    AdmissionAnswer answer;
    answer.committedTokens = committedTokens();
    answer.waitingTokens = waitingTokens();
    std::size_t busy = m_load.running + m_load.queued;
    for (const auto &[request, work] : m_work) {
        busy += isInReport(work) ? 0 : 1;
    }
    if (m_load.isDraining) {
        answer.reason = "the engine leaves";
    } else if (now < m_pausedUntil) {
        answer.reason = "the engine asked for a pause";
    } else if (m_load.totalTokens == 0) {
        answer.reason = "no report of the engine yet";
    } else if (query.slots > 0 && busy >= query.slots) {
        answer.reason = "no free slot";
    } else if (answer.committedTokens + neededTokens(query) > query.usableFraction * m_load.totalTokens) {
        answer.reason = "no memory";
    } else if (query.heldTokens == 0 && answer.waitingTokens > query.maxWaitingTokens) {
        answer.reason = "prompts wait";
    } else {
        answer.admitted = true;
        m_work[query.request] = { .query = query, .since = now };
    }
    return answer;
}

void EngineAdmission::pause(SteadyTime until)
{
    m_pausedUntil = std::max(m_pausedUntil, until);
}

void EngineAdmission::cancel(const std::string &request)
{
    m_work.erase(request);
}

} // namespace zinniadock
