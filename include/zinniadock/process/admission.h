#pragma once

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "zinniadock/process/lengthstatistics.h"
#include "zinniadock/process/memoryforecast.h"
#include "zinniadock/request/error.h"
#include "zinniadock/request/requestid.h"

namespace zinniadock
{

/// A point in time of the decision code, which has no clock of its own.
using DecisionTime = std::chrono::steady_clock::time_point;

/// What one engine can hold, and how much risk of outgrowing it is taken.
struct EngineLimits
{
    std::uint32_t totalBlocks = 0; ///< key-value memory, in blocks
    std::uint32_t blockTokens = 16; ///< tokens per block
    std::uint32_t maxRunning = 256;
    std::uint32_t maxWaiting = 512;
    double memoryRisk = 0.25; ///< bound on the probability of outgrowing the memory
    std::chrono::milliseconds maxWait{ 2000 }; ///< a request that would wait longer is refused
};

/// A request that asks to be admitted.
struct AdmissionRequest
{
    GenerationKey key;
    std::string account;
    std::string route;
    std::string version;
    std::uint32_t promptTokens = 0;
    std::uint32_t maxTokens = 0; ///< 0 where the caller set none
    std::uint32_t priority = 0;
    double share = 1;
    DecisionTime deadline; ///< latest start
};

/// What becomes of an offered request.
enum class AdmissionOutcome {
    Admitted, ///< start it now
    Queued, ///< a later call of admitReady() or expire() returns it
    Refused, ///< it must not run
};

struct AdmissionDecision
{
    AdmissionOutcome outcome = AdmissionOutcome::Refused;
    RequestError reason = RequestError::QueueFull; ///< of a refusal
    std::chrono::milliseconds retryAfter{ 0 }; ///< of a refusal
    std::string explanation;
};

/// A request that waited and must not run any more.
struct DroppedRequest
{
    GenerationKey key;
    RequestError reason = RequestError::DeadlineExceeded;
    std::chrono::milliseconds retryAfter{ 0 };
};

/// Decides which requests run on one engine, on unknown output lengths.
///
/// A pure function of what it was told: it reads no clock, holds no socket and is not thread-safe.
class Admission
{
public:
    Admission(EngineLimits limits, double expectedTokens);

    /// Decides on a new request. Complexity: constant for requests that have not grown since the last decision.
    AdmissionDecision offer(const AdmissionRequest &request, DecisionTime now);

    /// Returns the waiting requests that may start now, in order.
    std::vector<GenerationKey> admitReady();

    /// Returns the requests that wait no more: their deadline has passed, or a later one took their place.
    std::vector<DroppedRequest> takeDropped(DecisionTime now);

    /// Counts one emitted token of a running request. Complexity: constant.
    void recordToken(const GenerationKey &key);

    /// Ends a running or waiting request.
    /// \param whole  the output ended by itself, so that its length counts
    void finish(const GenerationKey &key, bool whole, DecisionTime now);

    /// Takes a late report of the engine: blocks in use and in total, and preemptions since its start.
    void applyEngineReport(std::uint32_t usedBlocks, std::uint32_t totalBlocks, std::uint64_t preemptions,
                           DecisionTime now);

    /// Adopts a request that already runs, found on the engine after a restart of the sidecar.
    void adopt(const AdmissionRequest &request, std::uint32_t emittedTokens);

    /// Refuses every request from now on; waiting ones are returned and removed.
    std::vector<GenerationKey> close();

    void setLimits(const EngineLimits &limits);

    std::uint32_t runningCount() const;
    std::uint32_t waitingCount() const;

    /// Returns the blocks that running requests hold, from the tokens counted here.
    std::uint32_t committedBlocks() const;

    /// Returns the blocks that requests of this sidecar may use.
    double usableBlocks() const;

    /// Estimates how long a request that was queued now would wait.
    std::chrono::milliseconds expectedWait() const;

    /// Returns the number of preemptions that the engine reported.
    std::uint64_t preemptions() const;

private:
    struct Running
    {
        AdmissionRequest request;
        std::uint32_t emitted = 0;
        MemoryForecast::Part part;
    };

    struct Waiting
    {
        AdmissionRequest request;
        DecisionTime since;
    };

    struct AccountState
    {
        double served = 0; ///< tokens served over the share, the virtual time of fair queuing
        std::uint32_t active = 0;
    };

    struct CountSample
    {
        DecisionTime time;
        std::uint32_t blocks = 0;
    };

    bool fits(const AdmissionRequest &candidate);
    void start(const AdmissionRequest &request, std::uint32_t emitted);
    MemoryForecast::Part partOf(const AdmissionRequest &request, std::uint32_t emitted,
                                const std::shared_ptr<LengthClass> &lengthClass) const;
    bool goesBefore(const AdmissionRequest &first, const AdmissionRequest &second) const;
    std::size_t nextWaiting() const;
    std::size_t lastWaiting() const;
    std::size_t waitingBefore(const AdmissionRequest &request) const;
    void displace(std::size_t index);
    void join(const std::string &account);
    void leave(const std::string &account);
    std::chrono::milliseconds waitOf(std::size_t requestsAhead) const;

    EngineLimits m_limits;
    double m_riskQuantile;
    LengthStatistics m_lengths;
    MemoryForecast m_forecast;
    std::unordered_map<GenerationKey, Running> m_running;
    std::deque<Waiting> m_waiting;
    std::vector<DroppedRequest> m_displaced; ///< not yet returned by withdraw()
    std::map<std::string, AccountState> m_accounts;
    std::deque<CountSample> m_counts;
    std::uint64_t m_committedTokens = 0;
    double m_foreignBlocks = 0; ///< memory in use by others than this sidecar's requests
    double m_headroom = 0; ///< fraction of the memory kept free after preemptions
    std::optional<std::uint64_t> m_preemptionsAtStart;
    std::uint64_t m_preemptions = 0;
    std::optional<DecisionTime> m_lastEnd;
    double m_endInterval = 0; ///< mean seconds between ends of running requests
    double m_virtualTime = 0;
    bool m_closed = false;
};

} // namespace zinniadock
