#pragma once

#include <chrono>
#include <memory>
#include <optional>
#include <string>

#include "zinniadock/connection/httplistener.h"
#include "zinniadock/connection/wireform.h"
#include "zinniadock/process/crashes/crashreport.h"
#include "zinniadock/process/forwardingservices.h"
#include "zinniadock/process/observing/eventlog.h"
#include "zinniadock/request/verdict.h"

namespace zinniadock
{

/// Result of one attempt at a server.
enum class AttemptOutcome {
    Responded, ///< a complete response with the server's signature
    NotRun, ///< the request is proven not to have run at the server
    Unknown, ///< no complete response, or no signature; the request may have run
};

/// Context of one forwarded request: its caller, its route in one configuration version, its deadline, and its
/// attempts.
class ForwardContext : public std::enable_shared_from_this<ForwardContext>
{
public:
    /// \param forwardingServices  kept alive until the request has ended, also if the entry ends before
    ForwardContext(std::shared_ptr<ForwardingServices> forwardingServices,
                   std::shared_ptr<HttpConnection> callerConnection, HttpRequest callerRequest);

    /// Finds the route, the client account and the pool. Returns the response if the request is rejected.
    /// \param trust  how far the request may rely on the configuration
    std::optional<HttpResponse> admit(ConfigurationTrust trust);

    /// Starts to monitor the request: aborts the current exchange at the deadline or when the caller disconnects.
    /// \pre admit() returned nothing
    void start();

    /// Stops the monitoring that start() began, and counts the request as ended.
    void finish();

    /// Ends the request before the process ends: aborts the current exchange, and keeps the request from another one.
    void endEarly();

    /// Returns whether the deadline has not passed, the caller is connected and endEarly() was not called.
    bool isActive() const;

    /// Returns whether anything may be sent on for the request: it is active, and its caller has not closed the
    /// connection, as far as the close has reached this instance. To be checked right before each send.
    bool maySend();

    /// Returns the options of a call that is made for the request, which is not sent if maySend() does not hold.
    CallOptions callOptions(std::chrono::milliseconds timeout);

    /// Returns what ends a call at the deadline or when the caller disconnects.
    const std::shared_ptr<CallInterrupter> &callInterrupter() const;

    /// Returns an exchange for the request, which is not sent if maySend() does not hold. It is aborted at the deadline
    /// or when the caller disconnects, in place of an earlier one.
    std::shared_ptr<HttpExchange> startExchange(const Endpoint &server, std::chrono::milliseconds maxIdleTime);

    /// Returns the time until the deadline, which is negative after the deadline.
    std::chrono::milliseconds timeLeft() const;

    /// Returns the time since the request arrived.
    std::chrono::milliseconds age() const;

    /// Returns the header fields of the request to a server, except those of a reservation, a resumed stream or a move.
    wire::ServerFields serverFields(const std::string &server) const;

    /// Updates the server's state from the fields of its response: that the server is draining, or requests a pause.
    void updateServerState(const std::string &serverId, const wire::ResponseFields &responseFields) const;

    /// Returns the traits by which the request is recognised when it comes again.
    const RequestTraits &traits();

    /// Records that the exchange with a server ended before a whole response arrived: its connection broke, or the
    /// entry has closed it. Waits until a server whose connection broke has been checked. \pre the request was sent, if
    /// only in part
    Awaitable<void> recordUnansweredRun(ServerRecord target, SteadyTime sentAt, IoError error);

    /// Records that a server refused a connection. Does nothing after other errors.
    void recordRefusedConnection(const std::string &serverId, const IoError &error);

    /// Returns a key of the request if servers have crashed on it, so that all entries send it to the same server. A
    /// request that crashes servers then crashes one at a time.
    std::optional<std::uint64_t> commonServerKey();

    /// Returns why the request must not be sent to a server, since it may crash it; nothing if it may be sent.
    std::optional<Quarantine> findQuarantine();

    /// Records that the last server responded to the request, so that the request does not crash servers.
    void recordResponse();

    /// Returns a text response of the entry itself.
    HttpResponse makeEntryResponse(http::status status, const std::string &reason) const;

    /// Returns whether the process is stopping and ends before the deadline of the request.
    bool mayOutliveProcess() const;

