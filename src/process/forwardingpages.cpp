#include "zinniadock/process/forwardingentry.h"

#include "zinniadock/process/crashes/crashwatch.h"
#include "zinniadock/process/limits/memorychoice.h"
#include "zinniadock/process/membership/entryexchange.h"
#include "zinniadock/process/observing/eventlog.h"
#include "zinniadock/process/placing/poolspeed.h"

namespace zinniadock
{

Awaitable<void> ForwardingEntry::handleReadinessRequest(std::shared_ptr<HttpConnection> connection, HttpRequest request)
{
    const bool isKnownTarget = request.target() == wire::readinessTarget();
    const http::status status = !isKnownTarget ? http::status::not_found
        : isReady()                            ? http::status::ok
                                               : http::status::service_unavailable;
    const std::string text = isReady() ? "ready\n" : "not ready\n";
    co_await connection->respond(makeResponse(status, text, "text/plain"));
}

Awaitable<void> ForwardingEntry::handleMetricsRequest(std::shared_ptr<HttpConnection> connection, HttpRequest request)
{
    // Evaluates the conditional expressions outside of co_await: GCC 12 destroys a temporary of a conditional operator
    // in an operand of co_await twice.
    const bool isKnownTarget = request.target() == "/metrics";
    const std::string text
        = isKnownTarget ? metricsText() : "expected /metrics, found " + request.target().to_string() + "\n";
    const http::status status = isKnownTarget ? http::status::ok : http::status::not_found;
    co_await connection->respond(makeResponse(status, text, "text/plain"));
}

Awaitable<void> ForwardingEntry::handlePeerRequest(std::shared_ptr<HttpConnection> connection, HttpRequest request)
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
    if (request.target() == entryReportTarget) {
        auto report = decodeEntryReport(request.body(), std::chrono::steady_clock::now());
        if (report) {
            co_await m_services.entryExchange->handleReport(connection, std::move(*report));
            co_return;
        }
    }
    if (request.target() == knowledgeTarget) {
        auto query = decodeEntryKnowledge(request.body(), std::chrono::steady_clock::now());
        if (query) {
            co_await m_knowledge->handleQuery(connection, std::move(*query));
            co_return;
        }
    }
    if (request.target() == relayTarget) {
        const auto query = decodeRelayQuery(request.body());
        observePause();
        if (query) {
            co_await m_storeView.handleRelayQuery(connection, *query);
            co_return;
        }
    }
    const std::string text = "unknown target or malformed message: " + request.target().to_string() + "\n";
    co_await connection->respond(makeResponse(http::status::bad_request, text, "text/plain"));
}

namespace
{

void appendEventTime(const std::string &server, const char *state, const std::optional<EventTime> &time,
                     std::string &out)
{
    if (time) {
        const std::string labels = "{server=\"" + server + "\",state=\"" + state + "\",value=\"";
        const std::string name = "zinniadock_server_event_microseconds" + labels;
        appendMetric(name + "typical\"}", static_cast<std::uint64_t>(time->typical.count()), out);
        appendMetric(name + "high\"}", static_cast<std::uint64_t>(time->high.count()), out);
    }
}

/// Appends the speed of the engines, and the number of engines that keep the bound on gaps of each pool's long streams.
void appendSpeedMetrics(const ForwardingServices &services, std::string &out)
{
    for (const auto &[id, server] : services.directory.servers()) {
        appendEventTime(id, "alone", server.load.eventTimes.alone, out);
        appendEventTime(id, "beside_prompt", server.load.eventTimes.besidePrompt, out);
    }
    for (const auto &[pool, mix] : services.streamMixes) {
        const auto need = mix.need(true, std::chrono::milliseconds(0), std::chrono::steady_clock::now());
        if (need) {
            const PoolSpeed speed(services.directory, pool);
            const bool isUneven = speed.isUneven(need->gapBound);
            const std::string labels = "{pool=\"" + pool + "\"}";
            appendMetric("zinniadock_pool_uneven" + labels, isUneven ? 1 : 0, out);
            appendMetric("zinniadock_gap_keeping_engines" + labels, speed.keepingEngines(need->gapBound), out);
        }
    }
    appendMetric("zinniadock_gap_moves_total", services.counters.gapMoves, out);
}

/// Appends the refusals of sidecars and the generations that wait for an engine.
void appendQueueMetrics(const ForwardingServices &services, std::string &out)
{
    for (const auto &[reason, count] : services.refusedAdmissions) {
        appendMetric("zinniadock_refused_admissions_total{reason=\"" + reason + "\"}", count, out);
    }
    for (const auto &[pool, queue] : services.placementQueues) {
        for (const auto &[priority, count] : queue.waitingByPriority()) {
            appendMetric("zinniadock_waiting_generations{pool=\"" + pool + "\",priority=\"" + std::to_string(priority)
                             + "\"}",
                         count, out);
        }
    }
}

/// Appends whether this entry reads each part of the store itself, and the time since the store last confirmed it; the
/// time of a part without a confirmation is left out.
void appendStoreParts(const StoreView &view, std::string &out)
{
    for (const StorePart part : storeParts) {
        const std::string label = "{part=\"" + std::string(toString(part)) + "\"}";
        appendMetric("zinniadock_store_reading" + label, view.isReading(part) ? 1 : 0, out);
        if (const auto age = view.age(part)) {
            appendMetric("zinniadock_store_age_milliseconds" + label, static_cast<std::uint64_t>(age->count()), out);
        }
    }
}

/// Appends the callers that left before their response was complete, by the place of their request.
void appendLeftCallers(const ForwardingCounters &counters, std::string &out)
{
    for (std::size_t place = 0; place < requestPlaceCount; ++place) {
        const std::string label(toString(static_cast<RequestPlace>(place)));
        appendMetric("zinniadock_left_callers_total{place=\"" + label + "\"}", counters.leftCallers.at(place), out);
    }
}

void appendColdMetrics(const ForwardingServices &services, std::string &out)
{
    appendMetric("zinniadock_cold_servers", services.directory.coldServers(std::chrono::steady_clock::now()), out);
    appendMetric("zinniadock_cold_refusals_total", services.counters.coldRefusals, out);
    if (!services.routes) {
        return;
    }
    for (const auto &[name, pool] : services.routes->pools) {
        if (pool.coldRate > 0) {
            out += "zinniadock_cold_limit_per_second{pool=\"" + name + "\"} " + std::to_string(pool.coldRate) + "\n";
        }
    }
}

} // namespace

