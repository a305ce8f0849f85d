#include <catch2/catch.hpp>

#include "zinniadock/process/admission/stopadmission.h"
#include "zinniadock/process/moving/runmover.h"
#include "zinniadock/process/placing/generationpace.h"

using namespace zinniadock;
using std::chrono::milliseconds;

namespace
{

const SteadyTime now = std::chrono::steady_clock::now();

} // namespace

TEST_CASE("work that a stopping process takes")
{
    StopAdmission stop;

    SECTION("any work before the process was asked to stop")
    {
        CHECK_FALSE(stop.isStopping());
        CHECK(stop.mayTake(now + std::chrono::hours(24)));
    }
    SECTION("work that ends before the process does")
    {
        stop.begin(now + milliseconds(5000));
        CHECK(stop.isStopping());
        CHECK(stop.mayTake(now + milliseconds(5000)));
        CHECK_FALSE(stop.mayTake(now + milliseconds(5001)));
    }
    SECTION("the same work is taken early and refused late, for example after a wait for free capacity")
    {
        constexpr milliseconds duration{ 2000 };
        stop.begin(now + milliseconds(5000));
        CHECK(stop.mayTake(now + milliseconds(2500) + duration));
        CHECK_FALSE(stop.mayTake(now + milliseconds(3500) + duration));
    }
}

TEST_CASE("the longest time of a generation")
{
    constexpr GenerationSpeed assumed{ .firstEvent = milliseconds(1000), .eventInterval = milliseconds(50) };
    constexpr std::uint32_t events = 40;
    GenerationPace pace;

    SECTION("is based on the assumed speed while nothing was recorded")
    {
        CHECK(pace.longestTime(events, assumed, now) == milliseconds(3000));
    }
    SECTION("is based on the assumed speed if all engines are faster")
    {
        pace.recordFirstEvent(milliseconds(100), now);
        pace.recordEventInterval(milliseconds(10), now);
        CHECK(pace.longestTime(events, assumed, now) == milliseconds(3000));
    }
    SECTION("follows the slowest engine, with a margin")
    {
        pace.recordFirstEvent(milliseconds(2000), now);
        pace.recordFirstEvent(milliseconds(200), now);
        pace.recordEventInterval(milliseconds(100), now);
        pace.recordEventInterval(milliseconds(20), now);
        CHECK(pace.longestTime(events, assumed, now) >= milliseconds(2000 + 40 * 100));
        CHECK(pace.longestTime(events, assumed, now) <= 2 * milliseconds(2000 + 40 * 100));
    }
    SECTION("counts requests that still wait for their first event")
    {
        pace.recordFirstEvent(milliseconds(6000), now);
        CHECK(pace.longestTime(0, assumed, now) >= milliseconds(6000));
    }
    SECTION("forgets what was recorded long ago")
    {
        pace.recordEventInterval(milliseconds(100), now);
        CHECK(pace.longestTime(events, assumed, now + milliseconds(3000)) > milliseconds(5000));
        CHECK(pace.longestTime(events, assumed, now + milliseconds(60000)) == milliseconds(3000));
        pace.recordEventInterval(milliseconds(60), now + milliseconds(60000));
        CHECK(pace.longestTime(events, assumed, now + milliseconds(60000)) < milliseconds(5000));
    }
    SECTION("keeps the maximum of the window before")
    {
        pace.recordEventInterval(milliseconds(100), now);
        pace.recordEventInterval(milliseconds(10), now + milliseconds(4100));
        CHECK(pace.longestTime(events, assumed, now + milliseconds(4100)) > milliseconds(5000));
    }
}

TEST_CASE("the longest time of a move grows with its copies and targets")
{
    MoveOrder order;
    order.targets.resize(1);
    order.estimatedCopyTime = milliseconds(200);
    const milliseconds one = longestMoveTime(order);
    CHECK(one >= 2 * order.estimatedCopyTime); // a copy to another data centre takes twice as long
    order.targets.resize(3);
    CHECK(longestMoveTime(order) > one);
}
