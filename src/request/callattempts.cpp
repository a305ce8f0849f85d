#include "zinniadock/request/callattempts.h"

#include "zinniadock/process/observing/log.h"
#include "zinniadock/request/answerwriter.h"

namespace zinniadock
{

namespace
{

constexpr Log log{ "request" };

constexpr std::chrono::milliseconds popInterval{ 200 };

// If the store takes longer than this to claim an idempotency key, StoreSlow is recorded in the timeline.
constexpr std::chrono::milliseconds slowClaimThreshold{ 200 };

ClaimOutcome toOutcome(const ServiceResponse &response)
{
    return { .status = response.status,
             .contentType = response.contentType,
             .body = response.body,
             .isEndStated = response.isEndStated };
}

Failure callerLeft(Verdict verdict)
{
    return Failure{ .code = RequestError::Cancelled,
                    .verdict = verdict,
                    .message = "the caller closed the connection" };
}

bool isReadMethod(const std::string &method)
{
    return method == "GET" || method == "HEAD";
}

} // namespace

CallAttempts::CallAttempts(RequestContext &context)
    : m_context(context)
{
}

void CallAttempts::run()
{
    const bool mayRepeat = m_context.route->idempotent || isReadMethod(m_context.request.method);
    if (!m_context.request.idempotencyKey.empty() && !mayRepeat) {
        runWithIdempotencyKey();
        return;
    }
    m_context.services.retries.recordRequest(m_context.version->policy().retryBudget);
    std::variant<ServiceResponse, Failure> result = callWithRetries(mayRepeat);
    if (const auto *serviceResponse = std::get_if<ServiceResponse>(&result)) {
        sendResponse(toOutcome(*serviceResponse), false);
    } else {
        m_context.fail(std::get<Failure>(result));
    }
}

void CallAttempts::runWithIdempotencyKey()
{
    const std::string bodyDigest
        = sha256(m_context.request.method + "\n" + m_context.request.target + "\n" + m_context.request.body);
    const auto begin = Clock::now();
    const ClaimDecision claim = m_context.services.claims.acquire(
        m_context.accountName, m_context.request.idempotencyKey, m_context.request.id, bodyDigest);
    const auto duration = std::chrono::duration_cast<std::chrono::milliseconds>(Clock::now() - begin);
    if (duration > slowClaimThreshold) {
        m_context.services.timeline.record(EventKind::StoreSlow, { .detail = formatMilliseconds(duration) });
    }
    switch (claim.result) {
    case ClaimResult::Acquired:
        break;
    case ClaimResult::Completed:
        ++m_context.services.metrics.replays;
        sendResponse(*claim.record.outcome, true);
        return;
    case ClaimResult::InUse:
        m_context.fail(Failure{ .code = RequestError::KeyInUse,
                                .verdict = Verdict::MayHaveRun,
                                .message = "request " + claim.record.request
                                    + " holds the idempotency key and its outcome is unknown",
                                .retryAfter = retryAfterNoServer });
        return;
    case ClaimResult::Mismatch:
        m_context.fail(
            Failure{ .code = RequestError::KeyMismatch,
                     .verdict = Verdict::NotRun,
                     .message = "the idempotency key was used for a call with another method, target or body" });
        return;
    case ClaimResult::Unavailable:
        m_context.fail(
            Failure{ .code = RequestError::StoreUnavailable,
                     .verdict = Verdict::NotRun,
                     .message = "the call was not sent, since the store of the idempotency keys does not respond",
                     .retryAfter = retryAfterNoServer });
        return;
    }
    m_context.services.retries.recordRequest(m_context.version->policy().retryBudget);
    std::variant<ServiceResponse, Failure> result = callWithRetries(false);
    if (const auto *serviceResponse = std::get_if<ServiceResponse>(&result)) {
        const ClaimOutcome outcome = toOutcome(*serviceResponse);
        if (!m_context.services.claims.complete(m_context.accountName, m_context.request.idempotencyKey, claim,
                                                outcome)) {
            log.warning("could not store the outcome of request " + m_context.request.id.text()
                        + " under its idempotency key");
        }
        sendResponse(outcome, false);
        return;
    }
    const Failure &failure = std::get<Failure>(result);
    if (failure.verdict == Verdict::NotRun) {
        m_context.services.claims.release(m_context.accountName, m_context.request.idempotencyKey, claim);
    }
    m_context.fail(failure);
}

// A call that may not be repeated is retried at another server only if the last server is proven not to have run it.
std::variant<ServiceResponse, Failure> CallAttempts::callWithRetries(bool mayRepeat)
{
    std::set<std::string> tried;
    Verdict verdict = Verdict::NotRun;
    std::optional<Failure> refusal;
    for (GenerationId generation = 1;; ++generation) {
        std::variant<ServiceResponse, Failure> result = attemptCall(generation, tried, mayRepeat);
        if (std::holds_alternative<ServiceResponse>(result)) {
            return result;
        }
        Failure failure = std::get<Failure>(result);
        verdict = strongerVerdict(verdict, failure.verdict);
        const bool willRetry
            = (mayRepeat || failure.verdict == Verdict::NotRun) && m_context.takeRetry(failure, generation);
        if (!willRetry) {
            failure = finalFailure(failure, refusal);
            failure.verdict = verdict;
            return failure;
        }
        refusal = failure;
        ++m_context.services.metrics.retries;
        m_context.recordEvent(EventKind::Retried, generation, failure.message);
    }
}

// A call that may be repeated ends with its caller. Any other call that was sent runs to its end, so that its outcome
// is known.
std::variant<ServiceResponse, Failure> CallAttempts::attemptCall(GenerationId generation, std::set<std::string> &tried,
                                                                 bool mayRepeat)
{
    if (m_context.caller.hasClosedSending()) {
        return callerLeft(Verdict::NotRun);
    }
    Offer offer = m_context.makeOffer(generation);
    offer.kind = RequestKind::Call;
    offer.contentType = m_context.request.contentType;
    offer.idempotencyKey = m_context.request.idempotencyKey;
    offer.body = m_context.request.body;
    auto exchange = std::make_shared<LinkExchange>(Resume{ .request = m_context.request.id,
                                                           .generation = generation,
                                                           .kind = RequestKind::Call,
                                                           .account = m_context.accountName,
                                                           .route = m_context.routeName });
    std::string server;
    if (const auto failure = m_context.sendOffer(offer, exchange, tried, server)) {
        return *failure;
    }
    const auto giveUpAt = m_context.deadline + deadlineSlack;
    while (Clock::now() < giveUpAt) {
        for (ExchangeEvent &event : exchange->popAll(popInterval)) {
            if (auto *serviceResponse = std::get_if<ServiceResponse>(&event)) {
                m_context.services.links.finish(server, *exchange, 0);
                return std::move(*serviceResponse);
            }
            if (const auto *failed = std::get_if<Failed>(&event)) {
                m_context.services.links.finish(server, *exchange, 0);
                return toFailure(*failed);
            }
        }
        if (mayRepeat && m_context.caller.hasClosedSending()) {
            ++m_context.services.metrics.cancelled;
            m_context.services.links.cancel(server, *exchange);
            return callerLeft(Verdict::MayHaveRun);
        }
    }
    m_context.services.links.finish(server, *exchange, 0);
    return Failure{ .code = RequestError::DeadlineExceeded,
                    .verdict = Verdict::MayHaveRun,
                    .message = "no response arrived before the deadline" };
}

void CallAttempts::sendResponse(const ClaimOutcome &outcome, bool replayed)
{
    ++m_context.services.metrics.completed;
    m_context.recordEvent(
        EventKind::Finished, 0,
        std::string(replayed ? "with the stored outcome of an earlier call" : "the service responded to the call")
            + (outcome.isEndStated ? "" : ", without stating the end of the response"));
    m_context.response.setStatus(static_cast<Poco::Net::HTTPResponse::HTTPStatus>(outcome.status));
    m_context.response.setReason(Poco::Net::HTTPResponse::getReasonForStatus(m_context.response.getStatus()));
    setResponseHeaders(m_context.response, m_context.request.id, Verdict::Ran);
    if (replayed) {
        m_context.response.set("Idempotent-Replayed", "true");
    }
    if (!outcome.contentType.empty()) {
        m_context.response.setContentType(outcome.contentType);
    }
    if (outcome.isEndStated) {
        m_context.response.sendBuffer(outcome.body.data(), outcome.body.size());
    } else {
        sendUnframedBody(outcome.body);
    }
}

// A body without a stated end is sent without one: it ends with the connection. Until then, each end is a reset, so
// that a truncated body does not look complete.
void CallAttempts::sendUnframedBody(const std::string &body)
{
    m_context.response.setKeepAlive(false);
    m_context.caller.resetOnClose(true);
    m_context.response.send() << body << std::flush;
    m_context.caller.resetOnClose(false);
}

} // namespace zinniadock
