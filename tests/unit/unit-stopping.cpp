#include <future>
#include <memory>

#include <catch2/catch.hpp>

#include "fleet.h"
#include "forwardingfixture.h"
#include "rawcaller.h"

using namespace zinniadock;
using namespace zinniadock::standin;
using namespace zinniadock::test;
using std::chrono::milliseconds;

namespace
{

TestRequest generation(const std::string &id)
{
    return { .target = "/stream/1", .id = id, .isGeneration = true };
}

/// Waits until a server has started to run a number of requests.
void waitForRuns(PlatformServer &server, std::size_t count)
{
    REQUIRE(eventually([&] {
        return server.startedRequests().size() == count;
    }));
}

std::future<TestResponse> sendInBackground(std::uint16_t port, const TestRequest &request)
{
    return std::async(std::launch::async, [port, request] {
        return sendRequest(port, request);
    });
}

/// Stops a role without waiting for its requests, as a process that has just got SIGTERM.
template <typename Role>
void beginDrain(RoleThread<Role> &role, milliseconds timeLimit)
{
    std::promise<void> done;
    role.post([&] {
        role->drain(timeLimit);
        done.set_value();
    });
    done.get_future().wait();
}

/// An entry with one engine whose sidecar it can't reach.
struct SlowEngineDeployment : EngineDeployment
{
    explicit SlowEngineDeployment(milliseconds eventInterval)
        : EngineDeployment(false)
    {
        engine.setEventInterval(eventInterval);
    }
};

} // namespace

// Guards against a stopping entry that takes a generation which its engines can't finish before the process ends.
TEST_CASE("a stopping entry refuses a generation that outlasts it at the pace of its engines")
{
    // A stream of 60 events takes 6 s, and the pace is known from the first stream.
    SlowEngineDeployment deployment(milliseconds(100));
    auto first = sendInBackground(deployment.entry->port(), generation("first"));
    waitForRuns(deployment.engine, 1);
    std::this_thread::sleep_for(milliseconds(1300));
    auto stopped = deployment.entry.stop({ .lameDuck = milliseconds(2000), .limit = milliseconds(5200) });
    REQUIRE(eventually([&] {
        return !isReady(deployment.entry);
    }));
    const auto sentAt = std::chrono::steady_clock::now();
    const TestResponse next = sendRequest(deployment.entry->port(), generation("next"));
    CHECK(next.status == 503);
    CHECK(next.retryAfter < 1);
    CHECK(std::chrono::steady_clock::now() - sentAt < milliseconds(500));
    CHECK(deployment.engine.startedRequests().size() == 1);
    CHECK(first.get().body == completeStreamBody());
    CHECK_FALSE(stopped.get());
}

// Guards against a stopping entry that closes the connection of a request whose response has not begun.
TEST_CASE("a request that outlasts the stop of its entry gets a response")
{
    constexpr StopTiming timing{ .lameDuck = milliseconds(0), .limit = milliseconds(300) };

    SECTION("a call that its server runs gets status 502")
    {
        ServiceDeployment deployment;
        deployment.server.setScriptedResponse({ .parts = {}, .end = ConnectionEnd::Silence });
        auto call = sendInBackground(deployment.entry->port(), { .target = "/order/1" });
        waitForRuns(deployment.server, 1);
        auto stopped = deployment.entry.stop(timing);
        CHECK(call.get().status == 502);
        CHECK(stopped.get());
        deployment.server.stop();
    }
    SECTION("a generation without an event gets status 502")
    {
        EngineDeployment deployment(false);
        deployment.engine.setScriptedResponse({ .parts = {}, .end = ConnectionEnd::Silence });
        auto response = sendInBackground(deployment.entry->port(), generation("silent"));
        waitForRuns(deployment.engine, 1);
        auto stopped = deployment.entry.stop(timing);
        CHECK(response.get().status == 502);
        CHECK(stopped.get());
        deployment.engine.stop();
    }
    SECTION("a generation that waits for an engine with free capacity gets status 503")
    {
        EngineDeployment deployment(false);
        deployment.engine.setFull(true);
        auto response = sendInBackground(deployment.entry->port(), generation("waiting"));
        std::this_thread::sleep_for(milliseconds(150));
        auto stopped = deployment.entry.stop(timing);
        CHECK(response.get().status == 503);
        CHECK_FALSE(stopped.get());
        CHECK(deployment.engine.startedRequests().empty());
    }
    SECTION("a stream that has begun is broken off and does not look complete")
    {
        SlowEngineDeployment deployment(milliseconds(30));
        auto response = std::async(std::launch::async, [&] {
            return requestRaw(deployment.entry->port(), rawGeneration("begun"));
        });
        waitForRuns(deployment.engine, 1);
        std::this_thread::sleep_for(milliseconds(200));
        auto stopped = deployment.entry.stop(timing);
        const SeenResponse seen = response.get();
        CHECK(seen.status == 200);
        CHECK(seen.end == SeenEnd::BrokenOff);
        CHECK(stopped.get());
    }
}

