#pragma once

#include <array>
#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "zinniadock/connection/asynctypes.h"

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/parser.hpp>

#include "zinniadock/connection/calldeadline.h"
#include "zinniadock/connection/httpmessage.h"
#include "zinniadock/connection/responseend.h"

namespace zinniadock
{

using ResponseHead = http::response_header<>;

/// Maximum number of received bytes that are buffered before they are parsed: a response head, or the size line of a
/// chunk.
constexpr std::size_t maxUnparsedBytes = 128U << 10U;

/// A connection to a server that is kept alive between exchanges.
struct PooledConnection
{
    explicit PooledConnection(asio::io_context &context)
        : stream(context)
        , buffer(maxUnparsedBytes)
    {
    }

    boost::beast::tcp_stream stream;
    boost::beast::flat_buffer buffer;
    Endpoint peer;
    std::chrono::steady_clock::time_point idleSince;
    std::chrono::milliseconds idleTimeout{ 0 };
};

/// Pool of idle connections, keyed by the address of the peer. Not thread-safe: used on the network thread only.
class ConnectionPool
{
public:
    explicit ConnectionPool(asio::io_context &context);

    /// Removes and returns an idle connection that was last used less than \p maxIdleTime ago and that the peer has
    /// neither closed nor written to. Returns null if there is none.
    std::shared_ptr<PooledConnection> acquireIdle(const Endpoint &peer, std::chrono::milliseconds maxIdleTime);

    /// Returns whether there is an idle connection to a peer, which may be closed or dead.
    /// \param peer  IP:port
    bool hasIdle(const std::string &peer) const;

    /// Returns a connection that is not open yet.
    std::shared_ptr<PooledConnection> create(const Endpoint &peer);

    /// Opens a connection within \p timeout, or ends with an error when its socket is closed.
    Awaitable<IoError> open(std::shared_ptr<PooledConnection> connection, std::chrono::milliseconds timeout);

    /// Returns a connection to the pool after a complete exchange.
    /// \param idleTimeout  time after which the idle connection is no longer used
    void release(std::shared_ptr<PooledConnection> connection, std::chrono::milliseconds idleTimeout);

    /// Returns a connection to the pool that was acquired and not used.
    void putBack(std::shared_ptr<PooledConnection> connection);

    /// Closes connections that have exceeded their idle timeout.
    void closeStale();

    /// Returns the number of connection attempts.
    std::uint64_t connectCount() const;

    /// Records that a call was given up although its response had begun to arrive.
    void recordAbandonedResponse();

    /// Returns the number of calls that were given up although their response had begun to arrive.
    std::uint64_t abandonedResponses() const;
    asio::io_context &context();

private:
    asio::io_context &m_context;
    std::map<std::string, std::vector<std::shared_ptr<PooledConnection>>> m_idle;
    std::uint64_t m_connectCount = 0;
    std::uint64_t m_abandonedResponses = 0;
};

/// Whether any part of a request may have reached the server.
enum class SendState {
    NotSent, ///< no byte was written
    Sent, ///< the server may have received some bytes
};

/// One request to a server and its response, whose body is read incrementally.
class HttpExchange
{
public:
    /// \param maxIdleTime  maximum idle time of a pooled connection that is reused
    HttpExchange(ConnectionPool &pool, Endpoint peer, std::chrono::milliseconds maxIdleTime);
    ~HttpExchange();

    HttpExchange(const HttpExchange &) = delete;
    HttpExchange &operator=(const HttpExchange &) = delete;

    /// Sets the maximum time in which the server may send no byte while the response is read. Without this call there
    /// is no limit.
    void setReadTimeout(std::chrono::milliseconds timeout);

    /// Sets a condition that is checked right before the request is written. If it does not hold, nothing is written
    /// and send() returns operation_aborted.
    void setSendCondition(std::function<bool()> condition);

    /// Writes the request on a pooled connection, or on a new connection if the pool has none.
    Awaitable<IoError> send(const HttpRequest &request, std::chrono::milliseconds connectTimeout);

    /// Reads the head of the next final response on the connection. Skips a bounded number of interim (1xx) responses.
    Awaitable<IoError> readHead();

    /// Appends the next bytes of the body to \p out. \pre readHead() succeeded and !isComplete()
    Awaitable<IoError> readSome(std::string &out);

