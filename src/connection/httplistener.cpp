#include "zinniadock/connection/httplistener.h"

#include <array>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/chunk_encode.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/serializer.hpp>
#include <boost/beast/http/write.hpp>

namespace zinniadock
{

namespace
{

constexpr std::chrono::milliseconds writeTimeout{ 15000 };
constexpr std::chrono::milliseconds bodyTimeout{ 15000 };

/// Maximum wait for a caller to close a connection after a response that ended with it.
constexpr std::chrono::milliseconds closeTimeout{ 200 };
constexpr std::chrono::milliseconds acceptRetryDelay{ 20 };
constexpr int acceptBacklog = 1024;

http::status statusFor(const IoError &error)
{
    if (error == http::error::header_limit) {
        return http::status::request_header_fields_too_large;
    }
    return error == http::error::body_limit ? http::status::payload_too_large : http::status::bad_request;
}

bool isMalformed(const IoError &error)
{
    return error.category() == http::make_error_code(http::error::header_limit).category()
        && error != http::error::end_of_stream && error != http::error::partial_message;
}

} // namespace

CallerLimits internalListenerLimits()
{
    constexpr std::chrono::milliseconds idleTimeout{ 30000 };
    CallerLimits limits;
    limits.idleTimeout = idleTimeout;
    return limits;
}

HttpConnection::HttpConnection(asio::ip::tcp::socket socket, HttpHandler handler, CallerLimitsProvider limits,
                               std::shared_ptr<const bool> keepAliveDisabled)
    : m_stream(std::move(socket))
    , m_handler(std::move(handler))
    , m_limits(std::move(limits))
    , m_keepAliveDisabled(std::move(keepAliveDisabled))
{
    setSocketOptions(m_stream.socket());
}

HttpConnection::~HttpConnection()
{
    abort();
}

Awaitable<void> HttpConnection::serve()
{
    const auto self = shared_from_this();
    while (m_keepAlive && !m_callerDisconnected) {
        HttpRequest request;
        m_responseState = ResponseState::NotBegun;
        const bool hasRequest = co_await readRequest(request);
        if (!hasRequest) {
            break;
        }
        ++m_requestCount;
        m_keepAlive = request.keep_alive();
        m_isHeadRequest = request.method() == http::verb::head;
        watchForDisconnect();
        co_await m_handler(self, std::move(request));
        m_keepAlive = m_keepAlive && m_responseState == ResponseState::Ended;
        m_disconnectHandler = nullptr;
        IoError ignored; // the connection may be closed already
        m_stream.socket().cancel(ignored);
        m_idle = true;
    }
    abort();
}

Awaitable<bool> HttpConnection::readRequest(HttpRequest &request)
{
    const CallerLimits limits = m_limits();
    http::request_parser<http::string_body> parser;
    parser.header_limit(limits.headerBytes);
    parser.body_limit(limits.bodyBytes);
    IoError error;
    if (m_buffer.size() == 0) {
        m_stream.expires_after(limits.idleTimeout);
        const std::size_t maxReadBytes = 4096;
        const std::size_t count
            = co_await m_stream.async_read_some(m_buffer.prepare(maxReadBytes), redirectError(error));
        m_buffer.commit(count);
    }
    m_idle = false;
    if (!m_stream.socket().is_open()) {
        co_return false; // closeIfIdle() closed the socket after the bytes were read and before this coroutine resumed
    }
    if (!error) {
        m_stream.expires_after(limits.headerTimeout);
        co_await http::async_read_header(m_stream, m_buffer, parser, redirectError(error));
    }
    if (!error && !parser.is_done()) {
        m_stream.expires_after(bodyTimeout);
        co_await http::async_read(m_stream, m_buffer, parser, redirectError(error));
    }
    m_stream.expires_never();
    if (error) {
        co_await rejectMalformedRequest(error);
        co_return false;
    }
    request = parser.release();
    co_return true;
}

Awaitable<void> HttpConnection::rejectMalformedRequest(const IoError &error)
{
    if (!isMalformed(error)) {
        co_return;
    }
    m_keepAlive = false;
    const HttpResponse errorResponse
        = makeResponse(statusFor(error), "the request is not well-formed: " + error.message() + "\n", "text/plain");
    co_await respond(errorResponse);
}

// The socket becomes readable when the caller closes the connection or sends more data. The handler peeks at the socket
// to find out which of the two happened.
void HttpConnection::watchForDisconnect()
{
    const auto self = shared_from_this();
    m_stream.socket().async_wait(
        asio::socket_base::wait_read, [self, requestNumber = m_requestCount](const IoError &error) {
            if (error || requestNumber != self->m_requestCount) {
                return;
            }
            char byte = 0;
            const auto received = ::recv(self->m_stream.socket().native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
            const bool isOpen = received < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
            if (received > 0 || isOpen) {
                return;
            }
            self->handleDisconnect();
        });
}

void HttpConnection::handleDisconnect()
{
    if (m_callerDisconnected) {
        return;
    }
    m_callerDisconnected = true;
    if (m_disconnectHandler) {
        const auto handler = std::move(m_disconnectHandler);
        handler();
    }
}

Awaitable<void> HttpConnection::respond(HttpResponse response, BodyFraming framing)
{
    if (m_responseState != ResponseState::NotBegun) {
        abort();
        co_return;
    }
    m_responseState = ResponseState::Ended;
    const bool isUnframed = framing == BodyFraming::Connection;
    m_keepAlive = m_keepAlive && !isUnframed && !*m_keepAliveDisabled;
    response.version(11);
    response.keep_alive(m_keepAlive);
    const bool hasNoBody
        = response.result() == http::status::no_content || response.result() == http::status::not_modified;
    if (!m_isHeadRequest && !hasNoBody && !isUnframed) {
        response.prepare_payload();
    }
    if (isUnframed) {
        resetOnClose(true);
    }
    IoError error;
    m_stream.expires_after(writeTimeout);
    http::response_serializer<http::string_body> serializer(response);
    if (m_isHeadRequest) {
        co_await http::async_write_header(m_stream, serializer, redirectError(error));
    } else {
        co_await http::async_write(m_stream, serializer, redirectError(error));
    }
    m_stream.expires_never();
    m_callerDisconnected = m_callerDisconnected || error;
    if (isUnframed && !error) {
        co_await closeAfterResponse();
    }
}

// A body that ends with the connection states no more than the server did. Until endStream(), each end of the
// connection is a reset, also the end of this process, so that a truncated body does not look complete.
Awaitable<IoError> HttpConnection::startStream(http::response_header<> head, BodyFraming framing)
{
    if (m_responseState != ResponseState::NotBegun) {
        abort();
        co_return make_error_code(boost::system::errc::operation_not_permitted);
    }
    m_responseState = ResponseState::Streaming;
    const bool isUnframed = framing == BodyFraming::Connection;
    m_keepAlive = m_keepAlive && !isUnframed && !*m_keepAliveDisabled;
    http::response<http::empty_body> response(std::move(head));
    response.version(11);
    response.erase(http::field::content_length);
    response.chunked(!isUnframed);
    response.keep_alive(m_keepAlive);
    resetOnClose(isUnframed);
    http::response_serializer<http::empty_body> serializer(response);
    IoError error;
    m_stream.expires_after(writeTimeout);
    co_await http::async_write_header(m_stream, serializer, redirectError(error));
    if (error) {
        handleDisconnect();
    }
    co_return error;
}

Awaitable<IoError> HttpConnection::writePiece(const std::string &piece)
{
    IoError error;
    m_stream.expires_after(writeTimeout);
    if (m_resetsOnClose) {
        co_await asio::async_write(m_stream, asio::buffer(piece), redirectError(error));
    } else {
        co_await asio::async_write(m_stream, http::make_chunk(asio::buffer(piece)), redirectError(error));
    }
    if (error) {
        handleDisconnect();
    }
    co_return error;
}

Awaitable<void> HttpConnection::endStream()
{
    m_responseState = ResponseState::Ended;
    if (m_resetsOnClose) {
        co_await closeAfterResponse();
        co_return;
    }
    IoError ignored; // the response is complete, and the caller may have closed the connection
    m_stream.expires_after(writeTimeout);
    co_await asio::async_write(m_stream, http::make_chunk_last(), redirectError(ignored));
    m_stream.expires_never();
}

void HttpConnection::resetOnClose(bool enabled)
{
    m_resetsOnClose = enabled;
    IoError ignored; // the connection may be closed already
    m_stream.socket().set_option(asio::socket_base::linger(enabled, 0), ignored);
}

// Closing a socket with unread bytes resets the connection. So the bytes that the caller has sent meanwhile are read
// until the caller closes the connection too.
Awaitable<void> HttpConnection::closeAfterResponse()
{
    resetOnClose(false);
    IoError error; // ends the loop; the response has been written
    m_stream.socket().shutdown(asio::ip::tcp::socket::shutdown_send, error);
    m_stream.expires_after(closeTimeout);
    std::array<char, 1024> unread{};
    while (!error) {
        co_await m_stream.async_read_some(asio::buffer(unread), redirectError(error));
    }
    abort();
}

void HttpConnection::abort()
{
    m_keepAlive = false;
    IoError ignored; // the connection may be closed already
    if (!m_resetsOnClose) {
        m_stream.socket().shutdown(asio::ip::tcp::socket::shutdown_both, ignored);
    }
    m_stream.socket().close(ignored);
}

void HttpConnection::closeIfIdle()
{
    char byte = 0;
    const bool hasArrived = ::recv(m_stream.socket().native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT) > 0;
    if (m_idle && !hasArrived) {
        abort();
    }
}

bool HttpConnection::hasCallerDisconnected() const
{
    return m_callerDisconnected;
}

void HttpConnection::setDisconnectHandler(std::function<void()> handler)
{
    m_disconnectHandler = std::move(handler);
    if (m_callerDisconnected && m_disconnectHandler) {
        const auto runOnce = std::move(m_disconnectHandler);
        runOnce();
    }
}

HttpListener::HttpListener(asio::io_context &context, HttpHandler handler, CallerLimitsProvider limits)
    : m_context(context)
    , m_acceptor(context)
    , m_handler(std::move(handler))
    , m_limits(std::move(limits))
    , m_keepAliveDisabled(std::make_shared<bool>(false))
{
}

std::error_code HttpListener::start(const Endpoint &address)
{
    const auto endpoint = tcpEndpoint(address);
    IoError error;
    m_acceptor.open(endpoint.protocol(), error);
    if (!error) {
        m_acceptor.set_option(asio::socket_base::reuse_address(true), error);
    }
    if (!error) {
        m_acceptor.bind(endpoint, error);
    }
    if (!error) {
        m_acceptor.listen(acceptBacklog, error);
    }
    if (!error) {
        const auto self = shared_from_this();
        asio::co_spawn(
            m_context,
            [self]() {
                return self->acceptLoop();
            },
            asio::detached);
    }
    return error;
}

std::uint16_t HttpListener::port() const
{
    IoError ignored; // a closed listener has port 0
    return m_acceptor.local_endpoint(ignored).port();
}

void HttpListener::disableKeepAlive()
{
    *m_keepAliveDisabled = true;
}

void HttpListener::closeIdle()
{
    for (const auto &weak : m_connections) {
        if (const auto connection = weak.lock()) {
            connection->closeIfIdle();
        }
    }
}

void HttpListener::stop()
{
    IoError ignored; // the listener may be closed already
    m_acceptor.close(ignored);
}

Awaitable<void> HttpListener::acceptLoop()
{
    const auto self = shared_from_this();
    while (m_acceptor.is_open()) {
        IoError error;
        asio::ip::tcp::socket socket = co_await m_acceptor.async_accept(redirectError(error));
        if (error == asio::error::operation_aborted || error == asio::error::bad_descriptor) {
            break;
        }
        if (error) {
            co_await sleepFor(acceptRetryDelay);
            continue;
        }
        auto connection = std::make_shared<HttpConnection>(std::move(socket), m_handler, m_limits, m_keepAliveDisabled);
        std::erase_if(m_connections, [](const std::weak_ptr<HttpConnection> &other) {
            return other.expired();
        });
        m_connections.push_back(connection);
        asio::co_spawn(
            m_context,
            [connection]() {
                return connection->serve();
            },
            asio::detached);
    }
}

} // namespace zinniadock
