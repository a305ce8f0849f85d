#include <mutex>

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include "fleet.h"
#include "forwardingfixture.h"
#include "rawcaller.h"
#include "speedpool.h"

using namespace zinniadock;
using namespace zinniadock::standin;
using namespace zinniadock::test;
using std::chrono::milliseconds;

namespace
{

constexpr double allTokens = 100000;
constexpr double promptTokens = 3000;

/// A sidecar whose load report the test sets. It admits all work, and passes the orders for moves on to a real sidecar
/// of the same engine.
class ScriptedSidecar
{
public:
    ScriptedSidecar(asio::io_context &context, const Settings &settings)
        : m_settings(settings)
        , m_context(context)
        , m_pool(context)
    {
    }

    std::error_code start()
    {
        m_listener = std::make_shared<HttpListener>(
            m_context,
            [this](std::shared_ptr<HttpConnection> connection, HttpRequest request) {
                return handle(std::move(connection), std::move(request));
            },
            internalListenerLimits);
        return m_listener->start(m_settings.sidecar.listen);
    }

    std::uint16_t port() const
    {
        return m_listener->port();
    }

    void setLoad(double eventTimeFactor, double committedTokens, double waitingTokens = 0)
    {
        const std::lock_guard lock(m_mutex);
        m_report.load = loadOfSpeed(eventTimeFactor);
        m_report.load.totalTokens = static_cast<std::uint32_t>(allTokens);
        m_report.load.committedTokens = committedTokens;
        m_report.load.waitingTokens = waitingTokens;
        ++m_report.number;
    }

    void setMovingSidecar(const Endpoint &sidecar)
    {
        const std::lock_guard lock(m_mutex);
        m_movingSidecar = sidecar;
    }

private:
    std::string report()
    {
        const std::lock_guard lock(m_mutex);
        return encode(m_report);
    }

    Endpoint movingSidecar()
    {
        const std::lock_guard lock(m_mutex);
        return m_movingSidecar;
    }

    Awaitable<void> handle(std::shared_ptr<HttpConnection> connection, HttpRequest request)
    {
        std::string response = encode(AdmissionResponse{ .admitted = true });
        if (request.target() == loadQueryTarget) {
            co_await sleepFor(milliseconds(20));
            response = report();
        } else if (request.target() == moveOrderTarget) {
            const HttpRequest order = makePost(moveOrderTarget, request.body());
            const CallResult result = co_await call(m_pool, movingSidecar(), order, milliseconds(5000));
            response = result.body;
        }
        co_await connection->respond(makeResponse(http::status::ok, response, "application/cbor"));
    }

    const Settings m_settings;
    asio::io_context &m_context;
    ConnectionPool m_pool;
    std::shared_ptr<HttpListener> m_listener;
    std::mutex m_mutex;
    EngineLoadReport m_report;
    Endpoint m_movingSidecar;
};

std::string configurationWithGapBound()
{
    auto document = nlohmann::json::parse(configuration(4));
    document.at("routes").at(0)["gapAimMs"] = streamBound.count();
    return document.dump();
}

/// Two slow engines and a fast one. At first, only the first slow engine has room.
struct UnevenDeployment
{
    UnevenDeployment()
    {
        sourceSidecar->setMovingSidecar({ "127.0.0.2", movingSidecar->port() });
        sourceSidecar->setLoad(1.2, 0, promptTokens);
        fastSidecar->setLoad(0.55, allTokens);
        slowSidecar->setLoad(1.2, allTokens);
        store.put("op/config", configurationWithGapBound());
        store.put("servers/e2", fast.record("engines"));
        store.put("servers/e3", slow.record("engines"));
        source.setEventInterval(milliseconds(40));
    }

    PlatformServer source{ "e1", "127.0.0.2" };
    PlatformServer fast{ "e2", "127.0.0.3" };
    PlatformServer slow{ "e3", "127.0.0.4" };
    SeededStore store{ "e1", source.record("engines") };
    RoleThread<EngineSidecar> movingSidecar{ sidecarSettings("127.0.0.2", 0, source.endpoint()) };
    RoleThread<ScriptedSidecar> sourceSidecar{ sidecarSettings("127.0.0.2", 0, source.endpoint()) };
    RoleThread<ScriptedSidecar> fastSidecar{ sidecarSettings("127.0.0.3", sourceSidecar->port(), fast.endpoint()) };
    RoleThread<ScriptedSidecar> slowSidecar{ sidecarSettings("127.0.0.4", sourceSidecar->port(), slow.endpoint()) };
};

/// Returns whether an entry has load reports of all engines.
bool knowsSpeeds(RoleThread<ForwardingEntry> &entry)
{
    const std::string page = sendRequest(entry->metricsPort(), { .target = "/metrics", .method = "GET" }).body;
    const auto knows = [&page](const std::string &server) {
        return page.find("zinniadock_server_event_microseconds{server=\"" + server + "\"") != std::string::npos;
    };
    return knows("e1") && knows("e2") && knows("e3");
}

SeenResponse requestLongStream(RoleThread<ForwardingEntry> &entry)
{
    return requestRaw(entry->port(),
                      rawRequest("POST", "/stream/x", "long", "X-Token-Count: 1000,4000\r\nX-Deadline-Ms: 15000\r\n"));
}

} // namespace

// Guards against a stream that stays at an engine that reads prompts beside it, although a faster one has room, and
// against a move that needs its source to drain.
TEST_CASE("a long stream moves to an engine that keeps its bound as soon as that has room")
{
    UnevenDeployment deployment;
    Settings settings = entrySettings(deployment.store.port(), deployment.sourceSidecar->port());
    const bool movesForGaps = GENERATE(true, false);
    settings.forwarding.gapMoves = movesForGaps ? 1 : 0;
    RoleThread<ForwardingEntry> entry(settings);
    REQUIRE(eventually([&entry] {
        return isReady(entry);
    }));
    REQUIRE(eventually([&entry] {
        return knowsSpeeds(entry);
    }));
    auto response = std::async(std::launch::async, [&entry] {
        return requestLongStream(entry);
    });
    REQUIRE(eventually([&deployment] {
        return deployment.source.startedRequests().size() == 1;
    }));
    deployment.sourceSidecar->setLoad(1.2, allTokens, promptTokens);
    deployment.fastSidecar->setLoad(0.55, 0);
    const SeenResponse seen = response.get();
    CHECK(seen.status == 200);
    CHECK(seen.end == SeenEnd::Complete);
    CHECK(seen.body == completeStreamBody());
    CHECK(deployment.fast.startedRequests().size() == (movesForGaps ? 1U : 0U));
    CHECK(deployment.slow.startedRequests().empty());
}

// Guards against moves from engines that stay with only one copy, during which the stream pauses longer.
TEST_CASE("an order for a move from an engine that stays states its time, and an earlier entry's order states none")
{
    MoveOrder order;
    order.request = "long";
    order.timeLeft = milliseconds(60000);
    const std::string bytes = encode(order);
    const auto decoded = decodeMoveOrder(bytes);
    REQUIRE(decoded);
    CHECK(decoded->timeLeft == milliseconds(60000));
    auto document = nlohmann::json::from_cbor(bytes);
    REQUIRE(document.erase("time_left_ms") == 1);
    const std::vector<std::uint8_t> earlier = nlohmann::json::to_cbor(document);
    const auto decodedEarlier = decodeMoveOrder(std::string(earlier.begin(), earlier.end()));
    REQUIRE(decodedEarlier);
    CHECK_FALSE(decodedEarlier->timeLeft);
}
