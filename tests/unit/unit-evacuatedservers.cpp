#include <future>
#include <memory>
#include <thread>

#include <catch2/catch.hpp>

#include "fleet.h"
#include "forwardingfixture.h"

using namespace zinniadock;
using namespace zinniadock::standin;
using namespace zinniadock::test;

namespace
{

using EntryThread = RoleThread<ForwardingEntry>;

constexpr const char *southKey = "op/evacuate/south";
constexpr const char *northKey = "op/evacuate/north";

/// Waits until an entry knows this number of evacuations.
bool knowsEvacuations(EntryThread &entry, int count)
{
    return eventually(
        [&] {
            return metric(entry, "zinniadock_evacuated_data_centres") == count;
        },
        std::chrono::seconds(5));
}

/// A plain service with one server in each of two data centres, and an entry that is ready.
struct TwoDataCentres
{
    TwoDataCentres()
    {
        south.setDataCentre("south");
        store.put("servers/s1", north.record("shop"));
        store.put("servers/s2", south.record("shop"));
        store.put("op/config", configuration(3));
        entry = startEntry();
    }

    std::unique_ptr<EntryThread> startEntry()
    {
        auto started = std::make_unique<EntryThread>(entrySettings(store.port(), 1));
        REQUIRE(eventually([&] {
            return isReady(*started);
        }));
        return started;
    }

    /// Sends requests one after another. Returns whether all were served, and by the servers expected.
    bool isServedBy(EntryThread &by, bool usesNorth, bool usesSouth)
    {
        constexpr int requests = 12;
        const std::size_t beforeNorth = north.startedRequests().size();
        const std::size_t beforeSouth = south.startedRequests().size();
        bool isServed = true;
        for (int i = 0; i < requests; ++i) {
            // Calls in flight at the same time, so that both servers would be chosen.
            auto other = std::async(std::launch::async, [&] {
                return sendRequest(by->port(), { .target = "/order/1", .id = "other" }).status;
            });
            isServed = sendRequest(by->port(), { .target = "/order/1" }).status == 200 && isServed;
            isServed = other.get() == 200 && isServed;
        }
        return isServed && (north.startedRequests().size() > beforeNorth) == usesNorth
            && (south.startedRequests().size() > beforeSouth) == usesSouth;
    }

    PlatformStore store;
    PlatformServer north{ "s1" };
    PlatformServer south{ "s2" };
    std::unique_ptr<EntryThread> entry;
};

} // namespace

// Guards against calls that reach a server of an evacuated data centre, and against evacuations that do not end.
TEST_CASE("calls go to no server of an evacuated data centre")
{
    TwoDataCentres deployment;
    PlatformStore &store = deployment.store;
    EntryThread &entry = *deployment.entry;
    // The value of the key is not read.
    store.put(southKey, GENERATE("{}", "", "\xff\xfe{no JSON", "[[["));
    REQUIRE(knowsEvacuations(entry, 1));
    CHECK(deployment.isServedBy(entry, true, false));

    // Overlapping: without any data centre, requests are refused at once as not run.
    store.put(northKey, "{}");
    REQUIRE(knowsEvacuations(entry, 2));
    const std::size_t before = deployment.north.arrivals().size() + deployment.south.arrivals().size();
    const TestResponse refused = sendRequest(entry->port(), { .target = "/order/1" });
    CHECK(refused.status == 503);
    CHECK(refused.retryAfter >= 1);
    CHECK(refused.body.find("evacuated") != std::string::npos);
    CHECK(metric(entry, "zinniadock_evacuation_refusals_total") == 1);
    CHECK(deployment.north.arrivals().size() + deployment.south.arrivals().size() == before);

    // Withdrawn one after the other, then repeated.
    store.remove(southKey);
    REQUIRE(knowsEvacuations(entry, 1));
    CHECK(deployment.isServedBy(entry, false, true));
    store.remove(northKey);
    REQUIRE(knowsEvacuations(entry, 0));
    CHECK(eventually([&] {
        return deployment.isServedBy(entry, true, true);
    }));
    store.put(southKey, "{}");
    REQUIRE(knowsEvacuations(entry, 1));
    CHECK(deployment.isServedBy(entry, true, false));
}

// Guards against a name that matches no data centre, or an empty one, and takes servers out of use.
TEST_CASE("an evacuation of a name without servers has no effect")
{
    TwoDataCentres deployment;
    deployment.store.put("op/evacuate/", "{}");
    deployment.store.put("op/evacuate/nowhere", "{}");
    REQUIRE(knowsEvacuations(*deployment.entry, 1));
    CHECK(eventually([&] {
        return deployment.isServedBy(*deployment.entry, true, true);
    }));
}

