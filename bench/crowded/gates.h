#pragma once

#include <algorithm>
#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

#include "workload.h"
#include "zinniadock/process/admission.h"

namespace zinniadock::crowded
{

/// What a gate says of an offered request.
enum class GateAnswer {
    Start,
    Wait,
    Refuse,
};

/// The memory of one engine as gates see it.
struct EngineMemory
{
    std::uint32_t blocks = 0;
    std::uint32_t blockTokens = 16;
};

constexpr Seconds patience{ 30 }; ///< a caller waits no longer for its first token

/// Converts simulated time for the decision code.
inline DecisionTime decisionTime(Seconds time)
{
    return DecisionTime(std::chrono::hours(1)) + std::chrono::duration_cast<DecisionTime::duration>(time);
}

/// Baseline: everything goes to the engine at once.
class OpenGate
{
public:
    OpenGate(const Workload & /*workload*/, EngineMemory /*memory*/)
    {
    }

    GateAnswer offer(const Arrival & /*arrival*/, Seconds /*now*/)
    {
        ++m_outstanding;
        return GateAnswer::Start;
    }

    std::vector<std::uint64_t> ready(Seconds /*now*/)
    {
        return {};
    }

    std::vector<std::uint64_t> expired(Seconds /*now*/)
    {
        return {};
    }

    void emitted(std::uint64_t /*id*/)
    {
    }

    void ended(std::uint64_t /*id*/, bool /*whole*/, Seconds /*now*/)
    {
        --m_outstanding;
    }

    void report(std::uint32_t /*used*/, std::uint32_t /*total*/, std::uint64_t /*preemptions*/, Seconds /*now*/)
    {
    }

    std::size_t outstanding() const
    {
        return m_outstanding;
    }

private:
    std::size_t m_outstanding = 0;
};

/// First come, first served behind a rule that says whether one more request fits.
/// The rule sees the true length, or the longest possible one.
template <bool Clairvoyant>
class KnownLengthGate
{
public:
    KnownLengthGate(const Workload & /*workload*/, EngineMemory memory)
        : m_memory(memory)
    {
    }

    GateAnswer offer(const Arrival &arrival, Seconds now)
    {
        if (m_waiting.empty() && fits(arrival)) {
            m_running[arrival.id] = { arrival, 0 };
            return GateAnswer::Start;
        }
        m_waiting.push_back({ arrival, now });
        return GateAnswer::Wait;
    }

    std::vector<std::uint64_t> ready(Seconds /*now*/)
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

    std::vector<std::uint64_t> expired(Seconds now)
    {
        std::vector<std::uint64_t> ids;
        while (!m_waiting.empty() && now - m_waiting.front().since > patience) {
            ids.push_back(m_waiting.front().arrival.id);
            m_waiting.pop_front();
        }
        return ids;
    }

    void emitted(std::uint64_t id)
    {
        ++m_running.at(id).emitted;
    }

    void ended(std::uint64_t id, bool /*whole*/, Seconds /*now*/)
    {
        m_running.erase(id);
        std::erase_if(m_waiting, [id](const Waiting &waiting) {
            return waiting.arrival.id == id;
        });
    }

    void report(std::uint32_t /*used*/, std::uint32_t /*total*/, std::uint64_t /*preemptions*/, Seconds /*now*/)
    {
    }

    std::size_t outstanding() const
    {
        return m_running.size() + m_waiting.size();
    }

private:
    struct Running
    {
        Arrival arrival;
        std::uint32_t emitted = 0;
    };

    struct Waiting
    {
        Arrival arrival;
        Seconds since{ 0 };
    };

    double blocks(double tokens) const
    {
        return tokens / m_memory.blockTokens + 1;
    }

    bool fits(const Arrival &candidate) const
    {
        return Clairvoyant ? fitsTrueLengths(candidate) : fitsLongest(candidate);
    }

    bool fitsLongest(const Arrival &candidate) const
    {
        double sum = blocks(candidate.promptTokens + maxOutputTokens);
        for (const auto &[id, running] : m_running) {
            sum += blocks(running.arrival.promptTokens + maxOutputTokens);
        }
        return sum <= m_memory.blocks || m_running.empty();
    }

