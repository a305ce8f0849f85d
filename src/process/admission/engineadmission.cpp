#include "zinniadock/process/admission/engineadmission.h"

#include <algorithm>
#include <cmath>
#include <utility>
#include <vector>

#include "zinniadock/process/admission/memorypeak.h"

namespace zinniadock
{

namespace
{

/// Share of the summed expected growth that is counted as needed memory. It is below 1, since generations do not all
/// end at the same time.
constexpr double growthShare = 0.6;

/// Minimum expected growth of an output as a share of its current length. It applies to outputs that are close to their
/// estimate or exceed it.
constexpr double overrunShare = 0.5;

/// Assumed output growth and prompt length of a generation that this sidecar has not admitted, in tokens.
constexpr double externalGrowthTokens = 350;
constexpr double externalPromptTokens = 2500;

/// A report of the engine contains work that was admitted more than this time before the report.
constexpr std::chrono::milliseconds reportDelay{ 60 };

/// Admitted work that the engine does not list after arrivalTimeout counts as not arrived and is removed. It is kept
/// while the engine may still read its prompt, for at most maxPromptReadTime, or copy its memory, for at most
/// maxCopyTime.
constexpr std::chrono::milliseconds arrivalTimeout{ 250 };
constexpr std::chrono::milliseconds maxPromptReadTime{ 6000 };
constexpr std::chrono::milliseconds maxCopyTime{ 3000 };

/// Returns the memory of the work of a query that holds \p held tokens, for the forecast.
GenerationMemory memoryOf(const AdmissionQuery &query, double held)
{
    const double bound = query.maxTokens > 0 ? query.maxTokens - held : HUGE_VAL;
    return { .held = held,
             .growth = expectedGrowth(query.promptTokens, held, query.expectedTokens, query.maxTokens),
             .maxGrowth = std::max(bound, 0.0) };
}

} // namespace

double expectedGrowth(double promptTokens, double heldTokens, double expectedTokens, double maxTokens)
{
    const double output = std::max(0.0, heldTokens - promptTokens);
    const double growth = std::max(expectedTokens - std::max(heldTokens, promptTokens), overrunShare * output);
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
        m_cold.reset();
    }
    m_load = load;
    m_loadReceivedAt = now;
    for (auto &[request, work] : m_work) {
        const auto generation = std::find_if(load.generations.begin(), load.generations.end(),
                                             [&request = request](const EngineGeneration &each) {
                                                 return each.request == request;
                                             });
        const bool listed = generation != load.generations.end();
        work.tokens = listed ? generation->tokens : 0;
        work.isRunning = work.isRunning || listed;
    }
    std::erase_if(m_work, [](const auto &entry) {
        return entry.second.isRunning && entry.second.tokens == 0;
    });
    removeStaleWork(now);
}

// Removes work that was abandoned before it reached the engine or that ended between two reports. Of the work that the
// engine does not list, at most as many items are kept as the engine has unread prompts. The oldest items beyond this
// number are removed, and items older than maxPromptReadTime.
void EngineAdmission::removeStaleWork(SteadyTime now)
{
    std::vector<std::pair<SteadyTime, std::string>> waiting;
    for (const auto &[request, work] : m_work) {
        const bool isCopying = work.query.heldTokens > 0 && now - work.admittedAt < maxCopyTime;
        if (!work.isRunning && !isCopying && now - work.admittedAt > arrivalTimeout) {
            waiting.emplace_back(work.admittedAt, request);
        }
    }
    std::sort(waiting.begin(), waiting.end());
    const std::size_t unreadCount = unreadPromptCount();
    for (std::size_t i = 0; i < waiting.size(); ++i) {
        const bool exceedsUnread = i + unreadCount < waiting.size();
        if (exceedsUnread || now - waiting[i].first > maxPromptReadTime) {
            m_work.erase(waiting[i].second);
        }
    }
}

// An engine lists a generation in its load report from the first token on. A generation that the report counts but does
// not list has an unread prompt.
std::size_t EngineAdmission::unreadPromptCount() const
{
    const std::size_t running = m_load.running;
    return running - std::min(m_load.generations.size(), running) + m_load.queued;
}

bool EngineAdmission::isInReport(const AdmittedWork &work) const
{
    return work.isRunning || work.admittedAt + reportDelay < m_loadReceivedAt;
}

