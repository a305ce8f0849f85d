#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>

#include <Poco/Net/HTTPServerResponse.h>

#include "zinniadock/process/entryservices.h"
#include "zinniadock/request/callerrequest.h"
#include "zinniadock/request/exchange.h"

namespace zinniadock
{

/// Properties of a prompt that the choice of a server depends on.
struct PromptAffinity
{
    std::uint64_t prefixHash = 0; ///< hash of the start of the prompt; 0 if there is no prompt
    std::uint32_t promptTokens = 0;
};

/// What a request needs of the connection of its caller besides the response.
struct CallerControl
{
    std::function<bool()> hasClosedSending; ///< returns whether the caller has closed its sending side
    /// Sets whether each end of the connection is a reset, also the end of this process.
    std::function<void(bool)> resetOnClose;
};

/// State shared by all attempts of one request at an entry: its caller, its route in one configuration version, and the
/// services of the entry.
class RequestContext
{
public:
    using Clock = std::chrono::steady_clock;

    RequestContext(EntryServices &entryServices, const CallerRequest &callerRequest,
                   Poco::Net::HTTPServerResponse &callerResponse, CallerControl callerControl);

    /// Returns the time until the deadline, which is negative after the deadline.
    std::chrono::milliseconds timeLeft() const;

    Offer makeOffer(GenerationId generation) const;

    /// Offers a request to the best server that is not in \p tried.
    ///
    /// If the link to that server is not open, nothing is sent and the next best server is used. Returns a failure if
    /// no server is left.
    /// \param tried  receives the names of the chosen servers
    /// \param server  receives the name of the server that got the offer
    std::optional<Failure> sendOffer(const Offer &offer, const std::shared_ptr<LinkExchange> &exchange,
                                     std::set<std::string> &tried, std::string &server);

    /// Returns whether a failed request may be retried at another server: the request may succeed there, and the
    /// deadline, the maximum number of attempts and the retry budget allow a retry. Takes one retry from the budget if
    /// it returns true.
    bool takeRetry(const Failure &failure, GenerationId generation);

    /// Records a failure and sends it as the response.
    /// \pre no part of a response was sent
    void fail(const Failure &failure);

    void recordEvent(EventKind kind, GenerationId generation, const std::string &detail);

    /// Counts a failure and records it in the timeline.
    void recordFailure(const Failure &failure);

    EntryServices &services;
    const CallerRequest &request;
    Poco::Net::HTTPServerResponse &response;
    const CallerControl caller;
    const Clock::time_point arrived;
    std::shared_ptr<const Version> version;
    const Account *account = nullptr;
    std::string accountName;
    const Route *route = nullptr;
    std::string routeName;
    PromptAffinity affinity;
    Clock::time_point deadline;

private:
    std::optional<std::string> chooseServer(const std::set<std::string> &tried);
};

/// The sidecar refuses a request at its deadline. The entry waits this much longer for that refusal to arrive.
constexpr std::chrono::milliseconds deadlineSlack{ 2000 };

/// Retry time for the caller of a request that the entry refuses because it is draining, has no configuration, finds no
/// server, or cannot use the idempotency key.
constexpr std::chrono::milliseconds retryAfterNoServer{ 1000 };

/// Converts the failure message of a sidecar.
Failure toFailure(const Failed &message);

/// Returns the failure to report to the caller. This is \p refusal, the failure of an earlier attempt, if \p failure
/// only states that no further server was found: \p refusal has the reason and the retry time. Otherwise it is
/// \p failure.
Failure finalFailure(const Failure &failure, const std::optional<Failure> &refusal);

} // namespace zinniadock
