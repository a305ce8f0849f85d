#include <catch2/catch.hpp>

#include <future>
#include <thread>

#include "fleet.h"
#include "forwardingfixture.h"

using namespace zinniadock;
using namespace zinniadock::standin;
using namespace zinniadock::test;

namespace
{

using Json = nlohmann::json;

} // namespace

TEST_CASE("forwarding calls to plain services")
{
    PlatformStore store;
    PlatformServer first("s1");
    PlatformServer second("s2");
    store.put("servers/s1", first.record("shop"));
    store.put("servers/s2", second.record("shop"));
    RoleThread<ForwardingEntry> entry(entrySettings(store.port(), 1));
    const auto call = [&entry](const TestRequest &request) {
        return sendRequest(entry->port(), request);
    };

    SECTION("without a configuration an entry is not ready and refuses as not run")
    {
        CHECK_FALSE(isReady(entry));
        const TestResponse response = call({ .target = "/order/1" });
        CHECK(response.status == 503);
        CHECK(response.retryAfter > 0);
    }

    store.put("op/config", configuration(3));
    REQUIRE(eventually([&] {
        return isReady(entry);
    }));

    SECTION("/metrics reports the configuration version, and an unknown path gets status 404")
    {
        store.put("op/config", configuration(3));
        REQUIRE(eventually([&] {
            return isReady(entry);
        }));
        for (int i = 0; i < 20; ++i) {
            const TestResponse page = sendRequest(entry->metricsPort(), { .target = "/metrics", .method = "GET" });
            CHECK(page.status == 200);
            CHECK(page.body.find("\nzinniadock_configuration_version 3\n") != std::string::npos);
            CHECK(sendRequest(entry->metricsPort(), { .target = "/other", .method = "GET" }).status == 404);
        }
    }
    SECTION("a response is forwarded unchanged with its signature, and the server gets the account instead of the key")
    {
        const TestResponse response = call({ .target = "/order/1" });
        CHECK(response.status == 200);
        CHECK(response.signature.rfind("signed-by-s", 0) == 0);
        CHECK(Json::parse(response.body).at("body") == "body of id-1");
        auto requests = first.startedRequests();
        const auto other = second.startedRequests();
        requests.insert(requests.end(), other.begin(), other.end());
        REQUIRE(requests.size() == 1);
        CHECK(requests[0].fields.at("x-tenant") == "acc");
        CHECK(requests[0].fields.count("x-key") == 0);
    }
    SECTION("a request with an unknown key or route is refused and reaches no server")
    {
        CHECK(call({ .target = "/order/1", .key = "bad" }).status == 401);
        CHECK(call({ .target = "/none/1" }).status == 404);
        CHECK(first.startedRequests().size() + second.startedRequests().size() == 0);
    }
    SECTION("a non-idempotent call runs once if its response is lost, and is not reported as not run")
    {
        first.setBehavior(ServerBehavior::ResponseLost);
        second.setBehavior(ServerBehavior::ResponseLost);
        CHECK(call({ .target = "/order/1" }).status == 502);
        CHECK(first.startedRequests().size() + second.startedRequests().size() == 1);
    }
    SECTION("an idempotent call is retried at another server, at most as often as its route allows")
    {
        first.setBehavior(ServerBehavior::ResponseLost);
        second.setBehavior(ServerBehavior::ResponseLost);
        CHECK(call({ .target = "/read/1", .method = "GET" }).status == 502);
        CHECK(first.startedRequests().size() == 1);
        CHECK(second.startedRequests().size() == 1);
    }
    SECTION("an error response of a server is forwarded with its signature if the other server fails too")
    {
        first.setBehavior(ServerBehavior::InternalError);
        second.setBehavior(ServerBehavior::InternalError);
        const TestResponse response = call({ .target = "/read/1", .method = "GET" });
        CHECK(response.status == 500);
        CHECK_FALSE(response.signature.empty());
    }
    SECTION(
        "a call that a server refused without running it is retried at another server, even if it is not idempotent")
    {
        first.setBehavior(ServerBehavior::Overloaded);
        for (int i = 0; i < 4; ++i) {
            CHECK(call({ .target = "/order/1", .id = "id-" + std::to_string(i) }).status == 200);
        }
        CHECK(first.startedRequests().empty());
        second.setBehavior(ServerBehavior::Overloaded);
        const TestResponse refused = call({ .target = "/order/1", .id = "id-9" });
        CHECK(refused.status == 503);
        CHECK(refused.retryAfter > 0);
    }
    SECTION("a response to another request is skipped")
    {
        first.setBehavior(ServerBehavior::ForeignResponse);
        second.setBehavior(ServerBehavior::ForeignResponse);
        const TestResponse response = call({ .target = "/order/1" });
        CHECK(response.status == 200);
        CHECK(response.body != "foreign");
    }
    SECTION("an interim response to a HEAD request is skipped")
    {
        first.setBehavior(ServerBehavior::InterimResponse);
        second.setBehavior(ServerBehavior::InterimResponse);
        const TestResponse response = sendRequest(entry->port(), { .target = "/read/1", .method = "HEAD" });
        CHECK(response.status == 200);
        CHECK(response.isComplete);
        CHECK(first.startedRequests().size() + second.startedRequests().size() == 1);
    }
    SECTION("a successful status without the server's signature is not forwarded")
    {
        first.setBehavior(ServerBehavior::MissingSignature);
        second.setBehavior(ServerBehavior::MissingSignature);
        CHECK(call({ .target = "/order/1" }).status == 502);
    }
    SECTION("a server whose instance id differs from its record gets no work")
    {
        PlatformServer otherIncarnation("s3");
        Json record = Json::parse(otherIncarnation.record("shop"));
        store.remove("servers/s1");
        store.remove("servers/s2");
        store.put("servers/gone", record.dump());
        REQUIRE(eventually([&] {
            return call({ .target = "/order/1" }).status == 503;
        }));
        CHECK(otherIncarnation.startedRequests().empty());
    }
    SECTION(
        "a draining entry refuses a call that may outlast the drain, with a Retry-After field, and serves other calls")
    {
        const auto drainWithin = [&entry](std::chrono::milliseconds time) {
            std::promise<void> done;
            entry.post([&] {
                entry->drain(time);
                done.set_value();
            });
            done.get_future().wait();
        };
        drainWithin(std::chrono::milliseconds(20000));
        CHECK(call({ .target = "/order/1" }).status == 200);
        drainWithin(std::chrono::milliseconds(1000));
        const TestResponse refused = call({ .target = "/order/1" });
        CHECK(refused.status == 503);
        CHECK(refused.retryAfter > 0);
        CHECK(first.startedRequests().size() + second.startedRequests().size() == 1);
    }
    SECTION("a draining server gets no new work")
    {
        store.put("servers/s1", first.record("shop", "draining"));
        REQUIRE(eventually([&] {
            const std::size_t before = first.startedRequests().size();
            for (int i = 0; i < 6; ++i) {
                call({ .target = "/order/1" });
            }
            return first.startedRequests().size() == before;
        }));
        CHECK(call({ .target = "/order/1" }).status == 200);
    }
    SECTION(
        "a configuration stays active during a store outage and after a compaction, and no older version replaces it")
    {
        store.put("op/config", configuration(5, "k5"));
        REQUIRE(eventually([&] {
            return call({ .target = "/order/1", .key = "k5" }).status == 200;
        }));
        store.setDown(true);
        CHECK(call({ .target = "/order/1", .key = "k5" }).status == 200);
        store.put("op/config", configuration(4, "k4"));
        store.compact();
        store.setDown(false);
        store.put("op/config", configuration(6, "k6"));
        REQUIRE(eventually([&] {
            return call({ .target = "/order/1", .key = "k6" }).status == 200;
        }));
        CHECK(call({ .target = "/order/1", .key = "k4" }).status == 401);
    }
    SECTION("an entry without a store gets the configuration from another entry")
    {
        PlatformStore silent;
        silent.setDown(true);
        RoleThread<ForwardingEntry> late(entrySettings(silent.port(), 1, { { "127.0.0.1", entry->peerPort() } }));
        REQUIRE(eventually([&] {
            return isReady(late);
        }));
        CHECK(sendRequest(late->port(), { .target = "/order/1" }).status == 200);
        store.put("op/config", configuration(9, "k9"));
        REQUIRE(eventually([&] {
            return sendRequest(late->port(), { .target = "/order/1", .key = "k9" }).status == 200;
        }));
    }
    SECTION("a truncated response does not look complete to its caller")
    {
        first.setBehavior(ServerBehavior::TruncatedBody);
        second.setBehavior(ServerBehavior::TruncatedBody);
        const TestResponse response = call({ .target = "/order/1" });
        CHECK_FALSE((response.isComplete && response.status == 200));
        CHECK(first.startedRequests().size() + second.startedRequests().size() == 1);
        CHECK(response.status != 503);
    }
    SECTION("an idempotent call is retried at another server after a truncated response")
    {
        first.setBehavior(ServerBehavior::TruncatedBody);
        const std::size_t asked = 4;
        for (std::size_t i = 0; i < asked; ++i) {
            const TestResponse response
                = call({ .target = "/read/1", .method = "GET", .id = "id-" + std::to_string(i) });
            CHECK(response.status == 200);
            CHECK(response.isComplete);
            CHECK(response.signature == "signed-by-s2");
        }
    }
    SECTION("a caller that does not complete its request head is disconnected after the configured timeout, and others "
            "are served meanwhile")
    {
        Poco::Net::StreamSocket slow(Poco::Net::SocketAddress("127.0.0.1", entry->port()));
        slow.setReceiveTimeout(Poco::Timespan(10, 0));
        const std::string head = "GET /read/1 HTTP/1.1\r\nHost: a.example\r\n";
        slow.sendBytes(head.data(), static_cast<int>(head.size()));
        CHECK(call({ .target = "/read/1", .method = "GET" }).status == 200);
        const auto began = std::chrono::steady_clock::now();
        std::array<char, 256> buffer{};
        int received = 1;
        while (received > 0) {
            received = slow.receiveBytes(buffer.data(), static_cast<int>(buffer.size()));
        }
        CHECK(std::chrono::steady_clock::now() - began < std::chrono::seconds(5));
        CHECK(first.startedRequests().size() + second.startedRequests().size() == 1);
    }
    SECTION("a request with an incomplete body reaches no server")
    {
        {
            Poco::Net::StreamSocket half(Poco::Net::SocketAddress("127.0.0.1", entry->port()));
            const std::string head = "POST /order/1 HTTP/1.1\r\nHost: a.example\r\nX-Key: k1\r\nX-Request-Id: half\r\n"
                                     "Content-Length: 100\r\n\r\nonly a part";
            half.sendBytes(head.data(), static_cast<int>(head.size()));
        }
        CHECK(call({ .target = "/order/2", .id = "whole" }).status == 200);
        std::vector<ReceivedRequest> ran = first.startedRequests();
        const std::vector<ReceivedRequest> others = second.startedRequests();
        ran.insert(ran.end(), others.begin(), others.end());
        REQUIRE(ran.size() == 1);
        CHECK(ran[0].fields.at("x-request-id") == "whole");
    }
    SECTION("malformed, oversized and smuggled requests are refused and reach no server")
    {
        const std::string head = "POST /order/1 HTTP/1.1\r\nHost: a.example\r\nX-Key: k1\r\nX-Request-Id: x\r\n";
        CHECK(sendRawBytes(entry->port(), "nonsense\r\n\r\n").find(" 400 ") != std::string::npos);
        CHECK(sendRawBytes(entry->port(), head + "Content-Length: 30000\r\n\r\n").find(" 413 ") != std::string::npos);
        CHECK(sendRawBytes(entry->port(), head + "X-Big: " + std::string(9000, 'x') + "\r\n\r\n").find(" 431 ")
              != std::string::npos);
        CHECK(sendRawBytes(entry->port(), head + "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n")
                  .find(" 400 ")
              != std::string::npos);
        CHECK(first.startedRequests().size() + second.startedRequests().size() == 0);
        CHECK(call({ .target = "/order/1" }).status == 200);
    }
}

