#include "zinniadock/request/forwardscope.h"

#include <algorithm>
#include <cstdio>

#include <boost/algorithm/string/join.hpp>

#include "zinniadock/process/crashes/crashwatch.h"
#include "zinniadock/process/membership/entryexchange.h"
#include "zinniadock/process/placing/routing.h"
#include "zinniadock/request/callforward.h"
#include "zinniadock/request/generationforward.h"

namespace zinniadock
{

namespace
{

constexpr std::chrono::milliseconds defaultDeadline{ 30000 };

/// Age of the configuration in log lines if it is not known.
constexpr std::chrono::milliseconds unknownAge{ -1 };

constexpr std::chrono::milliseconds retryAfterNoConfiguration{ 500 };
constexpr std::chrono::milliseconds retryAfterStopping{ 50 };

/// The caller of an entry whose configuration is overdue may go to another entry at once. A caller who needs a later
/// version than that of all entries has to wait for the store.
constexpr std::chrono::milliseconds retryAfterOverdue{ 100 };
constexpr std::chrono::milliseconds retryAfterUnconfirmed{ 1000 };

/// An evacuation ends by an operator's order, at a time that is not known. The random part spreads the retries.
constexpr std::chrono::milliseconds retryAfterEvacuation{ 2000 };
constexpr std::chrono::milliseconds evacuationRetryJitter{ 1000 };

/// Maximum random extension of a pause that a server requested. It prevents all entries from sending requests to the
/// server at the same moment after the pause.
constexpr std::chrono::milliseconds pauseJitter{ 300 };

// Maximum number of responses to earlier requests that are skipped before the response to this request. The exchange
// fails if there are more.
constexpr int maxStaleResponses = 2;
constexpr std::size_t maxStaleResponseBytes = 1U << 20U;

std::string formatSeconds(std::chrono::milliseconds duration)
{
    std::array<char, 32> text{};
    std::snprintf(text.data(), text.size(), "%.2f", std::chrono::duration<double>(duration).count());
    return text.data();
}

} // namespace

ForwardContext::ForwardContext(std::shared_ptr<ForwardingServices> forwardingServices,
                               std::shared_ptr<HttpConnection> callerConnection, HttpRequest callerRequest)
    : services(*forwardingServices)
    , connection(std::move(callerConnection))
    , request(std::move(callerRequest))
    , fields(wire::parseCallerFields(request))
    , arrived(std::chrono::steady_clock::now())
    , m_sharedServices(std::move(forwardingServices))
    , m_timer(services.context)
{
    ++services.counters.activeRequests;
    ++services.metrics.requests;
}

std::optional<HttpResponse> ForwardContext::admit(ConfigurationTrust trust)
{
    table = services.routes;
    configurationAge = services.configurationAge();
    if (!table) {
        return makeRefusal("the entry has no configuration yet", retryAfterNoConfiguration);
    }
    if (trust == ConfigurationTrust::Overdue) {
        ++services.counters.overdueRefusals;
        return makeRefusal("the configuration of this entry may be older than its bound", retryAfterOverdue);
    }
    const std::string host = request[http::field::host].to_string();
    route = table->find(host, request.target().to_string());
    if (!route) {
        return makeUnknownResponse(trust, http::status::not_found, "no route for this host and path");
    }
    priority = route->priority;
    if (table->authenticatesCallers && !route->isPublic) {
        const KeyHolder *holder = table->findKeyHolder(fields.key);
        if (!holder) {
            return makeUnknownResponse(trust, http::status::unauthorized, "missing or unknown API key");
        }
        account = holder->account;
        priority = holder->priority.value_or(priority);
    }
    poolName = pickPool(*route, services.randomFraction());
    const auto found = table->pools.find(poolName);
    pool = found == table->pools.end() ? ServerPool() : found->second;
    const auto callerTimeout = fields.deadline.value_or(defaultDeadline);
    deadline = arrived + (route->timeout.count() > 0 ? std::min(callerTimeout, route->timeout) : callerTimeout);
    services.retryWindow(poolName).recordRequest(arrived);
    return std::nullopt;
}

void ForwardContext::start()
{
    const std::weak_ptr<ForwardContext> weak = weak_from_this();
    services.activeContexts.insert(this);
    m_timer.expires_at(deadline);
    m_timer.async_wait([weak](const IoError &error) {
        const auto self = weak.lock();
        if (self && !error) {
            self->timedOut = true;
            self->abortCalls();
        }
    });
    connection->setDisconnectHandler([weak] {
        if (const auto self = weak.lock()) {
            self->handleDisconnect();
        }
    });
}

void ForwardContext::handleDisconnect()
{
    ++services.counters.leftCallers.at(static_cast<std::size_t>(place));
    logEvent("request", "caller left",
             { { "id", fields.requestId }, { "place", toString(place) }, { "server", server }, { "ms", age() } });
    abortCalls();
}

void ForwardContext::abortCalls()
{
    m_callInterrupter->interrupt();
    if (m_exchange) {
        m_exchange->abort();
    }
}

bool ForwardContext::maySend()
{
    return isActive() && !connection->checkCallerDisconnected();
}

CallOptions ForwardContext::callOptions(std::chrono::milliseconds timeout)
{
    CallOptions options{ .timeout = timeout };
    options.sendCondition = [self = shared_from_this()] {
        return self->maySend();
    };
    return options;
}

const std::shared_ptr<CallInterrupter> &ForwardContext::callInterrupter() const
{
    return m_callInterrupter;
}

std::shared_ptr<HttpExchange> ForwardContext::startExchange(const Endpoint &serverAddress,
                                                            std::chrono::milliseconds maxIdleTime)
{
    m_exchange = std::make_shared<HttpExchange>(services.pool, serverAddress, maxIdleTime);
    m_exchange->setSendCondition([weak = weak_from_this()] {
        const auto self = weak.lock();
        return self && self->maySend();
    });
    return m_exchange;
}

void ForwardContext::finish()
{
    --services.counters.activeRequests;
    services.activeContexts.erase(this);
    m_timer.cancel();
    m_exchange.reset();
}

void ForwardContext::endEarly()
{
    m_hasEndedEarly = true;
    abortCalls();
}

bool ForwardContext::isActive() const
{
    return !timedOut && !m_hasEndedEarly && !connection->hasCallerDisconnected();
}

bool ForwardContext::hasEndedEarly() const
{
    return m_hasEndedEarly;
}

std::chrono::milliseconds ForwardContext::timeLeft() const
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(deadline - std::chrono::steady_clock::now());
}