// Guards against an evacuation that ends with the contact to the store, and against a deletion that is not noticed
// since it fell into an outage, also if the history of the store was discarded meanwhile.
TEST_CASE("an evacuation holds during an outage of the store and its end in an outage is noticed")
{
    const bool isCompacted = GENERATE(false, true);
    TwoDataCentres deployment;
    EntryThread &entry = *deployment.entry;
    deployment.store.put(southKey, "{}");
    REQUIRE(knowsEvacuations(entry, 1));
    deployment.store.setDown(true);
    std::this_thread::sleep_for(std::chrono::seconds(1));
    CHECK(deployment.isServedBy(entry, true, false));
    deployment.store.remove(southKey);
    deployment.store.put(northKey, "{}");
    if (isCompacted) {
        deployment.store.compact();
    }
    deployment.store.setDown(false);
    CHECK(eventually([&] {
        return deployment.isServedBy(entry, false, true);
    }));
    CHECK(metric(entry, "zinniadock_evacuated_data_centres") == 1);
}

// Guards against an entry that keeps what a store which came back from a copy does not have, or the reverse.
TEST_CASE("a store that came back from a copy decides which data centres are evacuated")
{
    TwoDataCentres deployment;
    EntryThread &entry = *deployment.entry;
    deployment.store.put(southKey, "{}");
    REQUIRE(knowsEvacuations(entry, 1));
    const PlatformStore::Copy copy = deployment.store.copy();
    deployment.store.remove(southKey);
    deployment.store.put(northKey, "{}");
    CHECK(eventually([&] {
        return deployment.isServedBy(entry, false, true);
    }));
    deployment.store.restore(copy);
    CHECK(eventually([&] {
        return deployment.isServedBy(entry, true, false);
    }));
    CHECK(metric(entry, "zinniadock_evacuated_data_centres") == 1);
}

// Guards against an entry that is ready before it knows the evacuations, from the store or from another entry.
TEST_CASE("an entry that starts during an evacuation sends nothing to the data centre")
{
    TwoDataCentres deployment;
    deployment.store.put(southKey, "{}");
    REQUIRE(knowsEvacuations(*deployment.entry, 1));

    SECTION("it reads the store")
    {
        const auto started = deployment.startEntry();
        CHECK(deployment.isServedBy(*started, true, false));
    }
    SECTION("it can't reach the store and follows another entry, also at the end of the evacuation")
    {
        const Endpoint seed{ "127.0.0.1", (*deployment.entry)->peerPort() };
        EntryThread started(entrySettings(1, 1, { seed }));
        REQUIRE(eventually([&] {
            return isReady(started);
        }));
        CHECK(deployment.isServedBy(started, true, false));
        deployment.store.remove(southKey);
        CHECK(knowsEvacuations(started, 0));
        CHECK(eventually([&] {
            return deployment.isServedBy(started, true, true);
        }));
    }
}

// Guards against generations that end with an evacuation, stay although others have room, or go to the data centre.
TEST_CASE("generations leave an evacuated data centre")
{
    PlatformStore store;
    PlatformServer north("e1", "127.0.0.2");
    PlatformServer south("e2", "127.0.0.3");
    south.setDataCentre("south");
    RoleThread<EngineSidecar> northSidecar(sidecarSettings("127.0.0.2", 0, north.endpoint()));
    const std::uint16_t sidecarPort = northSidecar->port();
    auto southSidecar
        = std::make_unique<RoleThread<EngineSidecar>>(sidecarSettings("127.0.0.3", sidecarPort, south.endpoint()));
    store.put("servers/e2", south.record("engines"));
    store.put("op/config", configuration(3));
    EntryThread entry(entrySettings(store.port(), sidecarPort));
    REQUIRE(eventually([&] {
        return isReady(entry);
    }));
    south.setEventInterval(std::chrono::milliseconds(50));
    const TestRequest generation{ .target = "/stream/1", .isGeneration = true };
    auto response = std::async(std::launch::async, [&] {
        return sendRequest(entry->port(), generation);
    });
    REQUIRE(eventually([&] {
        return south.startedRequests().size() == 1;
    }));

    SECTION("a running generation moves to an engine elsewhere, and each event arrives once")
    {
        store.put("servers/e1", north.record("engines"));
        store.put(southKey, "{}");
        CHECK(response.get().body == completeStreamBody());
        REQUIRE(north.startedRequests().size() == 1);
        CHECK(north.startedRequests()[0].fields.at("kv-from") == south.endpoint() + "/copy-id-1");
    }
    SECTION("a generation without a target stays, and a new one is refused at once")
    {
        store.put(southKey, "{}");
        REQUIRE(knowsEvacuations(entry, 1));
        const TestResponse refused
            = sendRequest(entry->port(), { .target = "/stream/1", .id = "id-2", .isGeneration = true });
        CHECK(refused.status == 503);
        CHECK(refused.retryAfter >= 1);
        CHECK(refused.body.find("evacuated") != std::string::npos);
        CHECK(response.get().body == completeStreamBody());
    }
    SECTION("the entry itself sends nothing to the engine if the sidecar does not respond")
    {
        southSidecar.reset();
        store.put("servers/e1", north.record("engines"));
        store.put(southKey, "{}");
        REQUIRE(knowsEvacuations(entry, 1));
        const std::size_t arrivals = south.arrivals().size();
        const TestResponse next
            = sendRequest(entry->port(), { .target = "/stream/1", .id = "id-2", .isGeneration = true });
        CHECK(next.body == completeStreamBody());
        CHECK(response.get().body == completeStreamBody());
        CHECK(south.arrivals().size() == arrivals);
    }
    CHECK(south.startedRequests().size() == 1);
}
