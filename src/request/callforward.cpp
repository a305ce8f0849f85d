#include "zinniadock/request/callforward.h"

#include <algorithm>

#include "zinniadock/connection/calltimer.h"
#include "zinniadock/connection/strayresponse.h"

namespace zinniadock
{

namespace
{

constexpr std::chrono::milliseconds connectTimeout{ 400 };
constexpr std::size_t maxResponseBytes = 8U << 20U;

/// A request that a server did not run is retried at another server up to this number of attempts in total.
constexpr std::uint32_t maxOffers = 4;

/// An attempt of a repeatable request is aborted after this multiple of the target latency unless its response is
/// arriving, so that the request can be retried at another server. The last allowed attempt has no such limit.
constexpr int attemptTimeoutFactor = 3;
constexpr std::chrono::milliseconds minAttemptTimeout{ 250 };

/// Maximum idle time of a reused connection for a request that must not be repeated. The server may close an idle
/// connection at any time, and the request would be lost with it.
constexpr std::chrono::milliseconds maxIdleAtMostOnce{ 1500 };
constexpr std::chrono::milliseconds maxIdleIdempotent{ 10000 };

/// Assumed idle timeout of a server that does not announce one.
constexpr std::chrono::milliseconds defaultIdleLimit{ 3000 };

constexpr std::chrono::milliseconds retryAfterFull{ 150 };

} // namespace

CallForwarder::CallForwarder(std::shared_ptr<ForwardContext> context)
    : m_context(std::move(context))
{
}

Awaitable<void> CallForwarder::run()
{
    ForwardingServices &services = m_context->services;
    Attempt last;
    last.outcome = AttemptOutcome::NotRun;
    last.reason = "no server of pool " + m_context->poolName + " is available";
    if (m_context->mayOutliveProcess()) {
        last.reason = "the entry is stopping";
        ++services.counters.stopRefusals;
        co_await sendResponse(std::move(last));
        co_return;
    }
    while (m_context->maySend()) {
        m_quarantine = m_context->findQuarantine();
        if (m_quarantine) {
            ++services.counters.quarantinedRequests;
            last.reason = m_possibleRuns == 0 ? toText(*m_quarantine) : last.reason;
            break;
        }
        if (m_context->isBlockedByEvacuation()) {
            services.counters.evacuationRefusals += m_context->attempts == 0 ? 1 : 0;
            last.reason = m_context->attempts == 0 ? m_context->evacuationReason() : last.reason;
            break;
        }
        services.serverLimiter.recordDemand(services.directory, m_context->poolName, std::chrono::steady_clock::now());
        m_context->place = RequestPlace::Limit;
        const bool isLimited = co_await m_context->isBlockedByLimit();
        if (!m_context->maySend()) {
            break;
        }
        if (isLimited && m_context->attempts == 0) {
            m_isLimited = true;
            last.reason
                = "each server of pool " + m_context->poolName + " has reached its limit of requests per second";
            break;
        }
        const auto now = std::chrono::steady_clock::now();
        PlacementRequest need{ .pool = m_context->poolName, .dataCentre = services.settings.daemon.dataCentre };
        need.maySend = m_context->limitFilter();
        need.commonServerKey = m_context->commonServerKey();
        const auto server = placeCall(services.directory, need, m_triedServers, now, [&services] {
            return services.randomFraction();
        });
        if (!server
            || (m_context->attempts > 0
                && !services.retryWindow(m_context->poolName).takeRetry(services.entryCount(), now))) {
            break;
        }
        m_triedServers.insert(*server);
        Attempt attempt = co_await tryServer(*server);
        const bool keepsLastResponse
            = last.outcome == AttemptOutcome::Responded && attempt.outcome != AttemptOutcome::Responded;
        if (!keepsLastResponse) {
            last = std::move(attempt);
        }
        if (isFinal(last) || !mayRetry(last)) {
            break;
        }
        ++services.metrics.retries;
    }
    co_await sendResponse(std::move(last));
}

Awaitable<CallForwarder::Attempt> CallForwarder::tryServer(std::string server)
{
    ForwardingServices &services = m_context->services;
    const TrackedServer *tracked = services.directory.find(server);
    if (!tracked) {
        co_return Attempt{ .outcome = AttemptOutcome::NotRun,
                           .response = {},
                           .end = ResponseEnd::BrokenOff,
                           .reason = "server " + server + " was removed from the directory" };
    }
    ++m_context->attempts;
    m_context->server = server;
    Assignment assignment{ .request = m_context->fields.requestId, .assignedAt = std::chrono::steady_clock::now() };
    const std::uint64_t number = services.directory.assign(server, std::move(assignment));
    Attempt attempt = co_await exchangeWithServer(*tracked);
    services.directory.release(server, number);
    if (attempt.outcome == AttemptOutcome::Responded && attempt.response.result_int() < 500) {
        services.directory.recordSuccess(server);
    } else if (m_context->isActive()) {
        services.directory.recordFailure(server, std::chrono::steady_clock::now());
    }
    if (attempt.outcome != AttemptOutcome::NotRun) {
        ++m_possibleRuns;
    }
    if (attempt.outcome != AttemptOutcome::Responded) {
        logEvent("request", "try failed",
                 { { "id", m_context->fields.requestId },
                   { "server", server },
                   { "try", m_context->attempts },
                   { "not_run", attempt.outcome == AttemptOutcome::NotRun ? 1 : 0 },
                   { "reason", attempt.reason },
                   { "left_ms", m_context->timeLeft() } });
    }
    co_return attempt;
}

Awaitable<CallForwarder::Attempt> CallForwarder::exchangeWithServer(TrackedServer target)
{
    ForwardingServices &services = m_context->services;
    const bool isRepeatable = m_context->route->kind == RouteKind::Idempotent;
    const auto maxIdle = isRepeatable ? maxIdleIdempotent : maxIdleAtMostOnce;
    const auto exchange = m_context->startExchange(target.record.address, maxIdle);
    const auto timer = std::make_shared<CallTimer>(
        services.context, exchange,
        std::max(attemptTimeoutFactor * m_context->route->targetLatency, minAttemptTimeout));
    if (isRepeatable && m_possibleRuns + 1 < m_context->route->maxAttempts) {
        timer->start();
    }
    Attempt attempt = co_await runExchange(exchange, std::move(target));
    timer->cancel();
    co_return attempt;
}

Awaitable<CallForwarder::Attempt> CallForwarder::runExchange(std::shared_ptr<HttpExchange> exchange,
                                                             TrackedServer target)
{
    ForwardingServices &services = m_context->services;
    const HttpRequest request = wire::serverRequest(m_context->request, m_context->serverFields(target.record.id));
    services.serverLimiter.recordSent(target.record,
                                      m_context->attempts > 1 ? SendReason::Retry : SendReason::FirstAttempt,
                                      std::chrono::steady_clock::now());
    const auto sentAt = std::chrono::steady_clock::now();
    services.recordColdSent(target.record, m_context->pool, sentAt);
    m_context->place = RequestPlace::Connection;
    IoError error = co_await exchange->send(request, std::min(connectTimeout, m_context->timeLeft()));
    m_context->place = RequestPlace::Server;
    if (error) {
        if (exchange->sendState() == SendState::NotSent && m_context->isActive()) {
            services.directory.recordConnectionFailure(target.record.id, std::chrono::steady_clock::now());
            m_context->recordRefusedConnection(target.record.id, error);
        } else if (exchange->sendState() == SendState::NotSent) {
            services.serverLimiter.undoSent(target.record, std::chrono::steady_clock::now());
        } else {
            co_await m_context->recordUnansweredRun(target.record, sentAt, error);
        }
        co_return makeFailedAttempt(*exchange, "sending the request: " + error.message());
    }
    wire::ResponseFields fields;
    error = co_await readMatchingHead(*exchange, m_context->fields.requestId, fields);
    if (error) {
        co_await m_context->recordUnansweredRun(target.record, sentAt, error);
        co_return makeFailedAttempt(*exchange, "waiting for the response: " + error.message());
    }
    m_context->updateServerState(target.record.id, fields);
    Attempt attempt;
    attempt.response = HttpResponse(makeCallerHead(exchange->head()));
    error = co_await exchange->readRest(attempt.response.body(), maxResponseBytes);
    const std::string size = std::to_string(attempt.response.body().size()) + " bytes";
    m_context->logResponseEnd(*exchange, exchange->end(), size, error);
    if (error) {
        co_await m_context->recordUnansweredRun(target.record, sentAt, error);
        co_return makeFailedAttempt(*exchange, "reading the response body: " + error.message());
    }
    if (containsStrayResponse(exchange->framing(), attempt.response.body())) {
        co_return makeFailedAttempt(*exchange, "the response body contains another response");
    }
    attempt.end = exchange->end();
    if (!fields.closesConnection && !fields.requestId.empty()) {
        exchange->releaseConnection(fields.idleTimeout.value_or(defaultIdleLimit));
    }
    if (fields.isMisdirected) {
        services.directory.markReplaced(target.record.id);
    }
    attempt.outcome = fields.notRun ? AttemptOutcome::NotRun
        : fields.isSigned           ? AttemptOutcome::Responded
                                    : AttemptOutcome::Unknown;
    attempt.reason = "status " + std::to_string(attempt.response.result_int());
    if (isFinal(attempt)) {
        m_context->recordResponse();
    }
    co_return attempt;
}

CallForwarder::Attempt CallForwarder::makeFailedAttempt(const HttpExchange &exchange, const std::string &reason) const
{
    const bool notSent = exchange.sendState() == SendState::NotSent;
    return { .outcome = notSent ? AttemptOutcome::NotRun : AttemptOutcome::Unknown,
             .response = {},
             .end = ResponseEnd::BrokenOff,
             .reason = reason };
}

bool CallForwarder::isFinal(const Attempt &attempt) const
{
    return attempt.outcome == AttemptOutcome::Responded && attempt.response.result_int() < 500;
}

bool CallForwarder::mayRetry(const Attempt &attempt) const
{
    if (attempt.outcome == AttemptOutcome::NotRun) {
        return m_context->attempts < maxOffers;
    }
    return m_context->route->kind == RouteKind::Idempotent && m_possibleRuns < m_context->route->maxAttempts;
}

Awaitable<void> CallForwarder::sendResponse(Attempt attempt)
{
    ForwardingServices &services = m_context->services;
    if (m_context->connection->hasCallerDisconnected()) {
        ++services.metrics.cancelled;
        m_context->logOutcome("cancelled", "the caller disconnected",
                              m_possibleRuns > 0 ? Verdict::MayHaveRun : Verdict::NotRun);
        co_return;
    }
    if (attempt.outcome == AttemptOutcome::Responded) {
        ++services.metrics.completed;
        services.metrics.firstToken.record(m_context->age());
        m_context->logOutcome("answered", attempt.reason, Verdict::Ran);
        co_await m_context->connection->respond(std::move(attempt.response), callerFraming(attempt.end));
    } else if (m_possibleRuns == 0) {
        ++services.metrics.refused;
        m_context->logOutcome("refused", attempt.reason, Verdict::NotRun);
        const auto delay = m_quarantine ? m_quarantine->timeLeft : m_context->retryDelay(retryAfterFull, m_isLimited);
        co_await m_context->connection->respond(m_context->makeRefusal(attempt.reason, delay));
    } else {
        ++services.metrics.failed;
        m_context->logOutcome("failed", attempt.reason, Verdict::MayHaveRun);
        co_await m_context->connection->respond(m_context->makeFailure(attempt.reason));
    }
}

} // namespace zinniadock
