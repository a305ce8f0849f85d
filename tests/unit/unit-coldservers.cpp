#include <algorithm>
#include <atomic>
#include <limits>
#include <memory>
#include <random>
#include <thread>
#include <vector>

#include <catch2/catch.hpp>

#include "fleet.h"
#include "forwardingfixture.h"
#include "zinniadock/process/admission/engineadmission.h"
#include "zinniadock/process/limits/coldshare.h"
#include "zinniadock/process/links/sidecarmessages.h"

using namespace zinniadock;
using namespace zinniadock::standin;
using namespace zinniadock::test;

namespace
{

using Clock = std::chrono::steady_clock;
using EntryThread = RoleThread<ForwardingEntry>;

constexpr SteadyTime start{ std::chrono::hours(1) };
constexpr double coldRate = 29;

/// Requests that a cold server may get in one second, from all entries together: coldPerS x coldOver + coldSlack.
double mostInOneSecond(double perSecond)
{
    return perSecond * 1.5 + 5;
}

/// Returns the highest number of times within one second.
std::size_t busiestSecond(std::vector<SteadyTime> times)
{
    std::sort(times.begin(), times.end());
    std::size_t busiest = 0;
    std::size_t first = 0;
    for (std::size_t last = 0; last < times.size(); ++last) {
        while (times[last] - times[first] >= std::chrono::seconds(1)) {
            ++first;
        }
        busiest = std::max(busiest, last - first + 1);
    }
    return busiest;
}

AdmissionQuery coldQuery(const std::string &request, std::chrono::milliseconds left, std::uint64_t sequence = 1)
{
    return { .request = request,
             .promptTokens = 1,
             .expectedTokens = 2,
             .maxWaitingTokens = 1000000,
             .cold = { .perSecond = coldRate, .left = left, .sequence = sequence } };
}

/// Sends a query each millisecond for \p duration. Returns the times of the admissions.
std::vector<SteadyTime> admitFor(EngineAdmission &admission, SteadyTime from, std::chrono::milliseconds duration,
                                 const AdmissionQuery &query)
{
    std::vector<SteadyTime> admitted;
    for (std::chrono::milliseconds at{ 0 }; at < duration; ++at) {
        AdmissionQuery each = query;
        each.request += std::to_string((from + at).time_since_epoch().count());
        if (admission.admit(each, from + at).admitted) {
            admitted.push_back(from + at);
        }
    }
    return admitted;
}

EngineAdmission idleEngine()
{
    EngineAdmission admission;
    EngineLoad load;
    load.totalTokens = 100000000;
    load.startTimeMs = 1000;
    admission.update(load, start);
    return admission;
}

/// Returns the configuration of the forwarding tests, whose servers tolerate few requests while they are cold.
std::string coldConfiguration(double perSecond)
{
    nlohmann::json document = nlohmann::json::parse(configuration(3));
    for (nlohmann::json &pool : document.at("services")) {
        pool["coldPerS"] = perSecond;
        pool["coldS"] = 3;
    }
    return document.dump();
}

struct CallerCounts
{
    std::atomic<int> served{ 0 };
    std::atomic<int> refused{ 0 };
    std::atomic<int> other{ 0 };
};

/// Sends requests to each entry from several callers for \p duration.
void callEntries(const std::vector<std::uint16_t> &ports, bool isGeneration, Clock::duration duration,
                 CallerCounts &counts)
{
    constexpr int callersPerEntry = 3;
    std::vector<std::thread> callers;
    std::atomic<int> number{ 0 };
    const auto end = Clock::now() + duration;
    for (const std::uint16_t port : ports) {
        for (int i = 0; i < callersPerEntry; ++i) {
            callers.emplace_back([&counts, &number, port, end, isGeneration] {
                while (Clock::now() < end) {
                    const TestRequest request{ .target = isGeneration ? "/stream/1" : "/order/1",
                                               .id = "id-" + std::to_string(++number),
                                               .isGeneration = isGeneration };
                    const int status = sendRequest(port, request).status;
                    ++(status == 200 ? counts.served : status == 503 ? counts.refused : counts.other);
                    std::this_thread::sleep_for(std::chrono::milliseconds(20));
                }
            });
        }
    }
    for (std::thread &caller : callers) {
        caller.join();
    }
}

} // namespace

