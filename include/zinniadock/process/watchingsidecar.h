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
#include "zinniadock/process/preemptionwatch.h"
#include "zinniadock/process/settings.h"
#include "zinniadock/process/sidecarmessages.h"

namespace zinniadock
{

/// The process beside an engine that entries call directly: reads the engine's report where it is fresh, tells all
/// entries of it, admits their work to the engine, and moves runs away one after another when the engine leaves.
class EngineSidecar
{
public:
    EngineSidecar(asio::io_context &context, Settings settings);

    std::error_code start();

    /// Returns the port that entries connect to.
    std::uint16_t port() const;

    /// Says whether no move waits or is in progress.
    bool isIdle() const;

    void drain(std::chrono::milliseconds timeLimit);
    void closeIdleConnections();

    /// Takes settings that have changed; a sidecar has none that may.
    void reload(const Settings &settings);
    void stop();

private:
    /// A move that waits for its turn.
    struct PendingMove
    {
        MoveOrder order;
        MoveResult result;
        bool done = false;
    };

    Awaitable<void> readReports();
    Awaitable<void> runMoves();
    Awaitable<void> announceEngine();
    Awaitable<void> answer(std::shared_ptr<HttpConnection> connection, HttpRequest request);
    Awaitable<void> answerLoad(std::shared_ptr<HttpConnection> connection, EngineLoadQuery query);
    Awaitable<void> answerAdmission(std::shared_ptr<HttpConnection> connection, AdmissionQuery query);
    Awaitable<void> answerMove(std::shared_ptr<HttpConnection> connection, MoveOrder order);
    Awaitable<void> answerMetrics(std::shared_ptr<HttpConnection> connection, HttpRequest request);
    void applyLoad(EngineLoad load);
    std::vector<std::string> activePeers();
    std::chrono::milliseconds timeLeft() const;
    std::shared_ptr<PendingMove> nextMove() const;

    const Settings m_settings;
    asio::io_context &m_context;
    ConnectionPool m_pool;
    std::shared_ptr<HttpListener> m_listener;
    std::shared_ptr<HttpListener> m_metricsListener;
    EngineLoad m_load;
    std::chrono::steady_clock::time_point m_loadReadAt;
    std::optional<std::chrono::steady_clock::time_point> m_firstMoveOrderAt; ///< entries may know first that it leaves
    std::uint64_t m_reportNumber = 0; ///< of the current report; 0 before the first
    std::uint64_t m_firstLeavingReport = 0;
    bool m_isEngineReachable = false;
    AsyncCondition m_loadChanged;
    AsyncCondition m_moveChanged;
    std::vector<std::shared_ptr<PendingMove>> m_pendingMoves; ///< that wait for their turn
    bool m_isMoving = false; ///< a move is in progress
    std::map<std::string, std::chrono::steady_clock::time_point> m_lastQueryByPeer; ///< entries by when they last asked
    EngineAdmission m_admission;
    PreemptionWatch m_preemptionWatch;
    std::uint64_t m_preemptions = 0;
    std::uint64_t m_movesDone = 0;
    std::uint64_t m_movesFailed = 0;
    bool m_stopped = false;
};

} // namespace zinniadock
