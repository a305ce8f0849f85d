#include "zinniadock/process/watchingsidecar.h"

#include <algorithm>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include "zinniadock/process/limits/memorychoice.h"
#include "zinniadock/process/moving/runmover.h"
#include "zinniadock/process/observing/eventlog.h"
#include "zinniadock/process/observing/metrics.h"

namespace zinniadock
{

namespace
{

constexpr std::chrono::milliseconds reportInterval{ 50 };
constexpr std::chrono::milliseconds reportTimeout{ 400 };

/// Max interval between load reports of an engine that limits its requests. The sidecar uses sidecarLimitShare of the
/// limit for them.
constexpr std::chrono::milliseconds maxLimitedReportInterval{ 2000 };
constexpr std::chrono::milliseconds maxLoadQueryWait{ 1000 };
constexpr std::chrono::milliseconds minReportInterval{ 20 };
constexpr std::chrono::milliseconds moveCheckInterval{ 1000 };
constexpr std::chrono::milliseconds reservationTimeout{ 300 };

/// Interval between announcements of an engine whose load no entry queries. Each announcement is sent to one entry.
constexpr std::chrono::milliseconds announcementInterval{ 700 };
constexpr std::chrono::milliseconds announcementTimeout{ 400 };

/// An entry that has sent no load query for this time is no longer counted as active.
constexpr std::chrono::milliseconds peerLifetime{ 5000 };

/// Assumed time until a draining engine stops if the engine does not report it.
constexpr std::chrono::milliseconds defaultTimeLeft{ 1500 };

/// The event times are logged when the typical one has changed by this share, and at most once per minSpeedLogInterval.
constexpr double loggedSpeedChange = 0.25;
constexpr std::chrono::seconds minSpeedLogInterval{ 10 };

void appendEventTime(const std::string &state, const std::optional<EventTime> &time, std::string &out)
{
    const EventTime known = time.value_or(EventTime());
    const std::string name = "zinniadock_engine_event_microseconds{state=\"" + state + "\",value=\"";
    appendMetric(name + "typical\"}", static_cast<std::uint64_t>(known.typical.count()), out);
    appendMetric(name + "high\"}", static_cast<std::uint64_t>(known.high.count()), out);
}

bool isSameLoad(const EngineLoad &left, const EngineLoad &right)
{
    return left.running == right.running && left.queued == right.queued && left.usedTokens == right.usedTokens
        && left.isDraining == right.isDraining && left.startTimeMs == right.startTimeMs;
}

} // namespace

EngineSidecar::EngineSidecar(asio::io_context &context, Settings settings)
    : m_settings(std::move(settings))
    , m_context(context)
    , m_callerBudget(makeCallerBudget(m_settings))
    , m_pool(context)
    , m_reservationPool(context)
    , m_loadChanged(context)
    , m_moveChanged(context)
{
}

std::error_code EngineSidecar::start()
{
    const ConnectionLimits connections = chooseConnectionLimits(m_settings, descriptorLimit());
    m_listener = std::make_shared<HttpListener>(
        m_context,
        [this](std::shared_ptr<HttpConnection> connection, HttpRequest request) {
            return handleRequest(std::move(connection), std::move(request));
        },
        internalListenerLimits, m_callerBudget, connections.callers);
    m_metricsListener = std::make_shared<HttpListener>(
        m_context,
        [this](std::shared_ptr<HttpConnection> connection, HttpRequest request) {
            return handleMetricsRequest(std::move(connection), std::move(request));
        },
        internalListenerLimits, m_callerBudget, connections.pages);
    std::error_code error = m_listener->start(m_settings.sidecar.listen);
    if (!error) {
        error = m_metricsListener->start(m_settings.daemon.admin);
    }
    if (!error) {
        const auto spawn = [this](Awaitable<void> (EngineSidecar::*task)()) {
            asio::co_spawn(
                m_context,
                [this, task]() {
                    return (this->*task)();
                },
                asio::detached);
        };
        spawn(&EngineSidecar::readReports);
        spawn(&EngineSidecar::runMoves);
        spawn(&EngineSidecar::announceEngine);
    }
    return error;
}

Awaitable<void> EngineSidecar::readReports()
{
    while (!m_stopped) {
        const CallResult result
            = co_await call(m_pool, m_settings.sidecar.backend, makeGet(wire::loadTarget()), reportTimeout);
        auto load = result.succeeded() ? wire::parseLoad(result.body) : std::nullopt;
        if (m_isEngineReachable != load.has_value()) {
            m_isEngineReachable = load.has_value();
            logEvent("engine", m_isEngineReachable ? "regained" : "lost",
                     { { "engine", m_settings.sidecar.backend.text() },
                       { "reason", result.error ? result.error.message() : std::to_string(result.status) } });
        }
        m_limits.recordSent(engineIncarnation(), SendReason::Control);
        if (!result.error) {
            observeEngineLimit(result.head, "load report");
        }
        if (load) {
            applyLoad(std::move(*load));
        }
        if (!result.error) {
            observeColdTime(result.head);
        }
        co_await sleepFor(pauseBetweenReports());
    }
}

// The sidecar does not know the ID of its engine. If the engine restarts, its first load reports end the limit.
ServerIncarnation EngineSidecar::engineIncarnation() const
{
    return { .id = m_settings.sidecar.backend.text(), .startTimeMs = 0 };
}

void EngineSidecar::observeEngineLimit(const ResponseHead &head, const std::string &source)
{
    const ServerIncarnation engine = engineIncarnation();
    const LimitChange change = observeLimit(m_limits, engine, wire::parseResponseFields(head).limits, source,
                                            std::chrono::steady_clock::now());
    if (change != LimitChange::None) {
        logEvent("limit", toString(change),
                 { { "server", engine.id },
                   { "per_second", m_limits.find(engine).value_or(0) },
                   { "source", source },
                   { "report_interval_ms", pauseBetweenReports() } });
    }
}

void EngineSidecar::observeColdTime(const ResponseHead &head)
{
    if (const auto left = wire::parseResponseFields(head).coldLeft) {
        m_admission.observeCold(*left, std::chrono::steady_clock::now());
    }
}

std::chrono::milliseconds EngineSidecar::pauseBetweenReports() const
{
    const auto limit = m_limits.find(engineIncarnation());
    if (!limit) {
        return reportInterval;
    }
    const std::chrono::duration<double> affordable(1 / (sidecarLimitShare * *limit));
    const std::chrono::duration<double> bounded
        = std::min<std::chrono::duration<double>>(affordable, maxLimitedReportInterval);
    return std::max(reportInterval, std::chrono::ceil<std::chrono::milliseconds>(bounded));
}

// Announces the engine to the seeds while no entry sends load queries. Without queries, no entry knows the engine; it
// may have started during an outage of the store.
Awaitable<void> EngineSidecar::announceEngine()
{
    const std::vector<Endpoint> &seeds = m_settings.forwarding.seeds;
    std::size_t next = 0;
    while (!m_stopped && !seeds.empty()) {
        co_await sleepFor(announcementInterval);
        if (!m_isEngineReachable || m_load.isDraining || !activePeers().empty()) {
            continue;
        }
        const ServerAnnouncement announcement{ .id = "",
                                               .pool = m_settings.forwarding.pool,
                                               .address = m_settings.sidecar.backend,
                                               .dataCentre = m_settings.daemon.dataCentre,
                                               .startTimeMs = m_load.startTimeMs };
        const HttpRequest request = makePost(announcementTarget, encode(announcement));
        const Endpoint entry = seeds[next++ % seeds.size()];
        const CallResult result = co_await call(m_pool, entry, request, announcementTimeout);
        logEvent("engine", "announced",
                 { { "entry", entry.text() }, { "status", result.status }, { "reason", result.error.message() } });
    }
}

void EngineSidecar::applyLoad(EngineLoad load)
{
    for (const Preemption &preemption : m_preemptionWatch.update(load)) {
        ++m_preemptions;
        logEvent("engine", "preempted a run",
                 { { "id", preemption.lastReported.request },
                   { "tokens", preemption.lastReported.tokens },
                   { "events", preemption.lastReported.emittedEvents },
                   { "used_tokens", preemption.usedTokens },
                   { "total_tokens", load.totalTokens },
                   { "running", load.running } });
    }
    m_admission.update(load, std::chrono::steady_clock::now());
    m_speed.update(load, std::chrono::steady_clock::now());
    const bool startsDraining = load.isDraining && !m_load.isDraining;
    const bool changed = m_reportNumber == 0 || !isSameLoad(load, m_load);
    m_load = std::move(load);
    m_loadReadAt = std::chrono::steady_clock::now();
    logSpeed();
    if (startsDraining) {
        m_firstDrainingReport = m_reportNumber + 1;
        logEvent("engine", "leaves",
                 { { "engine", m_settings.sidecar.backend.text() },
                   { "leaves_in_ms", timeLeft() },
                   { "running", m_load.running },
                   { "queued", m_load.queued } });
    }
    if (changed || startsDraining) {
        ++m_reportNumber;
        m_loadChanged.notify();
    }
}

void EngineSidecar::logSpeed()
{
    const EventTimes &times = m_speed.eventTimes();
    const EventTime alone = times.alone.value_or(EventTime());
    const EventTime besidePrompt = times.besidePrompt.value_or(EventTime());
    const auto now = std::chrono::steady_clock::now();
    const auto change
        = alone.typical > m_loggedEventTime ? alone.typical - m_loggedEventTime : m_loggedEventTime - alone.typical;
    if (change <= loggedSpeedChange * m_loggedEventTime || now - m_speedLoggedAt < minSpeedLogInterval) {
        return;
    }
    m_loggedEventTime = alone.typical;
    m_speedLoggedAt = now;
    logEvent("engine", "speed",
             { { "event_us", alone.typical.count() },
               { "high_event_us", alone.high.count() },
               { "prompt_event_us", besidePrompt.typical.count() },
               { "high_prompt_event_us", besidePrompt.high.count() },
               { "running", m_load.running } });
}

std::chrono::milliseconds EngineSidecar::timeLeft() const
{
    const auto since
        = m_load.drainTimeLeft ? m_loadReadAt : m_firstMoveOrderAt.value_or(std::chrono::steady_clock::now());
    const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now() - since);
    return m_load.drainTimeLeft.value_or(defaultTimeLeft) - age;
}

