#include <memory>

#include <catch2/catch.hpp>

#include "fleet.h"
#include "forwardingfixture.h"
#include "linkrelay.h"
#include "zinniadock/process/store/readerchoice.h"

using namespace zinniadock;
using namespace zinniadock::standin;
using namespace zinniadock::test;
using std::chrono::milliseconds;

namespace
{

/// Time after which an entry that has received a removal, or a configuration, has applied it.
constexpr milliseconds applied{ 500 };

/// Bound of the rules for configurations and removals.
constexpr milliseconds bound{ 2000 };

constexpr std::size_t smallFleet = 1;
constexpr std::size_t largeFleet = 12;

/// Entries that reach the store over one relay, and a plain service with two servers.
struct RelayedFleet
{
    explicit RelayedFleet(std::size_t size)
    {
        store.put("servers/s1", first.record("shop"));
        store.put("servers/s2", second.record("shop"));
        store.put("op/config", configuration(3));
        for (std::size_t i = 0; i < size; ++i) {
            Settings settings = entrySettings(relay.port(), 1);
            settings.forwarding.capacity = i < readerCount(size) ? 0.5 : 0.09;
            entries.push_back(std::make_unique<RoleThread<ForwardingEntry>>(settings));
        }
        REQUIRE(eventually([&] {
            return all([&](RoleThread<ForwardingEntry> &entry) {
                return isReady(entry) && metric(entry, "zinniadock_known_entries") == static_cast<double>(size);
            });
        }));
        if (size > smallFleet) {
            REQUIRE(eventually([&] {
                double readers = 0;
                for (const auto &entry : entries) {
                    readers += metric(*entry, "zinniadock_store_reader");
                }
                return readers == static_cast<double>(readerCount(size));
            }));
        }
    }

    template <typename Predicate>
    bool all(Predicate predicate)
    {
        return std::all_of(entries.begin(), entries.end(), [&](const auto &entry) {
            return predicate(*entry);
        });
    }

    bool allHaveVersion(int version)
    {
        return all([&](RoleThread<ForwardingEntry> &entry) {
            return metric(entry, "zinniadock_configuration_version") == version;
        });
    }

    /// Returns whether each entry sends some calls, and none of them to the second server.
    bool avoidsSecondServer()
    {
        const std::size_t before = second.startedRequests().size();
        for (const auto &entry : entries) {
            for (int i = 0; i < 6; ++i) {
                CHECK(sendRequest((*entry)->port(), { .target = "/order/1" }).status == 200);
            }
        }
        return second.startedRequests().size() == before;
    }

    PlatformStore store;
    PlatformServer first{ "s1" };
    PlatformServer second{ "s2" };
    LinkRelay relay{ LinkRelaySettings{ .server = "127.0.0.1:" + std::to_string(store.port()) } };
    std::vector<std::unique_ptr<RoleThread<ForwardingEntry>>> entries;
};

} // namespace

// Guards against a cut watch that counts as an outage of the store and delays the removal of a server.
TEST_CASE("after its watches were cut an entry unlists a removed server at once")
{
    RelayedFleet fleet(GENERATE(smallFleet, largeFleet));
    CAPTURE(fleet.entries.size());
    const int cuts = GENERATE(1, 3);
    for (int i = 0; i < cuts; ++i) {
        fleet.relay.cut();
        std::this_thread::sleep_for(milliseconds(30));
    }
    fleet.store.remove("servers/s2");
    std::this_thread::sleep_for(applied);
    CHECK(fleet.avoidsSecondServer());
    CHECK(fleet.all([](RoleThread<ForwardingEntry> &entry) {
        return metric(entry, "zinniadock_store_outages_total") == 0;
    }));
}

