#include <random>

#include <catch2/catch.hpp>

#include "suspectfleet.h"

using namespace zinniadock;
using namespace zinniadock::test;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace
{

/// Servers of a pool that one request can crash within one run time.
constexpr std::size_t smallPool = 3;

constexpr RequestTrait deadlyTrait = 7;

/// Callers whose requests are sound: some are read often, some are never repeated.
std::vector<CallerGroup> soundGroups(double perSecond)
{
    return { { .perSecond = perSecond, .distinct = 3, .attempts = 2 },
             { .perSecond = perSecond, .duration = milliseconds(40), .attempts = 2 } };
}

/// Callers of a request that crashes a server 90 ms after it got there.
CallerGroup deadlyGroup(double perSecond)
{
    return { .perSecond = perSecond,
             .isDeadly = true,
             .distinct = 1,
             .sharedTraits = {},
             .duration = milliseconds(90),
             .attempts = 2 };
}

/// Sound requests form the first two groups. They may be refused for one request in 50 while servers crash.
void checkFleet(SuspectFleet &fleet, std::size_t groups, std::size_t entries)
{
    for (std::size_t group = 2; group < groups; ++group) {
        CAPTURE(group, fleet.crashes(group));
        CHECK(fleet.lateArrivals(group, allowedCrashes, knowledgeTime) <= maxLateArrivals);
        CHECK(fleet.refusingEntries(group) == entries);
    }
    for (std::size_t group = 0; group < 2; ++group) {
        CAPTURE(group);
        CHECK(fleet.refused(group, milliseconds(0)) <= fleet.sent(group, milliseconds(0)) / 50);
    }
    CHECK(fleet.refusingEntries(0) == 0);
    CHECK(fleet.maxBytesPerSecond() <= maxBytesPerSecond);
}

/// Runs a fleet before a small pool, and checks it. The first two groups are sound.
void runSmallPool(const std::vector<CallerGroup> &groups, std::size_t entries, std::uint64_t seed, seconds duration,
                  milliseconds maxMessageDelay = milliseconds(10))
{
    SuspectFleet fleet({ .entries = entries,
                         .servers = smallPool,
                         .groups = groups,
                         .seed = seed,
                         .maxMessageDelay = maxMessageDelay });
    fleet.run(duration);
    CAPTURE(entries, seed);
    checkFleet(fleet, groups.size(), entries);
}

/// A crash as one entry sees it.
CrashReport reportOf(std::size_t number, SteadyTime begin, SteadyTime end)
{
    const auto duration = std::chrono::duration_cast<milliseconds>(end - begin);
    return { .id = number + 1,
             .server = "s" + std::to_string(number),
             .at = end,
             .runs = { { .requestId = std::to_string(number), .duration = duration, .traits = { deadlyTrait } } } };
}

/// Returns a report as it arrives at another entry.
CrashReport afterMessage(const CrashReport &report, SteadyTime sentAt, milliseconds delay)
{
    EntryReport message;
    message.sender = "10.0.0.1:80";
    message.evidence.crashes.push_back(report);
    const auto decoded = decodeEntryReport(encode(message, sentAt), sentAt + delay);
    return decoded->evidence.crashes.front();
}

} // namespace

// Guards against entries that conclude differently from the same reports, because each compares times that were changed
// by messages.
TEST_CASE("entries conclude the same from the same crashes, whatever delays and rounding messages add")
{
    std::mt19937_64 random(GENERATE(range(1U, 21U)));
    const SteadyTime start{ std::chrono::hours(100) };
    const auto upTo = [&random](std::uint64_t max) {
        return std::chrono::microseconds(random() % (1000 * max));
    };
    std::vector<SuspectTable> tables(5);
    SteadyTime now = start;
    for (std::size_t crash = 0; crash < 3; ++crash) {
        const SteadyTime begin = now + upTo(100);
        now = begin + upTo(120);
        const CrashReport report = reportOf(crash, begin, now);
        for (std::size_t entry = 0; entry < tables.size(); ++entry) {
            const auto delay = std::chrono::duration_cast<milliseconds>(upTo(150));
            const bool isOwn = entry == crash;
            tables[entry].recordCrash(isOwn ? report : afterMessage(report, now + upTo(20), delay), now + delay);
        }
    }
    now += seconds(1);
    std::size_t quarantines = 0;
    for (SuspectTable &table : tables) {
        table.prune(now);
        quarantines += table.findQuarantine({ deadlyTrait }, "request", now).has_value() ? 1 : 0;
    }
    CHECK(quarantines == tables.size());
}

