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
constexpr std::chrono::milliseconds drainMoveRetryDelay{ 150 };

/// Share of a target's memory that a moved generation and its remaining output may fill. All memory is allowed, since
/// the generation is lost if no target admits it.
constexpr double targetMemoryShare = 1.0;

/// The same for a generation that may also stay where it is. The rest absorbs outputs longer than expected.
constexpr double gapTargetMemoryShare = 0.88;

/// Maximum wait for the result of a move after the stream has ended.
constexpr std::chrono::milliseconds moveResultTimeout{ 2500 };

/// Timeout of a move request to a sidecar, including the time that it is queued behind other moves.
constexpr std::chrono::milliseconds moveTimeout{ 5000 };

/// As moveTimeout and drainMoveRetryDelay, for a generation that leaves an evacuated data centre. Its engine goes on
/// running, and all engines of a data centre are left at the same time, so that the queues are longer and room is
/// scarce.
constexpr std::chrono::milliseconds evacuationMoveTimeout{ 15000 };
constexpr std::chrono::milliseconds evacuationMoveRetryDelay{ 2000 };

/// Engines that are asked to continue a generation which has left an evacuated data centre, after its target refused.
constexpr std::size_t maxOtherTargets = 3;

/// Time for a move from an engine that neither drains nor is evacuated: long enough for both copies.
constexpr std::chrono::milliseconds gapMoveTimeLeft{ 60000 };

/// Returns the time to copy a generation's KV cache over an idle link inside a data centre.
std::chrono::milliseconds estimateCopyTime(double tokens, const EngineCapacity &limits)
{
    constexpr double bitsPerByte = 8;
    const double bits = tokens * limits.bytesPerToken * bitsPerByte;
    const double bitsPerMillisecond = std::max(limits.linkMegabitsPerSecond, 1.0) * 1000;
    return std::chrono::milliseconds(static_cast<std::int64_t>(bits / bitsPerMillisecond));
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

const char *causeName(GenerationForwarder::MoveCause cause)
{
    switch (cause) {
    case GenerationForwarder::MoveCause::Draining:
        return "draining";
    case GenerationForwarder::MoveCause::Evacuation:
        return "evacuation";
    case GenerationForwarder::MoveCause::Gaps:
        break;
    }
    return "gaps";
}

} // namespace

// A failed move out of an evacuated data centre must not delay the move away from an engine that is about to stop.
void GenerationForwarder::handleServerDraining()
{
    m_engineDraining = true;
    m_nextMoveAt = std::min(m_nextMoveAt, std::chrono::steady_clock::now() + drainMoveRetryDelay);
    leaveServer();
}

void GenerationForwarder::handleEvacuation()
{
    if (isServerEvacuated()) {
        leaveServer();
    }
}

bool GenerationForwarder::isServerEvacuated() const
{
    const TrackedServer *server = m_services.directory.find(m_server);
    return server && server->isEvacuated;
}

bool GenerationForwarder::shouldLeaveServer() const
{
    return m_engineDraining || isServerEvacuated();
}

