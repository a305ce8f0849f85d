// Changes that reach an entry whose event loop is behind, or whose link is narrow.

#include <memory>
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

/// Returns whether a busy entry uses the last version of a fleet within a time.
bool isInForce(const BusyLoop &loop, const BoundFleet &fleet, milliseconds within)
{
    return eventually(
        [&] {
            return loop.version() == static_cast<std::uint64_t>(fleet.version());
        },
        within);
}

/// Turn of an event loop that serves many callers with little processor time.
constexpr milliseconds longTurn{ 250 };

/// Keeps the event loops of the entries from \p first on busy.
std::vector<std::unique_ptr<BusyLoop>> keepBusy(const BoundFleet &fleet, std::size_t first)
{
    std::vector<std::unique_ptr<BusyLoop>> loops;
    for (std::size_t i = first; i < fleet.entries.size(); ++i) {
        loops.push_back(std::make_unique<BusyLoop>(*fleet.entries[i], longTurn));
    }
    return loops;
}

/// Publishes versions, and checks that each of them is in force at busy entries within the bound.
void checkChanges(BoundFleet &fleet, const std::vector<std::unique_ptr<BusyLoop>> &loops, int changes)
{
    for (int change = 1; change <= changes; ++change) {
        CAPTURE(change);
        fleet.publish();
        for (const auto &loop : loops) {
            CHECK(isInForce(*loop, fleet, std::max(fleet.timeLeft(), milliseconds(0))));
        }
    }
}

} // namespace

// Guards against a timer that is served before a response that has arrived, so that a busy entry drops each response.
TEST_CASE("a change is in force within its bound at an entry whose event loop is busy")
{
    BoundFleet fleet(GENERATE(std::size_t{ 1 }, std::size_t{ 5 }, std::size_t{ 28 }));
    CAPTURE(fleet.entries.size());
    const BusyLoop loop(*fleet.entries.back(), longTurn);
    for (int change = 1; change <= 4; ++change) {
        CAPTURE(change);
        fleet.publish();
        CHECK(isInForce(loop, fleet, fleet.timeLeft()));
    }
}

// Guards against entries that are all busy, so that each one takes the others for silent.
TEST_CASE("a change is in force within its bound if the event loops of all followers are busy")
{
    BoundFleet fleet(28);
    checkChanges(fleet, keepBusy(fleet, fleet.readers()), 4);
}

// Guards against entries that give each other up before a busy one can respond.
TEST_CASE("a change is in force within its bound if the store serves few entries and all event loops are busy")
{
    BoundFleet fleet(28);
    fleet.setFault(0, fleet.entries.size() * 3 / 5, AddressFault{ .prefix = "", .status = 503 });
    checkChanges(fleet, keepBusy(fleet, 0), 6);
}

// Guards against checks after pauses that end each call before its response is read.
TEST_CASE("an entry whose event loop pauses in each turn gets a change while it is busy")
{
    constexpr milliseconds pausingTurn{ 800 };
    constexpr milliseconds within{ 12 * pausingTurn };
    BoundFleet fleet(GENERATE(std::size_t{ 1 }, std::size_t{ 12 }));
    CAPTURE(fleet.entries.size());
    const BusyLoop loop(*fleet.entries.back(), pausingTurn);
    std::this_thread::sleep_for(fleet.bound);
    fleet.publish();
    CHECK(isInForce(loop, fleet, within));
}

// Guards against a time limit that ends a call while its response arrives, on each try again.
TEST_CASE("a large configuration is in force within its bound over a narrow link")
{
    constexpr std::size_t textBytes = 900U << 10U;
    constexpr std::size_t linkBytesPerSecond
        = 800000; // the text takes three quarters of the bound, encoded as in the store
    BoundFleet fleet(1);
    fleet.links.front()->setRate(linkBytesPerSecond);
    for (int change = 1; change <= 5; ++change) {
        CAPTURE(change);
        std::this_thread::sleep_for(change * milliseconds(300)); // at other times within the wait of a watch
        fleet.publish(textBytes);
        CHECK(fleet.isInForceWithinBound());
    }
}

// Guards against entries that follow each other while none of them reads the store.
TEST_CASE("some entry reads the store at any time while the readers are turned away")
{
    BoundFleet fleet(28);
    const std::size_t turnedAway = fleet.entries.size() * 3 / 5;
    fleet.setFault(0, turnedAway, AddressFault{ .prefix = "", .status = 503 });
    std::this_thread::sleep_for(fleet.bound);
    const auto end = std::chrono::steady_clock::now() + 3 * fleet.bound;
    int samples = 0;
    int withoutReader = 0;
    while (std::chrono::steady_clock::now() < end) {
        bool isRead = false;
        for (std::size_t i = turnedAway; i < fleet.entries.size() && !isRead; ++i) {
            isRead = metric(*fleet.entries[i], "zinniadock_store_reading{part=\"configuration\"}") == 1;
        }
        ++samples;
        withoutReader += isRead ? 0 : 1;
        std::this_thread::sleep_for(milliseconds(20));
    }
    CAPTURE(samples);
    CHECK(withoutReader == 0);
}
