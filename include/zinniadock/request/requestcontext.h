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

/// What the choice of a server for a request depends on.
struct PromptAffinity
{
    std::uint64_t prefixHash = 0; ///< of the start of the prompt; 0 for none
    std::uint32_t promptTokens = 0;
};

/// What all attempts of one request at an entry share: its caller, its route under one version, and the way to servers.
class RequestContext
{
public:
    using Clock = std::chrono::steady_clock;

    /// \param callerHasClosed  says whether the caller has closed its sending side
    RequestContext(EntryServices &entryServices, const CallerRequest &callerRequest,
                   Poco::Net::HTTPServerResponse &callerResponse, std::function<bool()> callerHasClosed);

    /// Returns the time until the deadline; negative after it.
    std::chrono::milliseconds timeLeft() const;

    Offer makeOffer(GenerationId generation) const;

    /// Offers a request to the best server that was not tried. Where the link has just gone, nothing was sent and the
    /// next one is taken.
    /// \param server  gets the name of the server
    std::optional<Failure> sendOffer(const Offer &offer, const std::shared_ptr<Exchange> &exchange,
                                     std::set<std::string> &tried, std::string &server);

    /// Says whether a failed request may go to another server: time and the retry budget allow it, and the failure does
    /// not come from the request itself. Takes one retry if so.
    bool takeRetry(const Failure &failure, GenerationId generation);

    /// Answers with a failure, before any other answer.
    void fail(const Failure &failure);

    void recordEvent(EventKind kind, GenerationId generation, const std::string &detail);

    /// Counts a failure and records its event.
    void recordFailure(const Failure &failure);

    EntryServices &services;
    const CallerRequest &request;
    Poco::Net::HTTPServerResponse &response;
    const std::function<bool()> callerClosed;
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

/// The sidecar refuses a request at its deadline; the entry gives it so long to say so.
constexpr std::chrono::milliseconds deadlineSlack{ 2000 };

/// When to come back after no server could be found.
constexpr std::chrono::milliseconds retryAfterNoServer{ 1000 };

/// Reads the failure that a sidecar sent.
Failure toFailure(const Failed &message);

/// Returns what to tell the caller in the end: after a refusal the lack of a further server says less than the refusal,
/// which knows when to come back.
Failure finalFailure(const Failure &failure, const std::optional<Failure> &refusal);

} // namespace zinniadock
