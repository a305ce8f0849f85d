#include <catch2/catch.hpp>

#include "speedpool.h"

using namespace zinniadock;
using namespace zinniadock::test;
using std::chrono::milliseconds;

TEST_CASE("which engines keep a bound on gaps")
{
    ServerDirectory directory;

    SECTION("engines that are fast also in a slow period while a prompt is read beside six streams")
    {
        addEngines(directory, 10, loadOfSpeed(0.55));
        addEngines(directory, 28, loadOfSpeed(1.2));
        const PoolSpeed speed(directory, "engines");
        REQUIRE(speed.isUneven(streamBound));
        CHECK(speed.keepingEngines(streamBound) == 10);
        CHECK(speed.classify(loadOfSpeed(0.55), streamBound) == GapClass::Always);
        CHECK(speed.classify(loadOfSpeed(1.2), streamBound) == GapClass::WithoutPrompts);
        CHECK(speed.classify(loadOfSpeed(3), streamBound) == GapClass::Never);
    }
    SECTION("all but an engine that is half as fast")
    {
        addEngines(directory, 7, loadOfSpeed(0.8));
        addEngines(directory, 1, loadOfSpeed(1.6));
        const PoolSpeed speed(directory, "engines");
        REQUIRE(speed.isUneven(streamBound));
        CHECK(speed.keepingEngines(streamBound) == 7);
    }
    SECTION("an engine that had no slow period yet is expected to have those of its pool")
    {
        addEngines(directory, 10, loadOfSpeed(0.55));
        addEngines(directory, 28, loadOfSpeed(1.2));
        const PoolSpeed speed(directory, "engines");
        const auto gap = speed.longestGap(loadOfSpeed(1.2, 1), true);
        REQUIRE(gap);
        CHECK(*gap == milliseconds(180));
    }
    SECTION("an engine of unknown speed counts as the median of its pool")
    {
        addEngines(directory, 10, loadOfSpeed(0.55));
        addEngines(directory, 28, loadOfSpeed(1.2));
        const PoolSpeed speed(directory, "engines");
        CHECK(speed.classify(EngineLoad(), streamBound) == GapClass::WithoutPrompts);
        CHECK(speed.longestGap(EngineLoad(), false) == speed.longestGap(loadOfSpeed(1.2), false));
    }
    SECTION("an engine whose speed is known only beside prompts is compared by it")
    {
        addEngines(directory, 10, loadOfSpeed(0.55));
        addEngines(directory, 28, loadOfSpeed(1.2));
        const PoolSpeed speed(directory, "engines");
        EngineLoad load = loadOfSpeed(0.55);
        load.eventTimes.alone.reset();
        CHECK(*speed.longestGap(load, false) < milliseconds(50));
    }
    SECTION("makes no difference if all engines are equal, whether they keep it or not")
    {
        addEngines(directory, 19, loadOfSpeed(1));
        addEngines(directory, 19, loadOfSpeed(1.25));
        for (const milliseconds bound : { milliseconds(50), milliseconds(180), milliseconds(400) }) {
            CHECK_FALSE(PoolSpeed(directory, "engines").isUneven(bound));
        }
    }
    SECTION("makes no difference if a third of the pool is slow at once for a short time")
    {
        EngineLoad slow = loadOfSpeed(1);
        slow.eventTimes.besidePrompt->high *= 2;
        addEngines(directory, 26, loadOfSpeed(1));
        addEngines(directory, 12, slow);
        CHECK_FALSE(PoolSpeed(directory, "engines").isUneven(streamBound));
    }
    SECTION("makes no difference if all engines keep it, however different they are")
    {
        addEngines(directory, 10, loadOfSpeed(0.5));
        addEngines(directory, 28, loadOfSpeed(1.2));
        CHECK_FALSE(PoolSpeed(directory, "engines").isUneven(milliseconds(1000)));
    }
    SECTION("is unknown without reports")
    {
        addEngines(directory, 38, EngineLoad());
        CHECK_FALSE(PoolSpeed(directory, "engines").isUneven(streamBound));
        CHECK_FALSE(PoolSpeed(directory, "engines").longestGap(EngineLoad(), true));
        CHECK_FALSE(PoolSpeed(ServerDirectory(), "engines").isUneven(streamBound));
    }
}