Awaitable<void> EngineSidecar::handleRequest(std::shared_ptr<HttpConnection> connection, HttpRequest request)
{
    if (request.target() == loadQueryTarget) {
        if (const auto query = decodeEngineLoadQuery(request.body())) {
            co_await handleLoadQuery(connection, *query);
            co_return;
        }
    } else if (request.target() == admissionTarget) {
        if (const auto query = decodeAdmissionQuery(request.body())) {
            ++m_requestsInProgress;
            co_await handleAdmissionQuery(connection, *query);
            --m_requestsInProgress;
            co_return;
        }
    } else if (request.target() == moveOrderTarget) {
        if (const auto order = decodeMoveOrder(request.body())) {
            ++m_requestsInProgress;
            co_await handleMoveOrder(connection, *order);
            --m_requestsInProgress;
            co_return;
        }
    }
    const std::string text = "unknown target or malformed message: " + request.target().to_string() + "\n";
    co_await connection->respond(makeResponse(http::status::bad_request, text, "text/plain"));
}

// Responds immediately if the engine has started to drain since the last report, or if the query has no valid report
// number. Responds to another change after the minimum interval of the query, so that changes in quick succession are
// sent in one message. Without a change, responds after maxLoadQueryWait.
Awaitable<void> EngineSidecar::handleLoadQuery(std::shared_ptr<HttpConnection> connection, EngineLoadQuery query)
{
    const auto startedAt = std::chrono::steady_clock::now();
    m_lastQueryByPeer[query.peer] = startedAt;
    const auto age = [startedAt] {
        return std::chrono::steady_clock::now() - startedAt;
    };
    const auto isUrgent = [this, &query] {
        return m_firstDrainingReport > query.lastReportNumber;
    };
    const auto minInterval = std::max(query.minInterval, minReportInterval);
    const bool hasValidNumber = query.lastReportNumber > 0 && query.lastReportNumber <= m_reportNumber;
    while (hasValidNumber && !isUrgent() && !m_stop.isStopping() && age() < maxLoadQueryWait
           && (m_reportNumber <= query.lastReportNumber || age() < minInterval)) {
        const auto limit = m_reportNumber > query.lastReportNumber ? minInterval : maxLoadQueryWait;
        const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(limit - age());
        co_await m_loadChanged.wait(std::max(left, std::chrono::milliseconds(1)));
    }
    EngineLoadReport report{ .number = m_reportNumber, .load = m_load };
    if (report.load.drainTimeLeft) {
        report.load.drainTimeLeft = timeLeft();
    }
    report.load.committedTokens = m_admission.committedTokens();
    report.load.waitingTokens = m_admission.waitingTokens();
    report.load.eventTimes = m_speed.eventTimes();
    report.load.generations.clear(); // included in committedTokens and waitingTokens
    const bool isUsable = m_isEngineReachable && !m_stop.isStopping();
    const http::status status = isUsable ? http::status::ok : http::status::service_unavailable;
    co_await connection->respond(makeResponse(status, encode(report), "application/cbor"));
}