// Guards against many entries that flood an engine which comes back cold, or becomes cold again.
TEST_CASE("the sidecar of a cold engine admits what the engine tolerates, from all entries together")
{
    EngineAdmission admission = idleEngine();

    SECTION("while it is cold, and freely afterwards")
    {
        const auto times = admitFor(admission, start, std::chrono::seconds(3), coldQuery("a", std::chrono::seconds(1)));
        CHECK(busiestSecond(times) <= coldRate);
        CHECK(times.size() >= 0.9 * coldRate * 3);
        const SteadyTime later = start + std::chrono::seconds(5);
        CHECK(admitFor(admission, later, std::chrono::milliseconds(100), coldQuery("b", {})).size() == 100);
    }
    SECTION("generations that move in count too")
    {
        AdmissionQuery moved = coldQuery("m", std::chrono::seconds(9));
        moved.heldTokens = 2;
        CHECK(admitFor(admission, start, std::chrono::milliseconds(500), moved).size() == coldRate);
        CHECK(admitFor(admission, start + std::chrono::milliseconds(500), std::chrono::milliseconds(400),
                       coldQuery("a", std::chrono::seconds(9)))
                  .empty());
    }
    SECTION("work that was admitted just before it became cold counts")
    {
        CHECK(admitFor(admission, start, std::chrono::milliseconds(40), coldQuery("a", {})).size() == 40);
        const SteadyTime next = start + std::chrono::milliseconds(40);
        CHECK(admitFor(admission, next, std::chrono::milliseconds(900), coldQuery("b", std::chrono::seconds(9), 2))
                  .empty());
    }
    SECTION("an entry with an older record does not end the bound, a later record does")
    {
        CHECK(admission.admit(coldQuery("a", std::chrono::seconds(9), 5), start).admitted);
        CHECK(admission.admit(coldQuery("b", {}, 4), start).admitted);
        CHECK(admission.isCold(start));
        CHECK(admission.admit(coldQuery("c", {}, 5), start).admitted);
        CHECK(admission.isCold(start));
        CHECK(admission.admit(coldQuery("d", {}, 6), start).admitted);
        CHECK_FALSE(admission.isCold(start));
    }
    SECTION("what the engine states itself counts")
    {
        CHECK(admission.admit(coldQuery("a", {}, 5), start).admitted);
        admission.observeCold(std::chrono::seconds(2), start);
        CHECK(admission.isCold(start + std::chrono::seconds(1)));
        CHECK_FALSE(admission.isCold(start + std::chrono::seconds(3)));
    }
    SECTION("pools that state no limit, entries of earlier versions and values out of range limit nothing")
    {
        for (const double perSecond : { 0.0, -3.0, std::numeric_limits<double>::infinity() }) {
            AdmissionQuery query = coldQuery("a" + std::to_string(perSecond), std::chrono::seconds(9));
            query.cold.perSecond = perSecond;
            EngineAdmission other = idleEngine();
            CHECK(admitFor(other, start, std::chrono::milliseconds(200), query).size() == 200);
        }
    }
    SECTION("an engine far above what is placed is not slowed down")
    {
        AdmissionQuery query = coldQuery("a", std::chrono::seconds(9));
        query.cold.perSecond = 900;
        CHECK(admitFor(admission, start, std::chrono::milliseconds(800), query).size() == 800);
    }
}

// Guards against shares that add up to a burst, in small and in large fleets, after a quiet time and with steady
// demand.
TEST_CASE("the shares of all entries together keep the bound of a cold server without messages")
{
    const std::uint32_t entries = GENERATE(1U, 3U, 28U, 29U, 60U, 340U);
    std::minstd_rand random(entries);
    std::vector<ColdShare> shares;
    for (std::uint32_t i = 0; i < entries; ++i) {
        shares.emplace_back((std::uint64_t{ random() } << 31U) ^ random());
    }
    // Each entry always has a request to send, from the same moment on.
    std::vector<SteadyTime> sent;
    constexpr std::chrono::seconds duration{ 20 };
    for (std::chrono::milliseconds at{ 0 }; at < duration; at += std::chrono::milliseconds(10)) {
        for (ColdShare &share : shares) {
            if (share.maySend("s", coldRate, entries, start + at)) {
                share.recordSent("s", start + at);
                sent.push_back(start + at);
            }
        }
    }
    CHECK(busiestSecond(sent) <= mostInOneSecond(coldRate));
    CHECK(static_cast<double>(sent.size()) >= 0.4 * coldRate * duration.count());
}