    /// Returns whether endEarly() was called.
    bool hasEndedEarly() const;

    /// Returns the retry time for the caller of a refused request. It is short if this entry is stopping, since another
    /// entry can accept the request. Otherwise it is \p baseDelay. If all servers of the pool that are not draining are
    /// paused, the time until the first of these pauses ends is added. If \p isLimited, it is at least the expected
    /// time until the limits of the pool allow the request.
    std::chrono::milliseconds retryDelay(std::chrono::milliseconds baseDelay, bool isLimited) const;

    /// Returns whether all data centres of the pool are evacuated, so that the request can't be sent.
    bool isBlockedByEvacuation() const;

    /// Returns the reason of the refusal of a request that isBlockedByEvacuation().
    std::string evacuationReason() const;

    /// Returns a filter of the servers whose limit allows a request now, also while they are cold. It is used only
    /// while this object exists.
    ServerFilter limitFilter() const;

    /// Asks for permits if the limits of the servers leave none for the request. Returns whether the request can't be
    /// sent because of these limits.
    Awaitable<bool> isBlockedByLimit() const;

    /// Returns the response to a request that the configuration does not know. Such a request is refused for good only
    /// by a current configuration.
    HttpResponse makeUnknownResponse(ConfigurationTrust trust, http::status status, const std::string &reason) const;

    /// Returns a response that states that the request has not run.
    HttpResponse makeRefusal(const std::string &reason, std::chrono::milliseconds retryAfter) const;

    /// Returns the response to a request that failed and may have run: status 504 after the deadline, 502 otherwise.
    HttpResponse makeFailure(const std::string &reason) const;

    /// Logs and counts a response that has ended after its head. Does nothing if it is complete.
    /// \param end  what is known of the response; a stream may be broken off although its HTTP response is complete
    /// \param place  where the body ended
    /// \param error  the error with which reading the body ended
    void logResponseEnd(const HttpExchange &exchange, ResponseEnd end, std::string_view place,
                        const IoError &error) const;

    /// Logs how the request ended.
    void logOutcome(const std::string &outcome, const std::string &reason, Verdict verdict) const;

    ForwardingServices &services;
    const std::shared_ptr<HttpConnection> connection;
    const HttpRequest request;
    const wire::CallerFields fields;
    const SteadyTime arrived;
    SteadyTime deadline;
    std::shared_ptr<const RouteTable> table;
    /// Time since the store last confirmed the configuration when it was chosen; nothing before the first confirmation.
    std::optional<std::chrono::milliseconds> configurationAge;
    const ForwardRoute *route = nullptr;
    std::string account;
    std::uint32_t priority = 0;
    std::string poolName;
    ServerPool pool;
    std::string server; ///< the last server that got the request
    std::uint32_t attempts = 0;
    bool timedOut = false;
    RequestPlace place = RequestPlace::Received;

private:
    void handleDisconnect();
    void abortCalls();

    const std::shared_ptr<ForwardingServices> m_sharedServices;
    std::shared_ptr<HttpExchange> m_exchange;
    const std::shared_ptr<CallInterrupter> m_callInterrupter = std::make_shared<CallInterrupter>();
    bool m_hasEndedEarly = false;
    asio::steady_timer m_timer;
    RequestTraits m_traits; ///< empty until they are needed
};

/// Returns the reason of a refusal because of a quarantine.
std::string toText(const Quarantine &quarantine);

/// Reads the head of the response to a request. Skips late responses to earlier requests on the same connection.
/// Returns an error if there are too many of them.
Awaitable<IoError> readMatchingHead(HttpExchange &exchange, const std::string &requestId, wire::ResponseFields &fields);

/// Returns the head for the caller: a server's head without the connection fields and the content length.
http::response_header<> makeCallerHead(const ResponseHead &head);

/// Returns the framing of the caller's response for a whole response of a server, so that it states no end that the
/// server did not state.
BodyFraming callerFraming(ResponseEnd end);

/// Forwards one request of a caller and sends the response.
Awaitable<void> forwardRequest(std::shared_ptr<ForwardingServices> services, std::shared_ptr<HttpConnection> connection,
                               HttpRequest request);

} // namespace zinniadock
