#include <algorithm>
#include <random>
#include <set>

#include <catch2/catch.hpp>

#include "limitfleet.h"
#include "requestwindow.h"

using namespace zinniadock;
using namespace zinniadock::test;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace
{

/// Min share of a limit that callers get while they ask for more, and while entries come and go.
constexpr double minUsed = 0.8;
constexpr double minUsedInChange = 0.6;

/// Time after which a limit is known and used in the whole fleet.
constexpr milliseconds settlingTime{ 10000 };

double usedShare(const LimitFleet &fleet, std::size_t server, double limit, milliseconds from)
{
    const double duration = std::chrono::duration<double>(fleet.now() - from).count();
    return static_cast<double>(fleet.sentTo(server, from)) / (limit * duration);
}

} // namespace

// Guards against entries that each use the whole limit, and against limits that are left unused.
TEST_CASE("entries share the limit of a server")
{
    const std::size_t entries = GENERATE(1, 5, 103, 340);
    const double limit = GENERATE(0.5, 3.6, 60.0, 400.0);
    const double skew = GENERATE(0.0, 1.0, 3.0);
    LimitFleet fleet({ .entries = entries, .limits = { limit }, .demand = 3 * limit + 20, .skew = skew, .seed = 7 });
    fleet.run(settlingTime + seconds(20));
    CAPTURE(entries, limit, skew);
    CHECK(fleet.busiestWindow(0, seconds(0)) <= maxRequestsInWindow(limit));
    CHECK(usedShare(fleet, 0, limit, settlingTime) >= minUsed);
    if (entries == 340) {
        CHECK(fleet.maxBytesPerSecond() <= 2048);
    }
}

// Guards against reports whose size grows with the number of limits, so that permits expire between two reports.
TEST_CASE("entries share the limits of many servers")
{
    constexpr std::size_t servers = 11;
    const std::size_t entries = GENERATE(5, 103, 340);
    const double limit = GENERATE(3.6, 40.0);
    const std::vector<double> limits(servers, limit);
    LimitFleet fleet({ .entries = entries, .limits = limits, .demand = 4 * limit * servers, .skew = 0.5, .seed = 9 });
    fleet.run(settlingTime + seconds(20));
    CAPTURE(entries, limit);
    double used = 0;
    for (std::size_t server = 0; server < servers; ++server) {
        CHECK(fleet.busiestWindow(server, seconds(0)) <= maxRequestsInWindow(limit));
        used += usedShare(fleet, server, limit, settlingTime) / servers;
    }
    CHECK(used >= minUsed);
    if (entries == 340) {
        CHECK(fleet.maxBytesPerSecond() <= 2048);
    }
}

// Guards against unused permits that add up to a burst.
TEST_CASE("a burst after a time with few requests stays within the limit")
{
    const std::size_t entries = GENERATE(5, 103, 340);
    const double limit = GENERATE(0.5, 3.6, 60.0);
    LimitFleet fleet({ .entries = entries, .limits = { limit }, .demand = 0.2 * limit, .skew = 0, .seed = 3 });
    fleet.run(seconds(20));
    fleet.setDemand(10 * limit + 100);
    fleet.run(seconds(10));
    CAPTURE(entries, limit);
    CHECK(fleet.busiestWindow(0, seconds(0)) <= maxRequestsInWindow(limit));
}

// Guards against entries that create more than their part of a limit when others restart, freeze, leave or are cut off.
TEST_CASE("the limit holds while entries restart, freeze, come and go, or are cut off from each other")
{
    const std::size_t entries = GENERATE(5, 103, 340);
    const double limit = GENERATE(3.6, 60.0);
    const std::uint64_t seed = GENERATE(1U, 2U);
    LimitFleet fleet({ .entries = entries, .limits = { limit }, .demand = 3 * limit + 20, .skew = 1, .seed = seed });
    std::mt19937_64 random(seed);
    fleet.run(settlingTime);
    std::set<std::size_t> listed;
    for (std::size_t i = 0; i < entries; ++i) {
        listed.insert(i);
    }
    CAPTURE(entries, limit, seed);

    SECTION("restarts and freezes")
    {
        for (int round = 0; round < 15; ++round) {
            const std::size_t frozen = random() % entries;
            fleet.restartEntry(random() % entries);
            fleet.setFrozen(frozen, true);
            fleet.run(seconds(1));
            fleet.setFrozen(frozen, false);
            fleet.run(seconds(1));
        }
        CHECK(usedShare(fleet, 0, limit, settlingTime) >= minUsedInChange);
    }
    SECTION("entries leave and others take their place")
    {
        for (int round = 0; round < 6; ++round) {
            const std::size_t leaving = random() % entries;
            fleet.setRunning(leaving, false);
            fleet.run(seconds(3));
            fleet.setRunning(leaving, true);
            fleet.run(seconds(3));
        }
        CHECK(usedShare(fleet, 0, limit, settlingTime) >= minUsedInChange);
    }
    SECTION("the fleet is divided into two parts and joined again")
    {
        for (int round = 0; round < 3; ++round) {
            for (std::size_t i = 0; i < entries; ++i) {
                fleet.setPartition(i, static_cast<int>(random() % 2));
            }
            fleet.run(seconds(6));
            for (std::size_t i = 0; i < entries; ++i) {
                fleet.setPartition(i, 0);
            }
            fleet.run(seconds(4));
        }
    }
    SECTION("each entry is cut off from all others")
    {
        for (std::size_t i = 0; i < entries; ++i) {
            fleet.setPartition(i, static_cast<int>(i));
        }
        fleet.run(seconds(20));
    }
    SECTION("the store has lost the registrations, and some entries see only a few others")
    {
        for (std::size_t i = 0; i < entries; ++i) {
            fleet.setListed(i, { i, random() % entries });
        }
        fleet.run(seconds(20));
        for (std::size_t i = 0; i < entries; ++i) {
            fleet.setListed(i, listed);
        }
        fleet.run(seconds(5));
    }
    CHECK(fleet.busiestWindow(0, seconds(0)) <= maxRequestsInWindow(limit));
}