// Guards against copies of a request that end all servers of a pool within one run time and count as one crash.
TEST_CASE("entries together quarantine a request that many callers repeat at once")
{
    const std::size_t entries = GENERATE(1U, 5U, 340U);
    const std::uint64_t seed = GENERATE(range(1U, 6U));
    std::vector<CallerGroup> groups = soundGroups(10);
    groups.push_back(deadlyGroup(2));
    groups.back().copies = 4;
    runSmallPool(groups, entries, seed, seconds(40), milliseconds(50));
}

// Guards against requests that crash the same servers, of which only one is quarantined in each turn.
TEST_CASE("entries together quarantine several requests that crash the same servers")
{
    const std::size_t entries = GENERATE(1U, 5U, 340U);
    const std::uint64_t seed = GENERATE(range(1U, 6U));
    std::vector<CallerGroup> groups = soundGroups(10);
    for (const double perSecond : { 6.0, 4.0, 9.0 }) {
        groups.push_back(deadlyGroup(perSecond));
    }
    runSmallPool(groups, entries, seed, seconds(40));
}

// Guards against calls that have one attempt only, so that each entry sees a single crash.
TEST_CASE("entries together quarantine a call with one attempt that crashes servers")
{
    const std::size_t entries = GENERATE(5U, 340U);
    const std::uint64_t seed = GENERATE(range(1U, 4U));
    std::vector<CallerGroup> groups = soundGroups(10);
    groups.push_back(deadlyGroup(9));
    groups.back().attempts = 1;
    runSmallPool(groups, entries, seed, seconds(30));
}

// Guards against sound requests that are refused, and culprits that are missed, while all servers are killed besides.
TEST_CASE("entries tell a request that crashes servers from kills of all servers at once")
{
    const std::size_t entries = GENERATE(5U, 103U);
    const std::uint64_t seed = GENERATE(range(1U, 4U));
    std::vector<CallerGroup> groups = soundGroups(60);
    groups.push_back(deadlyGroup(2));
    SuspectFleet fleet({ .entries = entries, .servers = 12, .groups = groups, .seed = seed });
    for (int round = 0; round < 5; ++round) {
        fleet.run(seconds(6));
        fleet.killServers(12);
    }
    fleet.run(seconds(6));
    CAPTURE(entries, seed);
    checkFleet(fleet, groups.size(), entries);
}

// Guards against a request whose callers leave before it crashes the server, so that no entry has evidence.
TEST_CASE("entries together quarantine a request whose callers leave before it crashes servers")
{
    const std::size_t entries = GENERATE(1U, 5U, 340U);
    const std::uint64_t seed = GENERATE(range(1U, 6U));
    std::vector<CallerGroup> groups = soundGroups(10);
    groups.push_back(deadlyGroup(6));
    groups.back().patience = milliseconds(40);
    runSmallPool(groups, entries, seed, seconds(40));
}

// Guards against entries that miss a conclusion of another one, because each decides by the reports that it has.
TEST_CASE("a conclusion holds at an entry that has none of the reports")
{
    const SteadyTime start{ std::chrono::hours(100) };
    SuspectTable knowing;
    for (std::size_t crash = 0; crash < 3; ++crash) {
        const SteadyTime begin = start + seconds(crash);
        knowing.recordCrash(reportOf(crash, begin, begin + milliseconds(90)), begin + milliseconds(110));
    }
    const auto conclusions = knowing.takeConclusionsToShare();
    REQUIRE(conclusions.size() == 1);
    CHECK(conclusions[0].trait == deadlyTrait);
    CHECK(conclusions[0].crashes.size() == 3);
    CHECK(knowing.takeConclusionsToShare().empty());

    const SteadyTime now = start + milliseconds(2200);
    EntryReport message;
    message.sender = "10.0.0.1:80";
    message.evidence.conclusions = conclusions;
    const auto decoded = decodeEntryReport(encode(message, now), now + milliseconds(20));
    REQUIRE(decoded);
    REQUIRE(decoded->evidence.conclusions.size() == 1);
    SuspectTable other;
    CHECK(other.recordConclusion(decoded->evidence.conclusions[0], now));
    CHECK_FALSE(other.recordConclusion(decoded->evidence.conclusions[0], now));
    CHECK(other.findQuarantine({ deadlyTrait }, "request", now));
    CHECK(other.takeConclusionsToShare().empty());

    SECTION("the reports arrive later")
    {
        for (std::size_t crash = 0; crash < 3; ++crash) {
            const SteadyTime begin = start + seconds(crash);
            other.recordCrash(reportOf(crash, begin, begin + milliseconds(90)), now);
        }
        CHECK(other.crashCount({ deadlyTrait }) == 3);
        CHECK(other.findQuarantine({ deadlyTrait }, "request", now));
    }
    SECTION("a response ends it, and it does not return with a late message")
    {
        other.recordResponse({ deadlyTrait }, now + milliseconds(100));
        CHECK_FALSE(other.findQuarantine({ deadlyTrait }, "request", now + milliseconds(100)));
        CHECK_FALSE(other.recordConclusion(decoded->evidence.conclusions[0], now + milliseconds(200)));
        CHECK_FALSE(other.findQuarantine({ deadlyTrait }, "request", now + milliseconds(200)));
    }
}