// Guards against a server that counts as cold for too long or too short a time.
TEST_CASE("records state for how long a server is cold")
{
    ServerDirectory directory;
    ServerRecord record{ .id = "s", .pool = "shop", .dataCentre = "north", .startTimeMs = 1000, .sequence = 1 };
    record.warmUpDuration = std::chrono::seconds(4);
    directory.addOrUpdate(record, start);
    const auto left = [&directory](SteadyTime now) {
        return directory.find("s")->coldLeft(now);
    };
    CHECK(left(start) == std::chrono::seconds(4));
    CHECK(left(start + std::chrono::seconds(5)).count() == 0);

    SECTION("the same record does not extend the time")
    {
        directory.addOrUpdate(record, start + std::chrono::seconds(3));
        CHECK(left(start + std::chrono::seconds(3)) == std::chrono::seconds(1));
    }
    SECTION("the server becomes cold again at any moment, and a record that states 0 ends it")
    {
        record.sequence = 2;
        directory.addOrUpdate(record, start + std::chrono::seconds(60));
        CHECK(left(start + std::chrono::seconds(61)) == std::chrono::seconds(3));
        record.sequence = 3;
        record.warmUpDuration = std::chrono::milliseconds(0);
        directory.addOrUpdate(record, start + std::chrono::seconds(61));
        CHECK(left(start + std::chrono::seconds(61)).count() == 0);
    }
    SECTION("a response states it as well")
    {
        directory.setCold("s", std::chrono::seconds(9), start);
        CHECK(left(start) == std::chrono::seconds(9));
        directory.setCold("s", std::chrono::milliseconds(0), start);
        CHECK(left(start).count() == 0);
    }
    SECTION("after an evacuation the servers of the data centre count as cold, whatever their records state")
    {
        record.sequence = 2;
        record.warmUpDuration = std::chrono::milliseconds(0);
        directory.startReturn("north", "shop", std::chrono::seconds(3), start);
        directory.startReturn("south", "shop", std::chrono::seconds(30), start);
        directory.startReturn("north", "engines", std::chrono::seconds(30), start);
        directory.addOrUpdate(record, start);
        CHECK(left(start) == std::chrono::seconds(3));
    }
}

// Guards against cold times and limits that are misread, and against messages that other versions can't read.
TEST_CASE("cold times on the wire")
{
    const RouteTable table = std::get<RouteTable>(wire::parseRoutes(coldConfiguration(29)));
    CHECK(table.pools.at("shop").coldRate == 29);
    CHECK(table.pools.at("shop").coldDuration == std::chrono::seconds(3));
    const RouteTable plain = std::get<RouteTable>(wire::parseRoutes(configuration(3)));
    CHECK(plain.pools.at("shop").coldRate == 0);

    const auto coldField = [](const std::string &value) {
        http::response_header<> head;
        head.set("X-Cold-Ms", value);
        return wire::parseResponseFields(head).coldLeft;
    };
    CHECK(coldField("1500") == std::chrono::milliseconds(1500));
    CHECK(coldField("0") == std::chrono::milliseconds(0));
    CHECK(coldField("99999999999") == std::chrono::hours(1));
    CHECK_FALSE(coldField("-1"));
    CHECK_FALSE(coldField("soon"));
    CHECK_FALSE(wire::parseResponseFields(http::response_header<>()).coldLeft);

    const AdmissionQuery query = coldQuery("a", std::chrono::milliseconds(700), 9);
    const auto decoded = decodeAdmissionQuery(encode(query));
    REQUIRE(decoded);
    CHECK(decoded->cold.perSecond == coldRate);
    CHECK(decoded->cold.left == std::chrono::milliseconds(700));
    CHECK(decoded->cold.sequence == 9);
    MoveOrder order;
    order.cold = { query.cold, {} };
    REQUIRE(decodeMoveOrder(encode(order)));
    CHECK(decodeMoveOrder(encode(order))->cold.size() == 2);
}

