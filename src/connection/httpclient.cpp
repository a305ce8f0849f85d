#include "zinniadock/connection/httpclient.h"

#include <limits>

#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

#include "zinniadock/connection/calltimer.h"
#include "zinniadock/connection/peerstate.h"

namespace zinniadock
{

namespace
{

constexpr std::size_t maxHeadBytes = 65536;

/// Maximum number of interim (1xx) responses before the final one. Bounds the wait for a server that sends interim
/// responses without end.
constexpr int maxInterimResponses = 8;

/// Statuses of HTTP (RFC 9110, section 15). The parser takes any three digits.
constexpr unsigned minStatus = 100;
constexpr unsigned maxStatus = 599;

// Beast 1.74 rejects a body of any length as too long if the body limit is "none".
constexpr std::uint64_t unlimitedBodyBytes = std::numeric_limits<std::uint64_t>::max();
constexpr std::size_t maxCallResponseBytes = 4U << 20U;

/// Maximum time to open the connection of a call, whose timer ends the attempt before.
constexpr std::chrono::seconds maxConnectTime{ 60 };

/// Maximum number of body bytes that are read in one turn of the event loop. A large response that has arrived does not
/// need a turn for each piece.
constexpr std::size_t maxBytesPerTurn = 1U << 20U;
constexpr std::chrono::milliseconds callIdleTimeout{ 4000 };

// An idle connection is not reused in the last part of the peer's idle timeout, because the peer could close the
// connection while a request is on its way.
constexpr std::chrono::milliseconds idleTimeoutMargin{ 700 };

/// State of an attempt to open a connection.
enum class OpenState {
    Connecting,
    TimedOut,
    Decided, ///< it has succeeded or failed
};

void closeSocket(boost::beast::tcp_stream &stream)
{
    IoError ignored; // the connection is discarded even if closing it fails
    stream.socket().close(ignored);
}

/// Closes a connection so that bytes which the peer has not acknowledged are dropped. After a plain close, the system
/// goes on sending them.
void resetSocket(boost::beast::tcp_stream &stream)
{
    IoError ignored; // the connection is discarded even if the option can't be set
    stream.socket().set_option(asio::socket_base::linger(true, 0), ignored);
    closeSocket(stream);
}

} // namespace

ConnectionPool::ConnectionPool(asio::io_context &context)
    : m_context(context)
{
}

std::shared_ptr<PooledConnection> ConnectionPool::acquireIdle(const Endpoint &peer,
                                                              std::chrono::milliseconds maxIdleTime)
{
    const auto found = m_idle.find(peer.text());
    const auto now = std::chrono::steady_clock::now();
    while (found != m_idle.end() && !found->second.empty()) {
        std::shared_ptr<PooledConnection> connection = std::move(found->second.back());
        found->second.pop_back();
        const auto idle = now - connection->idleSince;
        if (idle < std::min(maxIdleTime, connection->idleTimeout) && connection->buffer.size() == 0
            && peerState(connection->stream.socket().native_handle()) == PeerState::Quiet) {
            return connection;
        }
        closeSocket(connection->stream);
    }
    return nullptr;
}

bool ConnectionPool::hasIdle(const std::string &peer) const
{
    const auto found = m_idle.find(peer);
    return found != m_idle.end() && !found->second.empty();
}

std::shared_ptr<PooledConnection> ConnectionPool::create(const Endpoint &peer)
{
    auto connection = std::make_shared<PooledConnection>(m_context);
    connection->peer = peer;
    return connection;
}

// A connection that the system has opened in time counts as open in time, also if the event loop is late to report it.
Awaitable<IoError> ConnectionPool::open(std::shared_ptr<PooledConnection> connection, std::chrono::milliseconds timeout)
{
    auto &socket = connection->stream.socket();
    const auto timer = std::make_shared<asio::steady_timer>(m_context, timeout);
    const auto state = std::make_shared<OpenState>(OpenState::Connecting);
    timer->async_wait([connection, timer, state](const IoError &error) {
        const bool isConnecting = !error && *state == OpenState::Connecting;
        if (isConnecting && !isConnectDecided(connection->stream.socket().native_handle())) {
            *state = OpenState::TimedOut;
            closeSocket(connection->stream);
        }
    });
    ++m_connectCount;
    IoError error;
    co_await socket.async_connect(tcpEndpoint(connection->peer), redirectError(error));
    timer->cancel();
    if (*state == OpenState::TimedOut) {
        co_return boost::beast::error::timeout;
    }
    *state = OpenState::Decided; // the handler of the timer may be queued already
    if (!error) {
        setSocketOptions(socket);
        socket.non_blocking(true, error);
    }
    co_return error;
}

void ConnectionPool::release(std::shared_ptr<PooledConnection> connection, std::chrono::milliseconds idleTimeout)
{
    connection->idleSince = std::chrono::steady_clock::now();
    connection->idleTimeout = idleTimeout;
    m_idle[connection->peer.text()].push_back(std::move(connection));
}

void ConnectionPool::putBack(std::shared_ptr<PooledConnection> connection)
{
    m_idle[connection->peer.text()].push_back(std::move(connection));
}

void ConnectionPool::closeStale()
{
    const auto now = std::chrono::steady_clock::now();
    for (auto position = m_idle.begin(); position != m_idle.end();) {
        std::erase_if(position->second, [now](const std::shared_ptr<PooledConnection> &connection) {
            return now - connection->idleSince > connection->idleTimeout;
        });
        position = position->second.empty() ? m_idle.erase(position) : std::next(position);
    }
}

std::uint64_t ConnectionPool::connectCount() const
{
    return m_connectCount;
}

void ConnectionPool::recordAbandonedResponse()
{
    ++m_abandonedResponses;
}

std::uint64_t ConnectionPool::abandonedResponses() const
{
    return m_abandonedResponses;
}

asio::io_context &ConnectionPool::context()
{
    return m_context;
}

HttpExchange::HttpExchange(ConnectionPool &pool, Endpoint peer, std::chrono::milliseconds maxIdleTime)
    : m_pool(pool)
    , m_peer(std::move(peer))
    , m_maxIdleTime(maxIdleTime)
{
}

HttpExchange::~HttpExchange()
{
    abort();
}

void HttpExchange::setReadTimeout(std::chrono::milliseconds timeout)
{
    m_readTimeout = timeout;
}

void HttpExchange::setSendCondition(std::function<bool()> condition)
{
    m_sendCondition = std::move(condition);
}

void HttpExchange::startReadTimeout()
{
    if (m_readTimeout) {
        m_connection->stream.expires_after(*m_readTimeout);
    }
}

Awaitable<IoError> HttpExchange::send(const HttpRequest &request, std::chrono::milliseconds connectTimeout)
{
    IoError error;
    m_isHeadRequest = request.method() == http::verb::head;
    m_connection = m_pool.acquireIdle(m_peer, m_maxIdleTime);
    m_isConnectionReused = m_connection != nullptr;
    if (!m_connection) {
        m_connection = m_pool.create(m_peer);
        m_isConnecting = true;
        error = co_await m_pool.open(m_connection, connectTimeout);
        m_isConnecting = false;
        recordProgress();
    }
    if (error) {
        co_return error;
    }
    if (m_aborted) {
        co_return asio::error::operation_aborted;
    }
    if (m_sendCondition && !m_sendCondition()) {
        if (m_isConnectionReused) {
            m_pool.putBack(std::exchange(m_connection, nullptr));
        }
        co_return asio::error::operation_aborted;
    }
    m_sendState = SendState::Sent;
    error = co_await writeRequest(request);
    recordProgress();
    co_return error;
}

// An operation that completes asynchronously takes a turn of the event loop. A busy entry has few of them, so a request
// is written, and a response read, without one as far as the socket allows it.
Awaitable<IoError> HttpExchange::writeRequest(const HttpRequest &request)
{
    auto &socket = m_connection->stream.socket();
    http::request_serializer<http::string_body> serializer(request);
    IoError error;
    while (!error && !serializer.is_done()) {
        http::write_some(socket, serializer, error);
        if (error == asio::error::would_block) {
            error = {};
            co_await socket.async_wait(asio::socket_base::wait_write, redirectError(error));
        }
    }
    co_return error;
}

Awaitable<IoError> HttpExchange::parseHead()
{
    IoError error;
    if (m_readTimeout) {
        startReadTimeout();
        co_await http::async_read_header(m_connection->stream, m_connection->buffer, *m_parser, redirectError(error));
        co_return error;
    }
    auto &socket = m_connection->stream.socket();
    http::read_header(socket, m_connection->buffer, *m_parser, error);
    while (error == asio::error::would_block) {
        error = {};
        co_await socket.async_wait(asio::socket_base::wait_read, redirectError(error));
        if (!error) {
            http::read_header(socket, m_connection->buffer, *m_parser, error);
        }
    }
    co_return error;
}

void HttpExchange::recordProgress()
{
    m_lastProgress = std::chrono::steady_clock::now();
}

CallDeadline::Progress HttpExchange::progress() const
{
    CallDeadline::Progress progress{ .isPending = false, .lastRead = m_lastProgress };
    if (m_connection && m_connection->stream.socket().is_open()) {
        const int descriptor = m_connection->stream.socket().native_handle();
        progress.isPending = m_isConnecting ? isConnectDecided(descriptor) : peerState(descriptor) != PeerState::Quiet;
    }
    return progress;
}

Awaitable<IoError> HttpExchange::readHead()
{
    IoError error;
    bool isInterim = true;
    for (int responses = 0; isInterim && !error; ++responses) {
        if (responses > maxInterimResponses) {
            co_return http::make_error_code(http::error::header_limit);
        }
        m_parser.emplace();
        m_parser->header_limit(maxHeadBytes);
        m_parser->body_limit(unlimitedBodyBytes);
        m_parser->skip(m_isHeadRequest);
        error = co_await parseHead();
        recordProgress();
        const unsigned status = m_parser->get().result_int();
        if (!error && (status < minStatus || status > maxStatus)) {
            error = http::make_error_code(http::error::bad_status);
        }
        isInterim = status / 100 == 1;
    }
    co_return error;
}

Awaitable<IoError> HttpExchange::readSome(std::string &out)
{
    IoError error;
    ReadBuffer buffer{};
    useBuffer(buffer);
    startReadTimeout();
    co_await http::async_read_some(m_connection->stream, m_connection->buffer, *m_parser, redirectError(error));
    appendRead(buffer, out, error);
    co_return error;
}

void HttpExchange::useBuffer(ReadBuffer &buffer)
{
    m_parser->get().body().data = buffer.data();
    m_parser->get().body().size = buffer.size();
    m_parser->get().body().more = true;
}

void HttpExchange::appendRead(const ReadBuffer &buffer, std::string &out, IoError &error)
{
    recordProgress();
    out.append(buffer.data(), buffer.size() - m_parser->get().body().size);
    if (error == http::error::need_buffer) {
        error = {};
    }
}

// Reads what has arrived, without waiting.
IoError HttpExchange::readAvailable(std::string &out)
{
    IoError error;
    const std::size_t limit = out.size() + maxBytesPerTurn;
    while (!error && !isComplete() && out.size() < limit) {
        ReadBuffer buffer{};
        useBuffer(buffer);
        http::read_some(m_connection->stream.socket(), m_connection->buffer, *m_parser, error);
        appendRead(buffer, out, error);
    }
    return error == asio::error::would_block ? IoError() : error;
}

Awaitable<IoError> HttpExchange::readRest(std::string &out, std::size_t limit)
{
    IoError error;
    while (!error && !isComplete()) {
        error = readAvailable(out);
        if (!error && !isComplete()) {
            error = co_await readSome(out);
        }
        if (out.size() > limit) {
            error = http::make_error_code(http::error::body_limit);
        }
    }
    co_return error;
}

const ResponseHead &HttpExchange::head() const
{
    return m_parser->get().base();
}

BodyFraming HttpExchange::framing() const
{
    if (m_parser->chunked()) {
        return BodyFraming::Chunks;
    }
    if (m_parser->need_eof()) {
        return BodyFraming::Connection;
    }
    return m_isHeadRequest || !m_parser->content_length() ? BodyFraming::NoBody : BodyFraming::Length;
}

bool HttpExchange::isComplete() const
{
    return m_parser && m_parser->is_done();
}

ResponseEnd HttpExchange::end() const
{
    return judgeResponse(framing(), isComplete());
}

bool HttpExchange::hasResponseBegun() const
{
    const bool hasHead = m_parser && m_parser->is_header_done();
    const bool hasBytes = hasHead || (m_connection && m_connection->buffer.size() > 0);
    return hasBytes
        || (m_connection && m_sendState == SendState::Sent && m_connection->stream.socket().is_open()
            && peerState(m_connection->stream.socket().native_handle()) == PeerState::HasSent);
}

SendState HttpExchange::sendState() const
{
    return m_sendState;
}

bool HttpExchange::isConnectionReused() const
{
    return m_isConnectionReused;
}

void HttpExchange::releaseConnection(std::chrono::milliseconds idleTimeout)
{
    if (m_connection && isComplete() && m_parser->get().keep_alive() && idleTimeout > idleTimeoutMargin) {
        m_connection->stream.expires_never();
        m_pool.release(std::move(m_connection), idleTimeout - idleTimeoutMargin);
    }
    m_connection.reset();
}

void HttpExchange::abort()
{
    m_aborted = true;
    if (!m_connection) {
        return;
    }
    if (m_sendState == SendState::Sent && !isComplete()) {
        resetSocket(m_connection->stream);
    } else {
        closeSocket(m_connection->stream);
    }
}

void CallInterrupter::interrupt()
{
    if (const auto exchange = m_exchange.lock()) {
        exchange->abort();
    }
}

bool CallInterrupter::interruptIfSilent()
{
    const auto exchange = m_exchange.lock();
    if (!exchange || !exchange->isConnectionReused() || exchange->hasResponseBegun()) {
        return false;
    }
    exchange->abort();
    return true;
}

Awaitable<CallResult> call(ConnectionPool &pool, Endpoint peer, HttpRequest request, std::chrono::milliseconds timeout)
{
    return call(pool, std::move(peer), std::move(request), CallOptions{ .timeout = timeout });
}

Awaitable<CallResult> call(ConnectionPool &pool, Endpoint peer, HttpRequest request, CallOptions options)
{
    CallResult result;
    const auto maxIdleTime = options.usesNewConnection ? std::chrono::milliseconds(0) : callIdleTimeout;
    auto exchange = std::make_shared<HttpExchange>(pool, peer, maxIdleTime);
    if (options.interrupter) {
        options.interrupter->m_exchange = exchange;
    }
    exchange->setSendCondition(std::move(options.sendCondition));
    const auto timer = std::make_shared<CallTimer>(pool.context(), exchange, options.timeout);
    timer->start();
    request.set(http::field::host, peer.text());
    result.error = co_await exchange->send(request, maxConnectTime);
    result.sendState = exchange->sendState();
    result.isConnectionReused = exchange->isConnectionReused();
    if (!result.error) {
        result.error = co_await exchange->readHead();
    }
    if (!result.error) {
        result.headReadAt = std::chrono::steady_clock::now();
        result.status = exchange->head().result_int();
        result.head = exchange->head();
        result.error = co_await exchange->readRest(result.body, maxCallResponseBytes);
    }
    timer->cancel();
    result.hasTimedOut = timer->hasExpired();
    result.hasResponseBegun = timer->hadResponseBegun() || exchange->hasResponseBegun();
    if (result.error && result.hasResponseBegun) {
        pool.recordAbandonedResponse();
    }
    if (!result.error) {
        exchange->releaseConnection(callIdleTimeout);
    }
    co_return result;
}

} // namespace zinniadock
