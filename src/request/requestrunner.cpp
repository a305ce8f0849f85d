#include "zinniadock/request/requestrunner.h"

#include <algorithm>

#include <Poco/Exception.h>

#include "zinniadock/process/observing/log.h"
#include "zinniadock/request/callattempts.h"
#include "zinniadock/request/generationattempts.h"

namespace zinniadock
{

namespace
{

constexpr Log log{ "request" };

/// Assumed maximum output of a generation whose caller set no limit, in tokens.
constexpr std::uint32_t assumedMaxTokens = 8192;

} // namespace

RequestRunner::RequestRunner(EntryServices &services, const CallerRequest &request,
                             Poco::Net::HTTPServerResponse &response, CallerControl caller)
    : m_context(services, request, response, std::move(caller))
{
}

void RequestRunner::run()
{
    ++m_context.services.metrics.requests;
    if (m_context.services.draining) {
        m_context.fail(Failure{ .code = RequestError::Draining,
                                .verdict = Verdict::NotRun,
                                .message = "the entry is draining",
                                .retryAfter = retryAfterNoServer });
        return;
    }
    if (const auto failure = authenticate()) {
        m_context.fail(*failure);
        return;
    }
    if (const auto failure
        = m_context.services.limiter.acquire(m_context.accountName, *m_context.account, RequestContext::Clock::now())) {
        m_context.fail(*failure);
        return;
    }
    try {
        runAuthenticated();
    } catch (const Poco::Exception &error) {
        log.info("the caller of request " + m_context.request.id.text() + " disconnected: " + error.displayText());
    }
    m_context.services.limiter.release(m_context.accountName);
}

std::optional<Failure> RequestRunner::authenticate()
{
    m_context.version = m_context.services.versions.current();
    if (!m_context.version) {
        return Failure{ .code = RequestError::NotConfigured,
                        .verdict = Verdict::NotRun,
                        .message = "the entry has no configuration yet",
                        .retryAfter = retryAfterNoServer };
    }
    if (m_context.request.key.empty()) {
        return Failure{ .code = RequestError::Unauthorized,
                        .verdict = Verdict::NotRun,
                        .message = "missing API key: expected the header Authorization: Bearer KEY" };
    }
    m_context.account = m_context.version->accountOfKey(m_context.request.key, m_context.accountName);
    if (m_context.account == nullptr) {
        return Failure{ .code = RequestError::Unauthorized,
                        .verdict = Verdict::NotRun,
                        .message = "the API key belongs to no client account" };
    }
    return std::nullopt;
}

void RequestRunner::runAuthenticated()
{
    const bool isGeneration
        = m_context.request.path == "/v1/completions" || m_context.request.path == "/v1/chat/completions";
    if (isGeneration) {
        runGeneration();
        return;
    }
    std::string routeName;
    m_context.route = m_context.version->routeOfPath(m_context.request.path, routeName);
    if (m_context.route == nullptr) {
        m_context.fail(Failure{ .code = RequestError::UnknownRoute,
                                .verdict = Verdict::NotRun,
                                .message = "no route matches the path " + m_context.request.path });
        return;
    }
    if (const auto failure = authorise(routeName)) {
        m_context.fail(*failure);
        return;
    }
    if (const auto failure = checkStop(m_context.deadline)) {
        m_context.fail(*failure);
        return;
    }
    CallAttempts(m_context).run();
}

std::optional<Failure> RequestRunner::authorise(const std::string &routeName)
{
    const auto &allowed = m_context.account->routes;
    if (!allowed.empty() && std::find(allowed.begin(), allowed.end(), routeName) == allowed.end()) {
        return Failure{ .code = RequestError::UnknownRoute,
                        .verdict = Verdict::NotRun,
                        .message
                        = "client account \"" + m_context.accountName + "\" may not use route \"" + routeName + "\"" };
    }
    m_context.routeName = routeName;
    m_context.services.timeline.record(
        EventKind::Received,
        { .request = m_context.request.id, .subject = m_context.accountName, .detail = "for route " + routeName });
    m_context.deadline = m_context.arrived
        + std::min(m_context.request.deadline.value_or(m_context.route->deadline), m_context.route->deadline);
    return std::nullopt;
}

// Returns the failure of a request that may still be in progress when a stopping entry ends.
std::optional<Failure> RequestRunner::checkStop(RequestContext::Clock::time_point latestEnd) const
{
    if (m_context.services.stop.mayTake(latestEnd)) {
        return std::nullopt;
    }
    return Failure{ .code = RequestError::Draining,
                    .verdict = Verdict::NotRun,
                    .message = "the entry is stopping",
                    .retryAfter = retryAfterNoServer };
}

// The deadline applies to the first token. The later tokens are expected at the pace of the slowest recent ones.
RequestContext::Clock::time_point RequestRunner::latestEnd(const GenerationRequest &generation) const
{
    constexpr double slowGapQuantile = 0.99;
    const std::uint32_t tokens = generation.maxTokens > 0 ? generation.maxTokens : assumedMaxTokens;
    return m_context.deadline + tokens * m_context.services.metrics.tokenGap.quantile(slowGapQuantile);
}

void RequestRunner::runGeneration()
{
    if (m_context.request.method != "POST") {
        m_context.fail(Failure{ .code = RequestError::BadRequest,
                                .verdict = Verdict::NotRun,
                                .message = "method " + m_context.request.method + " on " + m_context.request.path
                                    + ": expected POST" });
        return;
    }
    auto parsed = parseGeneration(m_context.request);
    if (const auto *failure = std::get_if<Failure>(&parsed)) {
        m_context.fail(*failure);
        return;
    }
    const auto &generation = std::get<GenerationRequest>(parsed);
    const auto position = m_context.version->configuration.routes.find(generation.route);
    if (position == m_context.version->configuration.routes.end() || !position->second.path.empty()) {
        m_context.fail(Failure{ .code = RequestError::UnknownRoute,
                                .verdict = Verdict::NotRun,
                                .message = "model: expected the name of a route for generations, found \""
                                    + generation.route + "\"" });
        return;
    }
    m_context.route = &position->second;
    if (const auto failure = authorise(generation.route)) {
        m_context.fail(*failure);
        return;
    }
    if (const auto failure = checkStop(latestEnd(generation))) {
        m_context.fail(*failure);
        return;
    }
    m_context.affinity = { .prefixHash = generation.prefixHash, .promptTokens = generation.promptTokens };
    GenerationAttempts(m_context, generation).run();
}

} // namespace zinniadock
