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

/// Makes an asynchronous operation return its error instead of throwing it.
inline auto redirectError(IoError &error)
{
    return asio::redirect_error(asio::use_awaitable, error);
}

/// Suspends a coroutine for a while.
Awaitable<void> sleepFor(std::chrono::milliseconds duration);

/// Wakes coroutines that wait for a change of something.
class AsyncCondition
{
public:
    explicit AsyncCondition(asio::io_context &context);

    /// Wakes all that wait.
    void notify();

    /// Waits for the next notify(), or until \p timeout has passed.
    Awaitable<void> wait(std::chrono::milliseconds timeout);

private:
    asio::io_context &m_context;
    std::shared_ptr<asio::steady_timer> m_timer;
};

/// Returns the TCP endpoint of an address; port 0 of 0.0.0.0 for a malformed one.
asio::ip::tcp::endpoint tcpEndpoint(const Endpoint &endpoint);

/// Has the system notice a peer that is silent for good, and send small writes at once.
void setSocketOptions(asio::ip::tcp::socket &socket);

} // namespace zinniadock
