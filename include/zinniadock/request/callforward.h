#pragma once

#include <memory>
#include <set>
#include <string>

#include "zinniadock/request/forwardscope.h"

namespace zinniadock
{

/// Forwards a request whose answer is passed on as a whole, and repeats it where its route allows that.
class CallForward
{
public:
    explicit CallForward(std::shared_ptr<ForwardScope> scope);

    Awaitable<void> run();

private:
    struct Attempt
    {
        AttemptOutcome outcome = AttemptOutcome::Broken;
        HttpResponse answer; ///< of the server, if it answered
        std::string reason;
    };

    Awaitable<Attempt> tryServer(std::string server);
    Awaitable<Attempt> exchangeWithServer(TrackedServer target);
    Attempt makeFailedAttempt(const HttpExchange &exchange, const std::string &reason) const;
    bool mayRetry(const Attempt &attempt) const;
    bool isFinal(const Attempt &attempt) const;
    Awaitable<void> sendAnswer(Attempt attempt);

    const std::shared_ptr<ForwardScope> m_scope;
    std::set<std::string> m_triedServers;
    std::uint32_t m_possibleRuns = 0; ///< servers on which it may have run
};

} // namespace zinniadock
