// How long a change takes from the acknowledgement of the store to the last entry, whatever fails in between.

#include <algorithm>
#include <memory>
#include <thread>

#include <catch2/catch.hpp>

#include "boundfleet.h"
#include "fleet.h"
#include "zinniadock/process/store/readerchoice.h"

using namespace zinniadock;
using namespace zinniadock::standin;
using namespace zinniadock::test;
using std::chrono::milliseconds;

namespace
{

constexpr const char *configurationPrefix = "op/";

} // namespace

// Guards against a reader whose server list is fresh, and whose old configuration its followers take for fresh too.
TEST_CASE("a change is in force within its bound if the watch of the configuration alone gets no answer")
{
    BoundFleet fleet(GENERATE(std::size_t{ 5 }, std::size_t{ 28 }));
    CAPTURE(fleet.entries.size());
    fleet.silenceConfigurationWatches();
    for (int change = 1; change <= 2; ++change) {
        CAPTURE(change);
        fleet.publish();
        CHECK(fleet.isInForceWithinBound());
    }
}

// Guards against waits that add up to more than the bound if the store turns entries away or does not answer them.
TEST_CASE("a change is in force within its bound if the store serves few entries")
{
    BoundFleet fleet(GENERATE(std::size_t{ 5 }, std::size_t{ 28 }));
    const std::size_t size = fleet.entries.size();
    CAPTURE(size);
    const std::size_t turnedAway = size > maxSmallFleetSize ? fleet.readers() + (size - fleet.readers()) * 3 / 4 : 4;
    for (const int status : { 0, 503, 429 }) {
        CAPTURE(status);
        fleet.setFault(0, turnedAway, AddressFault{ .prefix = "", .status = status });
        for (std::size_t i = 0; i < turnedAway; ++i) {
            status == 0 ? fleet.links[i]->silenceOpenConnections() : fleet.links[i]->cut();
        }
        fleet.publish();
        CHECK(fleet.isInForceWithinBound());
        fleet.setFault(0, turnedAway, std::nullopt);
        fleet.waitUntilCalm();
    }
}

// Guards against a kept connection that has died, found only after most of the bound, while the store is slow.
TEST_CASE("a change is in force within its bound if open connections die and the store is slow")
{
    BoundFleet fleet(GENERATE(std::size_t{ 1 }, std::size_t{ 5 }, std::size_t{ 28 }));
    CAPTURE(fleet.entries.size());
    for (const auto &address : fleet.storeAddresses) {
        address->setDelay(milliseconds(300));
    }
    std::this_thread::sleep_for(fleet.bound + fleet.bound);
    for (const auto &link : fleet.links) {
        link->silenceOpenConnections();
    }
    fleet.publish();
    CHECK(fleet.isInForceWithinBound());
}

// Guards against a history that is gone, and watches that are cut, between a change and the entries.
TEST_CASE("a change is in force within its bound if watches are cut and the history is gone")
{
    BoundFleet fleet(GENERATE(std::size_t{ 1 }, std::size_t{ 28 }));
    CAPTURE(fleet.entries.size());
    for (const bool isCutBefore : { true, false }) {
        if (isCutBefore) {
            for (const auto &link : fleet.links) {
                link->cut();
            }
        }
        fleet.publish();
        fleet.store.compact();
        for (const auto &link : fleet.links) {
            link->cut();
        }
        CHECK(fleet.isInForceWithinBound());
        fleet.waitUntilCalm();
    }
}

// Guards against followers that wait for readers which do not run, and readers that act on what they knew before.
TEST_CASE("a change is in force within its bound while the readers are frozen")
{
    BoundFleet fleet(28);
    for (std::size_t i = 0; i < fleet.readers(); ++i) {
        freeze(*fleet.entries[i], fleet.bound + milliseconds(1500));
    }
    fleet.publish();
    CHECK(fleet.isInForceWithinBound(fleet.readers()));
}

// Guards against requests that an entry handles after a freeze by the configuration from before.
TEST_CASE("an entry that was frozen handles no request by a configuration that is older than the bound")
{
    BoundFleet fleet(GENERATE(std::size_t{ 1 }, std::size_t{ 28 }));
    CAPTURE(fleet.entries.size());
    RoleThread<ForwardingEntry> &last = *fleet.entries.back();
    const int next = fleet.version() + 1;
    freeze(last, fleet.bound + milliseconds(1000));
    fleet.store.put("op/config", configuration(next, "k2"));
    std::this_thread::sleep_for(fleet.bound + milliseconds(500));
    CHECK(sendRequest(last->port(), { .target = "/order/1", .id = "new key", .key = "k2" }).status == 200);
    CHECK(sendRequest(last->port(), { .target = "/order/1", .id = "old key", .key = "k1" }).status == 401);
}

