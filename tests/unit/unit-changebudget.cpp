#include <catch2/catch.hpp>

#include "zinniadock/process/pausedetector.h"
#include "zinniadock/process/store/changebudget.h"
#include "zinniadock/process/store/viewfreshness.h"

using namespace zinniadock;
using std::chrono::milliseconds;

namespace
{

/// A fleet, the bounds of its settings, and the calls that one entry which reads the store may make on a calm day.
struct SizedFleet
{
    std::size_t entries;
    int configurationWithinMs;
    int drainWithinMs;
    double maxCallsPerSecond;
};

const std::vector<SizedFleet> fleets{
    { 1, 2000, 2000, 1 / 1.4 + 1 / 1.4 + 1 / 9.4 },   { 5, 2000, 2000, 1 / 1.4 + 1 / 1.4 + 1 / 9.4 },
    { 12, 2000, 2000, 1 / 1.0 + 1 / 1.4 + 1 / 9.4 },  { 28, 3000, 3000, 1 / 1.0 + 1 / 1.9 + 1 / 9.4 },
    { 103, 4000, 4000, 1 / 1.0 + 1 / 1.9 + 1 / 9.4 }, { 340, 11000, 4000, 1 / 1.12 + 1 / 1.9 + 1 / 9.4 },
};

ForwardingSection settingsOf(const SizedFleet &fleet)
{
    ForwardingSection settings;
    settings.configurationWithin = milliseconds(fleet.configurationWithinMs);
    settings.drainWithin = milliseconds(fleet.drainWithinMs);
    return settings;
}

const auto now = std::chrono::steady_clock::now();

} // namespace

// Guards against waits of single hops that add up to more than the bound of a change.
TEST_CASE("the hops of a change add up to less than its bound, for each part and size of a fleet")
{
    for (const SizedFleet &fleet : fleets) {
        for (const StorePart part : storeParts) {
            CAPTURE(fleet.entries, toString(part));
            const ChangeBudget budget = changeBudget(part, settingsOf(fleet), fleet.entries);
            CHECK(budget.pause + budget.wait == budget.confirmationInterval());
            CHECK(budget.confirmationInterval() + budget.slack == budget.staleAfter());
            CHECK(budget.staleAfter() + budget.search == budget.total());
            CHECK(budget.total() < budget.bound);
        }
    }
}

// Guards against freshness that is paid for with more calls to the store on a calm day.
TEST_CASE("the calls of a reader to the store stay below their limit on a calm day")
{
    for (const SizedFleet &fleet : fleets) {
        CAPTURE(fleet.entries);
        double callsPerSecond = 0;
        for (const StorePart part : storeParts) {
            const ChangeBudget budget = changeBudget(part, settingsOf(fleet), fleet.entries);
            callsPerSecond += 1000.0 / static_cast<double>(budget.confirmationInterval().count());
        }
        CHECK(callsPerSecond <= fleet.maxCallsPerSecond);
    }
}

// Guards against the freshness of one part that is taken for that of another.
TEST_CASE("the freshness of each part of a view")
{
    ViewFreshness freshness;

    SECTION("a confirmation of one part says nothing of the others")
    {
        freshness.recordOwn(StorePart::Servers, now);
        freshness.recordRelayed(StorePart::Entries, now);
        CHECK_FALSE(freshness.confirmedAt(StorePart::Configuration));
        CHECK_FALSE(freshness.ownConfirmedAt(StorePart::Entries));
        CHECK_FALSE(freshness.relayedConfirmedAt(StorePart::Servers));
        CHECK(freshness.age(StorePart::Servers, now + milliseconds(30)) == milliseconds(30));
    }
    SECTION("a late confirmation does not replace a later one")
    {
        freshness.recordRelayed(StorePart::Configuration, now);
        freshness.recordRelayed(StorePart::Configuration, now - milliseconds(500));
        CHECK(freshness.confirmedAt(StorePart::Configuration) == now);
        freshness.recordOwn(StorePart::Configuration, now + milliseconds(100));
        CHECK(freshness.confirmedAt(StorePart::Configuration) == now + milliseconds(100));
    }
    SECTION("a time that the steady clock did not count makes all of them older")
    {
        freshness.recordOwn(StorePart::Configuration, now);
        freshness.recordRelayed(StorePart::Servers, now);
        freshness.addAge(milliseconds(4000));
        CHECK(freshness.age(StorePart::Configuration, now) == milliseconds(4000));
        CHECK(freshness.age(StorePart::Servers, now) == milliseconds(4000));
    }
}

// Guards against a process that acts after a pause on what it knew before.
TEST_CASE("pauses of the process")
{
    PauseDetector detector;
    using std::chrono::seconds;
    CHECK_FALSE(detector.observe({ .steady = seconds(10), .boot = seconds(20) }));

    SECTION("none while the event loop runs")
    {
        CHECK_FALSE(
            detector.observe({ .steady = seconds(10) + milliseconds(200), .boot = seconds(20) + milliseconds(200) }));
    }
    SECTION("a frozen process or a busy event loop, which the steady clock counts")
    {
        const auto pause = detector.observe({ .steady = seconds(13), .boot = seconds(23) });
        REQUIRE(pause);
        CHECK(pause->duration == seconds(3));
        CHECK(pause->uncounted == seconds(0));
        CHECK_FALSE(detector.observe({ .steady = seconds(13), .boot = seconds(23) }));
    }
    SECTION("a suspended instance, which the steady clock does not count")
    {
        const auto pause = detector.observe({ .steady = seconds(10) + milliseconds(50), .boot = seconds(24) });
        REQUIRE(pause);
        CHECK(pause->uncounted == milliseconds(3950));
    }
}

// Guards against ages that are lost between entries, and against an entry of an earlier version that states one age.
TEST_CASE("messages between entries carry the age of each part")
{
    RelayResponse response;
    response.readsStore = true;
    response.ages = { milliseconds(70), std::nullopt, milliseconds(900) };
    response.ownAges = { std::nullopt, std::nullopt, milliseconds(950) };
    response.held = milliseconds(30);
    const auto decoded = decodeRelayResponse(encode(response));
    REQUIRE(decoded);
    CHECK(decoded->ages == response.ages);
    CHECK(decoded->ownAges == response.ownAges);
    CHECK(decoded->held == milliseconds(30));
}