    // The memory peaks just before some request ends, so only these moments are looked at.
    bool fitsTrueLengths(const Arrival &candidate) const
    {
        std::vector<std::pair<double, double>> left; // steps to the end, tokens held now
        left.emplace_back(candidate.outputTokens, candidate.promptTokens);
        for (const auto &[id, running] : m_running) {
            left.emplace_back(running.arrival.outputTokens - running.emitted,
                              running.arrival.promptTokens + running.emitted);
        }
        std::sort(left.begin(), left.end(), std::greater<>());
        double held = 0;
        for (std::size_t count = 1; count <= left.size(); ++count) {
            held += left[count - 1].second;
            const double steps = left[count - 1].first;
            if (blocks(held + steps * static_cast<double>(count)) + static_cast<double>(count) > m_memory.blocks) {
                return m_running.empty();
            }
        }
        return true;
    }

    EngineMemory m_memory;
    std::unordered_map<std::uint64_t, Running> m_running;
    std::deque<Waiting> m_waiting;
};

using ReservationGate = KnownLengthGate<false>;
using ClairvoyantGate = KnownLengthGate<true>;

/// The decision code of the daemon.
class DaemonGate
{
public:
    DaemonGate(const Workload &workload, EngineMemory memory)
        : m_workload(workload)
        , m_admission({ .totalBlocks = memory.blocks,
                        .blockTokens = memory.blockTokens,
                        .maxRunning = 128,
                        .maxWaiting = 512,
                        .memoryRisk = workload.policy.memoryRisk(),
                        .maxWait = workload.policy.longestWait },
                      400)
    {
    }

    GateAnswer offer(const Arrival &arrival, Seconds now)
    {
        const RequestClass &requestClass = m_workload.classes[arrival.requestClass];
        const AdmissionRequest request{ .key = keyOf(arrival.id),
                                        .account = "account-" + std::to_string(arrival.account),
                                        .route = requestClass.route,
                                        .version = "version",
                                        .promptTokens = arrival.promptTokens,
                                        .priority = requestClass.priority,
                                        .deadline = decisionTime(now + patience) };
        switch (m_admission.offer(request, decisionTime(now)).outcome) {
        case AdmissionOutcome::Admitted:
            return GateAnswer::Start;
        case AdmissionOutcome::Queued:
            return GateAnswer::Wait;
        case AdmissionOutcome::Refused:
            break;
        }
        return GateAnswer::Refuse;
    }

    std::vector<std::uint64_t> ready(Seconds /*now*/)
    {
        return idsOf(m_admission.admitReady());
    }

    std::vector<std::uint64_t> expired(Seconds now)
    {
        std::vector<std::uint64_t> ids;
        for (const DroppedRequest &withdrawal : m_admission.takeDropped(decisionTime(now))) {
            ids.push_back(withdrawal.key.request.low);
        }
        return ids;
    }

    void emitted(std::uint64_t id)
    {
        m_admission.recordToken(keyOf(id));
    }

    void ended(std::uint64_t id, bool whole, Seconds now)
    {
        m_admission.finish(keyOf(id), whole, decisionTime(now));
    }

    void report(std::uint32_t used, std::uint32_t total, std::uint64_t preemptions, Seconds now)
    {
        m_admission.applyEngineReport(used, total, preemptions, decisionTime(now));
    }

    std::size_t outstanding() const
    {
        return m_admission.runningCount() + m_admission.waitingCount();
    }

    const Admission &admission() const
    {
        return m_admission;
    }

private:
    static GenerationKey keyOf(std::uint64_t id)
    {
        return { .request = { .high = 0, .low = id }, .generation = 1 };
    }

    static std::vector<std::uint64_t> idsOf(const std::vector<GenerationKey> &keys)
    {
        std::vector<std::uint64_t> ids;
        for (const GenerationKey &key : keys) {
            ids.push_back(key.request.low);
        }
        return ids;
    }

    const Workload &m_workload;
    Admission m_admission;
};

} // namespace zinniadock::crowded
