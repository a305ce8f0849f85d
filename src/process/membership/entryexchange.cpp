#include "zinniadock/process/membership/entryexchange.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include "zinniadock/process/observing/eventlog.h"

namespace zinniadock
{

namespace
{

/// Timeout of a report. A parent may ask its own parent before it responds.
constexpr std::chrono::milliseconds reportTimeout{ 200 };

} // namespace

EntryExchange::EntryExchange(ForwardingServices &services)
    : m_services(services)
    , m_limiter(services.serverLimiter)
    , m_suspects(services.suspects)
    , m_exchangeEnded(services.context)
{
}

void EntryExchange::updateFleet()
{
    const std::size_t seeds = m_services.settings.forwarding.seeds.size();
    const auto now = std::chrono::steady_clock::now();
    m_services.entryTree.update(m_services.settings.forwarding.peer.text(), m_services.peerAddresses,
                                std::max<std::size_t>(seeds, 1), now);
    m_limiter.updatePosition(now);
}

void EntryExchange::maintain()
{
    const auto now = std::chrono::steady_clock::now();
    updateFleet();
    m_suspects.settle(now);
    sendNotices();
    if (!m_limiter.isActive(now)) {
        return;
    }
    const auto self = shared_from_this();
    for (const std::string &child : m_limiter.childrenToNotify(now)) {
        asio::co_spawn(
            m_services.context,
            [self, child]() {
                return self->sendLimitNotice(child);
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

void EntryExchange::sendNotices()
{
    const auto self = shared_from_this();
    for (const std::string &peer : m_suspects.peersToNotify(std::chrono::steady_clock::now())) {
        asio::co_spawn(
            m_services.context,
            [self, peer]() {
                return self->sendNotice(peer);
            },
            asio::detached);
    }
}

Awaitable<void> EntryExchange::sendNotice(std::string peer)
{
    const auto self = shared_from_this();
    EvidenceBatch batch = m_suspects.nextFor(peer, std::chrono::steady_clock::now());
    EntryReport notice;
    notice.sender = m_services.entryTree.self();
    notice.isNotice = true;
    notice.evidence = batch.evidence;
    const std::optional<EntryReply> reply = co_await sendReport(peer, std::move(notice));
    const std::optional<std::uint64_t> peerStart = reply ? std::optional(reply->start) : std::nullopt;
    m_suspects.recordSent(peer, batch, peerStart, std::chrono::steady_clock::now());
    sendNotices();
}

Awaitable<void> EntryExchange::refresh()
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

Awaitable<void> EntryExchange::askParent()
{
    const auto now = std::chrono::steady_clock::now();
    const std::optional<std::string> parent = m_limiter.chooseParent(now);
    if (!parent) {
        co_return;
    }
    const std::optional<EntryReply> reply = co_await sendReport(*parent, m_limiter.makeReport(*parent, now));
    m_limiter.applyReply(*parent, reply, std::chrono::steady_clock::now());
}

Awaitable<std::optional<EntryReply>> EntryExchange::sendReport(std::string peer, EntryReport report)
{
    Endpoint endpoint;
    detail::parseValue(peer, detail::Range{}, endpoint);
    report.start = m_suspects.start();
    const HttpRequest request = makePost(entryReportTarget, encode(report, std::chrono::steady_clock::now()));
    const CallResult result = co_await call(m_services.pool, endpoint, request, reportTimeout);
    auto reply = result.succeeded() ? decodeEntryReply(result.body) : std::nullopt;
    if (!reply) {
        logEvent("limit", "report failed",
                 { { "peer", peer },
                   { "status", result.status },
                   { "reason", result.error ? result.error.message() : "unreadable response" } });
    }
    co_return reply;
}

Awaitable<void> EntryExchange::sendLimitNotice(std::string child)
{
    const auto self = shared_from_this();
    co_await sendReport(child, m_limiter.makeNotice(std::chrono::steady_clock::now()));
}

Awaitable<void> EntryExchange::handleReport(std::shared_ptr<HttpConnection> connection, EntryReport report)
{
    const auto self = shared_from_this();
    const auto now = std::chrono::steady_clock::now();
    m_suspects.apply(report.evidence, report.sender, report.start, now);
    sendNotices();
    m_limiter.applyReport(report, now);
    EntryReply reply;
    if (!report.isNotice) {
        if (m_limiter.lacksPermits(report, std::chrono::steady_clock::now())) {
            co_await refresh();
        }
        reply = m_limiter.reply(report, std::chrono::steady_clock::now());
    }
    reply.start = m_suspects.start();
    co_await connection->respond(makeResponse(http::status::ok, encode(reply), "application/cbor"));
}

} // namespace zinniadock
