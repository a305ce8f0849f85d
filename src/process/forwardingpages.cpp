#include "zinniadock/process/forwardingentry.h"

#include "zinniadock/process/eventlog.h"

namespace zinniadock
{

Awaitable<void> ForwardingEntry::answerReadiness(std::shared_ptr<HttpConnection> connection, HttpRequest request)
{
    const bool asked = request.target() == wire::readinessTarget();
    const http::status status = !asked ? http::status::not_found
        : isReady()                    ? http::status::ok
                                       : http::status::service_unavailable;
    const std::string text = isReady() ? "ready\n" : "not ready\n";
    co_await connection->answer(makeAnswer(status, text, "text/plain"));
}

Awaitable<void> ForwardingEntry::answerMetrics(std::shared_ptr<HttpConnection> connection, HttpRequest request)
{
    // GCC 12 destroys a temporary of a conditional operator twice if it stands in an operand of co_await.
    const bool asked = request.target() == "/metrics";
    const std::string text = asked ? metricsText() : "no such page\n";
    const http::status status = asked ? http::status::ok : http::status::not_found;
    co_await connection->answer(makeAnswer(status, text, "text/plain"));
}

Awaitable<void> ForwardingEntry::answerPeer(std::shared_ptr<HttpConnection> connection, HttpRequest request)
{
    if (request.target() == announcementTarget) {
        const auto announcement = decodeServerAnnouncement(request.body());
        const bool news = announcement && isNews(*announcement);
        if (news) {
            co_await learnServer(*announcement);
        }
        const http::status status = announcement ? http::status::ok : http::status::bad_request;
        co_await connection->answer(makeAnswer(status, "", "text/plain"));
        co_return;
    }
    if (request.target() == relayTarget) {
        const auto query = decodeRelayQuery(request.body());
        if (query) {
            co_await m_view.answerRelay(connection, *query);
            co_return;
        }
    }
    co_await connection->answer(makeAnswer(http::status::bad_request, "unknown message\n", "text/plain"));
}

std::string ForwardingEntry::metricsText() const
{
    std::string out = m_services.metrics.prometheusText();
    appendMetric("zinniadock_active_requests", m_services.counts.active, out);
    appendMetric("zinniadock_moved_streams_total", m_services.counts.moved, out);
    appendMetric("zinniadock_failed_moves_total", m_services.counts.movesFailed, out);
    appendMetric("zinniadock_broken_streams_total", m_services.counts.brokenStreams, out);
    appendMetric("zinniadock_late_gaps_total", m_services.counts.lateGaps, out);
    appendMetric("zinniadock_waited_generations_total", m_services.counts.waited, out);
    appendMetric("zinniadock_refused_reservations_total", m_services.counts.reservationsRefused, out);
    appendMetric("zinniadock_server_connects_total", m_services.pool.connects(), out);
    appendMetric("zinniadock_store_calls_total", m_view.storeCalls(), out);
    appendMetric("zinniadock_store_fresh", m_view.isFresh() ? 1 : 0, out);
    appendMetric("zinniadock_store_reader", m_view.reads() ? 1 : 0, out);
    appendMetric("zinniadock_known_entries", m_services.entries(), out);
    appendMetric("zinniadock_servers", m_services.directory.servers().size(), out);
    appendMetric("zinniadock_configuration_version", m_services.routes ? m_services.routes->version : 0, out);
    appendMetric("zinniadock_dropped_log_lines_total", droppedLogLines(), out);
    return out;
}

bool ForwardingEntry::isReady() const
{
    return m_services.routes && m_view.knowsServers() && !m_services.stopsAt;
}

} // namespace zinniadock