std::vector<std::string> EngineSidecar::activePeers()
{
    const auto oldest = std::chrono::steady_clock::now() - peerLifetime;
    std::erase_if(m_lastQueryByPeer, [oldest](const auto &peer) {
        return peer.second < oldest;
    });
    std::vector<std::string> names;
    for (const auto &[name, lastAsked] : m_lastQueryByPeer) {
        names.push_back(name);
    }
    return names;
}

// If the query asks for a reservation, the engine makes the final decision. Its reservation keeps a slot and memory
// until the request arrives. The reservation fails if the engine has received work that this sidecar has not admitted.
// An engine that limits its requests or is cold gets no reservation, since it counts as a request. A query whose entry
// has given it up, which a busy or frozen sidecar reads late, admits nothing.
Awaitable<void> EngineSidecar::handleAdmissionQuery(std::shared_ptr<HttpConnection> connection, AdmissionQuery query)
{
    if (connection->checkCallerDisconnected()) {
        logEvent("admission", "dropped", { { "id", query.request }, { "reason", "the entry has withdrawn it" } });
        co_return;
    }
    AdmissionResponse response = m_admission.admit(query, std::chrono::steady_clock::now());
    const bool isLimited
        = m_limits.find(engineIncarnation()).has_value() || m_admission.isCold(std::chrono::steady_clock::now());
    if (response.admitted && query.reservationDuration.count() > 0 && !isLimited) {
        const HttpRequest request
            = wire::reserveRequest(static_cast<std::uint32_t>(neededTokens(query)), query.reservationDuration);
        const CallResult result
            = co_await call(m_reservationPool, m_settings.sidecar.backend, request, reservationTimeout);
        m_limits.recordSent(engineIncarnation(), SendReason::Control);
        if (!result.error) {
            observeEngineLimit(result.head, query.request);
        }
        response.admitted = result.succeeded();
        response.reservationId = result.succeeded() ? wire::parseReservationId(result.body) : "";
        if (!response.admitted) {
            response.reason = result.error
                ? result.error.message()
                : "the engine refused the reservation with status " + std::to_string(result.status);
            const auto pause = result.error ? std::nullopt : wire::parseResponseFields(result.head).retryAfter;
            m_admission.pause(std::chrono::steady_clock::now() + pause.value_or(std::chrono::milliseconds(0)));
            m_admission.cancel(query.request);
        }
    }
    logEvent("admission", response.admitted ? "admitted" : "refused",
             { { "id", query.request },
               { "prompt_tokens", query.promptTokens },
               { "held_tokens", query.heldTokens },
               { "expected_tokens", query.expectedTokens },
               { "running", m_load.running },
               { "queued", m_load.queued },
               { "used_tokens", m_load.usedTokens },
               { "committed_tokens", response.committedTokens },
               { "waiting_tokens", response.waitingTokens },
               { "reason", response.reason } });
    co_await connection->respond(makeResponse(http::status::ok, encode(response), "application/cbor"));
}