    /// Appends the rest of the body to \p out. Returns an error if \p out grows beyond \p limit bytes.
    Awaitable<IoError> readRest(std::string &out, std::size_t limit);

    const ResponseHead &head() const;

    /// Returns how the server states where the body ends. \pre readHead() succeeded
    BodyFraming framing() const;

    /// Returns whether the whole response was read: up to its stated end, or up to the end of the connection if it has
    /// none.
    bool isComplete() const;

    /// Returns what is known of the response after reading it has ended. \pre readHead() succeeded
    ResponseEnd end() const;

    /// Returns whether any byte of the response has arrived, also if it was not read yet.
    bool hasResponseBegun() const;

    /// Returns what has happened on the connection.
    CallDeadline::Progress progress() const;

    SendState sendState() const;

    /// Returns whether the request was sent on a connection that had been used before.
    bool isConnectionReused() const;

    /// Returns the connection to the pool if the response is complete and allows keep-alive, and \p idleTimeout is
    /// longer than the margin in which the pool does not reuse a connection. Closes the connection otherwise.
    /// \param idleTimeout  time for which the server keeps the idle connection open
    void releaseConnection(std::chrono::milliseconds idleTimeout);

    /// Closes the connection; an operation in progress ends with an error.
    void abort();

private:
    using Parser = http::response_parser<http::buffer_body>;
    using ReadBuffer = std::array<char, 16384>;

    Awaitable<IoError> writeRequest(const HttpRequest &request);
    Awaitable<IoError> parseHead();
    void startReadTimeout();
    void recordProgress();
    IoError readAvailable(std::string &out);
    void useBuffer(ReadBuffer &buffer);
    void appendRead(const ReadBuffer &buffer, std::string &out, IoError &error);

    ConnectionPool &m_pool;
    const Endpoint m_peer;
    const std::chrono::milliseconds m_maxIdleTime;
    std::shared_ptr<PooledConnection> m_connection;
    std::optional<Parser> m_parser;
    std::optional<std::chrono::milliseconds> m_readTimeout;
    std::function<bool()> m_sendCondition; ///< empty for none
    bool m_isHeadRequest = false;
    bool m_isConnectionReused = false;
    bool m_aborted = false;
    bool m_isConnecting = false;
    CallDeadline::Time m_lastProgress; ///< the connection was opened, or bytes were written or received
    SendState m_sendState = SendState::NotSent;
};

/// Result of call().
struct CallResult
{
    IoError error; ///< set if no complete response was received
    SendState sendState = SendState::NotSent;
    bool hasTimedOut = false;
    bool hasResponseBegun = false; ///< some bytes of the response had arrived when the call ended
    bool isConnectionReused = false; ///< the request was sent on a connection that had been used before
    /// When the head of the response was read; nothing if it was not. The body may arrive seconds later.
    std::optional<std::chrono::steady_clock::time_point> headReadAt;
    unsigned status = 0;
    ResponseHead head;
    std::string body;

    bool succeeded() const
    {
        return !error && status == 200;
    }
};

class CallInterrupter;

/// Options of call().
struct CallOptions
{
    std::chrono::milliseconds timeout{ 0 }; ///< for the whole call, which is exceeded while its response arrives
    bool usesNewConnection = false; ///< closes the idle connections to the peer, and opens a new one
    std::shared_ptr<CallInterrupter> interrupter; ///< may end the call before; null for none
    std::function<bool()> sendCondition; ///< nothing is sent if it does not hold right before; empty for none
};

/// Ends a call in progress with an error. Does nothing if there is none.
class CallInterrupter
{
public:
    void interrupt();

    /// Ends the call if it waits for a response on a connection that had been used before. Returns whether it did.
    bool interruptIfSilent();

private:
    friend Awaitable<CallResult> call(ConnectionPool &pool, Endpoint peer, HttpRequest request, CallOptions options);

    std::weak_ptr<HttpExchange> m_exchange;
};

/// Sends a request and reads the whole response. Gives the call up after \p timeout, unless its response is arriving.
Awaitable<CallResult> call(ConnectionPool &pool, Endpoint peer, HttpRequest request, std::chrono::milliseconds timeout);

/// Sends a request and reads the whole response.
Awaitable<CallResult> call(ConnectionPool &pool, Endpoint peer, HttpRequest request, CallOptions options);

} // namespace zinniadock
