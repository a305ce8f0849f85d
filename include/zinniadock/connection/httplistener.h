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

#include "zinniadock/connection/httpmessage.h"
#include "zinniadock/version/routetable.h"

namespace zinniadock
{

class HttpConnection;

/// Answers one request through the connection that it came on.
using HttpHandler = std::function<Awaitable<void>(std::shared_ptr<HttpConnection>, HttpRequest)>;

/// Returns the limits in force for what a caller may send.
using CallerLimitsProvider = std::function<CallerLimits()>;

/// Returns the limits for what the system's own processes and the platform send.
CallerLimits internalListenerLimits();

/// One connection of a caller: reads requests within bounds of time and size and writes their answers, one at a time.
class HttpConnection : public std::enable_shared_from_this<HttpConnection>
{
public:
    HttpConnection(asio::ip::tcp::socket socket, HttpHandler handler, CallerLimitsProvider limits,
                   std::shared_ptr<const bool> closing);

    Awaitable<void> serve();

    /// Writes a whole answer.
    Awaitable<void> respond(HttpResponse answer);

    /// Writes the head of an answer whose body follows in pieces.
    Awaitable<IoError> startChunkedResponse(http::response_header<> head);
    Awaitable<IoError> writeChunk(const std::string &piece);

    /// Ends the body as complete.
    Awaitable<IoError> endChunkedResponse();

    /// Ends the connection, so that an answer in progress looks broken off.
    void abort();

    /// Ends the connection if no request is in progress on it.
    void closeIfIdle();

    /// Says whether the caller has closed the connection.
    bool hasCallerDisconnected() const;

    /// Sets what is run once when the caller closes the connection before its answer.
    void setDisconnectHandler(std::function<void()> left);

private:
    Awaitable<bool> readRequest(HttpRequest &request);
    Awaitable<void> refuseInput(const IoError &error);
    void watchCaller();
    void handleDisconnect();

    boost::beast::tcp_stream m_stream;
    boost::beast::flat_buffer m_buffer;
    const HttpHandler m_handler;
    const CallerLimitsProvider m_limits;
    const std::shared_ptr<const bool> m_closing;
    std::function<void()> m_disconnectHandler;
    bool m_idle = true; ///< no byte of a request has arrived since the last answer
    bool m_callerDisconnected = false;
    bool m_keepAlive = true;
    bool m_headOnly = false;
    std::uint64_t m_requests = 0;
};

/// Accepts connections on one address.
class HttpListener : public std::enable_shared_from_this<HttpListener>
{
public:
    HttpListener(asio::io_context &context, HttpHandler handler, CallerLimitsProvider limits);

    /// Begins to listen.
    std::error_code start(const Endpoint &address);

    std::uint16_t port() const;

    /// From now on each answer asks the caller to close its connection.
    void disableKeepAlive();

    /// Closes the connections on which no request is in progress.
    void closeIdle();

    /// Accepts no more connections.
    void stop();

private:
    Awaitable<void> acceptLoop();

    asio::io_context &m_context;
    asio::ip::tcp::acceptor m_acceptor;
    const HttpHandler m_handler;
    const CallerLimitsProvider m_limits;
    const std::shared_ptr<bool> m_closing;
    std::vector<std::weak_ptr<HttpConnection>> m_connections;
};

} // namespace zinniadock
