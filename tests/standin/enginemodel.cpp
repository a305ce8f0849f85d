#include "enginemodel.h"

#include <algorithm>

namespace zinniadock::standin
{

namespace
{

std::uint32_t blocksFor(std::uint32_t tokens, std::uint32_t blockTokens)
{
    return (tokens + blockTokens - 1) / blockTokens;
}

} // namespace

EngineModel::EngineModel(EngineModelSettings settings)
    : m_settings(settings)
{
}

void EngineModel::submit(const EngineJob &job)
{
    insertWaiting(Active{ .job = job, .arrival = ++m_arrivals });
}

void EngineModel::cancel(std::uint64_t id)
{
    std::erase_if(m_waiting, [id](const Active &active) {
        return active.job.id == id;
    });
    for (const Active &active : m_running) {
        m_usedBlocks -= active.job.id == id ? active.blocks : 0;
    }
    std::erase_if(m_running, [id](const Active &active) {
        return active.job.id == id;
    });
}

EngineStep EngineModel::step()
{
    EngineStep result;
    fillBatch(result);
    for (std::size_t index = 0; index < m_running.size();) {
        if (growOrPreempt(index, result)) {
            ++index;
        }
    }
    for (Active &active : m_running) {
        ++active.emitted;
        result.emitted.push_back(active.job.id);
        if (active.emitted >= active.job.outputTokens) {
            result.finished.push_back(active.job.id);
        }
    }
    result.duration += m_settings.stepBase + m_settings.stepPerSequence * m_running.size();
    result.duration = std::chrono::microseconds(
        static_cast<std::int64_t>(static_cast<double>(result.duration.count()) * m_slowdown));
    for (const Active &active : m_running) {
        if (active.emitted >= active.job.outputTokens) {
            m_usedBlocks -= active.blocks;
            keepPrefix(active.job);
        }
    }
    std::erase_if(m_running, [](const Active &active) {
        return active.emitted >= active.job.outputTokens;
    });
    return result;
}

bool EngineModel::idle() const
{
    return m_running.empty() && m_waiting.empty();
}

std::uint32_t EngineModel::usedBlocks() const
{
    return m_usedBlocks + m_stolenBlocks;
}

std::uint32_t EngineModel::runningCount() const
{
    return static_cast<std::uint32_t>(m_running.size());
}

std::uint32_t EngineModel::waitingCount() const
{
    return static_cast<std::uint32_t>(m_waiting.size());
}

std::uint64_t EngineModel::preemptions() const
{
    return m_preemptions;
}

std::uint64_t EngineModel::prefillTokens() const
{
    return m_prefillTokens;
}

const EngineModelSettings &EngineModel::settings() const
{
    return m_settings;
}

void EngineModel::setStolenBlocks(std::uint32_t blocks)
{
    m_stolenBlocks = blocks;
}

void EngineModel::setSlowdown(double factor)
{
    m_slowdown = factor;
}

std::uint32_t EngineModel::freeBlocks() const
{
    const std::uint32_t used = m_usedBlocks + m_cachedBlocks + m_stolenBlocks;
    return used >= m_settings.totalBlocks ? 0 : m_settings.totalBlocks - used;
}

// Cached prefixes give way to running jobs, the least recently used first.
bool EngineModel::reserve(std::uint32_t blocks)
{
    while (freeBlocks() < blocks && !m_cache.empty()) {
        m_cachedBlocks -= m_cache.back().blocks;
        m_cache.pop_back();
    }
    if (freeBlocks() < blocks) {
        return false;
    }
    m_usedBlocks += blocks;
    return true;
}

void EngineModel::fillBatch(EngineStep &result)
{
    std::uint32_t prefill = 0;
    while (!m_waiting.empty() && m_running.size() < m_settings.maxBatch && prefill < m_settings.prefillTokensPerStep) {
        Active active = m_waiting.front();
        const std::uint32_t tokens = active.job.promptTokens + active.emitted;
        active.blocks = blocksFor(tokens + 1, m_settings.blockTokens);
        const std::uint32_t warm = takePrefix(active.job);
        if (!reserve(active.blocks)) {
            break;
        }
        m_waiting.pop_front();
        prefill += tokens > warm ? tokens - warm : 0;
        m_running.push_back(active);
    }
    m_prefillTokens += prefill;
    result.duration += m_settings.prefillPerToken * prefill;
}

// Returns false if the job at the index was itself preempted.
bool EngineModel::growOrPreempt(std::size_t &index, EngineStep &result)
{
    while (true) {
        const Active &active = m_running[index];
        const std::uint32_t needed = blocksFor(active.job.promptTokens + active.emitted + 1, m_settings.blockTokens);
        if (needed <= active.blocks || reserve(needed - active.blocks)) {
            m_running[index].blocks = std::max(needed, active.blocks);
            return true;
        }
        const std::size_t chosen = victim();
        preempt(chosen, result);
        if (chosen == index) {
            return false;
        }
        index -= chosen < index ? 1 : 0;
    }
}

void EngineModel::preempt(std::size_t index, EngineStep &result)
{
    Active active = m_running[index];
    m_running.erase(m_running.begin() + static_cast<std::ptrdiff_t>(index));
    m_usedBlocks -= active.blocks;
    active.blocks = 0;
    ++m_preemptions;
    result.preempted.push_back(active.job.id);
    insertWaiting(active);
}

// The lowest priority goes first, and among equals the latest arrival.
std::size_t EngineModel::victim() const
{
    std::size_t chosen = 0;
    for (std::size_t i = 1; i < m_running.size(); ++i) {
        const Active &candidate = m_running[i];
        const Active &present = m_running[chosen];
        const bool lower = candidate.job.priority < present.job.priority;
        const bool later = candidate.job.priority == present.job.priority && candidate.arrival > present.arrival;
        chosen = lower || later ? i : chosen;
    }
    return chosen;
}

void EngineModel::insertWaiting(Active active)
{
    const auto position = std::find_if(m_waiting.begin(), m_waiting.end(), [&](const Active &other) {
        return other.job.priority < active.job.priority
            || (other.job.priority == active.job.priority && other.arrival > active.arrival);
    });
    m_waiting.insert(position, active);
}

std::uint32_t EngineModel::takePrefix(const EngineJob &job)
{
    for (auto position = m_cache.begin(); position != m_cache.end(); ++position) {
        if (job.prefixHash != 0 && position->hash == job.prefixHash) {
            const std::uint32_t tokens = position->blocks * m_settings.blockTokens;
            m_cache.splice(m_cache.begin(), m_cache, position);
            return std::min(tokens, job.promptTokens);
        }
    }
    return 0;
}

void EngineModel::keepPrefix(const EngineJob &job)
{
    const std::uint32_t blocks = job.promptTokens / m_settings.blockTokens;
    const bool known = std::any_of(m_cache.begin(), m_cache.end(), [&](const CachedPrefix &entry) {
        return entry.hash == job.prefixHash;
    });
    if (job.prefixHash == 0 || known || blocks == 0 || freeBlocks() < blocks) {
        return;
    }
    m_cache.push_front({ job.prefixHash, blocks });
    m_cachedBlocks += blocks;
}

} // namespace zinniadock::standin
