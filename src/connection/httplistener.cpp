#include "zinniadock/connection/httplistener.h"

#include <algorithm>
#include <array>
#include <cerrno>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/chunk_encode.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/serializer.hpp>
#include <boost/beast/http/write.hpp>

#include "zinniadock/connection/freememory.h"
#include "zinniadock/connection/peerstate.h"

namespace zinniadock
{

namespace
{

constexpr std::chrono::milliseconds writeTimeout{ 15000 };

/// Maximum wait for a caller to close a connection after a response that ended with it.
constexpr std::chrono::milliseconds closeTimeout{ 200 };

/// As closeTimeout, after a refusal. The caller may still be sending a large body, and reads the response after it.
constexpr std::chrono::milliseconds refusalCloseTimeout{ 2000 };

/// Maximum size of one read of a head, and of one read of a body.
constexpr std::size_t readBytes = 4096;
constexpr std::size_t bodyReadBytes = 16384;

/// Value of Retry-After in refusals.
constexpr const char *retryAfterSeconds = "1";

/// Interval at which the connection of a caller that has sent more than its request is checked for a close.
constexpr std::chrono::milliseconds disconnectCheckInterval{ 100 };

constexpr std::chrono::milliseconds acceptRetryDelay{ 20 };
constexpr int acceptBacklog = 1024;

/// Maximum number of connections that are accepted in one turn of the event loop.
constexpr int maxAcceptsPerTurn = 64;

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

/// Memory of a header field beyond its bytes.
constexpr std::size_t fieldOverhead = 128;

/// Returns the memory that the header fields of a request take, which may be much more than their bytes.
std::size_t memoryOf(const http::request_header<> &head)
{
    std::size_t bytes = 0;
    for (const auto &field : head) {
        bytes += field.name_string().size() + field.value().size() + fieldOverhead;
    }
    return bytes;
}

HttpResponse makeRefusal(RefusalCause cause)
{
    if (cause == RefusalCause::Stalled) {
        return makeResponse(http::status::request_timeout, "the body of the request arrives too slowly\n",
                            "text/plain");
    }
    HttpResponse response
        = makeResponse(http::status::service_unavailable,
                       "the request was not received, for lack of "
                           + std::string(cause == RefusalCause::Connections ? "connections" : "memory") + "\n",
                       "text/plain");
    response.set(http::field::retry_after, retryAfterSeconds);
    return response;
}

/// Responds to a connection that is not served, as far as its socket takes the bytes at once.
void refuseConnection(asio::ip::tcp::socket &socket)
{
    const std::string response = std::string("HTTP/1.1 503 Service Unavailable\r\nRetry-After: ") + retryAfterSeconds
        + "\r\nConnection: close\r\nContent-Length: 0\r\n\r\n";
    static_cast<void>(::send(socket.native_handle(), response.data(), response.size(), MSG_DONTWAIT | MSG_NOSIGNAL));
    IoError ignored; // the caller may have closed the connection
    socket.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
    socket.close(ignored);
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
                               std::shared_ptr<const bool> keepAliveDisabled, std::shared_ptr<CallerBudget> budget)
    : m_stream(std::move(socket))
    , m_handler(std::move(handler))
    , m_limits(std::move(limits))
    , m_keepAliveDisabled(std::move(keepAliveDisabled))
    , m_share(std::move(budget), [this](RefusalCause cause) {
        abandon(cause);
    })
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
        const IoError error = co_await readRequest(request);
        if (error) {
            co_await refuse(error);
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
        m_share.release();
        if (m_buffer.capacity() > readBytes) {
            m_buffer.shrink_to_fit();
        }
        m_idle = true;
    }
    abort();
}

Awaitable<IoError> HttpConnection::readRequest(HttpRequest &request)
{
    Reception reception;
    reception.limits = m_limits();
    reception.parser.header_limit(reception.limits.headerBytes);
    reception.parser.body_limit(reception.limits.bodyBytes);
    reception.parser.eager(true);
    auto countExtension
        = [&reception](std::uint64_t /*chunkBytes*/, boost::beast::string_view extension, IoError &error) {
              reception.extensionBytes += extension.size();
              if (reception.extensionBytes > reception.limits.headerBytes) {
                  error = http::error::header_limit;
              }
          };
    reception.parser.on_chunk_header(countExtension);
    m_abandonedFor.reset();
    m_reception = &reception;
    IoError error = co_await receive(reception);
    m_reception = nullptr;
    m_stream.expires_never();
    if (error == http::error::header_limit && reception.parser.is_header_done()) {
        m_share.budget().recordRefusal(RefusalCause::Framing, std::chrono::steady_clock::now());
    }
    if (!error) {
        request = reception.parser.release();
        m_share.startService();
    }
    co_return error;
}

Awaitable<IoError> HttpConnection::receive(Reception &reception)
{
    IoError error = co_await awaitRequest(reception.limits);
    if (!error) {
        error = holdReceived(reception, 0);
    }
    if (!error) {
        m_stream.expires_after(reception.limits.headerTimeout);
        parse(reception, error);
    }
    while (!error && !reception.parser.is_header_done()) {
        error = co_await receiveHeadBytes(reception);
        if (!error) {
            parse(reception, error);
        }
    }
    if (!error && !reception.parser.is_done()) {
        m_stream.expires_never();
        error = co_await receiveBody(reception);
    }
    co_return error ? error : holdReceived(reception, 0);
}

Awaitable<IoError> HttpConnection::awaitRequest(const CallerLimits &limits)
{
    IoError error;
    if (m_requestCount == 0) {
        receiveArrived();
    }
    if (m_buffer.size() == 0) {
        m_stream.expires_after(limits.idleTimeout);
        const std::size_t count = co_await m_stream.async_read_some(m_buffer.prepare(readBytes), redirectError(error));
        m_buffer.commit(count);
    }
    m_idle = false;
    if (!error && !m_stream.socket().is_open()) {
        // closeIfIdle() closed the socket after the bytes were read and before this coroutine resumed
        error = asio::error::operation_aborted;
    }
    co_return error;
}

// The first request has mostly arrived when its connection is accepted, and waiting for it would take another turn of
// the event loop. An error or a close is left to the next read.
void HttpConnection::receiveArrived()
{
    const auto target = m_buffer.prepare(readBytes);
    const auto count = ::recv(m_stream.socket().native_handle(), target.data(), target.size(), MSG_DONTWAIT);
    m_buffer.commit(count > 0 ? static_cast<std::size_t>(count) : 0);
}

Awaitable<IoError> HttpConnection::receiveHeadBytes(Reception &reception)
{
    IoError error = holdReceived(reception, readBytes);
    if (error) {
        co_return error;
    }
    const std::size_t count = co_await m_stream.async_read_some(m_buffer.prepare(readBytes), redirectError(error));
    if (m_abandonedFor) {
        co_return asio::error::operation_aborted;
    }
    m_buffer.commit(count);
    m_share.recordProgress(std::chrono::steady_clock::now());
    co_return error;
}

// One timer limits the time without progress, since a new time limit for each read would cost more.
Awaitable<IoError> HttpConnection::receiveBody(Reception &reception)
{
    if (reception.parser.chunked()) {
        // A string that grows by doubling would hold two copies of a body at times. The pages of the whole capacity
        // become resident only when bytes are written to them.
        reception.parser.get().body().reserve(reception.limits.bodyBytes);
    }
    const auto progress = std::make_shared<BodyProgress>(std::chrono::steady_clock::now());
    const auto timer = std::make_shared<asio::steady_timer>(m_stream.get_executor());
    watchProgress(timer, progress);
    IoError error;
    while (!error && !reception.parser.is_done()) {
        error = co_await receiveBodyBytes(reception, *progress);
        if (!error) {
            parse(reception, error);
        }
    }
    timer->cancel();
    co_return error;
}

// The parser has taken all bytes but those of an incomplete chunk line or of the trailers, which are bounded here.
// While the connection waits for bytes, its buffer holds only these.
Awaitable<IoError> HttpConnection::receiveBodyBytes(Reception &reception, BodyProgress &progress)
{
    const std::size_t maxFramingBytes = reception.limits.headerBytes - reception.extensionBytes;
    if (m_buffer.size() > maxFramingBytes) {
        co_return http::make_error_code(http::error::header_limit);
    }
    const std::size_t maxBytes = std::min(bodyReadBytes, maxFramingBytes + 1 - m_buffer.size());
    while (true) {
        IoError error = holdReceived(reception, maxBytes);
        if (error) {
            co_return error;
        }
        const auto target = m_buffer.prepare(maxBytes);
        const auto count = ::recv(m_stream.socket().native_handle(), target.data(), target.size(), MSG_DONTWAIT);
        const int failure = errno;
        if (count > 0) {
            m_buffer.commit(static_cast<std::size_t>(count));
            const auto now = std::chrono::steady_clock::now();
            progress.record(static_cast<std::size_t>(count), now);
            m_share.recordProgress(now);
            co_return error;
        }
        if (count == 0) {
            co_return make_error_code(asio::error::eof);
        }
        if (failure != EAGAIN && failure != EWOULDBLOCK) {
            co_return IoError(failure, boost::system::system_category());
        }
        m_buffer.shrink_to_fit();
        static_cast<void>(holdReceived(reception, 0)); // holds less than before
        co_await m_stream.socket().async_wait(asio::socket_base::wait_read, redirectError(error));
        if (m_abandonedFor || error) {
            co_return m_abandonedFor ? make_error_code(asio::error::operation_aborted) : error;
        }
    }
}

void HttpConnection::parse(Reception &reception, IoError &error)
{
    const bool hadHead = reception.parser.is_header_done();
    const auto *bytes = static_cast<const char *>(m_buffer.data().data());
    const std::size_t count = reception.parser.put(m_buffer.data(), error);
    if (error == http::error::need_more) {
        error = {};
    }
    const bool hasHead = reception.parser.is_header_done();
    if (!hasHead) {
        reception.headBytes += count + fieldOverhead * static_cast<std::size_t>(std::count(bytes, bytes + count, '\n'));
    } else if (!hadHead || reception.parser.is_done()) {
        reception.headBytes = memoryOf(reception.parser.get());
    }
    m_buffer.consume(count);
}

IoError HttpConnection::holdReceived(const Reception &reception, std::size_t moreBytes)
{
    const std::size_t bytes
        = m_buffer.capacity() + reception.headBytes + residentBytes(reception.parser.get().body()) + moreBytes;
    if (m_share.hold(bytes, std::chrono::steady_clock::now())) {
        return {};
    }
    abandon(RefusalCause::Memory);
    return make_error_code(asio::error::operation_aborted);
}

void HttpConnection::watchProgress(const std::shared_ptr<asio::steady_timer> &timer,
                                   const std::shared_ptr<BodyProgress> &progress)
{
    timer->expires_at(progress->nextCheck());
    // The handler may already be queued when the body is complete and the timer is cancelled. It must not affect the
    // next request of the connection, so it does not extend the life of the progress, which ends with the body.
    timer->async_wait([weak = weak_from_this(), timer, body = std::weak_ptr(progress)](const IoError &error) {
        const auto self = weak.lock();
        const auto progress = body.lock();
        if (error || !self || !progress || self->m_abandonedFor) {
            return;
        }
        if (progress->isTooSlow(std::chrono::steady_clock::now())) {
            self->abandon(RefusalCause::Stalled);
        } else {
            self->watchProgress(timer, progress);
        }
    });
}

void HttpConnection::abandon(RefusalCause cause)
{
    m_abandonedFor = cause;
    if (m_reception) {
        std::string().swap(m_reception->parser.get().body());
    }
    dropBuffer();
    IoError ignored; // the connection may be closed already
    m_stream.socket().cancel(ignored);
}

Awaitable<void> HttpConnection::refuse(const IoError &error)
{
    m_share.release();
    dropBuffer();
    if (!m_abandonedFor && !isMalformed(error)) {
        co_return;
    }
    m_keepAlive = false;
    HttpResponse response;
    if (m_abandonedFor) {
        const auto now = std::chrono::steady_clock::now();
        m_share.budget().recordRefusal(*m_abandonedFor, now);
        returnFreeMemory(now);
        response = makeRefusal(*m_abandonedFor);
    } else {
        response
            = makeResponse(statusFor(error), "the request is not well-formed: " + error.message() + "\n", "text/plain");
    }
    co_await respond(std::move(response));
    co_await closeAfterResponse(refusalCloseTimeout);
}

void HttpConnection::dropBuffer()
{
    m_buffer.clear();
    m_buffer.shrink_to_fit();
}

// The socket becomes readable when the caller closes the connection or sends more bytes. While there are unread bytes,
// it stays readable, and only a look at its state shows a close behind them.
void HttpConnection::watchForDisconnect()
{
    const auto self = shared_from_this();
    m_stream.socket().async_wait(asio::socket_base::wait_read,
                                 [self, requestNumber = m_requestCount](const IoError &error) {
                                     if (!error && requestNumber == self->m_requestCount) {
                                         self->checkForDisconnect();
                                     }
                                 });
}

void HttpConnection::checkForDisconnect()
{
    switch (peerState(m_stream.socket().native_handle())) {
    case PeerState::Quiet:
        watchForDisconnect();
        break;
    case PeerState::HasSent:
        checkForDisconnectLater();
        break;
    case PeerState::HasClosed:
        handleDisconnect();
        break;
    }
}

void HttpConnection::checkForDisconnectLater()
{
    const auto timer = std::make_shared<asio::steady_timer>(m_stream.get_executor(), disconnectCheckInterval);
    timer->async_wait([weak = weak_from_this(), timer, requestNumber = m_requestCount](const IoError &error) {
        const auto self = weak.lock();
        if (!error && self && self->isOpen() && !self->m_idle && requestNumber == self->m_requestCount) {
            self->checkForDisconnect();
        }
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
        co_await closeAfterResponse(closeTimeout);
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
        co_await closeAfterResponse(closeTimeout);
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
Awaitable<void> HttpConnection::closeAfterResponse(std::chrono::milliseconds timeout)
{
    resetOnClose(false);
    IoError error; // ends the loop; the response has been written
    m_stream.socket().shutdown(asio::ip::tcp::socket::shutdown_send, error);
    m_stream.expires_after(timeout);
    constexpr std::size_t maxDiscardedBytes = 65536;
    std::array<char, 512> unread{};
    while (!error) {
        co_await m_stream.async_read_some(asio::buffer(unread), redirectError(error));
        // with MSG_TRUNC the system drops the bytes without a copy
        static_cast<void>(
            ::recv(m_stream.socket().native_handle(), nullptr, maxDiscardedBytes, MSG_TRUNC | MSG_DONTWAIT));
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

bool HttpConnection::closeIfIdle()
{
    if (!m_idle) {
        return false;
    }
    char byte = 0;
    const bool hasArrived = ::recv(m_stream.socket().native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT) > 0;
    if (!hasArrived) {
        abort();
    }
    return !hasArrived;
}

bool HttpConnection::isOpen() const
{
    return m_stream.socket().is_open();
}

bool HttpConnection::hasCallerDisconnected() const
{
    return m_callerDisconnected;
}

bool HttpConnection::checkCallerDisconnected()
{
    if (!m_callerDisconnected && isOpen() && peerState(m_stream.socket().native_handle()) == PeerState::HasClosed) {
        handleDisconnect();
    }
    return m_callerDisconnected || !isOpen();
}

void HttpConnection::setDisconnectHandler(std::function<void()> handler)
{
    m_disconnectHandler = std::move(handler);
    if (m_callerDisconnected && m_disconnectHandler) {
        const auto runOnce = std::move(m_disconnectHandler);
        runOnce();
    }
}

HttpListener::HttpListener(asio::io_context &context, HttpHandler handler, CallerLimitsProvider limits,
                           std::shared_ptr<CallerBudget> budget, std::size_t maxConnections)
    : m_context(context)
    , m_acceptor(context)
    , m_handler(std::move(handler))
    , m_limits(std::move(limits))
    , m_keepAliveDisabled(std::make_shared<bool>(false))
    , m_budget(std::move(budget))
    , m_maxConnections(maxConnections)
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

std::uint64_t HttpListener::leftBeforeAccept() const
{
    return m_leftBeforeAccept;
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
        serveConnection(std::move(socket));
        serveWaitingConnections();
    }
}

// If each turn of the event loop accepted one connection, connections would wait longer than their callers while a turn
// takes long. An error is left to the next asynchronous call.
void HttpListener::serveWaitingConnections()
{
    IoError error;
    m_acceptor.non_blocking(true, error);
    for (int count = 1; !error && count < maxAcceptsPerTurn; ++count) {
        asio::ip::tcp::socket socket(m_context);
        m_acceptor.accept(socket, error);
        if (!error) {
            serveConnection(std::move(socket));
        }
    }
}

void HttpListener::serveConnection(asio::ip::tcp::socket socket)
{
    if (peerState(socket.native_handle()) == PeerState::HasClosed) {
        ++m_leftBeforeAccept;
        return;
    }
    if (!makeRoomForConnection()) {
        m_budget->recordRefusal(RefusalCause::Connections, std::chrono::steady_clock::now());
        refuseConnection(socket);
        return;
    }
    auto connection
        = std::make_shared<HttpConnection>(std::move(socket), m_handler, m_limits, m_keepAliveDisabled, m_budget);
    m_connections.push_back(connection);
    asio::co_spawn(
        m_context,
        [connection]() {
            return connection->serve();
        },
        asio::detached);
}

// A request that is abandoned still occupies its connection until its refusal is sent, so the maximum is exceeded by a
// few connections meanwhile.
bool HttpListener::makeRoomForConnection()
{
    std::erase_if(m_connections, [](const std::weak_ptr<HttpConnection> &weak) {
        const auto connection = weak.lock();
        return !connection || !connection->isOpen();
    });
    if (m_connections.size() < m_maxConnections) {
        return true;
    }
    for (const auto &weak : m_connections) {
        const auto connection = weak.lock();
        if (connection && connection->closeIfIdle()) {
            return true;
        }
    }
    constexpr std::size_t refusedDivisor = 8; // refused connections may exceed the maximum by an eighth
    return m_connections.size() <= m_maxConnections + m_maxConnections / refusedDivisor
        && m_budget->abandonForConnection();
}

} // namespace zinniadock
