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

#include "zinniadock/process/admission/memoryforecast.h"
#include "zinniadock/process/placing/lengthstatistics.h"
#include "zinniadock/request/error.h"
#include "zinniadock/request/requestid.h"

namespace zinniadock
{

/// A point in time that is passed to the decision code, which reads no clock itself.
using DecisionTime = std::chrono::steady_clock::time_point;

/// Capacity of one engine, and the accepted risk of exceeding its memory.
struct EngineLimits
{
    std::uint32_t totalBlocks = 0; ///< size of the KV cache, in blocks
    std::uint32_t blockTokens = 16; ///< tokens per block
    std::uint32_t maxRunning = 256;
    std::uint32_t maxWaiting = 512;
    double memoryRisk = 0.25; ///< upper bound of the probability that the memory is exceeded
    std::chrono::milliseconds maxWait{ 2000 }; ///< a request with a longer expected wait is refused
};

/// A request that is submitted for admission.
struct AdmissionRequest
{
    GenerationKey key;
    std::string account;
    std::string route;
    std::string version;
    std::uint32_t promptTokens = 0;
    std::uint32_t maxTokens = 0; ///< 0 if the caller set no limit
    std::uint32_t priority = 0;
    double share = 1; ///< weight of the account in fair queuing
    DecisionTime deadline; ///< latest time at which the request may start
};

/// Result of submitting a request.
enum class AdmissionOutcome {
    Admitted, ///< the request starts now
    Queued, ///< a later call of admitReady(), takeDropped() or close() returns the request
    Refused, ///< the request must not run
};

struct AdmissionDecision
{
    AdmissionOutcome outcome = AdmissionOutcome::Refused;
    RequestError reason = RequestError::QueueFull; ///< valid if refused
    std::chrono::milliseconds retryAfter{ 0 }; ///< valid if refused
    std::string explanation;
};

/// A waiting request that was removed from the queue and must not run.
struct DroppedRequest
{
    GenerationKey key;
    RequestError reason = RequestError::DeadlineExceeded;
    std::chrono::milliseconds retryAfter{ 0 };
};

/// Decides which requests run on one engine while their output lengths are unknown.
///
/// The decisions depend only on the calls made: the class reads no clock and holds no socket. Not thread-safe.
class Admission
{
public:
    Admission(EngineLimits limits, double expectedTokens);

    /// Admits, queues or refuses a new request. Complexity: linear in the running and waiting requests and in the
    /// accounts. The memory forecast is recomputed only for running requests that have grown.
    AdmissionDecision submit(const AdmissionRequest &request, DecisionTime now);

    /// Starts the waiting requests that fit now, and returns them in the order of their start.
    std::vector<GenerationKey> admitReady();

    /// Removes the waiting requests whose deadline has passed or that have waited for twice the maximum wait. Returns
    /// them together with the requests that submit() has displaced from the queue since the last call.
    std::vector<DroppedRequest> takeDropped(DecisionTime now);

    /// Records one emitted token of a running request. Complexity: constant.
    void recordToken(const GenerationKey &key);

    /// Removes a running or waiting request.
    /// \param isComplete  whether the engine completed the output; only then its length is recorded
    void finish(const GenerationKey &key, bool isComplete, DecisionTime now);

    /// Applies a report of the engine, which may be stale: blocks in use and in total, and preemptions since the start
    /// of the engine.
    void applyEngineReport(std::uint32_t usedBlocks, std::uint32_t totalBlocks, std::uint64_t preemptions,
                           DecisionTime now);

    /// Registers a request that was found running on the engine after a restart of the sidecar. It counts as admitted.
    void adopt(const AdmissionRequest &request, std::uint32_t emittedTokens);

    /// Removes and returns the waiting requests. Refuses every later request.
    std::vector<GenerationKey> close();

    void setLimits(const EngineLimits &limits);

    std::uint32_t runningCount() const;
    std::uint32_t waitingCount() const;

    /// Returns the number of blocks that running requests hold, computed from the tokens recorded here.
    std::uint32_t committedBlocks() const;

    /// Returns the number of blocks that requests of this sidecar may use.
    double usableBlocks() const;

    /// Returns the estimated wait of a request that is queued now.
    std::chrono::milliseconds expectedWait() const;

    /// Returns the number of preemptions that the engine reported.
    std::uint64_t preemptions() const;

private:
    struct RunningRequest
    {
        AdmissionRequest request;
        std::uint32_t emitted = 0;
        MemoryForecast::Contribution contribution;
    };

    struct WaitingRequest
    {
        AdmissionRequest request;
        DecisionTime queuedAt;
    };

    struct AccountState
    {
        double served = 0; ///< tokens served divided by the share: the virtual time of the account in fair queuing
        std::uint32_t activeRequests = 0;
    };

    struct BlockCountSample
    {
        DecisionTime time;
        std::uint32_t blocks = 0;
    };

    bool fits(const AdmissionRequest &candidate);
    void start(const AdmissionRequest &request, std::uint32_t emitted);
    MemoryForecast::Contribution contributionOf(const AdmissionRequest &request, std::uint32_t emitted,
                                                const std::shared_ptr<LengthClass> &lengthClass) const;
    bool precedes(const AdmissionRequest &first, const AdmissionRequest &second) const;
    std::size_t nextWaitingIndex() const;
    std::size_t lastWaitingIndex() const;
    std::size_t waitingAheadOf(const AdmissionRequest &request) const;
    void displace(std::size_t index);
    void addActiveRequest(const std::string &account);
    void removeActiveRequest(const std::string &account);
    std::chrono::milliseconds estimatedWait(std::size_t requestsAhead) const;

    EngineLimits m_limits;
    double m_riskQuantile;
    LengthStatistics m_lengths;
    MemoryForecast m_forecast;
    std::unordered_map<GenerationKey, RunningRequest> m_running;
    std::deque<WaitingRequest> m_waiting;
    std::vector<DroppedRequest> m_displaced; ///< not yet returned by takeDropped()
    std::map<std::string, AccountState> m_accounts;
    std::deque<BlockCountSample> m_blockCounts;
    std::uint64_t m_committedTokens = 0;
    double m_externalBlocks = 0; ///< lower bound of the blocks in use by requests that this sidecar did not admit
    double m_headroom = 0; ///< fraction of the memory kept free after preemptions
    std::optional<std::uint64_t> m_preemptionBaseline;
    std::uint64_t m_preemptions = 0;
    std::optional<DecisionTime> m_lastFinishTime;
    double m_meanFinishInterval = 0; ///< moving average of the seconds between two finished requests
    double m_virtualTime = 0;
    bool m_closed = false;
};

} // namespace zinniadock