TEST_CASE("forwarding calls after a silence of the store")
{
    PlatformStore store;
    PlatformServer first("s1");
    PlatformServer second("s2");
    store.put("servers/s1", first.record("shop"));
    store.put("servers/s2", second.record("shop"));
    RoleThread<ForwardingEntry> entry(entrySettings(store.port(), 1));
    const auto call = [&entry](const TestRequest &request) {
        return sendRequest(entry->port(), request);
    };
    store.put("op/config", configuration(3));
    REQUIRE(eventually([&] {
        return isReady(entry);
    }));

    SECTION("after a silence of the store a new configuration comes into force within two seconds")
    {
        store.put("op/config", configuration(3));
        REQUIRE(eventually([&] {
            return isReady(entry);
        }));
        store.setUnresponsive(true);
        // The changes end the pending watches. The store does not respond to the calls that follow.
        store.put("op/config", configuration(4));
        store.put("servers/s3", second.record("shop"));
        REQUIRE(eventually([&] {
            return store.callsWithoutResponse() >= 4;
        }));
        store.setUnresponsive(false);
        store.put("op/config", configuration(5, "k5"));
        CHECK(eventually(
            [&] {
                return call({ .target = "/order/1", .id = "later", .key = "k5" }).status == 200;
            },
            std::chrono::milliseconds(2000)));
    }
}

