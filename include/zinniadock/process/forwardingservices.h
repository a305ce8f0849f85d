#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>

#include "zinniadock/connection/callerbudget.h"
#include "zinniadock/connection/httpclient.h"
#include "zinniadock/process/admission/coldadmission.h"
#include "zinniadock/process/admission/placementqueue.h"
#include "zinniadock/process/admission/promptbudget.h"
#include "zinniadock/process/admission/retryadvice.h"
#include "zinniadock/process/admission/stopadmission.h"
#include "zinniadock/process/crashes/sharedsuspects.h"
#include "zinniadock/process/limits/coldshare.h"
#include "zinniadock/process/limits/retrywindow.h"
#include "zinniadock/process/limits/serverlimiter.h"
#include "zinniadock/process/observing/metrics.h"
#include "zinniadock/process/observing/requestplace.h"
#include "zinniadock/process/placing/generationpace.h"
#include "zinniadock/process/placing/hintedlength.h"
#include "zinniadock/process/placing/placement.h"
#include "zinniadock/process/placing/streammix.h"
#include "zinniadock/process/servers/evacuations.h"
#include "zinniadock/process/servers/serverdirectory.h"
#include "zinniadock/process/settings.h"
#include "zinniadock/process/store/configurationtrust.h"
#include "zinniadock/version/routetable.h"

namespace zinniadock
{

class CrashWatch;
class ForwardContext;
class GenerationForwarder;
class EntryExchange;

/// Counters of a forwarding entry, in addition to EntryMetrics.
struct ForwardingCounters
{
    std::uint64_t movedStreams = 0; ///< moves whose target was asked to continue the stream
    std::uint64_t failedMoves = 0;
    std::uint64_t failedContinuations = 0; ///< stopped generations whose next engine did not continue the stream
    std::uint64_t brokenStreams = 0; ///< generations that failed, also before their first event
    std::uint64_t brokenResponses = 0; ///< responses of servers that ended early, after their head
    std::uint64_t unframedResponses = 0; ///< responses of servers that ended without a stated end, with FIN
    std::uint64_t lateGaps = 0; ///< gaps between events of a stream that exceed the limit of the route
    std::uint64_t waitedGenerations = 0; ///< generations that waited for capacity
    std::uint64_t hopelessGenerations = 0; ///< refused at once, since too many wait ahead of them
    std::uint64_t refusedReservations = 0; ///< admissions refused by a sidecar, and reservations refused by an engine
    std::uint64_t activeRequests = 0; ///< requests in progress
    std::uint64_t quarantinedRequests = 0; ///< requests refused, or not retried, since they may crash servers
    std::uint64_t stopRefusals = 0; ///< requests refused since they might outlast the stop of the process
    std::uint64_t evacuationRefusals = 0; ///< requests refused since all data centres of their pool are evacuated
    std::uint64_t overdueRefusals = 0; ///< requests refused since the configuration may be older than its bound
    std::uint64_t coldRefusals = 0; ///< requests that were not sent since the server is cold
    std::uint64_t gapMoves = 0; ///< moves requested because the engine may not keep the bound on gaps
    std::uint64_t endedRequests = 0; ///< requests that were still in progress when the process ended
    PerPlace<std::uint64_t> leftCallers{}; ///< callers that left before their response was complete, by place
};

/// Settings, routes, known servers and counters that all requests of a forwarding entry share. It exists until
/// the process ends. Not thread-safe: used only on the network thread.
struct ForwardingServices
{
    ForwardingServices(asio::io_context &ioContext, Settings initialSettings);

    /// Returns a random number that is uniformly distributed in [0, 1).
    double randomFraction();

    /// Returns the retry budget of a pool.
    RetryWindow &retryWindow(const std::string &poolName);

    /// Returns the number of entries that share the limits, including this entry.
    std::uint32_t entryCount() const;

    /// Returns the number of entries among which the requests to a cold server are divided. It is not lower than any
    /// number that was known since the start, and not low while the entries are not known.
    std::uint32_t coldDivisor() const;

    /// Returns whether a request may be sent to a server, as far as the server is cold. A sidecar that responds decides
    /// for its engine.
    bool maySendCold(const ServerRecord &server, const ServerPool &serverPool, SteadyTime now);

    /// Returns whether this entry's own share allows a request to a cold server whose sidecar does not decide.
    bool hasColdShare(const TrackedServer &server, const ServerPool &serverPool, SteadyTime now) const;

    /// Records that a request is sent to a server whose sidecar does not decide. Does nothing if it is not cold.
    void recordColdSent(const ServerRecord &server, const ServerPool &serverPool, SteadyTime now);

    /// Returns what a sidecar is told of the cold time of its engine.
    ColdState coldStateOf(const TrackedServer &server, SteadyTime now) const;

    asio::io_context &context;
    Settings settings;
    const std::shared_ptr<CallerBudget> callerBudget;
    ConnectionPool pool; ///< for requests to backend servers, and for calls to the system's own processes and the store
    /// For calls of this entry to backend servers. Responses to them have no ID, so that a second copy of one could be
    /// taken for the response to a request on the same connection.
    ConnectionPool controlPool;
    std::shared_ptr<const RouteTable> routes; ///< null before the first configuration
    ServerDirectory directory;
    Evacuations evacuations;
    EntryTree entryTree;
    ServerLimiter serverLimiter;
    SharedSuspects suspects;
    ColdShare coldShare;
    std::uint32_t maxKnownEntries = 0; ///< highest number of entries that was known; 0 before the first list
    std::shared_ptr<EntryExchange> entryExchange; ///< null before the entry starts
    std::shared_ptr<CrashWatch> crashWatch; ///< null before the entry starts
    /// Called at the start of each forwarded request, before its configuration is chosen. Waits only if the
    /// configuration is overdue. Returns how far the request may rely on it.
    std::function<Awaitable<ConfigurationTrust>()> confirmConfiguration;
    /// Returns the time since the store last confirmed the configuration; nothing before the first confirmation.
    std::function<std::optional<std::chrono::milliseconds>()> configurationAge;
    AsyncCondition capacityChanged; ///< notified when a server may have gained free capacity
    EntryMetrics metrics;
    ForwardingCounters counters;
    std::map<std::string, RetryWindow> retryWindows; ///< by pool
    std::map<std::string, HintedLengthModel> outputLengths; ///< by route
    std::set<std::string> peerAddresses; ///< addresses on which the other entries listen for entries
    std::map<std::string, std::set<GenerationForwarder *>> activeGenerations; ///< by server ID
    std::map<std::string, GenerationPace> paces; ///< by pool
    std::map<std::string, PromptBudget> promptBudgets; ///< by pool
    std::map<std::string, PlacementQueue> placementQueues; ///< by pool
    std::map<std::string, RetryAdvice> retryAdvice; ///< by pool
    std::map<std::string, std::uint64_t> refusedAdmissions; ///< refusals of sidecars, by reason
    std::map<std::string, StreamMix> streamMixes; ///< by pool
    std::set<ForwardContext *> activeContexts; ///< requests in progress that were admitted
    StopAdmission stop;

private:
    std::minstd_rand m_random;
};

} // namespace zinniadock
