#include <catch2/catch.hpp>

#include "zinniadock/process/admission/preemptionwatch.h"

using namespace zinniadock;

namespace
{

EngineLoad loadOf(std::vector<EngineGeneration> generations, std::int64_t startTimeMs = 1)
{
    EngineLoad load;
    load.running = static_cast<std::uint32_t>(generations.size());
    load.usedTokens = 9000;
    load.generations = std::move(generations);
    load.startTimeMs = startTimeMs;
    return load;
}

} // namespace

TEST_CASE("preempted generations in an engine's reports")
{
    PreemptionWatch watch;
    CHECK(watch.update(loadOf({ { "a", 3000, 4 }, { "b", 3000, 1 } })).empty());

    SECTION("a generation that is missing and comes back was preempted, and is reported once")
    {
        CHECK(watch.update(loadOf({ { "b", 3004, 2 } })).empty());
        const auto preemptions = watch.update(loadOf({ { "a", 3000, 4 }, { "b", 3008, 3 } }));
        REQUIRE(preemptions.size() == 1);
        CHECK(preemptions[0].lastReported.request == "a");
        CHECK(preemptions[0].lastReported.emittedEvents == 4);
        CHECK(preemptions[0].usedTokens == 9000);
        CHECK(watch.update(loadOf({ { "a", 3004, 5 }, { "b", 3012, 4 } })).empty());
    }
    SECTION("a generation that ends or continues was not preempted")
    {
        CHECK(watch.update(loadOf({ { "b", 3004, 2 } })).empty());
        CHECK(watch.update(loadOf({ { "b", 3008, 3 } })).empty());
    }
    SECTION("a new incarnation of the engine does not inherit the generations of the previous one")
    {
        CHECK(watch.update(loadOf({}, 2)).empty());
        CHECK(watch.update(loadOf({ { "a", 3000, 1 } }, 2)).empty());
    }
}