// A refused order is carried out by its entry.
Awaitable<void> EngineSidecar::handleMoveOrder(std::shared_ptr<HttpConnection> connection, MoveOrder order)
{
    if (!m_stop.mayTake(std::chrono::steady_clock::now() + longestTimeOf(order))) {
        logEvent("move", "refused", { { "id", order.request }, { "reason", "the sidecar is stopping" } });
        co_await connection->respond(
            makeResponse(http::status::service_unavailable, "the sidecar is stopping\n", "text/plain"));
        co_return;
    }
    const auto move = std::make_shared<PendingMove>();
    move->order = std::move(order);
    move->connection = connection;
    if (!move->order.timeLeft) {
        m_firstMoveOrderAt = m_firstMoveOrderAt.value_or(std::chrono::steady_clock::now());
    }
    m_pendingMoves.push_back(move);
    m_moveChanged.notify();
    while (!move->done) {
        co_await m_moveChanged.wait(moveCheckInterval);
    }
    co_await connection->respond(makeResponse(http::status::ok, encode(move->result), "application/cbor"));
}

// Moves are made one after the other.
std::chrono::milliseconds EngineSidecar::longestTimeOf(const MoveOrder &order) const
{
    std::chrono::milliseconds time = longestMoveTime(order);
    if (m_moveInProgress) {
        time += longestMoveTime(m_moveInProgress->order);
    }
    for (const auto &pending : m_pendingMoves) {
        time += longestMoveTime(pending->order);
    }
    return time;
}

std::shared_ptr<EngineSidecar::PendingMove> EngineSidecar::nextMove() const
{
    const auto best
        = std::max_element(m_pendingMoves.begin(), m_pendingMoves.end(), [](const auto &left, const auto &right) {
              return left->order.priority < right->order.priority;
          });
    return best == m_pendingMoves.end() ? nullptr : *best;
}

