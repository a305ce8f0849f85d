#include "zinniadock/connection/httplistener.h"

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
constexpr std::chrono::milliseconds acceptPause{ 20 };
constexpr int acceptBacklog = 1024;

http::status statusOf(const IoError &error)
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
                               std::shared_ptr<const bool> closing)
    : m_stream(std::move(socket))
    , m_handler(std::move(handler))
    , m_limits(std::move(limits))
    , m_closing(std::move(closing))
{
    setSocketOptions(m_stream.socket());
}

Awaitable<void> HttpConnection::serve()
{
    const auto self = shared_from_this();
    while (m_keepAlive && !m_callerDisconnected) {
        HttpRequest request;
        const bool read = co_await readRequest(request);
        if (!read) {
            break;
        }
        ++m_requests;
        m_keepAlive = request.keep_alive();
        m_headOnly = request.method() == http::verb::head;
        watchCaller();
        co_await m_handler(self, std::move(request));
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
        const std::size_t most = 4096;
        const std::size_t count = co_await m_stream.async_read_some(m_buffer.prepare(most), redirectError(error));
        m_buffer.commit(count);
    }
    m_idle = false;
    if (!m_stream.socket().is_open()) {
        co_return false; // closed as idle between the arrival of the bytes and now
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
        co_await refuseInput(error);
        co_return false;
    }
    request = parser.release();
    co_return true;
}

Awaitable<void> HttpConnection::refuseInput(const IoError &error)
{
    if (!isMalformed(error)) {
        co_return;
    }
    m_keepAlive = false;
    const HttpResponse refusal
        = makeResponse(statusOf(error), "the request is not well-formed: " + error.message() + "\n", "text/plain");
    co_await respond(refusal);
}

// The wait ends when the caller closes or sends more; the handler finds out which by looking without reading.
void HttpConnection::watchCaller()
{
    const auto self = shared_from_this();
    m_stream.socket().async_wait(asio::socket_base::wait_read, [self, number = m_requests](const IoError &error) {
        if (error || number != self->m_requests) {
            return;
        }
        char byte = 0;
        const auto received = ::recv(self->m_stream.socket().native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
        const bool waits = received < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
        if (received > 0 || waits) {
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
        const auto left = std::move(m_disconnectHandler);
        left();
    }
}

Awaitable<void> HttpConnection::respond(HttpResponse answer)
{
    m_keepAlive = m_keepAlive && !*m_closing;
    answer.version(11);
    answer.keep_alive(m_keepAlive);
    const bool bodiless = answer.result() == http::status::no_content || answer.result() == http::status::not_modified;
    if (!m_headOnly && !bodiless) {
        answer.prepare_payload();
    }
    IoError error;
    m_stream.expires_after(writeTimeout);
    http::response_serializer<http::string_body> serializer(answer);
    if (m_headOnly) {
        co_await http::async_write_header(m_stream, serializer, redirectError(error));
    } else {
        co_await http::async_write(m_stream, serializer, redirectError(error));
    }
    m_stream.expires_never();
    m_callerDisconnected = m_callerDisconnected || error;
}

Awaitable<IoError> HttpConnection::startChunkedResponse(http::response_header<> head)
{
    m_keepAlive = m_keepAlive && !*m_closing;
    http::response<http::empty_body> answer(std::move(head));
    answer.version(11);
    answer.erase(http::field::content_length);
    answer.chunked(true);
    answer.keep_alive(m_keepAlive);
    http::response_serializer<http::empty_body> serializer(answer);
    IoError error;
    m_stream.expires_after(writeTimeout);
    co_await http::async_write_header(m_stream, serializer, redirectError(error));
    if (error) {
        handleDisconnect();
    }
    co_return error;
}

Awaitable<IoError> HttpConnection::writeChunk(const std::string &piece)
{
    IoError error;
    m_stream.expires_after(writeTimeout);
    co_await asio::async_write(m_stream, http::make_chunk(asio::buffer(piece)), redirectError(error));
    if (error) {
        handleDisconnect();
    }
    co_return error;
}

Awaitable<IoError> HttpConnection::endChunkedResponse()
{
    IoError error;
    m_stream.expires_after(writeTimeout);
    co_await asio::async_write(m_stream, http::make_chunk_last(), redirectError(error));
    m_stream.expires_never();
    co_return error;
}

void HttpConnection::abort()
{
    m_keepAlive = false;
    IoError ignored; // the connection ends either way
    m_stream.socket().shutdown(asio::ip::tcp::socket::shutdown_both, ignored);
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

void HttpConnection::setDisconnectHandler(std::function<void()> left)
{
    m_disconnectHandler = std::move(left);
    if (m_callerDisconnected && m_disconnectHandler) {
        const auto run = std::move(m_disconnectHandler);
        run();
    }
}

HttpListener::HttpListener(asio::io_context &context, HttpHandler handler, CallerLimitsProvider limits)
    : m_context(context)
    , m_acceptor(context)
    , m_handler(std::move(handler))
    , m_limits(std::move(limits))
    , m_closing(std::make_shared<bool>(false))
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
    *m_closing = true;
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
    IoError ignored; // already closed
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
            co_await sleepFor(acceptPause);
            continue;
        }
        auto connection = std::make_shared<HttpConnection>(std::move(socket), m_handler, m_limits, m_closing);
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
