#include "enginemodel.h"

#include <algorithm>

namespace zinniadock::standin
{

namespace
{

std::uint32_t blockCount(std::uint32_t tokens, std::uint32_t blockTokens)
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
    insertWaiting(SequenceState{ .job = job, .arrival = ++m_lastArrival });
}

void EngineModel::cancel(std::uint64_t id)
{
    std::erase_if(m_waiting, [id](const SequenceState &sequence) {
        return sequence.job.id == id;
    });
    for (const SequenceState &sequence : m_running) {
        m_usedBlocks -= sequence.job.id == id ? sequence.blocks : 0;
    }
    std::erase_if(m_running, [id](const SequenceState &sequence) {
        return sequence.job.id == id;
    });
}

EngineStep EngineModel::step()
{
    EngineStep result;
    admitWaiting(result);
    for (std::size_t index = 0; index < m_running.size();) {
        if (growOrPreempt(index, result)) {
            ++index;
        }
    }
    for (SequenceState &sequence : m_running) {
        ++sequence.emitted;
        result.emitted.push_back(sequence.job.id);
        if (sequence.emitted >= sequence.job.outputTokens) {
            result.finished.push_back(sequence.job.id);
        }
    }
    result.duration += m_settings.stepBase + m_settings.stepPerSequence * m_running.size();
    result.duration = std::chrono::microseconds(
        static_cast<std::int64_t>(static_cast<double>(result.duration.count()) * m_slowdown));
    for (const SequenceState &sequence : m_running) {
        if (sequence.emitted >= sequence.job.outputTokens) {
            m_usedBlocks -= sequence.blocks;
            cachePrefix(sequence.job);
        }
    }
    std::erase_if(m_running, [](const SequenceState &sequence) {
        return sequence.emitted >= sequence.job.outputTokens;
    });
    return result;
}

bool EngineModel::idle() const
{
    return m_running.empty() && m_waiting.empty();
}

std::uint32_t EngineModel::usedBlocks() const
{
    return m_usedBlocks + m_externallyUsedBlocks;
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

void EngineModel::setExternallyUsedBlocks(std::uint32_t blocks)
{
    m_externallyUsedBlocks = blocks;
}

void EngineModel::setSlowdown(double factor)
{
    m_slowdown = factor;
}

std::uint32_t EngineModel::freeBlocks() const
{
    const std::uint32_t used = m_usedBlocks + m_cachedBlocks + m_externallyUsedBlocks;
    return used >= m_settings.totalBlocks ? 0 : m_settings.totalBlocks - used;
}

// Evicts cached prefixes, least recently used first, until the blocks fit.
bool EngineModel::reserve(std::uint32_t blocks)
{
    while (freeBlocks() < blocks && !m_cachedPrefixes.empty()) {
        m_cachedBlocks -= m_cachedPrefixes.back().blocks;
        m_cachedPrefixes.pop_back();
    }
    if (freeBlocks() < blocks) {
        return false;
    }
    m_usedBlocks += blocks;
    return true;
}

void EngineModel::admitWaiting(EngineStep &result)
{
    std::uint32_t prefill = 0;
    while (!m_waiting.empty() && m_running.size() < m_settings.maxBatch && prefill < m_settings.prefillTokensPerStep) {
        SequenceState sequence = m_waiting.front();
        const std::uint32_t tokens = sequence.job.promptTokens + sequence.emitted;
        sequence.blocks = blockCount(tokens + 1, m_settings.blockTokens);
        const std::uint32_t cachedTokens = reuseCachedPrefix(sequence.job);
        if (!reserve(sequence.blocks)) {
            break;
        }
        m_waiting.pop_front();
        prefill += tokens > cachedTokens ? tokens - cachedTokens : 0;
        m_running.push_back(sequence);
    }
    m_prefillTokens += prefill;
    result.duration += m_settings.prefillPerToken * prefill;
}

// Allocates the block for the next token of the job at the index, and preempts jobs until it fits. Returns false if
// the job at the index was preempted. Adjusts the index when a job before it is removed.
bool EngineModel::growOrPreempt(std::size_t &index, EngineStep &result)
{
    while (true) {
        const SequenceState &sequence = m_running[index];
        const std::uint32_t needed
            = blockCount(sequence.job.promptTokens + sequence.emitted + 1, m_settings.blockTokens);
        if (needed <= sequence.blocks || reserve(needed - sequence.blocks)) {
            m_running[index].blocks = std::max(needed, sequence.blocks);
            return true;
        }
        const std::size_t selected = selectPreemptionVictim();
        preempt(selected, result);
        if (selected == index) {
            return false;
        }
        index -= selected < index ? 1 : 0;
    }
}

void EngineModel::preempt(std::size_t index, EngineStep &result)
{
    SequenceState sequence = m_running[index];
    m_running.erase(m_running.begin() + static_cast<std::ptrdiff_t>(index));
    m_usedBlocks -= sequence.blocks;
    sequence.blocks = 0;
    ++m_preemptions;
    result.preempted.push_back(sequence.job.id);
    insertWaiting(sequence);
}

// Selects the job with the lowest priority. Among equal priorities, selects the latest arrival.
std::size_t EngineModel::selectPreemptionVictim() const
{
    std::size_t selected = 0;
    for (std::size_t i = 1; i < m_running.size(); ++i) {
        const SequenceState &candidate = m_running[i];
        const SequenceState &current = m_running[selected];
        const bool hasLowerPriority = candidate.job.priority < current.job.priority;
        const bool arrivedLater = candidate.job.priority == current.job.priority && candidate.arrival > current.arrival;
        selected = hasLowerPriority || arrivedLater ? i : selected;
    }
    return selected;
}

void EngineModel::insertWaiting(SequenceState sequence)
{
    const auto position = std::find_if(m_waiting.begin(), m_waiting.end(), [&](const SequenceState &other) {
        return other.job.priority < sequence.job.priority
            || (other.job.priority == sequence.job.priority && other.arrival > sequence.arrival);
    });
    m_waiting.insert(position, sequence);
}

std::uint32_t EngineModel::reuseCachedPrefix(const EngineJob &job)
{
    for (auto position = m_cachedPrefixes.begin(); position != m_cachedPrefixes.end(); ++position) {
        if (job.prefixHash != 0 && position->hash == job.prefixHash) {
            const std::uint32_t tokens = position->blocks * m_settings.blockTokens;
            m_cachedPrefixes.splice(m_cachedPrefixes.begin(), m_cachedPrefixes, position);
            return std::min(tokens, job.promptTokens);
        }
    }
    return 0;
}

void EngineModel::cachePrefix(const EngineJob &job)
{
    const std::uint32_t blocks = job.promptTokens / m_settings.blockTokens;
    const bool isCached = std::any_of(m_cachedPrefixes.begin(), m_cachedPrefixes.end(), [&](const CachedPrefix &entry) {
        return entry.hash == job.prefixHash;
    });
    if (job.prefixHash == 0 || isCached || blocks == 0 || freeBlocks() < blocks) {
        return;
    }
    m_cachedPrefixes.push_front({ job.prefixHash, blocks });
    m_cachedBlocks += blocks;
}

} // namespace zinniadock::standin