TEST_CASE("forwarding generations")
{
    PlatformStore store;
    PlatformServer first("e1", "127.0.0.2");
    PlatformServer second("e2", "127.0.0.3");
    RoleThread<EngineSidecar> firstSidecar(sidecarSettings("127.0.0.2", 0, first.endpoint()));
    const std::uint16_t sidecarPort = firstSidecar->port();
    RoleThread<EngineSidecar> secondSidecar(sidecarSettings("127.0.0.3", sidecarPort, second.endpoint()));
    store.put("servers/e1", first.record("engines"));
    store.put("op/config", configuration(3));
    RoleThread<ForwardingEntry> entry(entrySettings(store.port(), sidecarPort));
    REQUIRE(eventually([&] {
        return isReady(entry);
    }));
    const TestRequest generation{ .target = "/stream/1", .isGeneration = true };

    SECTION("each event arrives once and in order, after one reservation")
    {
        const TestResponse response = sendRequest(entry->port(), generation);
        CHECK(response.status == 200);
        CHECK(response.isComplete);
        CHECK(response.body == completeStreamBody());
        CHECK(first.reservations() == 1);
        REQUIRE(first.startedRequests().size() == 1);
        CHECK(first.startedRequests()[0].fields.count("x-hold") == 1);
    }
    // Guards against urgent requests of an account that an engine treats as those of its route.
    SECTION("an engine gets the priority of the client account, else that of the route")
    {
        CHECK(sendRequest(entry->port(), generation).status == 200);
        CHECK(first.startedRequests().back().fields.at("x-request-priority") == "1");
        Json document = Json::parse(configuration(4));
        document["tenants"][0]["priority"] = 0;
        store.put("op/config", document.dump());
        int sent = 0;
        CHECK(eventually([&] {
            const TestRequest next{ .target = "/stream/1",
                                    .id = "next-" + std::to_string(++sent),
                                    .isGeneration = true };
            return sendRequest(entry->port(), next).status == 200
                && first.startedRequests().back().fields.at("x-request-priority") == "0";
        }));
    }
    SECTION("a generation continues on another engine when its own is draining, and each event arrives once")
    {
        first.setEventInterval(std::chrono::milliseconds(30));
        auto response = std::async(std::launch::async, [&] {
            return sendRequest(entry->port(), generation);
        });
        REQUIRE(eventually([&] {
            return first.startedRequests().size() == 1;
        }));
        store.put("servers/e2", second.record("engines"));
        first.startDraining(std::chrono::milliseconds(1500));
        const TestResponse whole = response.get();
        CHECK(whole.status == 200);
        CHECK(whole.body == completeStreamBody());
        REQUIRE(second.startedRequests().size() == 1);
        CHECK(second.startedRequests()[0].fields.at("kv-from") == first.endpoint() + "/copy-id-1");
        CHECK(std::stoi(second.startedRequests()[0].fields.at("last-event-id")) > 0);
        CHECK(first.startedRequests().size() == 1);
    }
    SECTION("an entry itself requests the reservation from an engine without a sidecar")
    {
        PlatformServer alone("e3", "127.0.0.5");
        store.put("servers/e3", alone.record("engines"));
        store.remove("servers/e1");
        int asked = 0;
        CHECK(eventually([&] {
            const TestRequest next{ .target = "/stream/1",
                                    .id = "id-" + std::to_string(++asked),
                                    .isGeneration = true };
            return sendRequest(entry->port(), next).body == completeStreamBody() && alone.reservations() == 1;
        }));
        CHECK(alone.startedRequests().back().fields.count("x-hold") == 1);
    }
    SECTION("a sidecar is busy until the move in progress has ended")
    {
        store.put("servers/e2", second.record("engines"));
        for (PlatformServer *server : { &first, &second }) {
            server->setEventInterval(std::chrono::milliseconds(30));
            server->setCopyDuration(std::chrono::milliseconds(300));
        }
        const auto idle = [](RoleThread<EngineSidecar> &sidecar) {
            std::promise<bool> isIdle;
            sidecar.post([&] {
                isIdle.set_value(sidecar->isIdle());
            });
            return isIdle.get_future().get();
        };
        auto response = std::async(std::launch::async, [&] {
            return sendRequest(entry->port(), generation);
        });
        REQUIRE(eventually([&] {
            return first.startedRequests().size() + second.startedRequests().size() == 1;
        }));
        const bool onFirst = first.startedRequests().size() == 1;
        PlatformServer &source = onFirst ? first : second;
        RoleThread<EngineSidecar> &sidecar = onFirst ? firstSidecar : secondSidecar;
        CHECK(idle(sidecar));
        source.startDraining(std::chrono::milliseconds(2000));
        REQUIRE(eventually([&] {
            return source.copiesInProgress() == 1;
        }));
        CHECK_FALSE(idle(sidecar));
        CHECK(response.get().body == completeStreamBody());
        CHECK(idle(sidecar));
    }
    SECTION("a generation also moves when its engine is deleted from the store")
    {
        store.put("servers/e2", second.record("engines"));
        first.setEventInterval(std::chrono::milliseconds(30));
        second.setEventInterval(std::chrono::milliseconds(30));
        auto response = std::async(std::launch::async, [&] {
            return sendRequest(entry->port(), generation);
        });
        REQUIRE(eventually([&] {
            return first.startedRequests().size() + second.startedRequests().size() == 1;
        }));
        store.remove(first.startedRequests().empty() ? "servers/e2" : "servers/e1");
        CHECK(response.get().body == completeStreamBody());
        CHECK(first.startedRequests().size() == 1);
        CHECK(second.startedRequests().size() == 1);
    }
    SECTION("without an engine with free capacity a generation is refused as not run, well before its deadline")
    {
        first.setFull(true);
        const auto began = std::chrono::steady_clock::now();
        const TestResponse response = sendRequest(entry->port(), generation);
        CHECK(response.status == 503);
        CHECK(response.retryAfter > 0);
        CHECK(std::chrono::steady_clock::now() - began < std::chrono::seconds(5));
        CHECK(first.startedRequests().empty());
    }
    SECTION("a generation that may have begun when its connection broke is not retried at another engine")
    {
        store.put("servers/e2", second.record("engines"));
        first.setBehavior(ServerBehavior::ResponseLost);
        second.setBehavior(ServerBehavior::ResponseLost);
        CHECK(sendRequest(entry->port(), generation).status == 502);
        CHECK(first.startedRequests().size() + second.startedRequests().size() == 1);
    }
    SECTION("an engine that resets the connection may have run the request, and gets no more work for a while")
    {
        store.put("servers/e2", second.record("engines"));
        first.setBehavior(ServerBehavior::ConnectionReset);
        int broken = 0;
        for (int i = 0; i < 8; ++i) {
            const TestResponse response = sendRequest(
                entry->port(), { .target = "/stream/1", .id = "id-" + std::to_string(i), .isGeneration = true });
            CHECK((response.status == 502 || response.body == completeStreamBody()));
            broken += response.status == 502 ? 1 : 0;
        }
        CHECK(broken <= 3);
        CHECK(first.startedRequests().empty());
        CHECK(second.startedRequests().size() == 8 - static_cast<std::size_t>(broken));
    }
    SECTION(
        "a draining entry refuses a generation whose maximum output would outlast the drain, with a Retry-After field")
    {
        entry.post([&entry] {
            entry->drain(std::chrono::seconds(3));
        });
        REQUIRE(eventually([&] {
            return !isReady(entry);
        }));
        const TestResponse response = sendRequest(entry->port(), generation);
        CHECK(response.status == 503);
        CHECK(response.retryAfter > 0);
        CHECK(response.retryAfter < 1);
        CHECK(first.startedRequests().empty());
    }
    SECTION("an engine that starts during a store outage gets work through the announcement of its sidecar")
    {
        store.setDown(true);
        first.setBehavior(ServerBehavior::Overloaded);
        Settings settings = sidecarSettings("127.0.0.4", sidecarPort, "");
        PlatformServer third("e3", "127.0.0.4");
        detail::parseValue(third.endpoint(), detail::Range{}, settings.sidecar.backend);
        settings.daemon.dataCentre = "north";
        settings.forwarding.pool = "engines";
        settings.forwarding.seeds = { { "127.0.0.1", entry->peerPort() } };
        RoleThread<EngineSidecar> sidecar(settings);
        REQUIRE(eventually([&] {
            return sendRequest(entry->port(), generation).body == completeStreamBody();
        }));
        CHECK(third.startedRequests().size() == 1);
        CHECK(third.startedRequests()[0].fields.at("x-expected-instance") == "e3");
    }
    SECTION("a generation is cancelled when its caller disconnects")
    {
        first.setEventInterval(std::chrono::milliseconds(30));
        {
            Poco::Net::StreamSocket socket(Poco::Net::SocketAddress("127.0.0.1", entry->port()));
            const std::string request = "POST /stream/1 HTTP/1.1\r\nHost: a.example\r\nX-Key: k1\r\nX-Request-Id: z\r\n"
                                        "X-Token-Count: 1000,240\r\nContent-Length: 0\r\n\r\n";
            socket.sendBytes(request.data(), static_cast<int>(request.size()));
            REQUIRE(eventually([&] {
                return first.startedRequests().size() == 1;
            }));
        }
        CHECK(eventually([&] {
            return first.cancelled() == 1;
        }));
    }
}