TEST_CASE("limits rise, fall, end and return")
{
    const std::size_t entries = GENERATE(5, 103);
    LimitFleet fleet({ .entries = entries, .limits = { 40, 0 }, .demand = 300, .skew = 0, .seed = 5 });
    fleet.run(seconds(15));
    CHECK(fleet.busiestWindow(0, seconds(0)) <= maxRequestsInWindow(40));

    SECTION("a lower limit holds soon, a higher one is used")
    {
        fleet.setLimit(0, 4);
        fleet.run(seconds(15));
        CHECK(fleet.busiestWindow(0, seconds(15)) <= maxRequestsInWindow(4));
        const milliseconds raised = fleet.now();
        fleet.setLimit(0, 80);
        fleet.run(seconds(30));
        CHECK(fleet.busiestWindow(0, raised) <= maxRequestsInWindow(80));
        CHECK(usedShare(fleet, 0, 80, raised + settlingTime) >= minUsed);
    }
    SECTION("after the end of a limit, the server gets its part of all requests")
    {
        fleet.setLimit(0, 0);
        fleet.run(settlingTime);
        const milliseconds ended = fleet.now();
        fleet.run(seconds(5));
        CHECK(static_cast<double>(fleet.sentTo(0, ended)) >= 0.4 * 300 * 5);
        fleet.setLimit(0, 10);
        fleet.run(seconds(10));
        CHECK(fleet.busiestWindow(0, ended + seconds(5)) <= maxRequestsInWindow(10));
    }
    SECTION("a restarted server has no limit until it states one")
    {
        fleet.setLimit(0, 0);
        fleet.restartServer(0);
        const milliseconds restarted = fleet.now();
        fleet.run(seconds(5));
        CHECK(static_cast<double>(fleet.sentTo(0, restarted)) >= 0.4 * 300 * 5);
        fleet.setLimit(0, 10);
        fleet.run(seconds(10));
        CHECK(fleet.busiestWindow(0, restarted) <= maxRequestsInWindow(10));
    }
    SECTION("a server without a limit takes the rest, so that no request is refused")
    {
        CHECK(fleet.refused() == 0);
    }
}

// Guards against refusals whose time to come back is too early, so that the caller is refused again.
TEST_CASE("a caller that was refused because of a limit gets in when it comes back at the time it was told")
{
    const std::size_t entries = GENERATE(5, 103);
    const std::uint64_t seed = GENERATE(1U, 2U, 3U);
    LimitFleet fleet({ .entries = entries, .limits = { 4, 6 }, .demand = 4, .skew = 0, .seed = seed });
    fleet.run(settlingTime);
    for (int round = 0; round < 6; ++round) {
        fleet.sendBurst(20);
        fleet.run(seconds(10));
    }
    CAPTURE(entries, seed, fleet.servedLater(), fleet.neverServed());
    CHECK(fleet.servedLater() > 0);
    CHECK(fleet.neverServed() <= 0.1 * static_cast<double>(fleet.servedLater()));
}

// Guards against an entry that has seen only an invalid value and reports it to others as the end of the limit.
TEST_CASE("an invalid value at one entry does not end the limit at others")
{
    const SteadyTime now{ std::chrono::hours(1) };
    const auto draw = [] {
        return 0.5;
    };
    const auto isKnown = [](const ServerIncarnation &) {
        return true;
    };
    EntryTree firstTree;
    EntryTree secondTree;
    ServerLimiter first(draw, isKnown, firstTree);
    ServerLimiter second(draw, isKnown, secondTree);
    ServerRecord server;
    server.id = "s1";
    first.observe(server, { "3" }, "r1", now);
    second.observe(server, { "soon" }, "r2", now + seconds(1));
    first.applyReport(second.makeNotice(now + seconds(1)), now + seconds(1));
    CHECK(first.isLimited(server));
    CHECK_FALSE(second.isLimited(server));
}

TEST_CASE("no group of callers is starved by a limit")
{
    LimitFleet fleet({ .entries = 5, .limits = { 8 }, .demand = 60, .skew = 1, .seed = 11 });
    fleet.run(seconds(60));
    const std::vector<std::size_t> &served = fleet.servedByGroup();
    const auto [fewest, most] = std::minmax_element(served.begin(), served.end());
    CHECK(2 * *fewest > *most);
}