std::chrono::milliseconds ForwardContext::age() const
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now() - arrived);
}

wire::ServerFields ForwardContext::serverFields(const std::string &serverId) const
{
    wire::ServerFields out;
    out.server = serverId;
    out.account = account;
    out.deadline = std::max(timeLeft(), std::chrono::milliseconds(1));
    out.priority = priority;
    out.mayResume = route->isResumable;
    return out;
}

void ForwardContext::updateServerState(const std::string &serverId, const wire::ResponseFields &responseFields) const
{
    if (responseFields.isMisdirected) {
        return;
    }
    if (const TrackedServer *tracked = services.directory.find(serverId)) {
        services.serverLimiter.observe(tracked->record, responseFields.limits, fields.requestId,
                                       std::chrono::steady_clock::now());
    }
    if (responseFields.coldLeft) {
        services.directory.setCold(serverId, *responseFields.coldLeft, std::chrono::steady_clock::now());
    }
    if (responseFields.isDraining && services.directory.markDraining(serverId)) {
        logEvent("server", "leaves", { { "server", serverId }, { "source", "answer" }, { "id", fields.requestId } });
        notifyServerDraining(services, serverId);
    }
    if (responseFields.retryAfter) {
        const auto jitter
            = std::chrono::duration_cast<std::chrono::milliseconds>(services.randomFraction() * pauseJitter);
        const auto pause = *responseFields.retryAfter + jitter;
        services.directory.pause(serverId, std::chrono::steady_clock::now() + pause);
        logEvent("server", "requested a pause",
                 { { "server", serverId },
                   { "id", fields.requestId },
                   { "asked_ms", *responseFields.retryAfter },
                   { "ms", pause } });
    }
}

// The hash of the body takes long for a large body, so it is computed only when it is needed.
const RequestTraits &ForwardContext::traits()
{
    if (m_traits.empty()) {
        const std::string host = request[http::field::host].to_string();
        const std::string method = request.method_string().to_string();
        const std::string target = request.target().to_string();
        m_traits.push_back(stableHash(account + "\n" + method + "\n" + host + target + "\n" + request.body()));
        // The first parts of a prompt are shared by most requests, so the last ones are the most specific.
        for (auto part = fields.sharedPromptParts.rbegin(); part != fields.sharedPromptParts.rend(); ++part) {
            m_traits.push_back(stableHash("prompt part\n" + *part));
        }
    }
    return m_traits;
}

