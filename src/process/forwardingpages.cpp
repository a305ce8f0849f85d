#include "zinniadock/process/forwardingentry.h"

#include <nlohmann/json.hpp>

#include "zinniadock/process/eventlog.h"

namespace zinniadock
{

namespace
{

using Json = nlohmann::json;

constexpr const char *peerTarget = "/state";

/// Other entries are asked for the configuration after the store has been away for so long.
constexpr std::chrono::milliseconds peerPatience{ 400 };

constexpr std::chrono::milliseconds peerInterval{ 700 };

constexpr std::chrono::milliseconds peerTimeout{ 500 };

} // namespace

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
    if (request.target() != peerTarget) {
        co_await connection->answer(makeAnswer(http::status::not_found, "no such page\n", "text/plain"));
        co_return;
    }
    const Json state{ { "configuration", m_configurationText },
                      { "servers", m_serverTexts },
                      { "announced", m_announced } };
    const std::vector<std::uint8_t> bytes = Json::to_cbor(state);
    co_await connection->answer(
        makeAnswer(http::status::ok, std::string(bytes.begin(), bytes.end()), "application/cbor"));
}

std::string ForwardingEntry::metricsText() const
{
    std::string out = m_services.metrics.print();
    const std::uint64_t storeCalls = m_configurationWatch->calls() + m_serverWatch->calls();
    printValue("zinniadock_active_requests", m_services.counts.active, out);
    printValue("zinniadock_moved_streams_total", m_services.counts.moved, out);
    printValue("zinniadock_failed_moves_total", m_services.counts.movesFailed, out);
    printValue("zinniadock_broken_streams_total", m_services.counts.brokenStreams, out);
    printValue("zinniadock_late_gaps_total", m_services.counts.lateGaps, out);
    printValue("zinniadock_waited_generations_total", m_services.counts.waited, out);
    printValue("zinniadock_refused_reservations_total", m_services.counts.reservationsRefused, out);
    printValue("zinniadock_server_connects_total", m_services.pool.connects(), out);
    printValue("zinniadock_store_calls_total", storeCalls, out);
    printValue("zinniadock_store_answers", m_storeLostAt ? 0 : 1, out);
    printValue("zinniadock_servers", m_services.directory.servers().size(), out);
    printValue("zinniadock_configuration_version", m_services.routes ? m_services.routes->version : 0, out);
    printValue("zinniadock_dropped_log_lines_total", droppedLogLines(), out);
    return out;
}

bool ForwardingEntry::isReady() const
{
    return m_services.routes && !m_services.stopsAt;
}

// An entry that the store turns away takes configuration and servers from the others; versions only go forward.
Awaitable<void> ForwardingEntry::askPeers()
{
    std::size_t next = 0;
    while (!m_stopped) {
        co_await sleepFor(peerInterval);
        const bool away = m_storeLostAt && std::chrono::steady_clock::now() - *m_storeLostAt > peerPatience;
        std::set<std::string> peers = m_services.peers;
        for (const Endpoint &seed : m_services.settings.forwarding.seeds) {
            peers.insert(seed.text());
        }
        peers.erase(m_services.settings.forwarding.peer.text());
        if (!away || peers.empty()) {
            continue;
        }
        Endpoint peer;
        const std::string text = *std::next(peers.begin(), static_cast<std::ptrdiff_t>(next++ % peers.size()));
        detail::parseValue(text, detail::Range{}, peer);
        const CallResult result = co_await call(m_services.pool, peer, makeGet(peerTarget), peerTimeout);
        const Json state = result.succeeded() ? Json::from_cbor(result.body, true, false) : Json();
        if (!state.is_object()) {
            continue;
        }
        const std::string configuration = state.value("configuration", "");
        if (!configuration.empty()) {
            configurationRead(configuration, text);
        }
        for (const auto &[id, bytes] : state.value("announced", std::map<std::string, std::string>())) {
            const auto announcement = decodeServerAnnouncement(bytes);
            if (announcement && isNews(*announcement)) {
                serverAnnounced(*announcement);
            }
        }
        for (const auto &[id, record] : state.value("servers", std::map<std::string, std::string>())) {
            if (!m_services.directory.find(id)) {
                serverChanged({ wire::serverPrefix() + id, record });
            }
        }
    }
}

} // namespace zinniadock
