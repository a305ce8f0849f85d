#pragma once

#include <chrono>
#include <cstdint>
#include <list>
#include <unordered_map>
#include <vector>

namespace zinniadock::standin
{

/// Speed and memory of a model engine.
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

/// One generation as the engine model sees it.
struct EngineJob
{
    std::uint64_t id = 0;
    std::uint32_t promptTokens = 0;
    std::uint32_t outputTokens = 0;
    std::uint32_t priority = 0;
    std::uint64_t prefixHash = 0;
};

/// What one step of the engine did.
struct EngineStep
{
    std::chrono::microseconds duration{ 0 };
    std::vector<std::uint64_t> emitted; ///< jobs that gave one token
    std::vector<std::uint64_t> finished;
    std::vector<std::uint64_t> preempted;
};

/// A continuously batching engine with limited block memory and a prefix cache, stepped by its owner.
class EngineModel
{
public:
    explicit EngineModel(EngineModelSettings settings);

    void submit(const EngineJob &job);
    void cancel(std::uint64_t id);

    /// Runs one decoding step over the batch.
    EngineStep step();

    bool idle() const;
    std::uint32_t usedBlocks() const;
    std::uint32_t runningCount() const;
    std::uint32_t waitingCount() const;
    std::uint64_t preemptions() const;
    std::uint64_t prefillTokens() const;
    const EngineModelSettings &settings() const;

    /// Takes memory away for another user of the accelerator.
    void setStolenBlocks(std::uint32_t blocks);

    /// Makes every step longer by a factor.
    void setSlowdown(double factor);

private:
    struct Active
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
    bool reserve(std::uint32_t blocks);
    void fillBatch(EngineStep &result);
    bool growOrPreempt(std::size_t &index, EngineStep &result);
    void preempt(std::size_t index, EngineStep &result);
    std::size_t victim() const;
    void insertWaiting(Active active);
    std::uint32_t takePrefix(const EngineJob &job);
    void keepPrefix(const EngineJob &job);

    EngineModelSettings m_settings;
    std::vector<Active> m_running;
    std::list<Active> m_waiting;
    std::list<CachedPrefix> m_cache; ///< most recently used first
    std::uint32_t m_usedBlocks = 0; ///< by running jobs
    std::uint32_t m_cachedBlocks = 0;
    std::uint32_t m_stolenBlocks = 0;
    double m_slowdown = 1;
    std::uint64_t m_arrivals = 0;
    std::uint64_t m_preemptions = 0;
    std::uint64_t m_prefillTokens = 0;
};

} // namespace zinniadock::standin
