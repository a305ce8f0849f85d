#include "zinniadock/process/limitexchange.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include "zinniadock/process/eventlog.h"

namespace zinniadock
{

namespace
{

/// Timeout of a report. A parent may ask its own parent before it responds.
constexpr std::chrono::milliseconds reportTimeout{ 200 };

} // namespace

LimitExchange::LimitExchange(ForwardingServices &services)
    : m_services(services)
    , m_limiter(services.serverLimiter)
    , m_exchangeEnded(services.context)
{
}

void LimitExchange::updateFleet()
{
    const std::size_t seeds = m_services.settings.forwarding.seeds.size();
    m_limiter.setFleet(m_services.settings.forwarding.peer.text(), m_services.peerAddresses,
                       std::max<std::size_t>(seeds, 1), std::chrono::steady_clock::now());
}

void LimitExchange::maintain()
{
    const auto now = std::chrono::steady_clock::now();
    if (!m_limiter.isActive(now)) {
        return;
    }
    updateFleet();
    const auto self = shared_from_this();
    for (const std::string &child : m_limiter.childrenToNotify(now)) {
        asio::co_spawn(
            m_services.context,
            [self, child]() {
                return self->sendNotice(child);
            },
            asio::detached);
    }
    if (!m_isAsking && m_limiter.isReportDue(now)) {
        asio::co_spawn(
            m_services.context,
            [self]() {
                return self->refresh();
            },
            asio::detached);
    }
}

Awaitable<void> LimitExchange::refresh()
{
    const auto self = shared_from_this();
    if (m_isAsking) {
        co_await m_exchangeEnded.wait(reportTimeout);
        co_return;
    }
    if (!m_limiter.takeReport(std::chrono::steady_clock::now())) {
        co_return;
    }
    m_isAsking = true;
    co_await askParent();
    m_limiter.grantToSelf(std::chrono::steady_clock::now());
    m_isAsking = false;
    m_exchangeEnded.notify();
}

Awaitable<void> LimitExchange::askParent()
{
    const auto now = std::chrono::steady_clock::now();
    const std::optional<std::string> parent = m_limiter.chooseParent(now);
    if (!parent) {
        co_return;
    }
    const std::optional<LimitReply> reply = co_await sendReport(*parent, m_limiter.makeReport(*parent, now));
    m_limiter.applyReply(*parent, reply, std::chrono::steady_clock::now());
}

Awaitable<std::optional<LimitReply>> LimitExchange::sendReport(std::string peer, LimitReport report)
{
    Endpoint endpoint;
    detail::parseValue(peer, detail::Range{}, endpoint);
    const HttpRequest request = makePost(limitReportTarget, encode(report));
    const CallResult result = co_await call(m_services.pool, endpoint, request, reportTimeout);
    auto reply = result.succeeded() ? decodeLimitReply(result.body) : std::nullopt;
    if (!reply) {
        logEvent("limit", "report failed",
                 { { "peer", peer },
                   { "status", result.status },
                   { "reason", result.error ? result.error.message() : "unreadable response" } });
    }
    co_return reply;
}

Awaitable<void> LimitExchange::sendNotice(std::string child)
{
    const auto self = shared_from_this();
    co_await sendReport(child, m_limiter.makeNotice(std::chrono::steady_clock::now()));
}

Awaitable<void> LimitExchange::handleReport(std::shared_ptr<HttpConnection> connection, LimitReport report)
{
    const auto self = shared_from_this();
    m_limiter.applyReport(report, std::chrono::steady_clock::now());
    LimitReply reply;
    if (!report.isNotice) {
        if (m_limiter.lacksPermits(report, std::chrono::steady_clock::now())) {
            co_await refresh();
        }
        reply = m_limiter.reply(report, std::chrono::steady_clock::now());
    }
    co_await connection->respond(makeResponse(http::status::ok, encode(reply), "application/cbor"));
}

} // namespace zinniadock
