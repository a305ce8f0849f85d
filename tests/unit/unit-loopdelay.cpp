#include <catch2/catch.hpp>

#include "zinniadock/process/observing/loopdelay.h"

using namespace zinniadock;
using std::chrono::milliseconds;
using std::chrono::seconds;

TEST_CASE("the longest delay of the event loop is known for some seconds")
{
    LoopDelay delay;
    const LoopDelay::Time start = LoopDelay::Time() + seconds(100);
    CHECK(delay.longest(start) == milliseconds(0));
    delay.record(start, start + milliseconds(300));
    delay.record(start + seconds(1), start + seconds(1) + milliseconds(20));
    CHECK(delay.longest(start + seconds(1)) == milliseconds(300));

    SECTION("a later period replaces it")
    {
        delay.record(start + seconds(6), start + seconds(6) + milliseconds(50));
        CHECK(delay.longest(start + seconds(6)) == milliseconds(300));
        delay.record(start + seconds(12), start + seconds(12) + milliseconds(40));
        CHECK(delay.longest(start + seconds(12)) == milliseconds(50));
    }
    SECTION("nothing is known after a time without records")
    {
        CHECK(delay.longest(start + seconds(30)) == milliseconds(0));
        delay.record(start + seconds(30), start + seconds(30) + milliseconds(7));
        CHECK(delay.longest(start + seconds(30)) == milliseconds(7));
    }
}
