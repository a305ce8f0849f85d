#pragma once

#include <algorithm>
#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

#include "workload.h"
#include "zinniadock/process/admission/admission.h"

namespace zinniadock::crowded
{

/// Decision of an engine's admission control on a submitted request.
enum class StartDecision {
    Start, ///< the engine starts the request now
    Wait, ///< the admission control queues the request
    Refuse, ///< the request goes to another server or fails
};

/// Memory of one engine, in blocks of tokens.
struct EngineMemory
{
    std::uint32_t blocks = 0;
    std::uint32_t blockTokens = 16;
};

constexpr Seconds maxFirstTokenWait{ 30 }; ///< maximum time that a caller waits for its first token

/// Converts simulated time to the time type of the daemon's decision code.
inline DecisionTime toDecisionTime(Seconds time)
{
    return DecisionTime(std::chrono::hours(1)) + std::chrono::duration_cast<DecisionTime::duration>(time);
}

/// Baseline without admission control: the engine starts each request immediately.
class NoAdmissionControl
{
public:
    NoAdmissionControl(const Workload & /*workload*/, EngineMemory /*memory*/)
    {
    }

    StartDecision submit(const Arrival & /*arrival*/, Seconds /*now*/)
    {
        ++m_outstanding;
        return StartDecision::Start;
    }

    std::vector<std::uint64_t> admitReady(Seconds /*now*/)
    {
        return {};
    }

    std::vector<std::uint64_t> takeExpired(Seconds /*now*/)
    {
        return {};
    }

    void recordToken(std::uint64_t /*id*/)
    {
    }

    void finish(std::uint64_t /*id*/, bool /*isComplete*/, Seconds /*now*/)
    {
        --m_outstanding;
    }

    void applyEngineReport(std::uint32_t /*used*/, std::uint32_t /*total*/, std::uint64_t /*preemptions*/,
                           Seconds /*now*/)
    {
    }

    std::size_t outstandingCount() const
    {
        return m_outstanding;
    }

private:
    std::size_t m_outstanding = 0;
};

/// Baseline that starts requests in order of arrival while the engine's memory is sufficient for all running requests.
///
/// The memory check uses the true output length if \p KnowsOutputLength is set, and the maximum output length
/// otherwise. An idle engine starts a request of any length.
template <bool KnowsOutputLength>
class FifoAdmissionControl
{
public:
    FifoAdmissionControl(const Workload & /*workload*/, EngineMemory memory)
        : m_memory(memory)
    {
    }

    StartDecision submit(const Arrival &arrival, Seconds now)
    {
        if (m_waiting.empty() && fits(arrival)) {
            m_running[arrival.id] = { arrival, 0 };
            return StartDecision::Start;
        }
        m_waiting.push_back({ arrival, now });
        return StartDecision::Wait;
    }

    std::vector<std::uint64_t> admitReady(Seconds /*now*/)
    {
        std::vector<std::uint64_t> started;
        while (!m_waiting.empty() && fits(m_waiting.front().arrival)) {
            const Arrival arrival = m_waiting.front().arrival;
            m_waiting.pop_front();
            m_running[arrival.id] = { arrival, 0 };
            started.push_back(arrival.id);
        }
        return started;
    }

    std::vector<std::uint64_t> takeExpired(Seconds now)
    {
        std::vector<std::uint64_t> ids;
        while (!m_waiting.empty() && now - m_waiting.front().enqueueTime > maxFirstTokenWait) {
            ids.push_back(m_waiting.front().arrival.id);
            m_waiting.pop_front();
        }
        return ids;
    }

    void recordToken(std::uint64_t id)
    {
        ++m_running.at(id).emittedTokens;
    }

    void finish(std::uint64_t id, bool /*isComplete*/, Seconds /*now*/)
    {
        m_running.erase(id);
        std::erase_if(m_waiting, [id](const WaitingRequest &waiting) {
            return waiting.arrival.id == id;
        });
    }

    void applyEngineReport(std::uint32_t /*used*/, std::uint32_t /*total*/, std::uint64_t /*preemptions*/,
                           Seconds /*now*/)
    {
    }

    std::size_t outstandingCount() const
    {
        return m_running.size() + m_waiting.size();
    }

private:
    struct RunningRequest
    {
        Arrival arrival;
        std::uint32_t emittedTokens = 0;
    };

    struct WaitingRequest
    {
        Arrival arrival;
        Seconds enqueueTime{ 0 };
    };

    double blocksFor(double tokens) const
    {
        return tokens / m_memory.blockTokens + 1;
    }

    bool fits(const Arrival &candidate) const
    {
        return KnowsOutputLength ? fitsWithTrueOutput(candidate) : fitsWithMaxOutput(candidate);
    }

