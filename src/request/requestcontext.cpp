#include "zinniadock/request/requestcontext.h"

#include <algorithm>

#include "zinniadock/process/placing/routing.h"
#include "zinniadock/request/answerwriter.h"

namespace zinniadock
{

namespace
{

constexpr GenerationId maxAttempts = 4;
constexpr std::chrono::microseconds prefillTimePerToken{ 100 };

// Returns whether the request may succeed at another backend server. A retry does not help against the other errors,
// most of which are caused by the request itself.
bool isRetryableElsewhere(const std::error_code &code)
{
    return code == RequestError::QueueFull || code == RequestError::Draining || code == RequestError::NoServer
        || code == RequestError::LinkLost || code == RequestError::EngineLost || code == RequestError::EngineRefused
        || code == RequestError::UnknownRequest;
}

} // namespace

Failure toFailure(const Failed &message)
{
    return Failure{ .code = static_cast<RequestError>(message.error),
                    .verdict = message.verdict,
                    .message = message.message,
                    .retryAfter = message.retryAfter,
                    .crash = message.crashId };
}

Failure finalFailure(const Failure &failure, const std::optional<Failure> &refusal)
{
    return failure.code == RequestError::NoServer && refusal ? *refusal : failure;
}

RequestContext::RequestContext(EntryServices &entryServices, const CallerRequest &callerRequest,
                               Poco::Net::HTTPServerResponse &callerResponse, CallerControl callerControl)
    : services(entryServices)
    , request(callerRequest)
    , response(callerResponse)
    , caller(std::move(callerControl))
    , arrived(Clock::now())
{
}

bool RequestContext::takeRetry(const Failure &failure, GenerationId generation)
{
    return isRetryableElsewhere(failure.code) && generation < maxAttempts && timeLeft().count() > 0
        && services.retries.takeRetry();
}

std::optional<std::string> RequestContext::chooseServer(const std::set<std::string> &tried)
{
    std::vector<ServerView> views = services.links.serverViews(route->pool, version->configuration);
    for (ServerView &view : views) {
        view.isUsable = view.isUsable && !tried.contains(view.name);
    }
    const auto saving = prefillTimePerToken * affinity.promptTokens;
    const auto index = zinniadock::chooseServer(views, affinity.prefixHash, saving, randomNumber());
    return index ? std::optional(views[*index].name) : std::nullopt;
}

std::optional<Failure> RequestContext::sendOffer(const Offer &offer, const std::shared_ptr<LinkExchange> &exchange,
                                                 std::set<std::string> &tried, std::string &server)
{
    for (std::size_t i = 0; i <= version->configuration.pools.at(route->pool).servers.size(); ++i) {
        const auto chosen = chooseServer(tried);
        if (!chosen) {
            break;
        }
        tried.insert(*chosen);
        // Recorded before the offer is sent, so that no event of the sidecar precedes it in the timeline.
        services.timeline.record(EventKind::Offered,
                                 { .request = request.id, .generation = offer.generation, .subject = *chosen });
        if (services.links.offer(*chosen, offer, exchange)) {
            server = *chosen;
            return std::nullopt;
        }
    }
    return Failure{ .code = RequestError::NoServer,
                    .verdict = Verdict::NotRun,
                    .message = "no backend server of pool " + route->pool + " can take the request",
                    .retryAfter = retryAfterNoServer };
}

Offer RequestContext::makeOffer(GenerationId generation) const
{
    return Offer{ .request = request.id,
                  .generation = generation,
                  .account = accountName,
                  .route = routeName,
                  .method = request.method,
                  .path = request.target,
                  .timeLeft = std::max(timeLeft(), std::chrono::milliseconds(1)),
                  .priority = route->priority,
                  .accountWeight = account->share };
}

std::chrono::milliseconds RequestContext::timeLeft() const
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(deadline - Clock::now());
}

void RequestContext::fail(const Failure &failure)
{
    recordFailure(failure);
    sendFailure(response, request.id, failure);
}

void RequestContext::recordEvent(EventKind kind, GenerationId generation, const std::string &detail)
{
    services.timeline.record(kind, { .request = request.id, .generation = generation, .detail = detail });
}

void RequestContext::recordFailure(const Failure &failure)
{
    const bool refused = failure.verdict == Verdict::NotRun;
    ++(refused ? services.metrics.refused : services.metrics.failed);
    recordEvent(refused ? EventKind::Refused : EventKind::Failed, 0,
                failure.message + " (" + std::string(toString(failure.verdict)) + ")");
}

} // namespace zinniadock
