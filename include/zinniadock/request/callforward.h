#pragma once

#include <memory>
#include <set>
#include <string>

#include "zinniadock/request/forwardscope.h"

namespace zinniadock
{

/// Forwards a request to a plain service and sends the complete response to the caller. Retries a request that is
/// proven not to have run, or whose route is idempotent.
class CallForwarder
{
public:
    explicit CallForwarder(std::shared_ptr<ForwardContext> context);

    Awaitable<void> run();

private:
    struct Attempt
    {
        AttemptOutcome outcome = AttemptOutcome::Unknown;
        HttpResponse response; ///< response of the server; empty if there was none
        ResponseEnd end = ResponseEnd::Complete; ///< what is known of \c response
        std::string reason;
    };

    Awaitable<Attempt> tryServer(std::string server);
    Awaitable<Attempt> exchangeWithServer(TrackedServer target);
    Awaitable<Attempt> runExchange(std::shared_ptr<HttpExchange> exchange, TrackedServer target);
    Attempt makeFailedAttempt(const HttpExchange &exchange, const std::string &reason) const;
    bool mayRetry(const Attempt &attempt) const;
    bool isFinal(const Attempt &attempt) const;
    Awaitable<void> sendResponse(Attempt attempt);

    const std::shared_ptr<ForwardContext> m_context;
    std::set<std::string> m_triedServers;
    std::optional<Quarantine> m_quarantine; ///< why the request is not sent to a server any more
    bool m_isLimited = false; ///< the limits of the servers leave no request for this one
    std::uint32_t m_possibleRuns = 0; ///< number of attempts in which the request may have run
};

} // namespace zinniadock
