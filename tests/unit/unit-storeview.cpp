#include <catch2/catch.hpp>

#include <memory>

#include "fleet.h"
#include "forwardingfixture.h"

using namespace zinniadock;
using namespace zinniadock::standin;
using namespace zinniadock::test;

namespace
{

constexpr std::size_t fleetSize = 12;
constexpr double largeCapacity = 0.5;
constexpr double smallCapacity = 0.09;

using Entries = std::vector<std::unique_ptr<RoleThread<ForwardingEntry>>>;

double sumOf(const Entries &entries, const std::string &name)
{
    double sum = 0;
    for (const auto &entry : entries) {
        sum += metric(*entry, name);
    }
    return sum;
}

bool allHave(const Entries &entries, const std::string &name, double value)
{
    return std::all_of(entries.begin(), entries.end(), [&](const auto &entry) {
        return metric(*entry, name) == value;
    });
}

} // namespace

TEST_CASE("entries of a large fleet follow the few that read the store")
{
    PlatformStore store;
    PlatformServer server("s1");
    store.put("servers/s1", server.record("shop"));
    store.put("op/config", configuration(3));
    Entries entries;
    for (std::size_t i = 0; i < fleetSize; ++i) {
        Settings settings = entrySettings(store.port(), 1);
        settings.forwarding.capacity = i < readerCount(fleetSize) ? largeCapacity : smallCapacity;
        entries.push_back(std::make_unique<RoleThread<ForwardingEntry>>(settings));
    }
    const auto readers = static_cast<double>(readerCount(fleetSize));
    REQUIRE(eventually([&] {
        return sumOf(entries, "zinniadock_store_reader") == readers
            && allHave(entries, "zinniadock_known_entries", fleetSize);
    }));
    const auto changeReachesAll = [&](int version) {
        store.put("op/config", configuration(version));
        return eventually([&] {
            return allHave(entries, "zinniadock_configuration_version", version);
        });
    };

    SECTION("all entries receive a changed configuration and the removal of a server")
    {
        CHECK(changeReachesAll(5));
        store.remove("servers/s1");
        CHECK(eventually([&] {
            return std::all_of(entries.begin(), entries.end(), [](const auto &entry) {
                return sendRequest((*entry)->port(), { .target = "/order/1" }).status == 503;
            });
        }));
    }
    SECTION("readers that end one after the other are replaced")
    {
        for (int version = 5; version <= 9; version += 2) {
            entries.erase(entries.begin());
            CHECK(changeReachesAll(version));
        }
    }
    SECTION("an older configuration version in the store does not block the next version")
    {
        CHECK(changeReachesAll(7));
        store.put("op/config", configuration(5));
        CHECK(changeReachesAll(8));
    }
    SECTION("after an outage of the store all entries receive the changes made during the outage")
    {
        store.setDown(true);
        REQUIRE(eventually([&] {
            return allHave(entries, "zinniadock_store_fresh", 0);
        }));
        store.put("op/config", configuration(6));
        CHECK(allHave(entries, "zinniadock_configuration_version", 3));
        store.setDown(false);
        CHECK(changeReachesAll(7));
        CHECK(eventually([&] {
            return sumOf(entries, "zinniadock_store_reader") == readers;
        }));
    }
}

// Guards against a record without an ID that an entry uses as a server, and reads after it is freed.
TEST_CASE("a record under the bare prefix of the servers names no server")
{
    PlatformServer server("s1");
    SeededStore store("s1", server.record("shop"));
    store.put("servers/", server.record("shop"));
    RoleThread<ForwardingEntry> entry(entrySettings(store.port(), 1));
    REQUIRE(eventually([&] {
        return isReady(entry);
    }));
    CHECK(metric(entry, "zinniadock_servers") == 1);
    store.remove("servers/");
    CHECK(sendRequest(entry->port(), { .target = "/order/1" }).status == 200);
    CHECK(metric(entry, "zinniadock_servers") == 1);
}
