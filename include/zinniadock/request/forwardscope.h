#pragma once

#include <chrono>
#include <memory>
#include <optional>
#include <string>

#include "zinniadock/connection/httplistener.h"
#include "zinniadock/connection/wireform.h"
#include "zinniadock/process/eventlog.h"
#include "zinniadock/process/forwardingservices.h"
#include "zinniadock/request/verdict.h"

namespace zinniadock
{

/// What one try to have a server answer came to.
enum class AttemptOutcome {
    Answered, ///< a whole answer that bears the server's signature
    NotRun, ///< proven not to have run there
    Broken, ///< no whole answer; the request may have run
};

/// What all parts of one forwarded request share: its caller, its route under one configuration, and its deadline.
class ForwardScope : public std::enable_shared_from_this<ForwardScope>
{
public:
    ForwardScope(ForwardingServices &forwardingServices, std::shared_ptr<HttpConnection> callerConnection,
                 HttpRequest callerRequest);

    /// Finds route and client account; an answer if the request goes no further.
    std::optional<HttpResponse> admit();

    /// Begins to watch the deadline and the caller. \pre admit() returned nothing
    void start();

    /// Stops watching.
    void finish();

    /// Says whether the request is still wanted: in time, and its caller is there.
    bool isActive() const;

    std::chrono::milliseconds timeLeft() const;

    /// Returns the milliseconds since the request arrived.
    std::chrono::milliseconds age() const;

    /// Returns the fields for a server, but for those that concern a move.
    wire::ServerFields serverFields(const std::string &server) const;

    /// Sets the exchange that is broken off at the deadline or when the caller leaves.
    void setExchange(std::shared_ptr<HttpExchange> current);

    /// Takes what an answer says of the server that made it: that it leaves, or wants a pause.
    void updateServerState(const std::string &serverId, const wire::ResponseFields &answer) const;

    /// Makes an answer of the system's own.
    HttpResponse makeEntryAnswer(http::status status, const std::string &reason) const;

    /// Says whether the process is asked to stop, and ends before the request would have to.
    bool mayOutliveProcess() const;

    /// Returns when the caller of a refused request is to come back: at once over another entry if this one is
    /// stopping, else after the ordinary time, from when some server of the pool takes work.
    std::chrono::milliseconds retryDelay(std::chrono::milliseconds ordinary) const;

    /// Makes an answer that promises that the request has not run.
    HttpResponse makeRefusal(const std::string &reason, std::chrono::milliseconds retryAfter) const;

    /// Makes the answer after the deadline, or after a try whose end is unknown.
    HttpResponse makeFailure(const std::string &reason) const;

    /// Writes the line that says how the request ended.
    void logOutcome(const std::string &outcome, const std::string &reason, Verdict verdict) const;

    ForwardingServices &services;
    const std::shared_ptr<HttpConnection> connection;
    const HttpRequest request;
    const wire::CallerFields fields;
    const SteadyTime arrived;
    SteadyTime deadline;
    std::shared_ptr<const RouteTable> table;
    const ForwardRoute *route = nullptr;
    std::string account;
    std::uint32_t priority = 0;
    std::string poolName;
    ServerPool pool;
    std::string server; ///< the last one that got the request
    std::uint32_t attempts = 0;
    bool timedOut = false;

private:
    std::shared_ptr<HttpExchange> m_exchange;
    asio::steady_timer m_timer;
};

/// Reads the answer to a request on an exchange, passing over answers to other requests that came late.
Awaitable<IoError> readMatchingHead(HttpExchange &exchange, const std::string &requestId, wire::ResponseFields &fields);

/// Copies the fields of a server's answer that concern its caller.
http::response_header<> makeCallerHead(const ResponseHead &head);

/// Forwards one request of a caller and answers it.
Awaitable<void> forwardRequest(ForwardingServices &services, std::shared_ptr<HttpConnection> connection,
                               HttpRequest request);

} // namespace zinniadock
