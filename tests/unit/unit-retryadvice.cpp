#include <catch2/catch.hpp>

#include "zinniadock/process/admission/retryadvice.h"

using namespace zinniadock;
using namespace std::chrono_literals;

namespace
{

constexpr SteadyTime start{ std::chrono::hours(1) };

/// Generations that end at even intervals.
ExpectedEnds evenEnds(std::size_t count, std::chrono::milliseconds interval)
{
    ExpectedEnds ends;
    for (std::size_t i = count; i > 0; --i) {
        ends.push_back(interval * static_cast<int>(i));
    }
    return ends;
}

} // namespace

// Guards against clients that come back in a burst of drafts and are refused again, since all come back at once.
TEST_CASE("refused clients come back as running generations end")
{
    RetryAdvice advice;
    std::chrono::milliseconds last = 0ms;
    for (int i = 0; i < 8; ++i) {
        const auto delay = advice.retryAfter(evenEnds(10, 300ms), 1, 2, start, 0);
        CHECK(delay == std::max(400ms, 300ms * (i + 2)));
        CHECK(delay > last);
        last = delay;
    }

    SECTION("a later one comes back sooner once the first ones were due")
    {
        CHECK(advice.retryAfter(evenEnds(10, 300ms), 1, 2, start + 3s, 0) == 600ms);
    }
    SECTION("one of a higher priority does not wait for them")
    {
        CHECK(advice.retryAfter(evenEnds(10, 300ms), 1, 0, start, 0) == 600ms);
    }
}

// Guards against clients that give up since they are told to come back too late, or that come back too soon.
TEST_CASE("the retry time has bounds and a random part")
{
    RetryAdvice advice;
    CHECK(advice.retryAfter({ 1ms }, 0, 0, start, 0) == 400ms);
    CHECK(advice.retryAfter({ 20000ms }, 5, 0, start, 0) == 3000ms);
    CHECK(advice.retryAfter({ 1000ms, 1000ms, 1000ms }, 0, 0, start, 0.5) > 1050ms);
    CHECK(advice.retryAfter({ 100ms }, 1000000000, 9, start, 0.999) < 4000ms);
}

// Guards against a change for an entry without running generations.
TEST_CASE("without running generations the retry time is random")
{
    RetryAdvice advice;
    CHECK(advice.retryAfter({}, 7, 0, start, 0) == 400ms);
    CHECK(advice.retryAfter({}, 7, 0, start, 0.5) == 800ms);
}

// Guards against generations that wait for their maximum time although none ahead of them can be placed.
TEST_CASE("a generation waits only if enough others end in time")
{
    CHECK(mayWaitingHelp(evenEnds(10, 300ms), 5, 1000ms));
    CHECK_FALSE(mayWaitingHelp(evenEnds(10, 300ms), 7, 1000ms));
    CHECK(mayWaitingHelp(evenEnds(10, 300ms), 7, 1500ms));
    CHECK_FALSE(mayWaitingHelp(evenEnds(10, 3000ms), 1, 1000ms));
    // An entry that has just started knows too little.
    CHECK(mayWaitingHelp({}, 100, 1000ms));
    CHECK(mayWaitingHelp(evenEnds(3, 3000ms), 100, 1000ms));
    // In calm nothing waits ahead.
    CHECK(mayWaitingHelp(evenEnds(50, 3000ms), 0, 1000ms));
}