// Moves one generation at a time. Concurrent copies would queue on the link, so that the first copies of some
// generations would delay the final copies of others. A caller waits during the final copy of its generation.
Awaitable<void> EngineSidecar::runMoves()
{
    while (!m_stopped) {
        const std::shared_ptr<PendingMove> move = nextMove();
        if (!move) {
            co_await m_moveChanged.wait(moveCheckInterval);
            continue;
        }
        std::erase(m_pendingMoves, move);
        if (move->connection->checkCallerDisconnected()) {
            logEvent("move", "dropped", { { "id", move->order.request }, { "reason", "the entry has withdrawn it" } });
            move->done = true;
            continue;
        }
        m_moveInProgress = move;
        const auto startedAt = std::chrono::steady_clock::now();
        const std::chrono::milliseconds left
            = m_load.isDraining ? timeLeft() : move->order.timeLeft.value_or(timeLeft());
        const MoveCondition isWanted = [move] {
            return !move->connection->checkCallerDisconnected();
        };
        move->result = co_await moveGeneration(m_pool, m_settings.sidecar.backend, move->order, left,
                                               m_settings.forwarding.sidecarPort(), isWanted);
        const auto took = std::chrono::steady_clock::now() - startedAt;
        ++(move->result.target ? m_movesDone : m_movesFailed);
        logEvent("move", move->result.target ? "copied" : "failed",
                 { { "id", move->order.request },
                   { "target", move->result.target ? move->result.target->text() : std::string() },
                   { "leaves_in_ms", left },
                   { "ms", std::chrono::duration_cast<std::chrono::milliseconds>(took) },
                   { "waiting", m_pendingMoves.size() },
                   { "reason", move->result.reason } });
        if (move->result.copy && move->connection->checkCallerDisconnected()) {
            co_await releaseCopy(m_pool, *move->result.copy);
        }
        move->done = true;
        m_moveInProgress.reset();
        m_moveChanged.notify();
    }
}

Awaitable<void> EngineSidecar::handleMetricsRequest(std::shared_ptr<HttpConnection> connection, HttpRequest request)
{
    if (request.target() != "/metrics") {
        const std::string text = "expected /metrics, found " + request.target().to_string() + "\n";
        co_await connection->respond(makeResponse(http::status::not_found, text, "text/plain"));
        co_return;
    }
    std::string out;
    appendMetric("zinniadock_engine_running", m_load.running, out);
    appendMetric("zinniadock_engine_queued", m_load.queued, out);
    appendMetric("zinniadock_engine_used_tokens", m_load.usedTokens, out);
    appendMetric("zinniadock_engine_leaving", m_load.isDraining ? 1 : 0, out);
    appendMetric("zinniadock_engine_cold", m_admission.isCold(std::chrono::steady_clock::now()) ? 1 : 0, out);
    appendMetric("zinniadock_cold_refusals_total", m_admission.coldRefusals(), out);
    appendEventTime("alone", m_speed.eventTimes().alone, out);
    appendEventTime("beside_prompt", m_speed.eventTimes().besidePrompt, out);
    appendMetric("zinniadock_moves_total", m_movesDone, out);
    appendMetric("zinniadock_failed_moves_total", m_movesFailed, out);
    appendMetric("zinniadock_preempted_runs_total", m_preemptions, out);
    appendMetric("zinniadock_entries", m_lastQueryByPeer.size(), out);
    appendLimitMetrics(m_limits, std::chrono::steady_clock::now(), out);
    appendMetric("zinniadock_dropped_log_lines_total", droppedLogLines(), out);
    co_await connection->respond(makeResponse(http::status::ok, out, "text/plain"));
}

std::uint16_t EngineSidecar::port() const
{
    return m_listener->port();
}

Awaitable<void> EngineSidecar::handOver()
{
    co_return;
}

bool EngineSidecar::isIdle() const
{
    return m_pendingMoves.empty() && !m_moveInProgress && m_requestsInProgress == 0;
}

void EngineSidecar::drain(std::chrono::milliseconds timeLimit)
{
    m_stop.begin(std::chrono::steady_clock::now() + timeLimit);
    m_loadChanged.notify();
}

void EngineSidecar::endRequests()
{
    for (const auto &move : m_pendingMoves) {
        move->result.reason = "the sidecar has stopped";
        move->done = true;
    }
    m_pendingMoves.clear();
    m_moveChanged.notify();
}

void EngineSidecar::closeIdleConnections()
{
}

// The engine's own calls go on until the process ends.
void EngineSidecar::stopAccepting()
{
}

void EngineSidecar::reload(const Settings & /*settings*/)
{
}

void EngineSidecar::stop()
{
    m_stopped = true;
    m_listener->stop();
    m_metricsListener->stop();
}

} // namespace zinniadock