Awaitable<void> ForwardContext::recordUnansweredRun(ServerRecord target, SteadyTime sentAt, IoError error)
{
    const auto self = shared_from_this();
    const auto now = std::chrono::steady_clock::now();
    EndedRun run{ .requestId = fields.requestId,
                  .duration = std::chrono::duration_cast<std::chrono::milliseconds>(now - sentAt),
                  .traits = traits(),
                  .promptParts = boost::algorithm::join(fields.sharedPromptParts, "+") };
    if (error == asio::error::operation_aborted || error == asio::error::bad_descriptor) {
        const SuspectTable &table = services.suspects.table();
        const AbandonedCheck check = table.isSuspect(traits()) ? AbandonedCheck::Soon
            : table.hadResponses(traits())                     ? AbandonedCheck::None
                                                               : AbandonedCheck::IfSilent;
        services.crashWatch->recordAbandonedRun(target, std::move(run), sentAt, check);
        co_return;
    }
    services.crashWatch->recordBrokenRun(target, std::move(run));
    co_await services.crashWatch->waitForCheck(target.id);
}

void ForwardContext::recordRefusedConnection(const std::string &serverId, const IoError &error)
{
    if (error == asio::error::connection_refused) {
        services.crashWatch->recordGone(serverId);
    }
}

std::optional<std::uint64_t> ForwardContext::commonServerKey()
{
    const SuspectTable &table = services.suspects.table();
    const bool isSuspect = !table.isEmpty() && table.isSuspect(traits());
    return isSuspect ? std::optional(traits().front()) : std::nullopt;
}

std::optional<Quarantine> ForwardContext::findQuarantine()
{
    if (services.suspects.isEmpty()) {
        return std::nullopt;
    }
    return services.suspects.findQuarantine(traits(), fields.requestId, std::chrono::steady_clock::now());
}

void ForwardContext::recordResponse()
{
    services.crashWatch->recordAlive(server);
    services.suspects.recordResponse(traits(), std::chrono::steady_clock::now());
}

std::string toText(const Quarantine &quarantine)
{
    const std::string common = quarantine.position == 0 ? "this request" : "requests with the same prompt part";
    const std::string state = quarantine.isProvisional ? "held back: " : "quarantined: ";
    return state + std::to_string(quarantine.crashes) + " servers crashed while they ran " + common + " (trait "
        + toText(quarantine.trait) + "), the last one was " + quarantine.lastServer;
}

HttpResponse ForwardContext::makeEntryResponse(http::status status, const std::string &reason) const
{
    HttpResponse response = makeResponse(status, reason + "\n", "text/plain");
    wire::setRequestId(response, fields.requestId);
    return response;
}

// A later version that no entry can read yet may have the key or the route.
HttpResponse ForwardContext::makeUnknownResponse(ConfigurationTrust trust, http::status status,
                                                 const std::string &reason) const
{
    if (trust == ConfigurationTrust::Current) {
        return makeEntryResponse(status, reason);
    }
    ++services.counters.overdueRefusals;
    return makeRefusal(reason + ", by a configuration that the store has not confirmed in time", retryAfterUnconfirmed);
}

HttpResponse ForwardContext::makeRefusal(const std::string &reason, std::chrono::milliseconds retryAfter) const
{
    HttpResponse response = makeEntryResponse(http::status::service_unavailable, reason);
    response.set(http::field::retry_after, formatSeconds(retryAfter));
    return response;
}

bool ForwardContext::mayOutliveProcess() const
{
    return !services.stop.mayTake(deadline);
}

bool ForwardContext::isBlockedByEvacuation() const
{
    return !services.evacuations.all().empty() && isPoolEvacuated(services.directory, poolName);
}

std::string ForwardContext::evacuationReason() const
{
    return "all data centres of pool " + poolName + " are evacuated";
}

ServerFilter ForwardContext::limitFilter() const
{
    const auto now = std::chrono::steady_clock::now();
    return [this, now](const ServerRecord &server) {
        return services.serverLimiter.maySend(server, now) && services.maySendCold(server, pool, now);
    };
}

Awaitable<bool> ForwardContext::isBlockedByLimit() const
{
    const auto isBlocked = [this] {
        return isPoolLimited(services.directory, poolName, limitFilter(), std::chrono::steady_clock::now());
    };
    if (!isBlocked()) {
        co_return false;
    }
    services.serverLimiter.recordWaiting(services.directory, poolName);
    co_await services.entryExchange->refresh();
    const bool isStillBlocked = isBlocked();
    const auto now = std::chrono::steady_clock::now();
    const ServerFilter coldFilter = [this, now](const ServerRecord &server) {
        return services.maySendCold(server, pool, now);
    };
    const bool isCold = isStillBlocked && isPoolLimited(services.directory, poolName, coldFilter, now);
    services.counters.coldRefusals += isCold ? 1 : 0;
    co_return isStillBlocked;
}

