#include "zinniadock/connection/asynctypes.h"

#include <netinet/tcp.h>

#include <boost/asio/ip/address.hpp>
#include <boost/asio/this_coro.hpp>

namespace zinniadock
{

namespace
{

using KeepAliveIdle = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPIDLE>;
using KeepAliveInterval = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPINTVL>;
using KeepAliveCount = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPCNT>;
using UserTimeout = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_USER_TIMEOUT>;

constexpr int keepAliveIdleSeconds = 2;
constexpr int keepAliveIntervalSeconds = 1;
constexpr int keepAliveProbes = 3;
constexpr int userTimeoutMilliseconds = 4000;

} // namespace

Awaitable<void> sleepFor(std::chrono::milliseconds duration)
{
    asio::steady_timer timer(co_await asio::this_coro::executor, duration);
    IoError error;
    co_await timer.async_wait(redirectError(error));
}

AsyncCondition::AsyncCondition(asio::io_context &context)
    : m_context(context)
    , m_timer(std::make_shared<asio::steady_timer>(context, asio::steady_timer::time_point::max()))
{
}

void AsyncCondition::notify()
{
    m_timer->cancel();
}

Awaitable<void> AsyncCondition::wait(std::chrono::milliseconds timeout)
{
    auto timeoutTimer = std::make_shared<asio::steady_timer>(m_context, timeout);
    const std::shared_ptr<asio::steady_timer> notifyTimer = m_timer;
    IoError error;
    timeoutTimer->async_wait([notifyTimer, timeoutTimer](const IoError &timerError) {
        if (!timerError) {
            notifyTimer->cancel();
        }
    });
    co_await notifyTimer->async_wait(redirectError(error));
    timeoutTimer->cancel();
}

asio::ip::tcp::endpoint tcpEndpoint(const Endpoint &endpoint)
{
    IoError error;
    const auto address = asio::ip::make_address(endpoint.address, error);
    return error ? asio::ip::tcp::endpoint() : asio::ip::tcp::endpoint(address, endpoint.port);
}

void setSocketOptions(asio::ip::tcp::socket &socket)
{
    IoError ignored; // a socket without one of the options still works, but detects an unreachable peer later
    socket.set_option(asio::ip::tcp::no_delay(true), ignored);
    socket.set_option(asio::socket_base::keep_alive(true), ignored);
    socket.set_option(KeepAliveIdle(keepAliveIdleSeconds), ignored);
    socket.set_option(KeepAliveInterval(keepAliveIntervalSeconds), ignored);
    socket.set_option(KeepAliveCount(keepAliveProbes), ignored);
    socket.set_option(UserTimeout(userTimeoutMilliseconds), ignored);
}

} // namespace zinniadock