double EngineAdmission::committedTokens() const
{
    double tokens = m_load.usedTokens;
    double growth = 0;
    std::size_t accountedGenerations = 0;
    for (const auto &[request, work] : m_work) {
        const AdmissionQuery &query = work.query;
        const double held = std::max(work.tokens, query.heldTokens);
        growth += expectedGrowth(query.promptTokens, held, query.expectedTokens, query.maxTokens);
        if (isInReport(work)) {
            accountedGenerations += work.isRunning || query.heldTokens == 0 ? 1 : 0;
        } else {
            tokens += std::max(query.promptTokens, query.heldTokens);
        }
    }
    const std::size_t external = m_load.running - std::min<std::size_t>(accountedGenerations, m_load.running);
    growth += externalGrowthTokens * static_cast<double>(external);
    return tokens + growthShare * growth + externalPromptTokens * m_load.queued;
}

double EngineAdmission::waitingTokens() const
{
    double tokens = 0;
    std::size_t accountedPrompts = 0;
    for (const auto &[request, work] : m_work) {
        const bool reads = !work.isRunning && work.query.heldTokens == 0;
        tokens += reads ? work.query.promptTokens : 0;
        accountedPrompts += reads && isInReport(work) ? 1 : 0;
    }
    const std::size_t external = unreadPromptCount() - std::min(accountedPrompts, unreadPromptCount());
    return tokens + externalPromptTokens * static_cast<double>(external);
}

// The memory that a generation of this admission holds is part of the used memory once a report includes it.
double EngineAdmission::forecastTokens(const AdmissionQuery &query) const
{
    std::vector<GenerationMemory> running;
    double held = 0;
    std::size_t accountedGenerations = 0;
    for (const auto &[request, work] : m_work) {
        running.push_back(
            memoryOf(work.query, std::max({ work.tokens, work.query.heldTokens, work.query.promptTokens })));
        if (isInReport(work)) {
            held += running.back().held;
            accountedGenerations += work.isRunning || work.query.heldTokens == 0 ? 1 : 0;
        }
    }
    const std::size_t external = m_load.running - std::min<std::size_t>(accountedGenerations, m_load.running);
    const double fixedTokens = std::max(m_load.usedTokens - held, 0.0)
        + externalGrowthTokens * static_cast<double>(external) + externalPromptTokens * m_load.queued;
    return peakTokens(running, memoryOf(query, query.promptTokens), fixedTokens, waitingTokens() + query.promptTokens);
}

// A generation with a short output may use memory that is kept for growth that comes after its end. A generation that
// moves here is not subject to the forecast, since it is lost if it is refused.
bool EngineAdmission::fitsMemory(const AdmissionQuery &query) const
{
    if (committedTokens() + neededTokens(query) <= query.usableFraction * m_load.totalTokens) {
        return true;
    }
    return query.heldTokens == 0 && forecastTokens(query) <= std::min(query.forecastFraction, 1.0) * m_load.totalTokens;
}

AdmissionResponse EngineAdmission::admit(const AdmissionQuery &query, SteadyTime now)
{
    m_cold.learn(query.cold, now);
    AdmissionResponse response;
    response.committedTokens = committedTokens();
    response.waitingTokens = waitingTokens();
    std::size_t occupiedSlots = m_load.running + m_load.queued;
    for (const auto &[request, work] : m_work) {
        occupiedSlots += isInReport(work) ? 0 : 1;
    }
    if (m_load.isDraining) {
        response.reason = "the engine is draining";
    } else if (now < m_pausedUntil) {
        response.reason = "the engine requested a pause";
    } else if (!m_cold.mayAdmit(now)) {
        response.reason = "the engine is cold";
        ++m_coldRefusals;
    } else if (m_load.totalTokens == 0) {
        response.reason = "no load report of the engine yet";
    } else if (query.slots > 0 && occupiedSlots >= query.slots) {
        response.reason = "no free slot";
    } else if (!fitsMemory(query)) {
        response.reason = "not enough free memory";
    } else if (query.heldTokens == 0 && response.waitingTokens > query.maxWaitingTokens) {
        response.reason = "too many prompts are waiting";
    } else {
        response.admitted = true;
        m_cold.recordAdmitted(now);
        m_work[query.request] = { .query = query, .admittedAt = now };
    }
    return response;
}

void EngineAdmission::pause(SteadyTime until)
{
    m_pausedUntil = std::max(m_pausedUntil, until);
}

void EngineAdmission::observeCold(std::chrono::milliseconds left, SteadyTime now)
{
    m_cold.observe(left, now);
}

bool EngineAdmission::isCold(SteadyTime now) const
{
    return m_cold.isCold(now);
}

std::uint64_t EngineAdmission::coldRefusals() const
{
    return m_coldRefusals;
}

void EngineAdmission::cancel(const std::string &request)
{
    m_work.erase(request);
}

} // namespace zinniadock