std::chrono::milliseconds ForwardContext::retryDelay(std::chrono::milliseconds baseDelay, bool isLimited) const
{
    if (services.stop.isStopping()) {
        return retryAfterStopping;
    }
    if (isBlockedByEvacuation()) {
        const auto jitter
            = std::chrono::duration_cast<std::chrono::milliseconds>(services.randomFraction() * evacuationRetryJitter);
        return retryAfterEvacuation + jitter;
    }
    const auto now = std::chrono::steady_clock::now();
    if (isLimited) {
        const auto wait = services.serverLimiter.refuse(services.directory, poolName, now);
        const auto coldWait = std::chrono::duration_cast<std::chrono::milliseconds>((0.5 + services.randomFraction())
                                                                                    * std::chrono::seconds(1));
        return std::max(baseDelay, wait.value_or(pool.coldRate > 0 ? coldWait : baseDelay));
    }
    const auto end = earliestPauseEnd(services.directory, poolName, now);
    return baseDelay + std::chrono::ceil<std::chrono::milliseconds>(end.value_or(now) - now);
}

HttpResponse ForwardContext::makeFailure(const std::string &reason) const
{
    return makeEntryResponse(timedOut ? http::status::gateway_timeout : http::status::bad_gateway, reason);
}

void ForwardContext::logResponseEnd(const HttpExchange &exchange, ResponseEnd end, std::string_view place,
                                    const IoError &error) const
{
    if (end == ResponseEnd::Complete) {
        return;
    }
    ++(end == ResponseEnd::Unconfirmed ? services.counters.unframedResponses : services.counters.brokenResponses);
    logEvent("response", toString(end),
             { { "id", fields.requestId },
               { "server", server },
               { "framing", toString(exchange.framing()) },
               { "place", place },
               { "reason", error ? error.message() : std::string() } });
}

void ForwardContext::logOutcome(const std::string &outcome, const std::string &reason, Verdict verdict) const
{
    logEvent("request", outcome,
             { { "id", fields.requestId },
               { "route", route ? route->name : std::string() },
               { "account", account },
               { "version", table ? table->version : 0 },
               { "configuration_age_ms", configurationAge.value_or(unknownAge) },
               { "pool", poolName },
               { "server", server },
               { "tries", attempts },
               { "verdict", toString(verdict) },
               { "reason", reason },
               { "ms", age() } });
}

// A server returns the ID of the request with each response that it signs. On a kept connection, a signed response
// without one may be a late second response to an earlier request. Refusals have no ID and are not signed.
Awaitable<IoError> readMatchingHead(HttpExchange &exchange, const std::string &requestId, wire::ResponseFields &fields)
{
    IoError error;
    for (int skipped = 0; skipped <= maxStaleResponses; ++skipped) {
        error = co_await exchange.readHead();
        if (error) {
            co_return error;
        }
        fields = wire::parseResponseFields(exchange.head());
        if (fields.requestId.empty() && fields.isSigned && exchange.isConnectionReused() && !requestId.empty()) {
            logEvent("server", "response without an ID", { { "id", requestId } });
            co_return make_error_code(boost::system::errc::bad_message);
        }
        if (fields.requestId.empty() || fields.requestId == requestId) {
            co_return error;
        }
        logEvent("server", "skipped response to another request",
                 { { "id", requestId }, { "found", fields.requestId } });
        std::string dropped;
        error = co_await exchange.readRest(dropped, maxStaleResponseBytes);
        if (error) {
            co_return error;
        }
    }
    co_return make_error_code(boost::system::errc::bad_message);
}

http::response_header<> makeCallerHead(const ResponseHead &head)
{
    http::response_header<> out = head;
    wire::removeConnectionFields(out);
    out.erase(http::field::content_length);
    return out;
}

BodyFraming callerFraming(ResponseEnd end)
{
    return end == ResponseEnd::Unconfirmed ? BodyFraming::Connection : BodyFraming::Length;
}

Awaitable<void> forwardRequest(std::shared_ptr<ForwardingServices> services, std::shared_ptr<HttpConnection> connection,
                               HttpRequest request)
{
    const auto context = std::make_shared<ForwardContext>(services, connection, std::move(request));
    context->place = RequestPlace::Configuration;
    const ConfigurationTrust trust = co_await services->confirmConfiguration();
    std::optional<HttpResponse> refused = context->admit(trust);
    if (refused) {
        ++services->metrics.refused;
        context->logOutcome("refused", refused->body(), Verdict::NotRun);
        co_await connection->respond(std::move(*refused));
        context->finish();
        co_return;
    }
    context->start();
    if (context->route->kind == RouteKind::Stream && context->pool.engine) {
        const auto forwarder = std::make_shared<GenerationForwarder>(context);
        co_await forwarder->run();
    } else {
        const auto forwarder = std::make_shared<CallForwarder>(context);
        co_await forwarder->run();
    }
    context->finish();
}

} // namespace zinniadock
