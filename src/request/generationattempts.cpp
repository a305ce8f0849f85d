#include "zinniadock/request/generationattempts.h"

#include <algorithm>
#include <numeric>

#include "zinniadock/process/observing/log.h"
#include "zinniadock/process/placing/routing.h"

namespace zinniadock
{

namespace
{

constexpr Log log{ "request" };

constexpr std::chrono::milliseconds popInterval{ 200 };
constexpr SequenceNumber tokensPerAck = 64;

// If no event of a request arrives for this long, the entry sends a Ping on the link and expects a Pong.
constexpr std::chrono::milliseconds linkProbeDelay{ 400 };

// Maximum time that a request waits for the replacement of a broken link before it fails.
constexpr std::chrono::milliseconds maxLinkOutage{ 15000 };

// Shorter than maxLinkOutage, since a generation without tokens is cheaper to retry elsewhere than to wait for.
constexpr std::chrono::milliseconds maxLinkOutageBeforeFirstToken{ 1000 };

Failure linkLost(Verdict verdict)
{
    return Failure{ .code = RequestError::LinkLost,
                    .verdict = verdict,
                    .message = "the link to the sidecar of the backend server was lost" };
}

// Returns whether the error is caused by the server, and not by the request, the caller or the load.
bool isServerFault(const std::error_code &code)
{
    return code == RequestError::EngineLost || code == RequestError::EngineRefused || code == RequestError::LinkLost
        || code == RequestError::DeadlineExceeded;
}

} // namespace

GenerationAttempts::GenerationAttempts(RequestContext &context, const GenerationRequest &generation)
    : m_context(context)
    , m_generation(generation)
    , m_lastTokenAt(context.arrived)
{
}

void GenerationAttempts::run()
{
    if (m_generation.stream) {
        StreamWriter writer(m_context.response, m_context.request, m_generation);
        generate(writer);
    } else {
        BufferedWriter writer(m_context.response, m_context.request, m_generation);
        generate(writer);
    }
}

// Tries servers until a generation is complete. A new generation starts only if the caller has got no token.
template <ResponseWriter Writer>
void GenerationAttempts::generate(Writer &writer)
{
    std::set<std::string> tried;
    Verdict verdict = Verdict::NotRun;
    std::optional<Failure> refusal;
    m_context.services.retries.recordRequest(m_context.version->policy().retryBudget);
    for (GenerationId generation = 1;; ++generation) {
        Attempt attempt = attemptGeneration(writer, generation, tried);
        if (attempt.callerDisconnected) {
            ++m_context.services.metrics.cancelled;
            m_context.recordEvent(EventKind::Cancelled, generation, {});
            writer.fail(Failure{ .code = RequestError::Cancelled,
                                 .verdict = Verdict::MayHaveRun,
                                 .message = "the caller closed the connection" });
            return;
        }
        if (const auto *finished = std::get_if<Finished>(&attempt.end)) {
            ++m_context.services.metrics.completed;
            m_context.services.metrics.maxStall.record(m_maxStall);
            // Recorded before the end is sent, so that a caller who got the end finds the event in the timeline.
            m_context.recordEvent(
                EventKind::Finished, generation,
                std::to_string(finished->tokens) + " tokens, maximum wait "
                    + formatMilliseconds(std::chrono::duration_cast<std::chrono::milliseconds>(m_maxStall)));
            writer.finish({ m_context.request.id, generation }, finished->tokens, finished->reason);
            return;
        }
        Failure failure = std::get<Failure>(attempt.end);
        verdict = strongerVerdict(verdict, m_order.next() > 0 ? Verdict::Ran : failure.verdict);
        const bool willRetry = m_order.next() == 0 && m_context.takeRetry(failure, generation);
        if (!willRetry) {
            failure = finalFailure(failure, refusal);
            failure.verdict = verdict;
            m_context.recordFailure(failure);
            writer.fail(failure);
            return;
        }
        refusal = failure;
        ++m_context.services.metrics.retries;
        log.info("retrying request " + m_context.request.id.text() + " after generation " + std::to_string(generation)
                 + " failed: " + failure.message);
        m_context.recordEvent(EventKind::Retried, generation, failure.message);
    }
}

template <ResponseWriter Writer>
GenerationAttempts::Attempt GenerationAttempts::attemptGeneration(Writer &writer, GenerationId generation,
                                                                  std::set<std::string> &tried)
{
    m_order.follow(generation);
    Offer offer = m_context.makeOffer(generation);
    offer.fingerprint = stableHash(m_context.accountName + "\n" + m_context.request.body);
    LinkPool &links = m_context.services.links;
    if (const auto quarantine = links.findQuarantine(offer.fingerprint, m_context.request.id.text())) {
        return Attempt{ .end = Failure{ .code = RequestError::Quarantined,
                                        .verdict = Verdict::NotRun,
                                        .message = "the request is quarantined: it was running during "
                                            + std::to_string(quarantine->crashes) + " engine crashes" } };
    }
    offer.isSuspect = links.crashCount(offer.fingerprint) > 0;
    offer.kind = RequestKind::Generation;
    offer.promptTokens = m_generation.promptTokens;
    offer.maxTokens = m_generation.maxTokens;
    offer.contentType = "application/json";
    offer.body = engineBody(m_context.request.body, { m_context.request.id, generation }, m_context.route->priority);
    auto exchange = std::make_shared<LinkExchange>(Resume{ .request = m_context.request.id,
                                                           .generation = generation,
                                                           .kind = RequestKind::Generation,
                                                           .account = m_context.accountName,
                                                           .route = m_context.routeName,
                                                           .maxTokens = offer.maxTokens,
                                                           .promptTokens = offer.promptTokens });
    std::string server;
    if (const auto failure = m_context.sendOffer(offer, exchange, tried, server)) {
        return Attempt{ .end = *failure };
    }
    Attempt attempt = followGeneration(writer, server, exchange);
    recordServerHealth(server, attempt);
    if (const auto *failure = std::get_if<Failure>(&attempt.end); failure != nullptr && failure->crash != 0) {
        links.recordCrash(offer.fingerprint, failure->crash);
    }
    const bool isComplete = std::holds_alternative<Finished>(attempt.end) && !attempt.callerDisconnected;
    if (isComplete) {
        links.recordResponse(offer.fingerprint);
        m_context.services.links.finish(server, *exchange, m_order.next());
    } else {
        m_context.services.links.cancel(server, *exchange);
    }
    return attempt;
}

template <ResponseWriter Writer>
GenerationAttempts::Attempt GenerationAttempts::followGeneration(Writer &writer, const std::string &server,
                                                                 const std::shared_ptr<LinkExchange> &exchange)
{
    std::optional<Clock::time_point> brokenSince;
    Clock::time_point nextProbe = Clock::now() + popInterval;
    Clock::time_point lastEvent = Clock::now();
    while (true) {
        const std::vector<ExchangeEvent> events = exchange->popAll(popInterval);
        if (!events.empty()) {
            lastEvent = Clock::now();
        } else if (Clock::now() - lastEvent > linkProbeDelay) {
            lastEvent = Clock::now();
            m_context.services.links.probe(server);
        }
        std::optional<Attempt> end;
        for (const ExchangeEvent &event : events) {
            if (std::holds_alternative<LinkBroken>(event)) {
                brokenSince = brokenSince.value_or(Clock::now());
            } else if (!end) {
                brokenSince.reset();
                end = handleEvent(writer, server, *exchange, event);
            }
        }
        bool callerDisconnected = !writer.flush();
        if (Clock::now() >= nextProbe) {
            nextProbe = Clock::now() + popInterval;
            callerDisconnected = callerDisconnected || (m_context.caller.hasClosedSending() && !writer.probeCaller());
        }
        if (callerDisconnected) {
            return Attempt{ .end = linkLost(Verdict::MayHaveRun), .callerDisconnected = true };
        }
        if (!end) {
            end = checkTimeouts(brokenSince);
        }
        if (end) {
            recordGaps(server);
            return *end;
        }
    }
}

// Returns the failure of an attempt whose link has been broken for too long, or whose first token has not arrived
// deadlineSlack after the deadline; otherwise nothing.
std::optional<GenerationAttempts::Attempt> GenerationAttempts::checkTimeouts(
    const std::optional<Clock::time_point> &brokenSince) const
{
    const auto maxOutage = m_order.next() == 0 ? maxLinkOutageBeforeFirstToken : maxLinkOutage;
    if (brokenSince && Clock::now() - *brokenSince > maxOutage) {
        return Attempt{ .end = linkLost(Verdict::MayHaveRun) };
    }
    if (m_order.next() == 0 && m_context.timeLeft() + deadlineSlack < std::chrono::milliseconds(0)) {
        return Attempt{ .end = Failure{ .code = RequestError::DeadlineExceeded,
                                        .verdict = Verdict::MayHaveRun,
                                        .message = "no token arrived before the deadline" } };
    }
    return std::nullopt;
}

template <ResponseWriter Writer>
std::optional<GenerationAttempts::Attempt> GenerationAttempts::handleEvent(Writer &writer, const std::string &server,
                                                                           LinkExchange &exchange,
                                                                           const ExchangeEvent &event)
{
    if (const auto *token = std::get_if<Token>(&event)) {
        handleToken(writer, server, exchange, *token);
    } else if (const auto *finished = std::get_if<Finished>(&event)) {
        if (finished->tokens == m_order.next()) {
            return Attempt{ .end = *finished };
        }
        m_context.services.links.resume(server, exchange);
    } else if (const auto *failed = std::get_if<Failed>(&event)) {
        return Attempt{ .end = toFailure(*failed) };
    }
    return std::nullopt;
}

template <ResponseWriter Writer>
void GenerationAttempts::handleToken(Writer &writer, const std::string &server, LinkExchange &exchange,
                                     const Token &token)
{
    const TokenAction action = m_order.accept(token.generation, token.sequence);
    if (action == TokenAction::Gap) {
        m_context.services.links.resume(server, exchange);
    }
    if (action != TokenAction::Deliver) {
        return;
    }
    writer.addToken(exchange.key(), token.sequence, token.text);
    const auto now = Clock::now();
    const auto gap = std::chrono::duration_cast<std::chrono::microseconds>(now - m_lastTokenAt);
    m_maxStall = std::max(m_maxStall, gap);
    m_lastTokenAt = now;
    if (token.sequence == 0) {
        m_context.services.metrics.firstToken.record(gap);
        m_context.recordEvent(EventKind::FirstToken, token.generation,
                              "after "
                                  + formatMilliseconds(std::chrono::duration_cast<std::chrono::milliseconds>(gap)));
    } else {
        m_gaps.push_back(gap);
    }
    exchange.setNext(m_order.next());
    if (m_order.next() % tokensPerAck == 0) {
        m_context.services.links.acknowledge(server, exchange, m_order.next());
        recordGaps(server);
    }
}

// Records the gaps of many tokens at once, since all requests share the lock of the histogram.
void GenerationAttempts::recordGaps(const std::string &server)
{
    m_context.services.metrics.tokenGap.record(m_gaps);
    m_context.services.metrics.tokens += m_gaps.size();
    m_context.services.links.health().recordTokenGaps(
        server, static_cast<std::uint32_t>(m_gaps.size()),
        std::accumulate(m_gaps.begin(), m_gaps.end(), std::chrono::microseconds(0)), Clock::now());
    m_gaps.clear();
}

void GenerationAttempts::recordServerHealth(const std::string &server, const Attempt &attempt)
{
    if (attempt.callerDisconnected) {
        return;
    }
    const auto *failure = std::get_if<Failure>(&attempt.end);
    if (failure == nullptr) {
        m_context.services.links.health().recordSuccess(server, Clock::now());
    } else if (isServerFault(failure->code)) {
        m_context.services.links.health().recordFailure(server, Clock::now());
    }
}

} // namespace zinniadock
