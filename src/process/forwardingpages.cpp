#include "zinniadock/process/forwardingentry.h"

#include "zinniadock/process/eventlog.h"

namespace zinniadock
{

Awaitable<void> ForwardingEntry::answerReadiness(std::shared_ptr<HttpConnection> connection, HttpRequest request)
{
    const bool isKnownTarget = request.target() == wire::readinessTarget();
    const http::status status = !isKnownTarget ? http::status::not_found
        : isReady()                            ? http::status::ok
                                               : http::status::service_unavailable;
    const std::string text = isReady() ? "ready\n" : "not ready\n";
    co_await connection->respond(makeResponse(status, text, "text/plain"));
}

Awaitable<void> ForwardingEntry::answerMetrics(std::shared_ptr<HttpConnection> connection, HttpRequest request)
{
    // GCC 12 destroys a temporary of a conditional operator twice if it stands in an operand of co_await.
    const bool isKnownTarget = request.target() == "/metrics";
    const std::string text = isKnownTarget ? metricsText() : "no such page\n";
    const http::status status = isKnownTarget ? http::status::ok : http::status::not_found;
    co_await connection->respond(makeResponse(status, text, "text/plain"));
}

Awaitable<void> ForwardingEntry::answerPeer(std::shared_ptr<HttpConnection> connection, HttpRequest request)
{
    if (request.target() == announcementTarget) {
        const auto announcement = decodeServerAnnouncement(request.body());
        const bool isAccepted = announcement && acceptsAnnouncement(*announcement);
        if (isAccepted) {
            co_await resolveAnnouncement(*announcement);
        }
        const http::status status = announcement ? http::status::ok : http::status::bad_request;
        co_await connection->respond(makeResponse(status, "", "text/plain"));
        co_return;
    }
    if (request.target() == relayTarget) {
        const auto query = decodeRelayQuery(request.body());
        if (query) {
            co_await m_storeView.answerRelay(connection, *query);
            co_return;
        }
    }
    co_await connection->respond(makeResponse(http::status::bad_request, "unknown message\n", "text/plain"));
}

std::string ForwardingEntry::metricsText() const
{
    std::string out = m_services.metrics.print();
    printValue("zinniadock_active_requests", m_services.counters.activeRequests, out);
    printValue("zinniadock_moved_streams_total", m_services.counters.movedStreams, out);
    printValue("zinniadock_failed_moves_total", m_services.counters.failedMoves, out);
    printValue("zinniadock_broken_streams_total", m_services.counters.brokenStreams, out);
    printValue("zinniadock_late_gaps_total", m_services.counters.lateGaps, out);
    printValue("zinniadock_waited_generations_total", m_services.counters.waitedGenerations, out);
    printValue("zinniadock_refused_reservations_total", m_services.counters.refusedReservations, out);
    printValue("zinniadock_server_connects_total", m_services.pool.connectCount(), out);
    printValue("zinniadock_store_calls_total", m_storeView.storeCalls(), out);
    printValue("zinniadock_store_fresh", m_storeView.isFresh() ? 1 : 0, out);
    printValue("zinniadock_store_reader", m_storeView.isReadingStore() ? 1 : 0, out);
    printValue("zinniadock_known_entries", m_services.entryCount(), out);
    printValue("zinniadock_servers", m_services.directory.servers().size(), out);
    printValue("zinniadock_configuration_version", m_services.routes ? m_services.routes->version : 0, out);
    printValue("zinniadock_dropped_log_lines_total", droppedLogLines(), out);
    return out;
}

bool ForwardingEntry::isReady() const
{
    return m_services.routes && m_storeView.hasServerList() && !m_services.stopDeadline;
}

} // namespace zinniadock
