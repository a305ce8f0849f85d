#include "zinniadock/request/requestrunner.h"

#include <algorithm>
#include <numeric>

#include <Poco/Exception.h>

#include "zinniadock/process/log.h"
#include "zinniadock/process/routing.h"

namespace zinniadock
{

namespace
{

constexpr Log log{ "request" };

constexpr GenerationId mostAttempts = 4;
constexpr std::chrono::milliseconds popInterval{ 200 };
constexpr SequenceNumber tokensPerAck = 64;

// A request for which nothing arrives for so long makes its link prove that it works both ways.
constexpr std::chrono::milliseconds quietBeforeProbe{ 400 };

// A broken link is mended by a new one; a request waits for it so long before it is given up.
constexpr std::chrono::milliseconds linkPatience{ 15000 };

// Before its first token a generation is cheaper to run elsewhere than to wait for.
constexpr std::chrono::milliseconds linkPatienceBeforeFirstToken{ 1000 };

// The sidecar refuses a request at its deadline; the entry gives it so long to say so.
constexpr std::chrono::milliseconds deadlineSlack{ 2000 };

constexpr std::chrono::milliseconds retryAfterNoServer{ 1000 };

// A claim that takes longer than this is told in the time line.
constexpr std::chrono::milliseconds longClaim{ 200 };
constexpr std::chrono::microseconds prefillPerToken{ 100 };

Failure failureOf(const Failed &message)
{
    return Failure{ .code = static_cast<RequestError>(message.error),
                    .verdict = message.verdict,
                    .message = message.message,
                    .retryAfter = message.retryAfter,
                    .crash = message.crash };
}

Failure linkLost(Verdict verdict)
{
    return Failure{ .code = RequestError::LinkLost,
                    .verdict = verdict,
                    .message = "the link to the backend server was lost" };
}

// Errors that another backend server may not have; the others come from the request itself.
bool worthAnotherServer(const std::error_code &code)
{
    return code == RequestError::QueueFull || code == RequestError::Draining || code == RequestError::NoServer
        || code == RequestError::LinkLost || code == RequestError::EngineLost || code == RequestError::EngineRefused
        || code == RequestError::UnknownRequest;
}

// Errors that tell against the server, and not against the request, the caller or the load.
bool isFaultOfServer(const std::error_code &code)
{
    return code == RequestError::EngineLost || code == RequestError::EngineRefused || code == RequestError::LinkLost
        || code == RequestError::DeadlineExceeded;
}

// After a refusal the lack of a further server says less than the refusal, which knows when to come back.
Failure lastWord(const Failure &failure, const std::optional<Failure> &refusal)
{
    return failure.code == RequestError::NoServer && refusal ? *refusal : failure;
}

bool isReadMethod(const std::string &method)
{
    return method == "GET" || method == "HEAD";
}

} // namespace

RequestRunner::RequestRunner(EntryServices &services, const CallerRequest &request,
                             Poco::Net::HTTPServerResponse &response, std::function<bool()> callerClosed)
    : m_services(services)
    , m_request(request)
    , m_response(response)
    , m_callerClosed(std::move(callerClosed))
    , m_arrived(Clock::now())
    , m_lastToken(m_arrived)
{
}

void RequestRunner::run()
{
    ++m_services.metrics.requests;
    if (m_services.draining) {
        fail(Failure{ .code = RequestError::Draining,
                      .verdict = Verdict::NotRun,
                      .message = "this entry is leaving",
                      .retryAfter = retryAfterNoServer });
        return;
    }
    if (const auto failure = authenticate()) {
        fail(*failure);
        return;
    }
    if (const auto failure = m_services.limiter.enter(m_accountName, *m_account, Clock::now())) {
        fail(*failure);
        return;
    }
    try {
        runAuthenticated();
    } catch (const Poco::Exception &error) {
        log.info("the caller of request " + m_request.id.text() + " is gone: " + error.displayText());
    }
    m_services.limiter.leave(m_accountName);
}

std::optional<Failure> RequestRunner::authenticate()
{
    m_version = m_services.versions.current();
    if (!m_version) {
        return Failure{ .code = RequestError::NotConfigured,
                        .verdict = Verdict::NotRun,
                        .message = "no configuration is in force yet",
                        .retryAfter = retryAfterNoServer };
    }
    if (m_request.key.empty()) {
        return Failure{ .code = RequestError::Unauthorized,
                        .verdict = Verdict::NotRun,
                        .message = "expected the header Authorization: Bearer KEY" };
    }
    m_account = m_version->accountOfKey(m_request.key, m_accountName);
    if (m_account == nullptr) {
        return Failure{ .code = RequestError::Unauthorized,
                        .verdict = Verdict::NotRun,
                        .message = "the key belongs to no client account" };
    }
    return std::nullopt;
}

void RequestRunner::runAuthenticated()
{
    const bool isGeneration = m_request.path == "/v1/completions" || m_request.path == "/v1/chat/completions";
    if (isGeneration) {
        runGeneration();
        return;
    }
    std::string routeName;
    m_route = m_version->routeOfPath(m_request.path, routeName);
    if (m_route == nullptr) {
        fail(Failure{ .code = RequestError::UnknownRoute,
                      .verdict = Verdict::NotRun,
                      .message = "no route has the path " + m_request.path });
        return;
    }
    if (const auto failure = authorise(routeName)) {
        fail(*failure);
        return;
    }
    runCall();
}

std::optional<Failure> RequestRunner::authorise(const std::string &routeName)
{
    const auto &allowed = m_account->routes;
    if (!allowed.empty() && std::find(allowed.begin(), allowed.end(), routeName) == allowed.end()) {
        return Failure{ .code = RequestError::UnknownRoute,
                        .verdict = Verdict::NotRun,
                        .message = "the client account has no route " + routeName };
    }
    m_routeName = routeName;
    m_services.timeline.record(
        EventKind::Received, { .request = m_request.id, .subject = m_accountName, .detail = "for route " + routeName });
    m_pool = &m_version->configuration.pools.at(m_route->pool);
    m_deadline = m_arrived + std::min(m_request.deadline.value_or(m_route->deadline), m_route->deadline);
    return std::nullopt;
}

void RequestRunner::runGeneration()
{
    if (m_request.method != "POST") {
        fail(Failure{
            .code = RequestError::BadRequest, .verdict = Verdict::NotRun, .message = "expected the method POST" });
        return;
    }
    auto parsed = parseGeneration(m_request);
    if (const auto *failure = std::get_if<Failure>(&parsed)) {
        fail(*failure);
        return;
    }
    m_generation = std::get<GenerationRequest>(parsed);
    const auto position = m_version->configuration.routes.find(m_generation.route);
    if (position == m_version->configuration.routes.end() || !position->second.path.empty()) {
        fail(Failure{ .code = RequestError::UnknownRoute,
                      .verdict = Verdict::NotRun,
                      .message = "model: there is no route \"" + m_generation.route + "\"" });
        return;
    }
    m_route = &position->second;
    if (const auto failure = authorise(m_generation.route)) {
        fail(*failure);
        return;
    }
    if (m_generation.stream) {
        StreamWriter writer(m_response, m_request, m_generation);
        generate(writer);
    } else {
        WholeWriter writer(m_response, m_request, m_generation);
        generate(writer);
    }
}

// Tries servers until a generation is whole. A new generation is begun only while no token has been shown.
template <AnswerWriter Writer>
void RequestRunner::generate(Writer &writer)
{
    std::set<std::string> tried;
    Verdict verdict = Verdict::NotRun;
    std::optional<Failure> refusal;
    m_services.retries.requestSent(m_version->policy().retryBudget);
    for (GenerationId generation = 1;; ++generation) {
        Attempt attempt = attemptGeneration(writer, generation, tried);
        if (attempt.callerGone) {
            ++m_services.metrics.cancelled;
            note(EventKind::Cancelled, generation, {});
            writer.fail(Failure{ .code = RequestError::Cancelled,
                                 .verdict = Verdict::MayHaveRun,
                                 .message = "the caller closed the connection" });
            return;
        }
        if (const auto *finished = std::get_if<Finished>(&attempt.end)) {
            writer.finish({ m_request.id, generation }, finished->tokens, finished->reason);
            ++m_services.metrics.completed;
            m_services.metrics.longestStall.record(m_longestStall);
            note(EventKind::Finished, generation,
                 std::to_string(finished->tokens) + " tokens, longest wait "
                     + std::to_string(m_longestStall.count() / 1000) + " ms");
            return;
        }
        Failure failure = std::get<Failure>(attempt.end);
        verdict = raised(verdict, m_order.next() > 0 ? Verdict::Ran : failure.verdict);
        const bool again = m_order.next() == 0 && worthAnotherServer(failure.code) && generation < mostAttempts
            && timeLeft().count() > 0 && m_services.retries.takeRetry();
        if (!again) {
            failure = lastWord(failure, refusal);
            failure.verdict = verdict;
            countFailure(failure);
            noteFailure(failure);
            writer.fail(failure);
            return;
        }
        refusal = failure;
        ++m_services.metrics.retries;
        log.info("tries request " + m_request.id.text() + " again: " + failure.message);
        note(EventKind::Retried, generation, failure.message);
    }
}

template <AnswerWriter Writer>
RequestRunner::Attempt RequestRunner::attemptGeneration(Writer &writer, GenerationId generation,
                                                        std::set<std::string> &tried)
{
    m_order.follow(generation);
    Offer offer = makeOffer(generation);
    offer.fingerprint = stableHash(m_accountName + "\n" + m_request.body);
    const std::size_t crashes = m_services.links.suspects().crashes(offer.fingerprint, Clock::now());
    if (crashes >= SuspectTable::quarantineCrashes) {
        return Attempt{ .end = Failure{ .code = RequestError::Quarantined,
                                        .verdict = Verdict::NotRun,
                                        .message = "the request was running when two engines crashed" } };
    }
    offer.suspect = crashes > 0;
    offer.kind = RequestKind::Generation;
    offer.promptTokens = m_generation.promptTokens;
    offer.maxTokens = m_generation.maxTokens;
    offer.contentType = "application/json";
    offer.body = engineBody(m_request.body, { m_request.id, generation }, m_route->priority);
    auto exchange = std::make_shared<Exchange>(Resume{ .request = m_request.id,
                                                       .generation = generation,
                                                       .kind = RequestKind::Generation,
                                                       .account = m_accountName,
                                                       .route = m_routeName,
                                                       .maxTokens = offer.maxTokens,
                                                       .promptTokens = offer.promptTokens });
    std::string server;
    if (const auto failure = send(offer, exchange, tried, server)) {
        return Attempt{ .end = *failure };
    }
    m_server = server;
    Attempt attempt = followGeneration(writer, server, exchange);
    noteHealth(server, attempt);
    if (const auto *failure = std::get_if<Failure>(&attempt.end); failure != nullptr && failure->crash != 0) {
        m_services.links.suspects().crashed(offer.fingerprint, failure->crash, Clock::now());
    }
    const bool whole = std::holds_alternative<Finished>(attempt.end) && !attempt.callerGone;
    if (whole) {
        m_services.links.finish(server, *exchange, m_order.next());
    } else {
        m_services.links.cancel(server, *exchange);
    }
    return attempt;
}

template <AnswerWriter Writer>
RequestRunner::Attempt RequestRunner::followGeneration(Writer &writer, const std::string &server,
                                                       const std::shared_ptr<Exchange> &exchange)
{
    std::optional<Clock::time_point> brokenSince;
    Clock::time_point nextProbe = Clock::now() + popInterval;
    Clock::time_point lastEvent = Clock::now();
    while (true) {
        const std::vector<ExchangeEvent> events = exchange->popAll(popInterval);
        if (!events.empty()) {
            lastEvent = Clock::now();
        } else if (Clock::now() - lastEvent > quietBeforeProbe) {
            lastEvent = Clock::now();
            m_services.links.probe(server);
        }
        std::optional<Attempt> end;
        for (const ExchangeEvent &event : events) {
            if (std::holds_alternative<LinkBroken>(event)) {
                brokenSince = brokenSince.value_or(Clock::now());
            } else if (!end) {
                brokenSince.reset();
                end = takeEvent(writer, server, *exchange, event);
            }
        }
        bool callerGone = !writer.flush();
        if (Clock::now() >= nextProbe) {
            nextProbe = Clock::now() + popInterval;
            callerGone = callerGone || (m_callerClosed() && !writer.probe());
        }
        if (callerGone) {
            return Attempt{ .end = linkLost(Verdict::MayHaveRun), .callerGone = true };
        }
        if (!end) {
            end = giveUp(brokenSince);
        }
        if (end) {
            recordGaps();
            return *end;
        }
    }
}

// Says whether nothing more is to be expected of an attempt: its link stays broken, or no token came in time.
std::optional<RequestRunner::Attempt> RequestRunner::giveUp(const std::optional<Clock::time_point> &brokenSince) const
{
    const auto patience = m_order.next() == 0 ? linkPatienceBeforeFirstToken : linkPatience;
    if (brokenSince && Clock::now() - *brokenSince > patience) {
        return Attempt{ .end = linkLost(Verdict::MayHaveRun) };
    }
    if (m_order.next() == 0 && timeLeft() + deadlineSlack < std::chrono::milliseconds(0)) {
        return Attempt{ .end = Failure{ .code = RequestError::DeadlineExceeded,
                                        .verdict = Verdict::MayHaveRun,
                                        .message = "no token arrived before the deadline" } };
    }
    return std::nullopt;
}

template <AnswerWriter Writer>
std::optional<RequestRunner::Attempt> RequestRunner::takeEvent(Writer &writer, const std::string &server,
                                                               Exchange &exchange, const ExchangeEvent &event)
{
    if (const auto *token = std::get_if<Token>(&event)) {
        takeToken(writer, server, exchange, *token);
    } else if (const auto *finished = std::get_if<Finished>(&event)) {
        if (finished->tokens == m_order.next()) {
            return Attempt{ .end = *finished };
        }
        m_services.links.resume(server, exchange);
    } else if (const auto *failed = std::get_if<Failed>(&event)) {
        return Attempt{ .end = failureOf(*failed) };
    }
    return std::nullopt;
}

template <AnswerWriter Writer>
void RequestRunner::takeToken(Writer &writer, const std::string &server, Exchange &exchange, const Token &token)
{
    const TokenAction action = m_order.accept(token.generation, token.sequence);
    if (action == TokenAction::Gap) {
        m_services.links.resume(server, exchange);
    }
    if (action != TokenAction::Deliver) {
        return;
    }
    writer.token(exchange.key(), token.sequence, token.text);
    const auto now = Clock::now();
    const auto gap = std::chrono::duration_cast<std::chrono::microseconds>(now - m_lastToken);
    m_longestStall = std::max(m_longestStall, gap);
    m_lastToken = now;
    if (token.sequence == 0) {
        m_services.metrics.firstToken.record(gap);
        note(EventKind::FirstToken, token.generation, "after " + std::to_string(gap.count() / 1000) + " ms");
    } else {
        m_gaps.push_back(gap);
    }
    exchange.setNext(m_order.next());
    if (m_order.next() % tokensPerAck == 0) {
        m_services.links.acknowledge(server, exchange, m_order.next());
        recordGaps();
    }
}

// The gaps of many tokens go into the process's histogram together, since its lock is shared by all requests.
void RequestRunner::recordGaps()
{
    m_services.metrics.tokenGap.record(m_gaps);
    m_services.metrics.tokens += m_gaps.size();
    m_services.links.health().paced(m_server, static_cast<std::uint32_t>(m_gaps.size()),
                                    std::accumulate(m_gaps.begin(), m_gaps.end(), std::chrono::microseconds(0)),
                                    Clock::now());
    m_gaps.clear();
}

void RequestRunner::noteHealth(const std::string &server, const Attempt &attempt)
{
    if (attempt.callerGone) {
        return;
    }
    const auto *failure = std::get_if<Failure>(&attempt.end);
    if (failure == nullptr) {
        m_services.links.health().succeeded(server, Clock::now());
    } else if (isFaultOfServer(failure->code)) {
        m_services.links.health().failed(server, Clock::now());
    }
}

void RequestRunner::runCall()
{
    const bool mayRepeat = m_route->idempotent || isReadMethod(m_request.method);
    if (!m_request.idempotencyKey.empty() && !mayRepeat) {
        runKeyedCall();
        return;
    }
    m_services.retries.requestSent(m_version->policy().retryBudget);
    std::variant<Reply, Failure> result = call(mayRepeat);
    if (const auto *reply = std::get_if<Reply>(&result)) {
        sendReply(reply->status, reply->contentType, reply->body, false);
    } else {
        fail(std::get<Failure>(result));
    }
}

void RequestRunner::runKeyedCall()
{
    const std::string bodyDigest = sha256(m_request.method + "\n" + m_request.target + "\n" + m_request.body);
    const auto begin = Clock::now();
    const ClaimDecision claim
        = m_services.claims.acquire(m_accountName, m_request.idempotencyKey, m_request.id, bodyDigest);
    const auto took = std::chrono::duration_cast<std::chrono::milliseconds>(Clock::now() - begin);
    if (took > longClaim) {
        m_services.timeline.record(EventKind::StoreSlow, { .detail = durationText(took) });
    }
    switch (claim.result) {
    case ClaimResult::Acquired:
        break;
    case ClaimResult::Answered:
        ++m_services.metrics.replays;
        sendReply(claim.record.outcome->status, claim.record.outcome->contentType, claim.record.outcome->body, true);
        return;
    case ClaimResult::InUse:
        fail(Failure{ .code = RequestError::KeyInUse,
                      .verdict = Verdict::MayHaveRun,
                      .message
                      = "request " + claim.record.request + " holds the idempotency key and its outcome is not known",
                      .retryAfter = retryAfterNoServer });
        return;
    case ClaimResult::Mismatch:
        fail(Failure{ .code = RequestError::KeyMismatch,
                      .verdict = Verdict::NotRun,
                      .message = "the idempotency key belongs to another call" });
        return;
    case ClaimResult::Unavailable:
        fail(Failure{ .code = RequestError::StoreUnavailable,
                      .verdict = Verdict::NotRun,
                      .message = "the store does not answer, so the call was not sent",
                      .retryAfter = retryAfterNoServer });
        return;
    }
    m_services.retries.requestSent(m_version->policy().retryBudget);
    std::variant<Reply, Failure> result = call(false);
    if (const auto *reply = std::get_if<Reply>(&result)) {
        const ClaimOutcome outcome{ .status = reply->status, .contentType = reply->contentType, .body = reply->body };
        if (!m_services.claims.complete(m_accountName, m_request.idempotencyKey, claim, outcome)) {
            log.warning("could not record the outcome of request " + m_request.id.text());
        }
        sendReply(reply->status, reply->contentType, reply->body, false);
        return;
    }
    const Failure &failure = std::get<Failure>(result);
    if (failure.verdict == Verdict::NotRun) {
        m_services.claims.release(m_accountName, m_request.idempotencyKey, claim);
    }
    fail(failure);
}

// A call that may not be repeated goes to another server only where the last one is proven not to have run it.
std::variant<Reply, Failure> RequestRunner::call(bool mayRepeat)
{
    std::set<std::string> tried;
    Verdict verdict = Verdict::NotRun;
    std::optional<Failure> refusal;
    for (GenerationId generation = 1;; ++generation) {
        std::variant<Reply, Failure> result = attemptCall(generation, tried);
        if (std::holds_alternative<Reply>(result)) {
            return result;
        }
        Failure failure = std::get<Failure>(result);
        verdict = raised(verdict, failure.verdict);
        const bool again = (mayRepeat || failure.verdict == Verdict::NotRun) && worthAnotherServer(failure.code)
            && generation < mostAttempts && timeLeft().count() > 0 && m_services.retries.takeRetry();
        if (!again) {
            failure = lastWord(failure, refusal);
            failure.verdict = verdict;
            return failure;
        }
        refusal = failure;
        ++m_services.metrics.retries;
        note(EventKind::Retried, generation, failure.message);
    }
}

std::variant<Reply, Failure> RequestRunner::attemptCall(GenerationId generation, std::set<std::string> &tried)
{
    Offer offer = makeOffer(generation);
    offer.kind = RequestKind::Call;
    offer.contentType = m_request.contentType;
    offer.idempotencyKey = m_request.idempotencyKey;
    offer.body = m_request.body;
    auto exchange = std::make_shared<Exchange>(Resume{ .request = m_request.id,
                                                       .generation = generation,
                                                       .kind = RequestKind::Call,
                                                       .account = m_accountName,
                                                       .route = m_routeName });
    std::string server;
    if (const auto failure = send(offer, exchange, tried, server)) {
        return *failure;
    }
    const auto giveUp = m_deadline + deadlineSlack;
    while (Clock::now() < giveUp) {
        for (ExchangeEvent &event : exchange->popAll(popInterval)) {
            if (auto *reply = std::get_if<Reply>(&event)) {
                m_services.links.finish(server, *exchange, 0);
                return std::move(*reply);
            }
            if (const auto *failed = std::get_if<Failed>(&event)) {
                m_services.links.finish(server, *exchange, 0);
                return failureOf(*failed);
            }
        }
    }
    m_services.links.finish(server, *exchange, 0);
    return Failure{ .code = RequestError::DeadlineExceeded,
                    .verdict = Verdict::MayHaveRun,
                    .message = "no answer arrived before the deadline" };
}

void RequestRunner::sendReply(std::uint32_t status, const std::string &contentType, const std::string &body,
                              bool replayed)
{
    ++m_services.metrics.completed;
    note(EventKind::Finished, 0, replayed ? "with the recorded outcome of an earlier call" : "the call was answered");
    m_response.setStatus(static_cast<Poco::Net::HTTPResponse::HTTPStatus>(status));
    m_response.setReason(Poco::Net::HTTPResponse::getReasonForStatus(m_response.getStatus()));
    setAnswerHeaders(m_response, m_request.id, Verdict::Ran);
    if (replayed) {
        m_response.set("Idempotent-Replayed", "true");
    }
    if (!contentType.empty()) {
        m_response.setContentType(contentType);
    }
    m_response.sendBuffer(body.data(), body.size());
}

std::optional<std::string> RequestRunner::chooseServer(const std::set<std::string> &tried)
{
    std::vector<ServerView> views = m_services.links.views(m_route->pool, m_version->configuration);
    for (ServerView &view : views) {
        view.usable = view.usable && !tried.contains(view.name);
    }
    const auto saving = prefillPerToken * m_generation.promptTokens;
    const auto index = zinniadock::chooseServer(views, m_generation.prefixHash, saving, randomNumber());
    return index ? std::optional(views[*index].name) : std::nullopt;
}

// Offers a request to the best server. Where the link has just gone, nothing was sent and the next one is taken.
std::optional<Failure> RequestRunner::send(const Offer &offer, const std::shared_ptr<Exchange> &exchange,
                                           std::set<std::string> &tried, std::string &server)
{
    for (std::size_t i = 0; i <= m_pool->servers.size(); ++i) {
        const auto chosen = chooseServer(tried);
        if (!chosen) {
            break;
        }
        tried.insert(*chosen);
        // Noted before it is sent, so that no event at the sidecar is earlier.
        m_services.timeline.record(EventKind::Offered,
                                   { .request = m_request.id, .generation = offer.generation, .subject = *chosen });
        if (m_services.links.offer(*chosen, offer, exchange)) {
            server = *chosen;
            return std::nullopt;
        }
    }
    return Failure{ .code = RequestError::NoServer,
                    .verdict = Verdict::NotRun,
                    .message = "no backend server of pool " + m_route->pool + " can take the request",
                    .retryAfter = retryAfterNoServer };
}

Offer RequestRunner::makeOffer(GenerationId generation) const
{
    return Offer{ .request = m_request.id,
                  .generation = generation,
                  .account = m_accountName,
                  .route = m_routeName,
                  .method = m_request.method,
                  .path = m_request.target,
                  .timeLeft = std::max(timeLeft(), std::chrono::milliseconds(1)),
                  .priority = m_route->priority,
                  .share = m_account->share };
}

std::chrono::milliseconds RequestRunner::timeLeft() const
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(m_deadline - Clock::now());
}

void RequestRunner::fail(const Failure &failure)
{
    countFailure(failure);
    noteFailure(failure);
    sendFailure(m_response, m_request.id, failure);
}

void RequestRunner::note(EventKind kind, GenerationId generation, const std::string &detail)
{
    m_services.timeline.record(kind, { .request = m_request.id, .generation = generation, .detail = detail });
}

void RequestRunner::noteFailure(const Failure &failure)
{
    note(failure.verdict == Verdict::NotRun ? EventKind::Refused : EventKind::Failed, 0,
         failure.message + " (" + std::string(toString(failure.verdict)) + ")");
}

void RequestRunner::countFailure(const Failure &failure)
{
    ++(failure.verdict == Verdict::NotRun ? m_services.metrics.refused : m_services.metrics.failed);
}

} // namespace zinniadock
