#pragma once

#include <chrono>
#include <deque>
#include <map>
#include <memory>
#include <string>
#include <system_error>
#include <vector>

#include "zinniadock/connection/httpclient.h"
#include "zinniadock/connection/httplistener.h"
#include "zinniadock/process/admission/preemptionwatch.h"
#include "zinniadock/process/admission/stopadmission.h"
#include "zinniadock/process/limits/serverlimit.h"
#include "zinniadock/process/links/sidecarmessages.h"
#include "zinniadock/process/servers/enginespeed.h"
#include "zinniadock/process/settings.h"

namespace zinniadock
{

/// The sidecar process of an engine that entries call directly. Polls the load report of the engine and sends it to the
/// entries that query it. Decides on the admission of their work to the engine. When the engine is draining, moves its
/// generations to other engines, one at a time.
///
/// The sidecar runs on the host of the engine, so its polls have little delay.
class EngineSidecar
{
public:
    EngineSidecar(asio::io_context &context, Settings settings);

    std::error_code start();

    /// Returns the port that entries connect to.
    std::uint16_t port() const;

    /// Returns whether no move and no admission is in progress.
    bool isIdle() const;

    /// Does nothing: all that a sidecar knows is known at its engine.
    Awaitable<void> handOver();

    /// Refuses moves that may take longer than the process runs, and load queries.
    /// \param timeLimit  time until the process ends
    void drain(std::chrono::milliseconds timeLimit);

    /// Responds to the pending moves, so that their entries move the generations themselves.
    void endRequests();
    void closeIdleConnections();
    void stopAccepting();

    /// Does nothing, as a sidecar has no settings that may change at run time.
    void reload(const Settings &settings);
    void stop();

private:
    /// A MoveOrder, and its result as soon as the move has ended.
    struct PendingMove
    {
        MoveOrder order;
        MoveResult result;
        std::shared_ptr<HttpConnection> connection; ///< of the entry; it closes it when the caller of the stream leaves
        bool done = false;
    };

    Awaitable<void> readReports();
    Awaitable<void> runMoves();
    Awaitable<void> announceEngine();
    Awaitable<void> handleRequest(std::shared_ptr<HttpConnection> connection, HttpRequest request);
    Awaitable<void> handleLoadQuery(std::shared_ptr<HttpConnection> connection, EngineLoadQuery query);
    Awaitable<void> handleAdmissionQuery(std::shared_ptr<HttpConnection> connection, AdmissionQuery query);
    Awaitable<void> handleMoveOrder(std::shared_ptr<HttpConnection> connection, MoveOrder order);
    Awaitable<void> handleMetricsRequest(std::shared_ptr<HttpConnection> connection, HttpRequest request);
    void applyLoad(EngineLoad load);
    void logSpeed();
    ServerIncarnation engineIncarnation() const;
    void observeEngineLimit(const ResponseHead &head, const std::string &source);
    void observeColdTime(const ResponseHead &head);
    std::chrono::milliseconds pauseBetweenReports() const;
    std::vector<std::string> activePeers();
    std::chrono::milliseconds timeLeft() const;
    std::chrono::milliseconds longestTimeOf(const MoveOrder &order) const;
    std::shared_ptr<PendingMove> nextMove() const;

    const Settings m_settings;
    asio::io_context &m_context;
    const std::shared_ptr<CallerBudget> m_callerBudget; ///< for what entries and the platform send
    ConnectionPool m_pool; ///< for load reports of the engine, and for calls to the system's own processes
    ConnectionPool m_reservationPool; ///< for reservations, whose responses have no ID
    std::shared_ptr<HttpListener> m_listener;
    std::shared_ptr<HttpListener> m_metricsListener;
    EngineLoad m_load;
    std::chrono::steady_clock::time_point m_loadReadAt;
    /// Time of the first MoveOrder. An entry may send one before the engine reports that it is draining.
    std::optional<std::chrono::steady_clock::time_point> m_firstMoveOrderAt;
    std::uint64_t m_reportNumber = 0; ///< of the current report; 0 before the first report
    std::uint64_t m_firstDrainingReport = 0;
    bool m_isEngineReachable = false;
    AsyncCondition m_loadChanged;
    AsyncCondition m_moveChanged;
    std::vector<std::shared_ptr<PendingMove>> m_pendingMoves; ///< not started yet
    std::shared_ptr<PendingMove> m_moveInProgress; ///< null if there is none
    std::uint32_t m_requestsInProgress = 0; ///< admission queries and move orders
    StopAdmission m_stop;
    std::map<std::string, std::chrono::steady_clock::time_point> m_lastQueryByPeer; ///< by peer address of the entry
    EngineAdmission m_admission;
    KnownLimits m_limits; ///< of the engine
    PreemptionWatch m_preemptionWatch;
    EngineSpeed m_speed;
    std::chrono::microseconds m_loggedEventTime{ 0 };
    std::chrono::steady_clock::time_point m_speedLoggedAt;
    std::uint64_t m_preemptions = 0;
    std::uint64_t m_movesDone = 0;
    std::uint64_t m_movesFailed = 0;
    bool m_stopped = false;
};

} // namespace zinniadock