std::string ForwardingEntry::metricsText() const
{
    std::string out = m_services.metrics.prometheusText();
    appendMetric("zinniadock_active_requests", m_services.counters.activeRequests, out);
    appendMetric("zinniadock_moved_streams_total", m_services.counters.movedStreams, out);
    appendMetric("zinniadock_failed_moves_total", m_services.counters.failedMoves, out);
    appendMetric("zinniadock_failed_continuations_total", m_services.counters.failedContinuations, out);
    appendMetric("zinniadock_broken_streams_total", m_services.counters.brokenStreams, out);
    appendMetric("zinniadock_broken_responses_total", m_services.counters.brokenResponses, out);
    appendMetric("zinniadock_unframed_responses_total", m_services.counters.unframedResponses, out);
    appendMetric("zinniadock_late_gaps_total", m_services.counters.lateGaps, out);
    appendMetric("zinniadock_waited_generations_total", m_services.counters.waitedGenerations, out);
    appendMetric("zinniadock_refused_reservations_total", m_services.counters.refusedReservations, out);
    appendMetric("zinniadock_hopeless_generations_total", m_services.counters.hopelessGenerations, out);
    appendQueueMetrics(m_services, out);
    appendMetric("zinniadock_server_crashes_total", m_services.crashWatch->crashes(), out);
    const SuspectTable &suspects = m_services.suspects.table();
    appendMetric("zinniadock_crash_reports", suspects.reportCount(), out);
    appendMetric("zinniadock_quarantined_traits", suspects.quarantineCount(), out);
    appendMetric("zinniadock_settling_traits", suspects.settlingCount(), out);
    appendMetric("zinniadock_abandoned_crash_runs_total", m_services.crashWatch->abandonedCrashRuns(), out);
    appendMetric("zinniadock_quarantined_requests_total", m_services.counters.quarantinedRequests, out);
    appendMetric("zinniadock_stop_refusals_total", m_services.counters.stopRefusals, out);
    appendMetric("zinniadock_ended_requests_total", m_services.counters.endedRequests, out);
    appendLeftCallers(m_services.counters, out);
    appendMetric("zinniadock_left_before_accept_total", m_callerListener->leftBeforeAccept(), out);
    appendColdMetrics(m_services, out);
    appendMetric("zinniadock_evacuated_data_centres", m_services.evacuations.all().size(), out);
    appendMetric("zinniadock_evacuation_refusals_total", m_services.counters.evacuationRefusals, out);
    appendMetric("zinniadock_overdue_refusals_total", m_services.counters.overdueRefusals, out);
    appendMetric("zinniadock_configuration_waits_total", m_storeView.configurationWaits(), out);
    appendMetric("zinniadock_server_connects_total",
                 m_services.pool.connectCount() + m_services.controlPool.connectCount(), out);
    appendMetric("zinniadock_abandoned_responses_total",
                 m_services.pool.abandonedResponses() + m_services.controlPool.abandonedResponses(), out);
    appendMetric("zinniadock_event_loop_delay_milliseconds",
                 static_cast<std::uint64_t>(m_loopDelay.longest(std::chrono::steady_clock::now()).count()), out);
    appendMetric("zinniadock_store_calls_total", m_storeView.storeCalls(), out);
    for (const auto &[end, count] : m_storeView.callEnds()) {
        appendMetric("zinniadock_store_call_ends_total{end=\"" + std::string(toString(end)) + "\"}", count, out);
    }
    appendMetric("zinniadock_store_outages_total", m_storeView.outages(), out);
    appendStoreParts(m_storeView, out);
    appendMetric("zinniadock_store_era", m_storeView.storeEra(), out);
    appendMetric("zinniadock_store_fresh", m_storeView.isFresh() ? 1 : 0, out);
    appendMetric("zinniadock_store_reader", m_storeView.isReadingStore() ? 1 : 0, out);
    appendMetric("zinniadock_known_entries", m_services.entryCount(), out);
    appendMetric("zinniadock_servers", m_services.directory.servers().size(), out);
    appendMetric("zinniadock_configuration_version", configurationVersion(), out);
    appendSpeedMetrics(m_services, out);
    appendLimitMetrics(m_services.serverLimiter.limits(), std::chrono::steady_clock::now(), out);
    appendBudgetMetrics(*m_services.callerBudget, out);
    appendMetric("zinniadock_dropped_log_lines_total", droppedLogLines(), out);
    return out;
}

bool ForwardingEntry::isReady() const
{
    return m_services.routes && m_storeView.hasServerList() && m_storeView.hasCurrentConfiguration()
        && m_storeView.configurationTrust() != ConfigurationTrust::Overdue && m_hasAskedEntries
        && !m_services.stop.isStopping();
}

} // namespace zinniadock
