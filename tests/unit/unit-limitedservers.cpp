#include <algorithm>
#include <atomic>
#include <thread>

#include <catch2/catch.hpp>

#include "fleet.h"
#include "forwardingfixture.h"
#include "requestwindow.h"

using namespace zinniadock;
using namespace zinniadock::standin;
using namespace zinniadock::test;

namespace
{

using Clock = std::chrono::steady_clock;

constexpr double limitPerSecond = 4;

/// What callers have got over a time.
struct CallerCounts
{
    std::atomic<int> served{ 0 };
    std::atomic<int> refused{ 0 };
    std::atomic<int> refusedWithTime{ 0 };
    std::atomic<int> failed{ 0 };
};

/// Sends requests to each entry for \p duration, one after another, with a pause of \p pause.
void callEntries(const std::vector<std::uint16_t> &ports, const TestRequest &request, Clock::duration duration,
                 std::chrono::milliseconds pause, CallerCounts &counts)
{
    std::vector<std::thread> callers;
    const auto end = Clock::now() + duration;
    for (const std::uint16_t port : ports) {
        callers.emplace_back([&request, &counts, port, end, pause] {
            while (Clock::now() < end) {
                const TestResponse response = sendRequest(port, request);
                ++(response.status == 200 ? counts.served : response.status == 503 ? counts.refused : counts.failed);
                counts.refusedWithTime += response.status == 503 && response.retryAfter > 0 ? 1 : 0;
                std::this_thread::sleep_for(pause);
            }
        });
    }
    for (std::thread &caller : callers) {
        caller.join();
    }
}

} // namespace

// Guards against entries that ignore the limit of a server, or that each use the whole limit.
TEST_CASE("a server that states a limit gets no more requests than that from all entries together")
{
    PlatformStore store;
    PlatformServer limited("s1");
    PlatformServer unlimited("s2");
    store.put("servers/s1", limited.record("shop"));
    store.put("op/config", configuration(3));
    std::vector<std::unique_ptr<RoleThread<ForwardingEntry>>> entries;
    std::vector<std::uint16_t> ports;
    for (int i = 0; i < 3; ++i) {
        entries.push_back(std::make_unique<RoleThread<ForwardingEntry>>(entrySettings(store.port(), 1)));
        REQUIRE(eventually([&] {
            return isReady(*entries.back());
        }));
        ports.push_back((*entries.back())->port());
    }
    const TestRequest request{ .target = "/order/1" };
    CallerCounts counts;

    SECTION("callers are refused at once and told when to come back, if no other server is left")
    {
        limited.setLimits({ "4" });
        const auto start = Clock::now();
        callEntries(ports, request, std::chrono::seconds(9), std::chrono::milliseconds(30), counts);
        CHECK(busiestWindow(limited.arrivals(), start + limitReactionTime) <= maxRequestsInWindow(limitPerSecond));
        CHECK(counts.served >= 0.8 * limitPerSecond * 8);
        CHECK(counts.refused > 0);
        CHECK(counts.refusedWithTime == counts.refused);
        CHECK(counts.failed == 0);
    }
    SECTION("a server without a limit gets the rest")
    {
        store.put("servers/s2", unlimited.record("shop"));
        for (const std::uint16_t port : ports) {
            const std::size_t before = unlimited.startedRequests().size();
            REQUIRE(eventually([&] {
                return sendRequest(port, request).status == 200 && unlimited.startedRequests().size() > before;
            }));
        }
        limited.setLimits({ "4" });
        const auto start = Clock::now();
        callEntries(ports, request, std::chrono::seconds(6), std::chrono::milliseconds(30), counts);
        CHECK(busiestWindow(limited.arrivals(), start + limitReactionTime) <= maxRequestsInWindow(limitPerSecond));
        CHECK(counts.refused == 0);
        CHECK(counts.failed == 0);
    }
}

// Guards against reservations and load reports that bypass the limit of an engine.
TEST_CASE("an engine that states a limit gets no more requests than that from entry and sidecar together")
{
    EngineDeployment deployment(GENERATE(true, false));
    PlatformServer &engine = deployment.engine;
    RoleThread<ForwardingEntry> &entry = deployment.entry;
    const TestRequest generation{ .target = "/stream/1", .isGeneration = true };
    REQUIRE(eventually([&] {
        return sendRequest(entry->port(), generation).status == 200;
    }));
    engine.setLimits({ "4" });
    const auto start = Clock::now();
    CallerCounts counts;
    callEntries({ entry->port(), entry->port() }, generation, std::chrono::seconds(8), std::chrono::milliseconds(30),
                counts);
    CHECK(busiestWindow(engine.arrivals(), start + limitReactionTime) <= maxRequestsInWindow(limitPerSecond));
    CHECK(counts.served >= 0.8 * limitPerSecond * 5);
    CHECK(counts.failed == 0);
    CHECK(counts.refusedWithTime == counts.refused);
}

// Guards against limits that are read from some kinds of responses only.
TEST_CASE("a limit holds whatever kind of response states it")
{
    ServiceDeployment deployment;
    PlatformServer &server = deployment.server;
    RoleThread<ForwardingEntry> &entry = deployment.entry;
    server.setBehavior(GENERATE(ServerBehavior::Healthy, ServerBehavior::InternalError, ServerBehavior::Overloaded));
    server.setLimits({ "4" });
    const auto start = Clock::now();
    CallerCounts counts;
    callEntries({ entry->port() }, { .target = "/order/1" }, std::chrono::seconds(5), std::chrono::milliseconds(10),
                counts);
    CHECK(busiestWindow(server.arrivals(), start + limitReactionTime) <= maxRequestsInWindow(limitPerSecond));
    CHECK(server.arrivals().size() >= 0.8 * limitPerSecond * 4);
}