// Guards against a silent watch that keeps an old configuration, or a server that is gone, in force.
TEST_CASE("with silent connections to the store a change is in force within its bound")
{
    RelayedFleet fleet(GENERATE(smallFleet, largeFleet));
    CAPTURE(fleet.entries.size());
    const milliseconds delay(GENERATE(0, 300, 900));
    fleet.store.put("op/config", configuration(4));
    REQUIRE(eventually([&] {
        return fleet.allHaveVersion(4);
    }));
    const auto silentAt = std::chrono::steady_clock::now();
    fleet.relay.silenceOpenConnections();
    std::this_thread::sleep_for(delay);
    fleet.store.put("op/config", configuration(5));
    fleet.store.remove("servers/s2");
    CHECK(eventually(
        [&] {
            return fleet.allHaveVersion(5);
        },
        bound));
    std::this_thread::sleep_until(silentAt + bound + applied);
    CHECK(fleet.avoidsSecondServer());
    CHECK(fleet.all([](RoleThread<ForwardingEntry> &entry) {
        return metric(entry, "zinniadock_store_outages_total") == 0;
    }));
}

// Guards against a removal during an outage that takes a living server's work away before it can be listed again.
TEST_CASE("after an outage of the store a server whose record had expired has two seconds to be listed again")
{
    RelayedFleet fleet(smallFleet);
    RoleThread<ForwardingEntry> &entry = *fleet.entries.front();
    fleet.store.setDown(true);
    REQUIRE(eventually([&] {
        return metric(entry, "zinniadock_store_outages_total") == 1;
    }));
    fleet.store.remove("servers/s1");
    fleet.store.remove("servers/s2");
    std::this_thread::sleep_for(milliseconds(300));
    fleet.store.setDown(false);
    const auto returnedAt = std::chrono::steady_clock::now();
    const auto isServed = [&] {
        return sendRequest(entry->port(), { .target = "/order/1" }).status == 200;
    };

    SECTION("it keeps its work if it is listed again")
    {
        while (std::chrono::steady_clock::now() - returnedAt < milliseconds(1800)) {
            REQUIRE(isServed());
        }
        fleet.store.put("servers/s1", fleet.first.record("shop"));
        while (std::chrono::steady_clock::now() - returnedAt < milliseconds(4000)) {
            REQUIRE(isServed());
        }
        CHECK(fleet.avoidsSecondServer());
    }
    SECTION("it is gone if it is still missing then")
    {
        std::this_thread::sleep_for(milliseconds(3500));
        CHECK_FALSE(isServed());
    }
}

// Guards against a removal that is delayed because the store was away shortly before.
TEST_CASE("a removal that the store acknowledges after its return holds at once")
{
    RelayedFleet fleet(smallFleet);
    RoleThread<ForwardingEntry> &entry = *fleet.entries.front();
    fleet.store.setDown(true);
    REQUIRE(eventually([&] {
        return metric(entry, "zinniadock_store_outages_total") == 1;
    }));
    fleet.store.setDown(false);
    REQUIRE(eventually([&] {
        return metric(entry, "zinniadock_store_fresh") == 1;
    }));
    std::this_thread::sleep_for(milliseconds(800));
    fleet.store.remove("servers/s2");
    std::this_thread::sleep_for(applied);
    CHECK(fleet.avoidsSecondServer());
}

// Guards against a lost response that counts as an outage of the store.
TEST_CASE("calls that the store does not answer for a moment are no outage")
{
    RelayedFleet fleet(smallFleet);
    RoleThread<ForwardingEntry> &entry = *fleet.entries.front();
    fleet.store.setUnresponsive(true);
    fleet.store.put("op/config", configuration(4));
    REQUIRE(eventually([&] {
        return fleet.store.callsWithoutResponse() >= 1;
    }));
    fleet.store.setUnresponsive(false);
    fleet.store.remove("servers/s2");
    CHECK(eventually(
        [&] {
            return fleet.allHaveVersion(4);
        },
        bound));
    std::this_thread::sleep_for(applied);
    CHECK(fleet.avoidsSecondServer());
    CHECK(metric(entry, "zinniadock_store_outages_total") == 0);
}
