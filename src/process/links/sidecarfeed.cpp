#include "zinniadock/process/links/sidecarfeed.h"

#include <algorithm>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include "zinniadock/process/observing/eventlog.h"
#include "zinniadock/request/engineprobe.h"

namespace zinniadock
{

namespace
{

/// A sidecar responds to a load query within 1 s. Without a response within this longer timeout, the connection counts
/// as dead, and the query fails.
constexpr std::chrono::milliseconds responseTimeout{ 1600 };
constexpr std::chrono::milliseconds retryDelay{ 250 };

/// Minimum time between two reports of one sidecar: reportIntervalPerServer for each server, but at least
/// minReportInterval. An entry thus receives at most one report per reportIntervalPerServer on average.
constexpr std::chrono::milliseconds minReportInterval{ 100 };
constexpr std::chrono::milliseconds reportIntervalPerServer{ 2 };

/// Minimum time between two reports of one sidecar if engines are probed for their load and their reports
/// only serve to detect that they are draining.
constexpr std::chrono::milliseconds reportIntervalInUse{ 1000 };

} // namespace

SidecarFeed::SidecarFeed(ForwardingServices &services, std::string server, Endpoint sidecar, ReportHandler onReport)
    : m_services(services)
    , m_server(std::move(server))
    , m_sidecar(std::move(sidecar))
    , m_onReport(std::move(onReport))
{
}

void SidecarFeed::start()
{
    const auto self = shared_from_this();
    asio::co_spawn(
        m_services.context,
        [self]() {
            return self->run();
        },
        asio::detached);
}

void SidecarFeed::stop()
{
    m_stopped = true;
}

Awaitable<void> SidecarFeed::run()
{
    const auto self = shared_from_this();
    EngineLoadQuery query;
    query.peer = m_services.settings.forwarding.peer.text();
    while (!m_stopped) {
        const auto servers = static_cast<std::int64_t>(m_services.directory.servers().size());
        query.minInterval = usesLoadProbing(m_services)
            ? reportIntervalInUse
            : std::max(minReportInterval, reportIntervalPerServer * servers);
        const HttpRequest request = makePost(loadQueryTarget, encode(query));
        CallOptions options{ .timeout = responseTimeout };
        CallResult result = co_await call(m_services.pool, m_sidecar, request, options);
        // The failure may concern the kept connection only, and not the sidecar.
        if (result.error && result.isConnectionReused && !m_stopped) {
            options.usesNewConnection = true;
            result = co_await call(m_services.pool, m_sidecar, request, options);
        }
        const auto report = result.succeeded() ? decodeEngineLoadReport(result.body) : std::nullopt;
        if (m_isReachable != report.has_value()) {
            m_isReachable = report.has_value();
            logEvent("sidecar", m_isReachable ? "regained" : "lost",
                     { { "server", m_server },
                       { "sidecar", m_sidecar.text() },
                       { "reason", result.error ? result.error.message() : std::to_string(result.status) } });
        }
        if (report) {
            query.lastReportNumber = report->number;
            m_onReport(m_server, *report);
        } else {
            query.lastReportNumber = 0;
            co_await sleepFor(retryDelay);
        }
    }
}

} // namespace zinniadock
