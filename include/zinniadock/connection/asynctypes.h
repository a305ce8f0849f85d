#pragma once

#include <chrono>
#include <utility> // Boost.Asio 1.74 uses std::exchange without it

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/system/error_code.hpp>

#include "zinniadock/detail/fieldtable.h"

namespace zinniadock
{

namespace asio = boost::asio;

template <typename Result>
using Awaitable = asio::awaitable<Result>;

using IoError = boost::system::error_code;

/// Returns a completion token that stores the error of an asynchronous operation in \p error instead of throwing it.
inline auto redirectError(IoError &error)
{
    return asio::redirect_error(asio::use_awaitable, error);
}

/// Suspends the calling coroutine for \p duration.
Awaitable<void> sleepFor(std::chrono::milliseconds duration);

/// Condition variable for coroutines.
class AsyncCondition
{
public:
    explicit AsyncCondition(asio::io_context &context);

    /// Wakes all waiting coroutines.
    void notify();

    /// Waits for the next notify(), or until \p timeout has passed. May return earlier, because the timeout of one
    /// waiting coroutine wakes all of them.
    Awaitable<void> wait(std::chrono::milliseconds timeout);

private:
    asio::io_context &m_context;
    std::shared_ptr<asio::steady_timer> m_timer;
};

/// Converts an address to a TCP endpoint. Returns 0.0.0.0:0 if the address is malformed.
asio::ip::tcp::endpoint tcpEndpoint(const Endpoint &endpoint);

/// Enables TCP keep-alive and a user timeout, which detect an unreachable peer, and disables Nagle's algorithm, so that
/// small writes are sent at once.
void setSocketOptions(asio::ip::tcp::socket &socket);

} // namespace zinniadock