// Guards against entries that flood a plain service which is cold, and against a bound that outlasts the cold time.
TEST_CASE("a cold plain service gets few requests from all entries together until it is warm")
{
    constexpr double perSecond = 6;
    PlatformServer server("s1");
    server.setColdTime(std::chrono::seconds(60));
    PlatformStore store;
    store.put("servers/s1", server.record("shop"));
    store.put("op/config", coldConfiguration(perSecond));
    std::vector<std::unique_ptr<EntryThread>> entries;
    std::vector<std::uint16_t> ports;
    for (int i = 0; i < 2; ++i) {
        entries.push_back(std::make_unique<EntryThread>(entrySettings(store.port(), 1)));
        REQUIRE(eventually([&] {
            return isReady(*entries.back());
        }));
        ports.push_back((*entries.back())->port());
    }
    CallerCounts counts;
    callEntries(ports, false, std::chrono::seconds(3), counts);
    CHECK(busiestSecond(server.arrivals()) <= mostInOneSecond(perSecond));
    CHECK(counts.served > 0);
    CHECK(counts.refused > 0);
    CHECK(counts.other == 0);

    server.setColdTime(std::chrono::seconds(0));
    store.put("servers/s1", server.record("shop"));
    CHECK(eventually([&] {
        for (int i = 0; i < 20; ++i) {
            if (sendRequest(ports.front(), { .target = "/order/1" }).status != 200) {
                return false;
            }
        }
        return true;
    }));
}

// Guards against entries that do not know each other and each use the whole limit of a cold engine, and against
// reservations that are a second request for each generation.
TEST_CASE("a cold engine gets few generations, through its sidecar from entries that do not know each other")
{
    constexpr double perSecond = 6;
    const bool withSidecar = GENERATE(true, false);
    PlatformServer engine("e1", "127.0.0.2");
    engine.setColdTime(std::chrono::milliseconds(600));
    engine.setEventInterval(std::chrono::milliseconds(0));
    RoleThread<EngineSidecar> sidecar(sidecarSettings("127.0.0.2", 0, engine.endpoint()));
    const std::uint16_t sidecarPort = withSidecar ? sidecar->port() : static_cast<std::uint16_t>(1);
    // Each entry has a store of its own, and so does not know the other one.
    std::vector<std::unique_ptr<PlatformStore>> stores;
    std::vector<std::unique_ptr<EntryThread>> entries;
    std::vector<std::uint16_t> ports;
    for (int i = 0; i < (withSidecar ? 2 : 1); ++i) {
        stores.push_back(std::make_unique<PlatformStore>());
        stores.back()->put("servers/e1", engine.record("engines"));
        stores.back()->put("op/config", coldConfiguration(perSecond));
        entries.push_back(std::make_unique<EntryThread>(entrySettings(stores.back()->port(), sidecarPort)));
        REQUIRE(eventually([&] {
            return isReady(*entries.back());
        }));
        ports.push_back((*entries.back())->port());
    }
    // The engine states again and again that it is cold for a short time, as one that becomes cold at any moment.
    std::atomic<bool> hasEnded{ false };
    std::thread restating([&] {
        while (!hasEnded) {
            engine.setColdTime(std::chrono::milliseconds(600));
            for (const auto &store : stores) {
                store->put("servers/e1", engine.record("engines"));
            }
            std::this_thread::sleep_for(std::chrono::milliseconds(150));
        }
    });
    std::this_thread::sleep_for(std::chrono::milliseconds(500));
    constexpr std::chrono::seconds duration{ 4 };
    const std::size_t before = engine.startedRequests().size();
    CallerCounts counts;
    callEntries(ports, true, duration, counts);
    hasEnded = true;
    restating.join();
    const std::size_t started = engine.startedRequests().size() - before;
    CHECK(static_cast<double>(started) <= perSecond * (static_cast<double>(duration.count()) + 2));
    CHECK(started > 0);
    CHECK(engine.reservations() == 0);
    CHECK(counts.other == 0);
}
