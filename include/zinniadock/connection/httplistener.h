#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <system_error>
#include <vector>

#include "zinniadock/connection/asynctypes.h"

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/parser.hpp>

#include "zinniadock/connection/callerbudget.h"
#include "zinniadock/connection/httpmessage.h"
#include "zinniadock/connection/responseend.h"
#include "zinniadock/version/routetable.h"

namespace zinniadock
{

class HttpConnection;

/// Handles one request and responds on the connection that it arrived on.
using HttpHandler = std::function<Awaitable<void>(std::shared_ptr<HttpConnection>, HttpRequest)>;

/// Returns the limits on callers' requests that are currently in force.
using CallerLimitsProvider = std::function<CallerLimits()>;

/// Returns the limits for requests of the system's own processes and of the platform.
CallerLimits internalListenerLimits();

/// One caller's connection. Reads requests within time and size limits and writes their responses, one at a time.
class HttpConnection : public std::enable_shared_from_this<HttpConnection>
{
public:
    HttpConnection(asio::ip::tcp::socket socket, HttpHandler handler, CallerLimitsProvider limits,
                   std::shared_ptr<const bool> keepAliveDisabled, std::shared_ptr<CallerBudget> budget);
    ~HttpConnection();

    HttpConnection(const HttpConnection &) = delete;
    HttpConnection &operator=(const HttpConnection &) = delete;

    Awaitable<void> serve();

    /// Writes a response with its whole body. If a response to the request has begun, closes the connection instead,
    /// since the caller would take the bytes for a part of that response.
    /// \param framing  Connection for a body that ends with the connection, since nobody has stated that it is
    /// complete; the response has its length otherwise
    Awaitable<void> respond(HttpResponse response, BodyFraming framing = BodyFraming::Length);

    /// Writes the head of a response whose body follows with writePiece(). If a response to the request has begun,
    /// closes the connection instead and returns an error.
    /// \param framing  Connection for a body that ends with the connection; the body is sent in chunks otherwise
    Awaitable<IoError> startStream(http::response_header<> head, BodyFraming framing);
    Awaitable<IoError> writePiece(const std::string &piece);

    /// Ends a body that startStream() began: writes the last chunk, or closes the connection without an error.
    Awaitable<void> endStream();

    /// Closes the connection. A response in progress is truncated. If its body ends with the connection, the connection
    /// is reset.
    void abort();

    /// Closes the connection if no request is in progress on it. Returns whether it did.
    bool closeIfIdle();

    bool isOpen() const;

    /// Returns whether the caller has closed the connection, or a write before the last chunk has failed. A caller that
    /// has closed only its sending side counts as disconnected.
    bool hasCallerDisconnected() const;

    /// As hasCallerDisconnected(), but looks at the socket first, and so finds a close that has arrived and that the
    /// event loop has not reported yet. Runs the disconnect handler if it finds one.
    bool checkCallerDisconnected();

    /// Sets a handler that runs once if, while the request is handled, the caller closes the connection or a write of
    /// startStream() or writePiece() fails. Runs the handler at once if the caller has already disconnected.
    void setDisconnectHandler(std::function<void()> handler);

private:
    /// State of the response to the request in progress.
    enum class ResponseState {
        NotBegun,
        Streaming, ///< startStream() has sent the head, and the body is not complete
        Ended,
    };

    using RequestParser = http::request_parser<http::string_body>;

    /// A request that is received.
    struct Reception
    {
        RequestParser parser;
        CallerLimits limits;
        std::size_t extensionBytes = 0; ///< of all chunk extensions
        std::size_t headBytes = 0; ///< memory of the head, known when it is complete
    };

