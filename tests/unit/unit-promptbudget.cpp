#include <catch2/catch.hpp>

#include "zinniadock/process/admission/promptbudget.h"

using namespace zinniadock;
using namespace std::chrono_literals;

namespace
{

constexpr SteadyTime start{ std::chrono::hours(1) };

/// Engines read at this speed while they also produce outputs.
constexpr double tokensPerMillisecond = 7;

constexpr std::size_t lastRound = 5;

UnplacedPrompt draft(std::chrono::milliseconds age = 0ms)
{
    return { .priority = 2, .tokens = 3079, .targetLatency = 4000ms, .age = age };
}

UnplacedPrompt verdict(std::chrono::milliseconds age = 0ms)
{
    return { .priority = 0, .tokens = 2550, .targetLatency = 1500ms, .age = age };
}

/// Places generations on an engine that reads nothing meanwhile, until one is refused. Returns the unread tokens.
double fill(const PromptBudget &budget, const UnplacedPrompt &prompt, SteadyTime now)
{
    double waiting = 0;
    while (waiting <= budget.maxWaitingTokens(prompt, lastRound, now)) {
        waiting += prompt.tokens;
    }
    return waiting;
}

std::chrono::duration<double, std::milli> firstEvent(const UnplacedPrompt &prompt, double waiting)
{
    return prompt.age + std::chrono::duration<double, std::milli>((waiting + prompt.tokens) / tokensPerMillisecond);
}

} // namespace

// Guards against engines that are full of drafts' prompts when verdicts arrive.
TEST_CASE("a verdict passes a burst of drafts")
{
    PromptBudget budget;
    budget.recordArrival(verdict(), start);
    budget.recordArrival(draft(), start);
    const double waiting = fill(budget, draft(), start + 1s);
    CHECK(waiting > 0);
    CHECK(waiting <= budget.maxWaitingTokens(verdict(), lastRound, start + 1s));
    CHECK(firstEvent(verdict(), waiting) < 1500ms);

    SECTION("also if the drafts have waited for long")
    {
        CHECK(firstEvent(verdict(), budget.maxWaitingTokens(draft(2500ms), lastRound, start + 1s)) < 1500ms);
    }
}

// Guards against verdicts that are placed on an engine where they are late, and delay the next ones there.
TEST_CASE("a verdict of a burst is placed only where it is in time")
{
    PromptBudget budget;
    budget.recordArrival(draft(), start);
    budget.recordArrival(verdict(), start);
    for (std::chrono::milliseconds age = 0ms; age < budget.maxWait(verdict(), start); age += 50ms) {
        const double waiting = budget.maxWaitingTokens(verdict(age), lastRound, start);
        CHECK(firstEvent(verdict(age), waiting) < 1500ms);
    }
    CHECK(fill(budget, verdict(), start) > 2 * 2550);
}

// Guards against drafts that miss their own first event because they wait at the entry.
TEST_CASE("a draft that lets verdicts pass is in time")
{
    PromptBudget budget;
    budget.recordArrival(verdict(), start);
    budget.recordArrival(draft(), start);
    CHECK(budget.yields(draft(), start));
    CHECK_FALSE(budget.yields(draft(1700ms), start));
    CHECK(budget.maxWaitingTokens(draft(1700ms), lastRound, start)
          > budget.maxWaitingTokens(draft(), lastRound, start));
    const std::chrono::milliseconds maxWait = budget.maxWait(draft(), start);
    CHECK(maxWait >= 2000ms);
    for (std::chrono::milliseconds age = 0ms; age <= maxWait; age += 100ms) {
        const double waiting = budget.maxWaitingTokens(draft(age), lastRound, start);
        CHECK(firstEvent(draft(age), waiting) < 4000ms);
    }
}

// Guards against generations that wait in calm.
TEST_CASE("an engine without unread prompts admits generations of each priority")
{
    PromptBudget budget;
    budget.recordArrival({ .priority = 0, .tokens = 30000, .targetLatency = 500ms }, start);
    budget.recordArrival(draft(), start);
    CHECK(budget.maxWaitingTokens(draft(), 0, start) >= 0);
    CHECK(budget.maxWaitingTokens({ .priority = 0, .tokens = 30000, .targetLatency = 500ms }, 0, start) >= 0);
}

// Guards against a change for deployments whose generations are all of one kind.
TEST_CASE("without competing priorities the limits depend on the round and the wait only")
{
    PromptBudget budget;
    const UnplacedPrompt kind = GENERATE(draft(), verdict(), UnplacedPrompt{ .priority = 1, .tokens = 3000 });
    budget.recordArrival(kind, start);
    CHECK(budget.maxWaitingTokens(kind, 0, start) == 1500);
    CHECK(budget.maxWaitingTokens(kind, 1, start) == 4500);
    CHECK(budget.maxWaitingTokens(kind, 2, start) == 9000);
    CHECK(budget.maxWait(kind, start) == kind.targetLatency / 2);
    UnplacedPrompt late = kind;
    late.age = kind.targetLatency / 4 + 1ms;
    CHECK(budget.maxWaitingTokens(late, 0, start) == 16000);
}

// Guards against drafts that yield to verdicts that no longer arrive.
TEST_CASE("drafts yield only while verdicts have arrived recently")
{
    PromptBudget budget;
    budget.recordArrival(verdict(), start);
    budget.recordArrival(draft(), start + 4s);
    CHECK(budget.yields(draft(), start + 4s));
    budget.recordArrival(draft(), start + 6s);
    CHECK_FALSE(budget.yields(draft(), start + 6s));
    CHECK(budget.maxWaitingTokens(draft(), lastRound, start + 6s) == 9000);
}

// Guards against a generation of low priority that waits although its first event is due as soon as that of others.
TEST_CASE("a generation without time to spare does not yield")
{
    PromptBudget budget;
    budget.recordArrival(verdict(), start);
    const UnplacedPrompt urgent{ .priority = 2, .tokens = 3079, .targetLatency = 1500ms };
    budget.recordArrival(urgent, start);
    CHECK_FALSE(budget.yields(urgent, start));
    CHECK(budget.maxWaitingTokens(urgent, lastRound, start) > 1500);
}
