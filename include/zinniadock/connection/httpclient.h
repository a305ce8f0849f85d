#pragma once

#include <chrono>
#include <cstdint>
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

#include "zinniadock/connection/httpmessage.h"

namespace zinniadock
{

using ResponseHead = http::response_header<>;

/// Most bytes of a connection that are held unparsed: a head, or the line before a chunk.
constexpr std::size_t maxUnparsedBytes = 128U << 10U;

/// A connection to a server, kept alive between exchanges.
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

/// Keeps idle connections by their peer. Used on the network thread only.
class ConnectionPool
{
public:
    explicit ConnectionPool(asio::io_context &context);

    /// Takes an idle connection that was used within \p maxIdleTime and that the peer has not closed or written to;
    /// null if there is none.
    std::shared_ptr<PooledConnection> acquireIdle(const Endpoint &peer, std::chrono::milliseconds maxIdleTime);

    /// Connects within \p timeout; null on failure, with \p error set.
    Awaitable<std::shared_ptr<PooledConnection>> connect(Endpoint peer, std::chrono::milliseconds timeout,
                                                         IoError &error);

    /// Gives back a connection after a whole exchange.
    void release(std::shared_ptr<PooledConnection> connection, std::chrono::milliseconds idleTimeout);

    /// Closes connections that were idle for too long.
    void closeStale();

    std::uint64_t connectCount() const;
    asio::io_context &context();

private:
    asio::io_context &m_context;
    std::map<std::string, std::vector<std::shared_ptr<PooledConnection>>> m_idle;
    std::uint64_t m_connectCount = 0;
};

/// How far a request got on its way to a server.
enum class SendState {
    NotSent, ///< no byte has left
    Sent, ///< some byte may have arrived
};

/// One request to a server and its answer, read piece by piece.
class HttpExchange
{
public:
    /// \param maxIdleTime  longest idle time of a connection to use again
    HttpExchange(ConnectionPool &pool, Endpoint peer, std::chrono::milliseconds maxIdleTime);
    ~HttpExchange();

    HttpExchange(const HttpExchange &) = delete;
    HttpExchange &operator=(const HttpExchange &) = delete;

    /// Connects if needed and writes the request.
    Awaitable<IoError> send(const HttpRequest &request, std::chrono::milliseconds connectTimeout);

    /// Reads the head of the next answer on the connection, behind a bounded number of interim answers.
    Awaitable<IoError> readHead();

    /// Appends the next bytes of the body to \p out. \pre readHead() succeeded and !isComplete()
    Awaitable<IoError> readSome(std::string &out);

    /// Appends the rest of the body; an error if it grows beyond \p limit.
    Awaitable<IoError> readRest(std::string &out, std::size_t limit);

    const ResponseHead &head() const;

    /// Says whether the whole body was read.
    bool isComplete() const;

    SendState sendState() const;

    /// Lets the connection be used again after a whole answer.
    void releaseConnection(std::chrono::milliseconds idleTimeout);

    /// Closes the connection; an operation in progress ends with an error.
    void abort();

private:
    using Parser = http::response_parser<http::buffer_body>;

    ConnectionPool &m_pool;
    const Endpoint m_peer;
    const std::chrono::milliseconds m_maxIdleTime;
    std::shared_ptr<PooledConnection> m_connection;
    std::optional<Parser> m_parser;
    bool m_headOnly = false;
    bool m_aborted = false;
    SendState m_sendState = SendState::NotSent;
};

/// The end of a short call to a server.
struct CallResult
{
    IoError error; ///< set if there is no whole answer
    unsigned status = 0;
    ResponseHead head;
    std::string body;

    bool succeeded() const
    {
        return !error && status == 200;
    }
};

/// Sends a request and reads its whole answer within \p timeout.
Awaitable<CallResult> call(ConnectionPool &pool, Endpoint peer, HttpRequest request, std::chrono::milliseconds timeout);

} // namespace zinniadock
