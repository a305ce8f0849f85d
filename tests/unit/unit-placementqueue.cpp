#include <catch2/catch.hpp>

#include <vector>

#include "zinniadock/process/admission/placementqueue.h"

using namespace zinniadock;
using namespace std::chrono_literals;

namespace
{

constexpr SteadyTime start{ std::chrono::hours(1) };
constexpr std::size_t concurrentTries = 8;

WaitingGeneration draft(const std::string &account, std::chrono::milliseconds due = 4000ms)
{
    return { .priority = 2, .account = account, .due = start + due, .neededTokens = 3500 };
}

WaitingGeneration verdict(std::chrono::milliseconds due = 1500ms)
{
    return { .priority = 0, .account = "verdicts", .due = start + due, .neededTokens = 2560 };
}

std::vector<PlacementQueue::Ticket> enterMany(PlacementQueue &queue, const WaitingGeneration &generation,
                                              std::size_t count)
{
    std::vector<PlacementQueue::Ticket> tickets;
    for (std::size_t i = 0; i < count; ++i) {
        tickets.push_back(queue.enter(generation));
    }
    return tickets;
}

void place(PlacementQueue &queue, const WaitingGeneration &generation, std::size_t count)
{
    for (const PlacementQueue::Ticket ticket : enterMany(queue, generation, count)) {
        queue.recordPlaced(ticket, start);
        queue.leave(ticket);
    }
}

} // namespace

// Guards against drafts that get the capacity that becomes free while verdicts wait for it.
TEST_CASE("verdicts query engines before a burst of drafts that arrived earlier")
{
    PlacementQueue queue;
    const auto drafts = enterMany(queue, draft("drafts"), 20);
    const auto verdicts = enterMany(queue, verdict(), concurrentTries);
    for (const PlacementQueue::Ticket ticket : verdicts) {
        CHECK(queue.mayTry(ticket, start));
    }
    for (const PlacementQueue::Ticket ticket : drafts) {
        CHECK_FALSE(queue.mayTry(ticket, start));
    }

    SECTION("and the drafts query engines while the verdicts wait for the next try")
    {
        for (const PlacementQueue::Ticket ticket : verdicts) {
            queue.beginTry(ticket, start);
            CHECK_FALSE(queue.mayTry(drafts.front(), start));
        }
        for (const PlacementQueue::Ticket ticket : verdicts) {
            queue.endTry(ticket, start + 10ms);
        }
        CHECK(queue.mayTry(drafts.front(), start + 10ms));
        CHECK(queue.waitingByPriority().at(0) == concurrentTries);
        CHECK_FALSE(queue.mayTry(drafts.front(), start + 60ms));
        CHECK(queue.moreUrgentTokens(2) == verdict().neededTokens);
        CHECK(queue.moreUrgentTokens(0) == 0);
        CHECK(queue.waitingAhead(drafts.front()) == concurrentTries);
        CHECK(queue.waitingAhead(verdicts.front()) == 0);
    }
}

// Guards against generations of one kind that are placed by chance instead of by their due time.
TEST_CASE("of one priority the generation whose first event is due earlier comes first")
{
    PlacementQueue queue;
    const PlacementQueue::Ticket last = queue.enter(draft("drafts", 4000ms));
    const auto earlier = enterMany(queue, draft("drafts", 3000ms), concurrentTries);
    CHECK_FALSE(queue.mayTry(last, start));
    queue.leave(earlier.front());
    CHECK(queue.mayTry(last, start));
}

// Guards against one account that takes the capacity of all others of its priority.
TEST_CASE("an account at ten times its usual rate comes after the other accounts")
{
    PlacementQueue queue;
    place(queue, draft("greedy"), 10);
    place(queue, draft("other"), 1);
    const PlacementQueue::Ticket greedy = queue.enter(draft("greedy", 3000ms));
    const auto others = enterMany(queue, draft("other", 4000ms), concurrentTries);
    CHECK_FALSE(queue.mayTry(greedy, start));
    CHECK(queue.mayTry(others.front(), start));

    SECTION("but before a lower priority")
    {
        WaitingGeneration lower = draft("lower");
        lower.priority = 3;
        const PlacementQueue::Ticket ticket = queue.enter(lower);
        for (const PlacementQueue::Ticket other : others) {
            queue.leave(other);
        }
        CHECK(queue.mayTry(greedy, start));
        enterMany(queue, draft("greedy", 5000ms), concurrentTries - 1);
        CHECK_FALSE(queue.mayTry(ticket, start));
    }
    SECTION("until its earlier generations no longer count")
    {
        place(queue, draft("other"), 1);
        CHECK_FALSE(queue.mayTry(greedy, start + 1s));
        CHECK(queue.mayTry(greedy, start + 60s));
    }
}

// Guards against an account that waits behind others although it has paid for a larger share.
TEST_CASE("an account with a larger weight gets a larger share")
{
    PlacementQueue queue;
    WaitingGeneration large = draft("large", 3000ms);
    large.weight = 10;
    place(queue, large, 10);
    place(queue, draft("small"), 1);
    const PlacementQueue::Ticket ticket = queue.enter(large);
    enterMany(queue, draft("small", 4000ms), concurrentTries);
    CHECK(queue.mayTry(ticket, start));
}

// Guards against a delay in calm, and against a change for deployments with one account and one kind.
TEST_CASE("a few generations of one kind do not wait for each other")
{
    PlacementQueue queue;
    place(queue, draft("drafts"), 100);
    for (const PlacementQueue::Ticket ticket : enterMany(queue, draft("drafts"), concurrentTries)) {
        CHECK(queue.mayTry(ticket, start));
        queue.beginTry(ticket, start);
    }
    CHECK(queue.waitingByPriority().at(2) == 0);
}

// Guards against sidecars that do not respond and hold back all generations.
TEST_CASE("a try that takes long does not hold back others")
{
    PlacementQueue queue;
    for (const PlacementQueue::Ticket ticket : enterMany(queue, verdict(), concurrentTries)) {
        queue.beginTry(ticket, start);
    }
    const PlacementQueue::Ticket next = queue.enter(draft("drafts"));
    CHECK_FALSE(queue.mayTry(next, start + 50ms));
    CHECK(queue.mayTry(next, start + 150ms));
}