    /// Receives one request. Returns an error if there is none, also if it was abandoned.
    Awaitable<IoError> readRequest(HttpRequest &request);
    Awaitable<IoError> receive(Reception &reception);
    Awaitable<IoError> awaitRequest(const CallerLimits &limits);
    void receiveArrived();
    Awaitable<IoError> receiveHeadBytes(Reception &reception);
    Awaitable<IoError> receiveBody(Reception &reception);
    Awaitable<IoError> receiveBodyBytes(Reception &reception, BodyProgress &progress);
    void parse(Reception &reception, IoError &error);

    /// Counts what is received in the budget, and \p moreBytes. Returns an error if there is no room for it.
    IoError holdReceived(const Reception &reception, std::size_t moreBytes);
    void watchProgress(const std::shared_ptr<asio::steady_timer> &timer, const std::shared_ptr<BodyProgress> &progress);

    /// Frees what the request that is received holds, and ends its reception.
    void abandon(RefusalCause cause);

    /// Responds to a request that could not be received, if it is known to be one, and closes the connection.
    Awaitable<void> refuse(const IoError &error);
    void dropBuffer();
    void watchForDisconnect();
    void checkForDisconnect();
    void checkForDisconnectLater();
    void handleDisconnect();
    void resetOnClose(bool enabled);
    Awaitable<void> closeAfterResponse(std::chrono::milliseconds timeout);

    boost::beast::tcp_stream m_stream;
    boost::beast::flat_buffer m_buffer;
    const HttpHandler m_handler;
    const CallerLimitsProvider m_limits;
    const std::shared_ptr<const bool> m_keepAliveDisabled;
    BudgetShare m_share;
    Reception *m_reception = nullptr; ///< null while no request is received
    std::optional<RefusalCause> m_abandonedFor; ///< set when the request that is received was abandoned
    std::function<void()> m_disconnectHandler;
    bool m_idle = true; ///< no byte of a request has arrived since the last response
    bool m_callerDisconnected = false;
    bool m_keepAlive = true;
    bool m_isHeadRequest = false;
    ResponseState m_responseState = ResponseState::NotBegun;
    bool m_resetsOnClose = false; ///< a body is in progress that ends with the connection
    std::uint64_t m_requestCount = 0;
};

/// Maximum number of connections of a listener for which none is stated.
constexpr std::size_t defaultMaxConnections = 1024;

/// Accepts HTTP connections on one address.
class HttpListener : public std::enable_shared_from_this<HttpListener>
{
public:
    /// \param budget  for what clients send; shared by the listeners of a process
    /// \param maxConnections  if it is reached, a new connection replaces an idle one, else one that sends a request
    HttpListener(asio::io_context &context, HttpHandler handler, CallerLimitsProvider limits,
                 std::shared_ptr<CallerBudget> budget = std::make_shared<CallerBudget>(),
                 std::size_t maxConnections = defaultMaxConnections);

    /// Starts to listen and to accept connections.
    std::error_code start(const Endpoint &address);

    std::uint16_t port() const;

    /// Disables keep-alive: each response that starts from now on is the last of its connection.
    void disableKeepAlive();

    /// Closes the connections on which no request is in progress.
    void closeIdle();

    /// Returns the number of connections that their callers had closed before they were accepted.
    std::uint64_t leftBeforeAccept() const;

    /// Stops accepting connections. Open connections are not closed.
    void stop();

private:
    Awaitable<void> acceptLoop();
    void serveWaitingConnections();
    void serveConnection(asio::ip::tcp::socket socket);

    /// Returns whether there is room for one more connection, after closing another one if needed.
    bool makeRoomForConnection();

    asio::io_context &m_context;
    asio::ip::tcp::acceptor m_acceptor;
    std::uint64_t m_leftBeforeAccept = 0;
    const HttpHandler m_handler;
    const CallerLimitsProvider m_limits;
    const std::shared_ptr<bool> m_keepAliveDisabled;
    const std::shared_ptr<CallerBudget> m_budget;
    const std::size_t m_maxConnections;
    std::vector<std::weak_ptr<HttpConnection>> m_connections;
};

} // namespace zinniadock
