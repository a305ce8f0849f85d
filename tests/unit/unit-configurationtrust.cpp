// How far an entry relies on its copy of the configuration.

#include <catch2/catch.hpp>

#include "zinniadock/process/store/configurationtrust.h"

using namespace zinniadock;
using std::chrono::milliseconds;

namespace
{

constexpr milliseconds bound{ 2000 };
constexpr milliseconds overdueAge{ 2001 };
constexpr ConfigurationJudge::Time now{ std::chrono::hours(1) };

std::string peer(int index)
{
    return "peer-" + std::to_string(index);
}

} // namespace

TEST_CASE("a copy within the bound is current, whatever the other entries say")
{
    ConfigurationJudge judge;
    judge.recordResponse(peer(1), true, now);
    judge.recordNoResponse(peer(2), now);
    CHECK(judge.judge(milliseconds(0), bound, 2, now) == ConfigurationTrust::Current);
    CHECK(judge.judge(bound, bound, 2, now) == ConfigurationTrust::Current);
}

TEST_CASE("the copy of an entry without others is unconfirmed after the bound")
{
    const ConfigurationJudge judge;
    CHECK(judge.judge(overdueAge, bound, 0, now) == ConfigurationTrust::Unconfirmed);
    CHECK(judge.judge(std::nullopt, bound, 0, now) == ConfigurationTrust::Unconfirmed);
}

// Guards against an entry that was cut off alone and takes this for an outage of the store.
TEST_CASE("a copy is overdue after the bound if no other entry responds")
{
    ConfigurationJudge judge;
    CHECK(judge.judge(overdueAge, bound, 4, now) == ConfigurationTrust::Overdue);
    for (int i = 0; i < 4; ++i) {
        judge.recordNoResponse(peer(i), now);
    }
    CHECK(judge.judge(overdueAge, bound, 4, now) == ConfigurationTrust::Overdue);
    CHECK(judge.judge(std::nullopt, bound, 4, now) == ConfigurationTrust::Overdue);
}

TEST_CASE("a copy is unconfirmed if enough other entries have an overdue one")
{
    const std::size_t others = GENERATE(3, 4, 27, 339);
    CAPTURE(others);
    ConfigurationJudge judge;
    judge.recordResponse(peer(1), true, now);
    judge.recordResponse(peer(2), true, now);
    CHECK(judge.judge(overdueAge, bound, others, now) == ConfigurationTrust::Overdue);
    judge.recordResponse(peer(3), true, now);
    CHECK(judge.judge(overdueAge, bound, others, now) == ConfigurationTrust::Unconfirmed);
}

// Guards against a fleet of which few entries run, and whose requests are all refused while the store is down.
TEST_CASE("a copy is unconfirmed if all other entries were asked and those that respond have an overdue one")
{
    ConfigurationJudge judge;
    judge.recordNoResponse(peer(1), now);
    judge.recordNoResponse(peer(2), now);
    judge.recordResponse(peer(3), true, now);
    CHECK(judge.judge(overdueAge, bound, 4, now) == ConfigurationTrust::Overdue);
    judge.recordNoResponse(peer(4), now);
    CHECK(judge.judge(overdueAge, bound, 4, now) == ConfigurationTrust::Unconfirmed);
}

// Guards against evidence of an outage that has ended since, or that a later response has refuted.
TEST_CASE("old responses and entries with a current copy are no witnesses")
{
    ConfigurationJudge judge;
    for (int i = 1; i <= 3; ++i) {
        judge.recordResponse(peer(i), true, now);
    }
    CHECK(judge.judge(overdueAge, bound, 4, now + std::chrono::seconds(10)) == ConfigurationTrust::Overdue);
    judge.recordResponse(peer(2), false, now);
    CHECK(judge.judge(overdueAge, bound, 4, now) == ConfigurationTrust::Overdue);
}