// Guards against an entry that becomes ready with an old configuration of entries which the store does not answer.
TEST_CASE("an entry that joins becomes ready with the current configuration")
{
    BoundFleet fleet(5);
    fleet.setFault(0, fleet.storeAddresses.size(), AddressFault{ .prefix = configurationPrefix });
    for (const auto &link : fleet.links) {
        link->silenceOpenConnections();
    }
    fleet.publish();
    std::this_thread::sleep_for(fleet.bound);
    fleet.addEntry(fleet.store.port());
    RoleThread<ForwardingEntry> &joined = *fleet.entries.back();
    REQUIRE(eventually([&] {
        return isReady(joined);
    }));
    CHECK(metric(joined, "zinniadock_configuration_version") == fleet.version());
}

// Guards against versions in quick succession of which an entry keeps an older one, or goes back to it.
TEST_CASE("versions in quick succession never go back and end with the last one")
{
    BoundFleet fleet(28);
    std::vector<double> known(fleet.entries.size(), 0);
    for (int change = 0; change < 20; ++change) {
        fleet.publish();
        const std::size_t index = static_cast<std::size_t>(change) % fleet.entries.size();
        const double version = metric(*fleet.entries[index], "zinniadock_configuration_version");
        CHECK(version >= known[index]);
        known[index] = version;
    }
    CHECK(fleet.isInForceWithinBound());
}

// Guards against responses of an older version that arrive late, and against entries that go back to it after a freeze
// of their source.
TEST_CASE("no entry goes back to an older version while readers lag, freeze and restart")
{
    constexpr int changes = 24;
    constexpr std::size_t restarted = 1;
    BoundFleet fleet(28);
    std::vector<double> known(fleet.entries.size(), 0);
    for (int change = 0; change < changes; ++change) {
        CAPTURE(change);
        for (std::size_t i = 0; i < fleet.links.size(); ++i) {
            fleet.links[i]->setDelay(milliseconds((static_cast<std::size_t>(change) + i) % 3 * 150));
        }
        fleet.publish();
        if (change % 6 == 2) {
            freeze(*fleet.entries.front(), milliseconds(400));
        }
        if (change == changes / 2) {
            fleet.restart(restarted);
            known[restarted] = 0;
        }
        std::this_thread::sleep_for(milliseconds(60));
        for (std::size_t i = 1; i < fleet.entries.size(); ++i) {
            CAPTURE(i);
            const double version = metric(*fleet.entries[i], "zinniadock_configuration_version");
            CHECK(version >= known[i]);
            known[i] = version;
        }
    }
    CHECK(fleet.isInForceWithinBound());
}

// Guards against followers that wait for a reader which has just ended.
TEST_CASE("a change is in force within its bound while readers restart")
{
    BoundFleet fleet(GENERATE(std::size_t{ 5 }, std::size_t{ 28 }));
    CAPTURE(fleet.entries.size());
    for (std::size_t i = 0; i < 2; ++i) {
        fleet.publish();
        fleet.restart(i);
        CHECK(fleet.isInForceWithinBound());
    }
}

// Guards against evacuations that are late because a watch of the store is silent.
TEST_CASE("an evacuation is known within its bound if the watch of the configuration alone gets no answer")
{
    BoundFleet fleet(GENERATE(std::size_t{ 5 }, std::size_t{ 28 }));
    CAPTURE(fleet.entries.size());
    fleet.silenceConfigurationWatches();
    fleet.store.put("op/evacuate/south", "{}");
    CHECK(eventually(
        [&] {
            return std::all_of(fleet.entries.begin(), fleet.entries.end(), [](const auto &entry) {
                return metric(*entry, "zinniadock_evacuated_data_centres") == 1;
            });
        },
        fleet.bound));
}

// Guards against hops that only a fleet with more readers, or with longer queues at them, has.
TEST_CASE("a change is in force within its bound in a fleet of 103 entries")
{
    BoundFleet fleet(103);
    const std::size_t turnedAway = GENERATE(0, 60);
    CAPTURE(turnedAway);
    fleet.setFault(0, turnedAway, AddressFault{ .prefix = "", .status = 503 });
    for (int change = 1; change <= 2; ++change) {
        CAPTURE(change);
        fleet.publish();
        CHECK(fleet.isInForceWithinBound());
    }
}

// Guards against freshness that is paid for with more calls to the store on a calm day.
TEST_CASE("calls to the store on a calm day")
{
    constexpr std::chrono::seconds observed{ 6 };
    // Watches of the configuration, the servers and the entries, a second and reader.
    constexpr double callsPerReader = 1.0 / 1.0 + 1.0 / 1.9 + 1.0 / 9.4;
    BoundFleet fleet(28);
    std::this_thread::sleep_for(fleet.bound);
    const std::uint64_t before = fleet.store.calls();
    std::this_thread::sleep_for(observed);
    const auto calls = static_cast<double>(fleet.store.calls() - before);
    // Each entry renews its registration every 20 s.
    const double renewals = static_cast<double>(fleet.entries.size()) * observed.count() / 20.0;
    CHECK(calls <= callsPerReader * static_cast<double>(fleet.readers()) * observed.count() + renewals + 2);
}
