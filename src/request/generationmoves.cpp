#include "zinniadock/request/generationforward.h"

#include <algorithm>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include "zinniadock/process/moving/runmover.h"
#include "zinniadock/request/engineprobe.h"

namespace zinniadock
{

namespace
{

constexpr std::size_t maxMoveTargets = 6;
constexpr std::size_t probesPerMove = 12;

/// Delay after a failed move before the next move request.
constexpr std::chrono::milliseconds moveRetryDelay{ 150 };

/// Share of a target's memory that a moved generation and its remaining output may fill. All memory is allowed, since
/// the generation is lost if no target admits it.
constexpr double targetMemoryShare = 1.0;

/// The same for a generation that may also stay where it is. The rest absorbs outputs longer than expected.
constexpr double gapTargetMemoryShare = 0.88;

/// Maximum wait for the result of a move after the stream has ended.
constexpr std::chrono::milliseconds moveResultTimeout{ 2500 };

/// Timeout of a move request to a sidecar, including the time that it is queued behind other moves.
constexpr std::chrono::milliseconds moveTimeout{ 5000 };

/// Returns the time to copy a generation's KV cache over an idle link inside a data centre.
std::chrono::milliseconds estimateCopyTime(double tokens, const EngineCapacity &limits)
{
    constexpr double bitsPerByte = 8;
    const double bits = tokens * limits.bytesPerToken * bitsPerByte;
    const double bitsPerMillisecond = std::max(limits.linkMegabitsPerSecond, 1.0) * 1000;
    return std::chrono::milliseconds(static_cast<std::int64_t>(bits / bitsPerMillisecond));
}

std::vector<Endpoint> addressesOf(const ServerDirectory &directory, const std::vector<std::string> &servers)
{
    std::vector<Endpoint> addresses;
    for (const std::string &server : servers) {
        addresses.push_back(directory.servers().at(server).record.address);
    }
    return addresses;
}

std::optional<std::string> findByAddress(const ServerDirectory &directory, const Endpoint &address)
{
    for (const auto &[id, server] : directory.servers()) {
        if (server.record.address == address && !server.unlistedSince) {
            return id;
        }
    }
    return std::nullopt;
}

} // namespace

void GenerationForwarder::handleServerDraining()
{
    m_engineDraining = true;
    const bool started = m_headSent || m_lastEventAt != SteadyTime();
    const bool isTooEarly = std::chrono::steady_clock::now() < m_nextMoveAt;
    if (m_server.empty() || !started || isTooEarly || m_moveState != MoveState::None
        || !m_context->pool.engine->supportsMoves) {
        return;
    }
    startMove(MoveCause::Draining);
}

void GenerationForwarder::startMove(MoveCause cause)
{
    m_moveState = MoveState::Requested;
    m_moveCause = cause;
    const auto self = shared_from_this();
    asio::co_spawn(
        m_services.context,
        [self]() {
            return self->requestMove(self->m_server);
        },
        asio::detached);
}

void notifyServerDraining(ForwardingServices &services, const std::string &server)
{
    const auto found = services.activeGenerations.find(server);
    if (found == services.activeGenerations.end()) {
        return;
    }
    const std::set<GenerationForwarder *> running = found->second;
    for (GenerationForwarder *generation : running) {
        generation->handleServerDraining();
    }
}

MoveOrder GenerationForwarder::moveOrder(const TrackedServer &source) const
{
    const EngineCapacity &limits = *m_context->pool.engine;
    const double tokens = m_context->fields.promptTokens + static_cast<double>(limits.tokensPerEvent * m_eventCount);
    MoveOrder order;
    order.request = m_context->fields.requestId;
    order.priority = std::max(0.0, m_expectedTokens - tokens);
    order.estimatedCopyTime = estimateCopyTime(tokens, limits);
    order.admission = admissionQuery();
    order.admission.heldTokens = static_cast<std::uint32_t>(tokens);
    order.admission.usableFraction = targetMemoryShare;
    if (m_moveCause == MoveCause::Gaps) {
        order.sourceStays = true;
        order.priority = 0;
        order.admission.usableFraction = gapTargetMemoryShare;
        order.targets = addressesOf(m_services.directory, gapMoveTargets(source));
        return order;
    }
    PlacementRequest need = placementRequest();
    need.dataCentre = source.record.dataCentre;
    const RandomSource draw = [this] {
        return m_services.randomFraction();
    };
    const auto now = std::chrono::steady_clock::now();
    need.maxLoadAge = usesLoadProbing(m_services) ? std::optional(maxProbedLoadAge) : std::nullopt;
    std::vector<std::string> targets
        = moveTargets(m_services.directory, need, limits, source.record.id, maxMoveTargets, now, draw);
    if (targets.empty()) {
        // The generation is lost if it is not moved. Its request is deducted from later permits.
        need.maySend = nullptr;
        targets = moveTargets(m_services.directory, need, limits, source.record.id, maxMoveTargets, now, draw);
    }
    order.targets = addressesOf(m_services.directory, targets);
    return order;
}

Awaitable<void> GenerationForwarder::requestMove(std::string server)
{
    const auto self = shared_from_this();
    if (usesLoadProbing(m_services)) {
        std::set<std::string> excluded;
        excluded.insert(server);
        co_await probeEngines(m_services, placementRequest(), std::move(excluded), probesPerMove);
    }
    const TrackedServer *source = m_services.directory.find(server);
    const MoveOrder order = source ? moveOrder(*source) : MoveOrder();
    MoveResult result;
    if (!source || order.targets.empty()) {
        result.reason = "no engine has free capacity";
    } else {
        const Endpoint engine = source->record.address;
        const Endpoint sidecar{ engine.address, m_services.settings.forwarding.sidecarPort() };
        const auto drainTimeLeft = source->load.drainTimeLeft.value_or(std::chrono::milliseconds(1000));
        const HttpRequest request = makePost(moveOrderTarget, encode(order));
        // A kept connection may be silent, and an engine that is draining leaves no time to find out.
        const CallOptions options{ .timeout = moveTimeout, .usesNewConnection = true };
        const CallResult callResult = co_await call(m_services.pool, sidecar, request, options);
        const auto decoded = callResult.succeeded() ? decodeMoveResult(callResult.body) : std::nullopt;
        if (decoded) {
            result = *decoded;
        } else {
            result = co_await moveGeneration(m_services.pool, engine, order, drainTimeLeft,
                                             m_services.settings.forwarding.sidecarPort());
            const bool isRefused = !callResult.error && !callResult.succeeded();
            const bool sidecarMayHaveStopped = !result.stopped && !isRefused && callResult.sendState == SendState::Sent;
            result.mayHaveStopped = result.mayHaveStopped || sidecarMayHaveStopped;
        }
    }
    m_move = result;
    m_mayHaveStopped = m_mayHaveStopped || result.mayHaveStopped;
    m_moveState = result.stopped ? MoveState::Stopped : MoveState::None;
    m_services.counters.failedMoves += result.stopped ? 0 : 1;
    if (m_moveCause == MoveCause::Draining) {
        m_nextMoveAt = std::chrono::steady_clock::now() + moveRetryDelay;
    }
    logEvent("move", result.stopped ? "run stopped" : "failed",
             { { "id", order.request },
               { "source", server },
               { "cause", m_moveCause == MoveCause::Gaps ? "gaps" : "draining" },
               { "target", result.target ? result.target->text() : std::string() },
               { "candidates", order.targets.size() },
               { "events", m_eventCount },
               { "last_event", m_lastEventId.value_or(0) },
               { "reason", result.reason } });
    m_moveChanged.notify();
}

// A stream without a stated end may have ended because of the move.
bool GenerationForwarder::mayContinue(SegmentEnd segmentEnd) const
{
    const bool mayBeStopped = segmentEnd == SegmentEnd::Broken || segmentEnd == SegmentEnd::Unconfirmed;
    return mayBeStopped && m_context->isActive() && m_moveState != MoveState::None;
}

// Continues a generation that has stopped or is stopping at its source. The generation resumes at the target, or at its
// source if there is no target or the target refuses it. Returns Broken if both refuse the generation. Returns
// \p segmentEnd, the end of the stream at the source, if the generation was not stopped or if the move does not end
// within moveResultTimeout.
Awaitable<GenerationForwarder::SegmentEnd> GenerationForwarder::continueAfterMove(SegmentEnd segmentEnd)
{
    if (m_moveState == MoveState::Requested) {
        co_await m_moveChanged.wait(moveResultTimeout);
    }
    if (m_moveState != MoveState::Stopped) {
        m_mayHaveStopped = m_mayHaveStopped || m_moveState == MoveState::Requested;
        m_moveState = MoveState::None;
        co_return segmentEnd;
    }
    m_moveState = MoveState::None;
    const std::string source = m_server;
    const auto target = m_move.target ? findByAddress(m_services.directory, *m_move.target) : std::nullopt;
    segmentEnd = SegmentEnd::Refused;
    if (target) {
        ++m_moveCount;
        ++m_services.counters.movedStreams;
        wire::ServerFields fields = m_context->serverFields(*target);
        fields.copy = m_move.copy;
        segmentEnd = co_await runSegment(fields, StreamAttempt::Move);
    }
    if (segmentEnd == SegmentEnd::Refused) {
        logEvent("move", "generation resumes at the source engine",
                 { { "id", m_context->fields.requestId }, { "source", source }, { "reason", m_reason } });
        wire::ServerFields fields = m_context->serverFields(source);
        fields.copy = m_move.copy;
        segmentEnd = co_await runSegment(fields, StreamAttempt::Resume);
    }
    co_return segmentEnd == SegmentEnd::Refused ? SegmentEnd::Broken : segmentEnd;
}

} // namespace zinniadock
