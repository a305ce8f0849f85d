#include <catch2/catch.hpp>

#include "fleet.h"
#include "forwardingfixture.h"
#include "rawcaller.h"

using namespace zinniadock;
using namespace zinniadock::standin;
using namespace zinniadock::test;

TEST_CASE("plain services that are draining, request a pause, or send endless responses")
{
    ServiceDeployment deployment;
    PlatformStore &store = deployment.store;
    PlatformServer &server = deployment.server;
    RoleThread<ForwardingEntry> &entry = deployment.entry;
    const auto call = [&entry](const std::string &target) {
        return sendRequest(entry->port(), { .target = target });
    };

    SECTION("a server that announces in a response that it is draining gets no new work, also while the store is down")
    {
        REQUIRE(call("/order/1").status == 200);
        store.setDown(true);
        server.setDrainingHeader(true);
        CHECK(call("/order/1").status == 200);
        CHECK(call("/order/1").status == 503);
        CHECK(server.startedRequests().size() == 2);
    }
    SECTION(
        "a server that requests a pause gets at most one request during the pause, and serves again after the pause")
    {
        server.setRetryAfter("1.2");
        const TestResponse refused = call("/order/1");
        CHECK(refused.status == 503);
        CHECK(refused.retryAfter >= 1.0);
        for (int i = 0; i < 5; ++i) {
            CHECK(call("/order/1").status == 503);
        }
        CHECK(server.retryAfterRefusals() == 1);
        server.setRetryAfter("");
        CHECK(eventually([&] {
            return call("/order/1").status == 200;
        }));
    }
    SECTION(
        "an endless response is aborted after a bounded number of bytes, and the request is not reported as not run")
    {
        const ServerBehavior behavior = GENERATE(ServerBehavior::EndlessHead, ServerBehavior::EndlessInterimResponses,
                                                 ServerBehavior::EndlessChunkLine, ServerBehavior::EndlessBody);
        server.setBehavior(behavior);
        CHECK(call("/order/1").status == 502);
        // The limit includes the buffers of the two sockets.
        constexpr std::uint64_t maxReceivedBytes = 24U << 20U;
        CHECK(eventually([&] {
            const std::uint64_t before = server.endlessBytes();
            return before > 0 && before < maxReceivedBytes;
        }));
        server.setBehavior(ServerBehavior::Healthy);
        CHECK(eventually([&] {
            return call("/order/1").status == 200;
        }));
    }
}

// Guards against responses that are cut, or taken as broken or as complete, because they end with their connection.
TEST_CASE("a response with neither length nor chunks reaches its caller when its connection ends")
{
    ServiceDeployment deployment;
    deployment.server.setBehavior(ServerBehavior::UnframedBody);
    const SeenResponse response = requestRaw(deployment.entry->port(), rawRequest("POST", "/order/1", "unframed"));
    CHECK(response.status == 200);
    CHECK(response.body == "whole body");
    CHECK(response.end == SeenEnd::Unconfirmed);
    deployment.server.setBehavior(ServerBehavior::Healthy);
    CHECK(sendRequest(deployment.entry->port(), { .target = "/order/1" }).status == 200);
}

// Guards against a response that its caller takes for an answer although HTTP has no such status.
TEST_CASE("a response with a status that HTTP does not have reaches no caller")
{
    const std::string status = GENERATE("000", "007", "099", "600", "999");
    CAPTURE(status);
    const std::string fields = " Unknown\r\nX-Request-Id: {id}\r\nX-Server-Signature: s\r\n";
    const std::string head = "HTTP/1.1 " + status + fields;
    const ScriptedResponse call{ .parts = { head + "Content-Length: 5\r\n\r\nwrong" } };

    SECTION("of a call that runs at most once, and of an idempotent one")
    {
        const auto [method, target, maxRuns] = GENERATE(
            table<const char *, const char *, std::size_t>({ { "POST", "/order/1", 1 }, { "GET", "/read/1", 2 } }));
        CAPTURE(method, target);
        ServiceDeployment deployment;
        deployment.server.setScriptedResponse(call);
        const SeenResponse seen = requestRaw(deployment.entry->port(), rawRequest(method, target, "call"));
        CHECK(seen.status == 502);
        CHECK(seen.body.find("wrong") == std::string::npos);
        CHECK(deployment.server.startedRequests().size() <= maxRuns);
    }
    SECTION("of a generation")
    {
        EngineDeployment deployment(false);
        const std::string type = GENERATE("text/event-stream", "text/plain");
        deployment.engine.setScriptedResponse(
            { .parts = { head + "Content-Type: " + type + "\r\nConnection: close\r\n\r\n" + completeStreamBody() } });
        const SeenResponse seen = requestRaw(deployment.entry->port(), rawGeneration("stream"));
        CHECK(seen.status == 502);
        CHECK(seen.body.find("data:") == std::string::npos);
    }
}

// Guards against a stream that looks complete to its caller although its engine has broken it off inside an event.
TEST_CASE("a stream that ends inside an event is broken off")
{
    EngineDeployment deployment(true);
    const TestRequest generation{ .target = "/stream/1", .isGeneration = true };
    REQUIRE(eventually([&] {
        return sendRequest(deployment.entry->port(), generation).status == 200;
    }));

    const auto stream = [&deployment](ServerBehavior behavior) {
        deployment.engine.setBehavior(behavior);
        return receiveStream(deployment.entry->port(), "/stream/1");
    };

    deployment.engine.setBehavior(ServerBehavior::UnframedStream);
    const SeenResponse whole = requestRaw(deployment.entry->port(), rawGeneration("whole"));
    CHECK(whole.body == completeStreamBody());
    CHECK(whole.end == SeenEnd::Unconfirmed);
    CHECK_FALSE(hasLastChunk(stream(ServerBehavior::UnframedStreamCutInEvent)));
    CHECK_FALSE(hasLastChunk(stream(ServerBehavior::ChunkedStreamCutInEvent)));
}

TEST_CASE("engines that are draining, request a pause, or send endless events")
{
    EngineDeployment deployment(GENERATE(true, false));
    PlatformStore &store = deployment.store;
    PlatformServer &engine = deployment.engine;
    RoleThread<ForwardingEntry> &entry = deployment.entry;
    const TestRequest generation{ .target = "/stream/1", .isGeneration = true };
    REQUIRE(eventually([&] {
        return sendRequest(entry->port(), generation).status == 200;
    }));

    SECTION("an engine that announces in a response that it is draining gets no new work, also while the store is down")
    {
        store.setDown(true);
        engine.setDrainingHeader(true);
        sendRequest(entry->port(), generation);
        const std::size_t ran = engine.startedRequests().size();
        CHECK(sendRequest(entry->port(), generation).status == 503);
        CHECK(engine.startedRequests().size() == ran);
    }
    SECTION("an engine that requests a pause gets at most two requests during the pause")
    {
        engine.setRetryAfter("1.5");
        for (int i = 0; i < 3; ++i) {
            CHECK(sendRequest(entry->port(), generation).status == 503);
        }
        CHECK(engine.retryAfterRefusals() <= 2);
    }
    SECTION("an endless event is aborted after a bounded number of bytes")
    {
        engine.setBehavior(ServerBehavior::EndlessEvent);
        CHECK(sendRequest(entry->port(), generation).status == 502);
        constexpr std::uint64_t maxReceivedBytes = 24U << 20U;
        CHECK(engine.endlessBytes() < maxReceivedBytes);
    }
}
