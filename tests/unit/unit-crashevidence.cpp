#include <random>

#include <catch2/catch.hpp>

#include "suspectfleet.h"

using namespace zinniadock;
using namespace zinniadock::test;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace
{

/// Time in which all entries must know what they have seen together.
constexpr milliseconds knowledgeTime{ 3000 };

/// Crashes of one request after which it may reach servers only a few times more, and how often.
constexpr std::size_t allowedCrashes = 3;
constexpr std::size_t maxLateArrivals = 3;

constexpr double maxBytesPerSecond = 2048;

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
    SuspectFleet fleet({ .entries = entries,
                         .servers = smallPool,
                         .groups = groups,
                         .seed = seed,
                         .maxMessageDelay = milliseconds(50) });
    fleet.run(seconds(40));
    CAPTURE(entries, seed);
    checkFleet(fleet, groups.size(), entries);
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
    SuspectFleet fleet({ .entries = entries, .servers = smallPool, .groups = groups, .seed = seed });
    fleet.run(seconds(40));
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
    SuspectFleet fleet({ .entries = entries, .servers = smallPool, .groups = groups, .seed = seed });
    fleet.run(seconds(40));
    CAPTURE(entries, seed);
    checkFleet(fleet, groups.size(), entries);
}