// Guards against a kept connection on which a stopping entry still takes work, since its head announced no close.
TEST_CASE("a stopping entry answers each request on a kept connection, at the latest with a refusal")
{
    SlowEngineDeployment deployment(milliseconds(10));
    Poco::Net::HTTPClientSession session("127.0.0.1", deployment.entry->port());
    session.setKeepAlive(true);
    const auto exchange = [&session](const std::string &id) {
        Poco::Net::HTTPRequest request("POST", "/stream/1", Poco::Net::HTTPMessage::HTTP_1_1);
        request.setHost("a.example");
        request.set("X-Request-Id", id);
        request.set("X-Key", "k1");
        request.set("X-Deadline-Ms", "15000");
        request.set("X-Token-Count", "1000,240");
        request.setContentLength(0);
        session.sendRequest(request);
        Poco::Net::HTTPResponse response;
        std::string body;
        Poco::StreamCopier::copyToString(session.receiveResponse(response), body);
        return std::make_pair(static_cast<int>(response.getStatus()), body);
    };
    auto first = std::async(std::launch::async, [&] {
        return exchange("first");
    });
    waitForRuns(deployment.engine, 1);
    std::this_thread::sleep_for(milliseconds(100));
    auto stopped = deployment.entry.stop({ .lameDuck = milliseconds(1200), .limit = milliseconds(2500) });
    CHECK(first.get() == std::make_pair(200, completeStreamBody()));
    CHECK(exchange("second").first == 503);
    CHECK(deployment.engine.startedRequests().size() == 1);
    CHECK_FALSE(stopped.get());
}

// Guards against a stopping sidecar that takes a move which it can't finish, so that the stream is lost with it.
TEST_CASE("a stopping sidecar refuses moves that outlast it, and answers what waits")
{
    EngineDeployment deployment(true);
    const auto post = [&](const std::string &target, const std::string &body) {
        Poco::Net::HTTPClientSession session("127.0.0.2", deployment.sidecar->port());
        Poco::Net::HTTPRequest request("POST", target, Poco::Net::HTTPMessage::HTTP_1_1);
        request.setContentLength(static_cast<std::streamsize>(body.size()));
        session.sendRequest(request) << body << std::flush;
        Poco::Net::HTTPResponse response;
        session.receiveResponse(response);
        return static_cast<int>(response.getStatus());
    };
    MoveOrder order;
    order.request = "moving";
    order.targets.push_back({ "127.0.0.3", 1 });
    order.estimatedCopyTime = milliseconds(900);

    SECTION("a move that takes longer than the process runs")
    {
        beginDrain(deployment.sidecar, milliseconds(1000));
        CHECK(post(moveOrderTarget, encode(order)) == 503);
        order.estimatedCopyTime = milliseconds(1);
        CHECK(post(moveOrderTarget, encode(order)) == 200);
    }
    SECTION("a load query that waits for a change")
    {
        EngineLoadQuery query;
        query.peer = "127.0.0.1:1";
        query.lastReportNumber = 1;
        auto waiting = std::async(std::launch::async, [&] {
            const auto began = std::chrono::steady_clock::now();
            post(loadQueryTarget, encode(query));
            return std::chrono::steady_clock::now() - began;
        });
        std::this_thread::sleep_for(milliseconds(100));
        beginDrain(deployment.sidecar, milliseconds(5000));
        CHECK(waiting.get() < milliseconds(700));
    }
}

// Guards against a stream that is lost because the sidecar of its draining engine stops at the same time.
TEST_CASE("a generation moves although the sidecar of its engine is stopping")
{
    PlatformStore store;
    PlatformServer source("e1", "127.0.0.2");
    PlatformServer target("e2", "127.0.0.3");
    RoleThread<EngineSidecar> sidecar(sidecarSettings("127.0.0.2", 0, source.endpoint()));
    RoleThread<EngineSidecar> targetSidecar(sidecarSettings("127.0.0.3", sidecar->port(), target.endpoint()));
    store.put("servers/e1", source.record("engines"));
    store.put("op/config", configuration(3));
    RoleThread<ForwardingEntry> entry(entrySettings(store.port(), sidecar->port()));
    REQUIRE(eventually([&] {
        return isReady(entry);
    }));
    source.setEventInterval(milliseconds(30));
    auto response = sendInBackground(entry->port(), generation("moved"));
    waitForRuns(source, 1);
    store.put("servers/e2", target.record("engines"));
    std::this_thread::sleep_for(milliseconds(200));
    beginDrain(sidecar, milliseconds(1));
    store.put("servers/e1", source.record("engines", "draining"));
    CHECK(response.get().body == completeStreamBody());
    CHECK(target.startedRequests().size() == 1);
}

// Guards against an entry of the completions interface that takes work in its lame-duck time and cuts it at the drain
// timeout.
TEST_CASE("a stopping entry of the completions interface refuses what may outlast it")
{
    Fleet fleet(1, 1);
    const auto call = [&fleet](const std::string &deadline) {
        return send(fleet.entryPort(), { .path = "/work-orders", .body = "order", .deadline = deadline });
    };
    fleet.entries[0]->beginStop(milliseconds(5000));
    CHECK(call("3000").status == 200);
    const CallResponse refused = call("20000");
    CHECK(refused.status == 503);
    CHECK(refused.verdict == "not_run");
    CHECK(refused.retryAfter.count() > 0);
    const CallResponse longGeneration
        = send(fleet.entryPort(),
               { .path = "/v1/completions", .body = R"({"model": "fitting-brief", "prompt": "[tokens=5]"})" });
    CHECK(longGeneration.status == 503);
    CHECK(longGeneration.verdict == "not_run");
    CHECK(fleet.service->runs("order") == 1);
}