// Guards against a trait that is quarantined before the reports arrive that exclude it.
TEST_CASE("a trait with crashes at the same time is held back before it is quarantined")
{
    const SteadyTime end = SteadyTime{ std::chrono::hours(100) } + milliseconds(90);
    SuspectTable table;
    for (std::size_t crash = 0; crash < 3; ++crash) {
        table.recordCrash(reportOf(crash, end - milliseconds(90), end), end);
    }
    const auto held = table.findQuarantine({ deadlyTrait }, "request", end);
    REQUIRE(held);
    CHECK(held->isProvisional);
    CHECK(held->timeLeft <= milliseconds(250));
    CHECK(table.quarantineCount() == 0);
    CHECK(table.settlingCount() == 1);
    CHECK(table.takeChanges().empty());

    SECTION("it is quarantined when nothing excludes it")
    {
        table.settle(end + milliseconds(300));
        CHECK(table.quarantineCount() == 1);
        CHECK(table.settlingCount() == 0);
        CHECK(table.takeChanges().size() == 1);
    }
    SECTION("a response elsewhere before the crashes excludes it")
    {
        table.recordCleared({ deadlyTrait, end - seconds(5) }, end + milliseconds(50));
        table.settle(end + milliseconds(300));
        CHECK_FALSE(table.findQuarantine({ deadlyTrait }, "request", end + milliseconds(300)));
        CHECK(table.settlingCount() == 0);
        CHECK(table.takeChanges().empty());
    }
}

// Guards against a sound request in quarantine that was running on servers which another request has crashed.
TEST_CASE("of two requests on the same crashed servers only the one that crashes more is quarantined")
{
    const SteadyTime start{ std::chrono::hours(100) };
    constexpr RequestTrait besideTrait = 8;
    SuspectTable table;
    for (std::size_t crash = 0; crash < 4; ++crash) {
        const SteadyTime end = start + milliseconds(30) * static_cast<int>(crash);
        CrashReport report = reportOf(crash, end - milliseconds(90), end);
        if (crash < 3) {
            report.runs.push_back({ .requestId = "beside", .duration = milliseconds(20), .traits = { besideTrait } });
        }
        table.recordCrash(report, end);
    }
    table.settle(start + seconds(1));
    CHECK(table.findQuarantine({ deadlyTrait }, "request", start + seconds(1)));
    CHECK_FALSE(table.findQuarantine({ besideTrait }, "request", start + seconds(1)));
    CHECK(table.quarantineCount() == 1);
}

// Guards against copies of a request that end two servers of a pool and count as two crashes only, so that the next
// copies end the pool again.
TEST_CASE("copies of a request that ended with two servers count each")
{
    const SteadyTime end = SteadyTime{ std::chrono::hours(100) };
    SuspectTable table;
    for (std::size_t crash = 0; crash < 2; ++crash) {
        CrashReport report = reportOf(crash, end - milliseconds(90), end);
        for (const char *copy : { "a", "b" }) {
            report.runs.push_back({ .requestId = copy, .duration = milliseconds(80), .traits = { deadlyTrait } });
        }
        table.recordCrash(report, end);
    }
    table.settle(end + seconds(1));
    REQUIRE(table.findQuarantine({ deadlyTrait }, "request", end + seconds(1)));
    const auto conclusions = table.takeConclusionsToShare();
    REQUIRE(conclusions.size() == 1);
    SuspectTable other;
    CHECK(other.recordConclusion(conclusions[0], end + seconds(1)));
    CHECK(other.findQuarantine({ deadlyTrait }, "request", end + seconds(1)));
}
