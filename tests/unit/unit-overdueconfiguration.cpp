// What an entry answers while it can't know whether its configuration is older than the bound.

#include <algorithm>
#include <thread>

#include <catch2/catch.hpp>

#include "boundfleet.h"
#include "fleet.h"

using namespace zinniadock;
using namespace zinniadock::standin;
using namespace zinniadock::test;
using std::chrono::milliseconds;

namespace
{

constexpr int unavailable = 503;

/// Time from the bound of a change to the requests of a test.
constexpr milliseconds margin{ 300 };

TestResponse order(RoleThread<ForwardingEntry> &entry, const std::string &key, const std::string &target = "/order/1")
{
    return sendRequest(entry->port(), { .target = target, .id = key + target, .key = key });
}

/// Publishes a version whose only key is k2, in place of k1.
void replaceKey(BoundFleet &fleet)
{
    fleet.store.put("op/config", configuration(fleet.version() + 1, "k2"));
}

} // namespace

// Guards against an entry that refuses a new key or serves a dropped one by a version which the others may have
// replaced.
TEST_CASE("an entry that neither the store nor another entry answers handles no request by an overdue configuration")
{
    BoundFleet fleet(GENERATE(std::size_t{ 5 }, std::size_t{ 28 }));
    CAPTURE(fleet.entries.size());
    RoleThread<ForwardingEntry> &last = *fleet.entries.back();
    fleet.setFault(fleet.entries.size() - 1, 1, AddressFault{ .prefix = "", .status = unavailable });
    fleet.links.back()->cut();
    const milliseconds frozen = fleet.bound + milliseconds(2500);
    for (std::size_t i = 0; i + 1 < fleet.entries.size(); ++i) {
        freeze(*fleet.entries[i], frozen);
    }
    replaceKey(fleet);
    std::this_thread::sleep_for(fleet.bound + margin);
    for (int round = 0; round < 3; ++round) {
        CAPTURE(round);
        const TestResponse added = order(last, "k2");
        CHECK(added.status == unavailable);
        CHECK(added.retryAfter > 0);
        CHECK(order(last, "k1").status == unavailable);
        CHECK(order(last, "k2", "/unknown/1").status == unavailable);
        std::this_thread::sleep_for(milliseconds(200));
    }
    CHECK(eventually([&] {
        return order(last, "k2").status == 200;
    }));
    CHECK(order(last, "k1").status == 401);
    CHECK(order(last, "k2", "/unknown/1").status == 404);
}

// Guards against a refusal for good of a key or route that a version has added which the store keeps from the entry.
TEST_CASE("while the store answers no entry a request that the configuration does not know may come again")
{
    BoundFleet fleet(GENERATE(std::size_t{ 1 }, std::size_t{ 5 }, std::size_t{ 28 }));
    CAPTURE(fleet.entries.size());
    fleet.setFault(0, fleet.entries.size(), AddressFault{ .prefix = "", .status = unavailable });
    for (const auto &link : fleet.links) {
        link->cut();
    }
    std::this_thread::sleep_for(fleet.bound + margin);
    for (int round = 0; round < 3; ++round) {
        CAPTURE(round);
        for (const std::size_t index : { std::size_t{ 0 }, fleet.entries.size() - 1 }) {
            CAPTURE(index);
            RoleThread<ForwardingEntry> &entry = *fleet.entries[index];
            const TestResponse unknownKey = order(entry, "k2");
            CHECK(unknownKey.status == unavailable);
            CHECK(unknownKey.retryAfter > 0);
            CHECK(order(entry, "k1", "/unknown/1").status == unavailable);
            CHECK(order(entry, "k1").status == 200);
        }
        std::this_thread::sleep_for(milliseconds(1500));
    }
    fleet.setFault(0, fleet.entries.size(), std::nullopt);
    CHECK(eventually([&] {
        return order(*fleet.entries.back(), "k2").status == 401;
    }));
    CHECK(order(*fleet.entries.back(), "k1", "/unknown/1").status == 404);
}

// Guards against waits for a confirmation on days on which the store and the other entries answer.
TEST_CASE("requests do not wait for a confirmation while the configuration is current")
{
    BoundFleet fleet(GENERATE(std::size_t{ 1 }, std::size_t{ 5 }));
    CAPTURE(fleet.entries.size());
    const auto until = std::chrono::steady_clock::now() + fleet.bound + fleet.bound;
    while (std::chrono::steady_clock::now() < until) {
        CHECK(order(*fleet.entries.front(), "k1").status == 200);
        CHECK(order(*fleet.entries.front(), "k2").status == 401);
        std::this_thread::sleep_for(milliseconds(50));
    }
    CHECK(metric(*fleet.entries.front(), "zinniadock_configuration_waits_total") == 0);
}
