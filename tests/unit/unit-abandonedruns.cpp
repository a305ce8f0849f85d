#include <catch2/catch.hpp>

#include "zinniadock/process/crashes/abandonedruns.h"

using namespace zinniadock;
using std::chrono::milliseconds;

namespace
{

const SteadyTime start{ std::chrono::hours(100) };

AbandonedRun abandonedRun(const std::string &server, const std::string &request, milliseconds sentAt,
                          milliseconds abandonedAt)
{
    AbandonedRun each;
    each.server.id = server;
    each.run.requestId = request;
    each.sentAt = start + sentAt;
    each.abandonedAt = start + abandonedAt;
    return each;
}

} // namespace

// Guards against runs that leave no evidence because the entry has closed their connections before the server ended.
TEST_CASE("an abandoned run may have been running when its server ends soon")
{
    AbandonedRuns runs;
    runs.record(abandonedRun("a", "left", milliseconds(0), milliseconds(40)));
    runs.record(abandonedRun("b", "elsewhere", milliseconds(0), milliseconds(50)));
    REQUIRE(runs.findServer("a"));
    CHECK_FALSE(runs.findServer("c"));

    SECTION("it is taken once, with the time until the end of the server")
    {
        const auto taken = runs.take("a", start + milliseconds(90));
        REQUIRE(taken.size() == 1);
        CHECK(taken[0].requestId == "left");
        CHECK(taken[0].duration == milliseconds(90));
        CHECK(runs.take("a", start + milliseconds(90)).empty());
        CHECK(runs.findServer("b"));
    }
    SECTION("a response soon after does not show that the server survives the run")
    {
        runs.recordAlive("a", start + milliseconds(100));
        CHECK(runs.take("a", start + milliseconds(120)).size() == 1);
    }
    SECTION("a later response does")
    {
        runs.recordAlive("a", start + milliseconds(600));
        CHECK(runs.take("a", start + milliseconds(700)).empty());
        CHECK(runs.findServer("b"));
    }
    SECTION("its duration does not include the time until the end of the server is found out")
    {
        const auto taken = runs.take("a", start + milliseconds(3000));
        REQUIRE(taken.size() == 1);
        CHECK(taken[0].duration <= milliseconds(600));
    }
    SECTION("it is forgotten in the end")
    {
        CHECK(runs.take("a", start + milliseconds(5100)).empty());
    }
}

TEST_CASE("the memory of abandoned runs is bounded")
{
    AbandonedRuns runs;
    for (int i = 0; i < 3000; ++i) {
        runs.record(abandonedRun("a", std::to_string(i), milliseconds(0), milliseconds(i / 10)));
    }
    const auto taken = runs.take("a", start + milliseconds(400));
    CHECK(taken.size() == 1024);
    CHECK(taken.back().requestId == "2999");
}

// Guards against evidence that is lost because nothing else tells the entry that the server has ended.
TEST_CASE("a server on which a run was abandoned is checked unless it responds")
{
    AbandonedRuns runs;
    runs.record(abandonedRun("a", "first", milliseconds(0), milliseconds(40)));
    runs.record(abandonedRun("b", "second", milliseconds(0), milliseconds(50)));
    AbandonedRun sound = abandonedRun("c", "sound", milliseconds(0), milliseconds(60));
    sound.needsCheck = false;
    runs.record(sound);
    CHECK(runs.needsChecks());
    CHECK(runs.takeDueChecks(start + milliseconds(500)).empty());

    SECTION("it is named once")
    {
        runs.recordAlive("b", start + milliseconds(600));
        const auto due = runs.takeDueChecks(start + milliseconds(1000));
        REQUIRE(due.size() == 1);
        CHECK(due[0].id == "a");
        CHECK(runs.takeDueChecks(start + milliseconds(1100)).empty());
        CHECK_FALSE(runs.needsChecks());
        CHECK(runs.findServer("a"));
    }
    SECTION("sooner while the process ends")
    {
        runs.hasten();
        CHECK(runs.takeDueChecks(start + milliseconds(100)).empty());
        CHECK(runs.takeDueChecks(start + milliseconds(250)).size() == 2);
    }
}
