#include <catch2/catch.hpp>

#include "zinniadock/process/admission/engineadmission.h"

using namespace zinniadock;

namespace
{

constexpr SteadyTime start{ std::chrono::hours(1) };
constexpr std::uint32_t memory = 22000;

EngineLoad report(std::uint32_t used, std::uint32_t running, std::vector<EngineGeneration> generations = {})
{
    EngineLoad load;
    load.running = running;
    load.usedTokens = used;
    load.totalTokens = memory;
    load.generations = std::move(generations);
    load.startTimeMs = 1000;
    return load;
}

AdmissionQuery newGeneration(const std::string &request)
{
    return { .request = request,
             .promptTokens = 3000,
             .expectedTokens = 3600,
             .maxTokens = 4800,
             .slots = 24,
             .usableFraction = 0.9,
             .maxWaitingTokens = 4500 };
}

AdmissionQuery movedGeneration(const std::string &request)
{
    AdmissionQuery query = newGeneration(request);
    query.heldTokens = 3300;
    query.usableFraction = 1;
    return query;
}

} // namespace

TEST_CASE("admission at an engine that many entries consider idle")
{
    EngineAdmission admission;

    SECTION("nothing is admitted before the first load report")
    {
        CHECK_FALSE(admission.admit(newGeneration("a"), start).admitted);
    }
    SECTION("the prompt of one entry counts for the next entry before a report shows it")
    {
        admission.update(report(0, 0), start);
        int admitted = 0;
        for (int entry = 0; entry < 20; ++entry) {
            admitted += admission.admit(newGeneration(std::to_string(entry)), start).admitted ? 1 : 0;
        }
        CHECK(admitted == 2);
        const AdmissionResponse refused = admission.admit(newGeneration("late"), start);
        CHECK(refused.waitingTokens == 6000);
        CHECK(refused.reason == "too many prompts are waiting");
    }
    SECTION("a prompt that the engine has processed no longer counts as waiting")
    {
        admission.update(report(0, 0), start);
        CHECK(admission.admit(newGeneration("a"), start).admitted);
        admission.update(report(3004, 1, { { "a", 3004, 1 } }), start + std::chrono::milliseconds(500));
        CHECK(admission.waitingTokens() == 0);
    }
    SECTION("memory is reserved for expected outputs, so that running generations are not preempted")
    {
        std::vector<EngineGeneration> generations;
        for (int i = 0; i < 6; ++i) {
            admission.update(report(3000 * i, i, generations), start);
            const std::string request = std::to_string(i);
            const bool fits = admission.admit(newGeneration(request), start).admitted;
            CHECK(fits == (i < 5));
            generations.push_back({ request, 3000, 1 });
        }
    }
    SECTION("an output that exceeds its estimate is expected to grow further")
    {
        CHECK(expectedGrowth(3000, 3000, 3600, 4800) == 600);
        CHECK(expectedGrowth(3000, 4000, 3600, 4800) == 500);
        CHECK(expectedGrowth(3000, 4700, 3600, 4800) == 100);
        CHECK(expectedGrowth(3000, 4800, 3600, 4800) == 0);
    }
    SECTION("generations that move in from several draining engines at the same time count against each other")
    {
        admission.update(
            report(15000, 4, { { "r1", 3750, 9 }, { "r2", 3750, 9 }, { "r3", 3750, 9 }, { "r4", 3750, 9 } }), start);
        CHECK(admission.admit(movedGeneration("a"), start).admitted);
        CHECK(admission.admit(movedGeneration("b"), start).reason == "not enough free memory");
        CHECK(admission.waitingTokens() == 0);
    }
    SECTION("admitted work that never arrives is removed")
    {
        admission.update(report(0, 0), start);
        CHECK(admission.admit(newGeneration("a"), start).admitted);
        admission.update(report(0, 0), start + std::chrono::milliseconds(300));
        CHECK(admission.committedTokens() == 0);
        CHECK(admission.admit(newGeneration("b"), start + std::chrono::milliseconds(300)).admitted);
        admission.cancel("b");
        CHECK(admission.waitingTokens() == 0);
    }
    SECTION("work that bypassed this admission counts as the load report shows it")
    {
        admission.update(report(2000, 2), start);
        CHECK(admission.waitingTokens() > 4500);
        CHECK_FALSE(admission.admit(newGeneration("a"), start).admitted);
    }
    SECTION("an engine that is draining, or has no free slot, admits nothing")
    {
        EngineLoad draining = report(0, 0);
        draining.isDraining = true;
        admission.update(draining, start);
        CHECK(admission.admit(newGeneration("a"), start).reason == "the engine is draining");
        std::vector<EngineGeneration> generations;
        for (int i = 0; i < 24; ++i) {
            generations.push_back({ std::to_string(i), 10, 1 });
        }
        admission.update(report(240, 24, generations), start);
        CHECK(admission.admit(newGeneration("a"), start).reason == "no free slot");
    }
    SECTION("a new incarnation of the engine has none of the work admitted before")
    {
        admission.update(report(0, 0), start);
        CHECK(admission.admit(newGeneration("a"), start).admitted);
        EngineLoad next = report(0, 0);
        next.startTimeMs = 2000;
        admission.update(next, start);
        CHECK(admission.committedTokens() == 0);
    }
}