void GenerationForwarder::leaveServer()
{
    const bool started = m_headSent || m_lastEventAt != SteadyTime();
    const bool isTooEarly = std::chrono::steady_clock::now() < m_nextMoveAt;
    if (m_server.empty() || !started || isTooEarly || m_moveState != MoveState::None
        || !m_context->pool.engine->supportsMoves) {
        return;
    }
    startMove(m_engineDraining ? MoveCause::Draining : MoveCause::Evacuation);
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

void notifyEvacuation(ForwardingServices &services)
{
    std::vector<GenerationForwarder *> running;
    for (const auto &[id, generations] : services.activeGenerations) {
        const TrackedServer *server = services.directory.find(id);
        if (server && server->isEvacuated) {
            running.insert(running.end(), generations.begin(), generations.end());
        }
    }
    std::sort(running.begin(), running.end(), [](const auto *left, const auto *right) {
        return left->expectedRest() > right->expectedRest();
    });
    for (GenerationForwarder *generation : running) {
        generation->handleEvacuation();
    }
}

double GenerationForwarder::heldTokens() const
{
    const EngineCapacity &limits = *m_context->pool.engine;
    return m_context->fields.promptTokens + static_cast<double>(limits.tokensPerEvent * m_eventCount);
}

double GenerationForwarder::expectedRest() const
{
    return std::max(0.0, m_expectedTokens - heldTokens());
}

MoveOrder GenerationForwarder::moveOrder(const TrackedServer &source) const
{
    const EngineCapacity &limits = *m_context->pool.engine;
    const double tokens = heldTokens();
    MoveOrder order;
    order.request = m_context->fields.requestId;
    order.priority = expectedRest();
    order.timeLeft = source.isEvacuated ? std::optional(evacuationMoveTimeout) : std::nullopt;
    order.estimatedCopyTime = estimateCopyTime(tokens, limits);
    order.admission = admissionQuery();
    order.admission.heldTokens = static_cast<std::uint32_t>(tokens);
    order.admission.usableFraction = targetMemoryShare;
    if (m_moveCause == MoveCause::Gaps) {
        order.timeLeft = gapMoveTimeLeft;
        order.priority = 0;
        order.admission.usableFraction = gapTargetMemoryShare;
        addTargets(order, gapMoveTargets(source));
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
    addTargets(order, targets);
    return order;
}

void GenerationForwarder::addTargets(MoveOrder &order, const std::vector<std::string> &targets) const
{
    const auto now = std::chrono::steady_clock::now();
    for (const std::string &target : targets) {
        const TrackedServer &tracked = *m_services.directory.find(target);
        order.targets.push_back(tracked.record.address);
        order.cold.push_back(m_services.coldStateOf(tracked, now));
    }
}

// A failed move because of gaps must not delay the move away from an engine that is about to stop.
std::chrono::milliseconds GenerationForwarder::moveRetryDelay() const
{
    if (m_moveCause == MoveCause::Gaps) {
        return std::chrono::milliseconds(0);
    }
    const bool isUrgent = m_engineDraining || !isServerEvacuated();
    return isUrgent ? drainMoveRetryDelay : evacuationMoveRetryDelay;
}

Awaitable<void> GenerationForwarder::requestMove(std::string server)
{
    const auto self = shared_from_this();
    if (usesLoadProbing(m_services) && m_context->maySend()) {
        std::set<std::string> excluded;
        excluded.insert(server);
        co_await probeEngines(m_services, placementRequest(), std::move(excluded), probesPerMove);
    }
    const TrackedServer *source = m_services.directory.find(server);
    const MoveOrder order = source ? moveOrder(*source) : MoveOrder();
    MoveResult result;
    if (!m_context->maySend()) {
        result.reason = "the request has ended";
    } else if (!source || order.targets.empty()) {
        result.reason = "no engine has free capacity";
    } else {
        result = co_await orderMove(server, order);
    }
    m_move = result;
    m_mayHaveStopped = m_mayHaveStopped || result.mayHaveStopped;
    m_moveState = result.stopped ? MoveState::Stopped : MoveState::None;
    m_services.counters.failedMoves += result.stopped ? 0 : 1;
    m_nextMoveAt = std::chrono::steady_clock::now() + moveRetryDelay();
    logEvent("move", result.stopped ? "run stopped" : "failed",
             { { "id", order.request },
               { "source", server },
               { "cause", causeName(m_moveCause) },
               { "target", result.target ? result.target->text() : std::string() },
               { "candidates", order.targets.size() },
               { "events", m_eventCount },
               { "last_event", m_lastEventId.value_or(0) },
               { "reason", result.reason } });
    if (!m_context->isActive()) {
        releaseUnusedCopy();
    }
    m_moveChanged.notify();
}

// Orders the move at the sidecar of the source, or makes it if the sidecar does not. A kept connection may be silent,
// and an engine that is draining leaves no time to find out.
Awaitable<MoveResult> GenerationForwarder::orderMove(std::string server, MoveOrder order)
{
    const TrackedServer &source = *m_services.directory.find(server);
    const Endpoint engine = source.record.address;
    const Endpoint sidecar{ engine.address, m_services.settings.forwarding.sidecarPort() };
    const auto drainTimeLeft = source.load.drainTimeLeft.value_or(std::chrono::milliseconds(1000));
    const HttpRequest request = makePost(moveOrderTarget, encode(order));
    CallOptions options = m_context->callOptions(source.isEvacuated ? evacuationMoveTimeout : moveTimeout);
    options.usesNewConnection = true;
    options.interrupter = m_context->callInterrupter();
    const CallResult callResult = co_await call(m_services.pool, sidecar, request, options);
    const auto decoded = callResult.succeeded() ? decodeMoveResult(callResult.body) : std::nullopt;
    if (decoded) {
        co_return *decoded;
    }
    const TrackedServer *sourceNow = m_services.directory.find(server);
    MoveResult result;
    if (!m_context->maySend()) {
        result.reason = "the request has ended";
    } else if (sourceNow && sourceNow->isEvacuated) {
        // Orders to the engine itself would be requests to an evacuated data centre.
        result.mayHaveStopped = callResult.error && callResult.sendState == SendState::Sent;
        result.reason = "the sidecar does not move the generation out of the evacuated data centre";
    } else {
        const MoveCondition isWanted = [context = m_context] {
            return context->maySend();
        };
        result = co_await moveGeneration(m_services.pool, engine, std::move(order), drainTimeLeft,
                                         m_services.settings.forwarding.sidecarPort(), isWanted);
        const bool isRefused = !callResult.error && !callResult.succeeded();
        const bool sidecarMayHaveStopped = !result.stopped && !isRefused && callResult.sendState == SendState::Sent;
        result.mayHaveStopped = result.mayHaveStopped || sidecarMayHaveStopped;
    }
    co_return result;
}

// Frees the copy of a generation that has stopped for a move and is not continued. It would occupy memory and a slot of
// its target.
void GenerationForwarder::releaseUnusedCopy()
{
    if (m_moveState != MoveState::Stopped || !m_move.copy) {
        return;
    }
    m_moveState = MoveState::None;
    const auto holder = findByAddress(m_services.directory, m_move.copy->holder);
    const TrackedServer *tracked = holder ? m_services.directory.find(*holder) : nullptr;
    if (!tracked || tracked->isEvacuated) {
        return;
    }
    asio::co_spawn(
        m_services.context,
        [context = m_context, copy = *m_move.copy]() {
            return releaseCopy(context->services.controlPool, copy);
        },
        asio::detached);
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
    m_context->place = RequestPlace::Move;
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
    const TrackedServer *sourceServer = m_services.directory.find(source);
    if (segmentEnd == SegmentEnd::Refused && sourceServer && sourceServer->isEvacuated) {
        segmentEnd = co_await continueElsewhere(source, target.value_or(""));
    } else if (segmentEnd == SegmentEnd::Refused) {
        logEvent("move", "generation resumes at the source engine",
                 { { "id", m_context->fields.requestId }, { "source", source }, { "reason", m_reason } });
        wire::ServerFields fields = m_context->serverFields(source);
        fields.copy = m_move.copy;
        segmentEnd = co_await runSegment(fields, StreamAttempt::Resume);
    }
    co_return segmentEnd == SegmentEnd::Refused ? SegmentEnd::Broken : segmentEnd;
}

// Continues a generation that has stopped at an engine of an evacuated data centre, and that its target has refused. It
// must not resume at its source. Returns Refused if no other engine continues it.
Awaitable<GenerationForwarder::SegmentEnd> GenerationForwarder::continueElsewhere(std::string source,
                                                                                  std::string refusedBy)
{
    const RandomSource draw = [this] {
        return m_services.randomFraction();
    };
    const std::vector<std::string> targets
        = moveTargets(m_services.directory, placementRequest(), *m_context->pool.engine, source, maxMoveTargets,
                      std::chrono::steady_clock::now(), draw);
    std::size_t tried = 0;
    for (const std::string &target : targets) {
        if (target == refusedBy || tried == maxOtherTargets || !m_context->isActive()) {
            continue;
        }
        ++tried;
        logEvent("move", "generation offered to another engine",
                 { { "id", m_context->fields.requestId }, { "source", source }, { "target", target } });
        wire::ServerFields fields = m_context->serverFields(target);
        fields.copy = m_move.copy;
        const SegmentEnd segmentEnd = co_await runSegment(fields, StreamAttempt::Move);
        if (segmentEnd != SegmentEnd::Refused) {
            co_return segmentEnd;
        }
    }
    co_return SegmentEnd::Refused;
}

} // namespace zinniadock
