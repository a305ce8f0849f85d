#include "zinniadock/connection/calltimer.h"

#include "zinniadock/connection/httpclient.h"

namespace zinniadock
{

CallTimer::CallTimer(asio::io_context &context, std::shared_ptr<HttpExchange> exchange, std::chrono::milliseconds limit)
    : m_timer(context)
    , m_deadline(std::chrono::steady_clock::now(), limit)
    , m_exchange(std::move(exchange))
{
}

void CallTimer::start()
{
    m_timer.expires_at(m_deadline.nextCheck());
    m_timer.async_wait([self = shared_from_this()](const IoError &error) {
        if (!error && self->m_exchange) {
            self->check();
        }
    });
}

void CallTimer::check()
{
    if (!m_deadline.isOver(std::chrono::steady_clock::now(), m_exchange->progress())) {
        start();
        return;
    }
    m_hasExpired = true;
    m_hadResponseBegun = m_exchange->hasResponseBegun();
    m_exchange->abort();
}

void CallTimer::cancel()
{
    m_exchange.reset();
    m_timer.cancel();
}

bool CallTimer::hasExpired() const
{
    return m_hasExpired;
}

bool CallTimer::hadResponseBegun() const
{
    return m_hadResponseBegun;
}

} // namespace zinniadock
