#pragma once

#include <chrono>
#include <cstdint>
#include <list>
#include <unordered_map>
#include <vector>

namespace zinniadock::standin
{

/// Memory limits, batch limits and step times of a simulated model engine.
struct EngineModelSettings
{
    std::uint32_t totalBlocks = 4096;
    std::uint32_t blockTokens = 16;
    std::uint32_t maxBatch = 256;
    std::uint32_t prefillTokensPerStep = 4096;
    std::chrono::microseconds stepBase{ 15000 };
    std::chrono::microseconds stepPerSequence{ 60 };
    std::chrono::microseconds prefillPerToken{ 10 };
};

/// A generation that is submitted to an EngineModel.
struct EngineJob
{
    std::uint64_t id = 0;
    std::uint32_t promptTokens = 0;
    std::uint32_t outputTokens = 0;
    std::uint32_t priority = 0; ///< a higher value is admitted first and preempted last
    std::uint64_t prefixHash = 0; ///< 0 disables the prefix cache for this job
};

/// Result of one decoding step; all lists hold job ids.
struct EngineStep
{
    std::chrono::microseconds duration{ 0 };
    std::vector<std::uint64_t> emitted; ///< jobs that produced one token
    std::vector<std::uint64_t> finished;
    std::vector<std::uint64_t> preempted;
};

/// Simulates an engine with continuous batching, a limited number of memory blocks and a prefix cache.
///
/// The owner calls step(); the class has no thread of its own. Not thread-safe.
class EngineModel
{
public:
    explicit EngineModel(EngineModelSettings settings);

    void submit(const EngineJob &job);
    void cancel(std::uint64_t id);

    /// Admits waiting jobs, preempts jobs if memory runs out, and decodes one token for each running job.
    EngineStep step();

    bool idle() const;
    std::uint32_t usedBlocks() const;
    std::uint32_t runningCount() const;
    std::uint32_t waitingCount() const;
    std::uint64_t preemptions() const;
    std::uint64_t prefillTokens() const;
    const EngineModelSettings &settings() const;

    /// Sets how many blocks another process on the accelerator uses. The model cannot allocate them.
    void setExternallyUsedBlocks(std::uint32_t blocks);

    /// Sets the factor by which the duration of each step is multiplied.
    void setSlowdown(double factor);

private:
    struct SequenceState
    {
        EngineJob job;
        std::uint64_t arrival = 0;
        std::uint32_t emitted = 0;
        std::uint32_t blocks = 0;
    };

    struct CachedPrefix
    {
        std::uint64_t hash = 0;
        std::uint32_t blocks = 0;
    };

    std::uint32_t freeBlocks() const;

    /// Allocates blocks for a running job. Returns false if evicting all cached prefixes frees too few.
    bool reserve(std::uint32_t blocks);
    void admitWaiting(EngineStep &result);
    bool growOrPreempt(std::size_t &index, EngineStep &result);
    void preempt(std::size_t index, EngineStep &result);
    std::size_t selectPreemptionVictim() const;
    void insertWaiting(SequenceState sequence);

    /// Returns the number of prompt tokens that the prefix cache covers, and marks the prefix as most recently used.
    std::uint32_t reuseCachedPrefix(const EngineJob &job);
    void cachePrefix(const EngineJob &job);

    EngineModelSettings m_settings;
    std::vector<SequenceState> m_running;
    std::list<SequenceState> m_waiting;
    std::list<CachedPrefix> m_cachedPrefixes; ///< most recently used first
    std::uint32_t m_usedBlocks = 0; ///< held by running jobs
    std::uint32_t m_cachedBlocks = 0;
    std::uint32_t m_externallyUsedBlocks = 0;
    double m_slowdown = 1;
    std::uint64_t m_lastArrival = 0;
    std::uint64_t m_preemptions = 0;
    std::uint64_t m_prefillTokens = 0;
};

} // namespace zinniadock::standin