    bool fitsWithMaxOutput(const Arrival &candidate) const
    {
        double totalBlocksNeeded = blocksFor(candidate.promptTokens + maxOutputTokens);
        for (const auto &[id, running] : m_running) {
            totalBlocksNeeded += blocksFor(running.arrival.promptTokens + maxOutputTokens);
        }
        return totalBlocksNeeded <= m_memory.blocks || m_running.empty();
    }

    // The memory use peaks immediately before a request ends, so the check only evaluates these moments.
    bool fitsWithTrueOutput(const Arrival &candidate) const
    {
        std::vector<std::pair<double, double>> remaining; // decoding steps left, tokens in memory now
        remaining.emplace_back(candidate.outputTokens, candidate.promptTokens);
        for (const auto &[id, running] : m_running) {
            remaining.emplace_back(running.arrival.outputTokens - running.emittedTokens,
                                   running.arrival.promptTokens + running.emittedTokens);
        }
        std::sort(remaining.begin(), remaining.end(), std::greater<>());
        double heldTokens = 0;
        for (std::size_t count = 1; count <= remaining.size(); ++count) {
            heldTokens += remaining[count - 1].second;
            const double steps = remaining[count - 1].first;
            if (blocksFor(heldTokens + steps * static_cast<double>(count)) + static_cast<double>(count)
                > m_memory.blocks) {
                return m_running.empty();
            }
        }
        return true;
    }

    EngineMemory m_memory;
    std::unordered_map<std::uint64_t, RunningRequest> m_running;
    std::deque<WaitingRequest> m_waiting;
};

using ReservationAdmissionControl = FifoAdmissionControl<false>;
using ClairvoyantAdmissionControl = FifoAdmissionControl<true>;

/// The admission control of the daemon.
class DaemonAdmissionControl
{
public:
    DaemonAdmissionControl(const Workload &workload, EngineMemory memory)
        : m_workload(workload)
        , m_admission({ .totalBlocks = memory.blocks,
                        .blockTokens = memory.blockTokens,
                        .maxRunning = 128,
                        .maxWaiting = 512,
                        .memoryRisk = workload.policy.memoryRisk(),
                        .maxWait = workload.policy.maxWait },
                      expectedOutputTokens)
    {
    }

    StartDecision submit(const Arrival &arrival, Seconds now)
    {
        const RequestClass &requestClass = m_workload.classes[arrival.requestClass];
        const AdmissionRequest request{ .key = generationKey(arrival.id),
                                        .account = "account-" + std::to_string(arrival.account),
                                        .route = requestClass.route,
                                        .version = "version",
                                        .promptTokens = arrival.promptTokens,
                                        .priority = requestClass.priority,
                                        .deadline = toDecisionTime(now + maxFirstTokenWait) };
        switch (m_admission.submit(request, toDecisionTime(now)).outcome) {
        case AdmissionOutcome::Admitted:
            return StartDecision::Start;
        case AdmissionOutcome::Queued:
            return StartDecision::Wait;
        case AdmissionOutcome::Refused:
            break;
        }
        return StartDecision::Refuse;
    }

    std::vector<std::uint64_t> admitReady(Seconds /*now*/)
    {
        return requestIds(m_admission.admitReady());
    }

    std::vector<std::uint64_t> takeExpired(Seconds now)
    {
        std::vector<std::uint64_t> ids;
        for (const DroppedRequest &dropped : m_admission.takeDropped(toDecisionTime(now))) {
            ids.push_back(dropped.key.request.low);
        }
        return ids;
    }

    void recordToken(std::uint64_t id)
    {
        m_admission.recordToken(generationKey(id));
    }

    void finish(std::uint64_t id, bool isComplete, Seconds now)
    {
        m_admission.finish(generationKey(id), isComplete, toDecisionTime(now));
    }

    void applyEngineReport(std::uint32_t used, std::uint32_t total, std::uint64_t preemptions, Seconds now)
    {
        m_admission.applyEngineReport(used, total, preemptions, toDecisionTime(now));
    }

    std::size_t outstandingCount() const
    {
        return m_admission.runningCount() + m_admission.waitingCount();
    }

    const Admission &admission() const
    {
        return m_admission;
    }

private:
    static GenerationKey generationKey(std::uint64_t id)
    {
        return { .request = { .high = 0, .low = id }, .generation = 1 };
    }

    static std::vector<std::uint64_t> requestIds(const std::vector<GenerationKey> &keys)
    {
        std::vector<std::uint64_t> ids;
        for (const GenerationKey &key : keys) {
            ids.push_back(key.request.low);
        }
        return ids;
    }

    static constexpr double expectedOutputTokens = 400; ///< mean of the prior distribution of output lengths

    const Workload &m_workload;
    Admission m_admission;
};

} // namespace zinniadock::crowded
