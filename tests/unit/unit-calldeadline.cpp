#include <catch2/catch.hpp>

#include "zinniadock/connection/calldeadline.h"

using namespace zinniadock;
using std::chrono::milliseconds;
using std::chrono::seconds;

// Guards against calls that are given up although their response has arrived, or is arriving.
TEST_CASE("a call beyond its limit is given up only without progress")
{
    const CallDeadline::Time start = CallDeadline::Time() + seconds(100);
    const milliseconds limit{ 250 };
    CallDeadline deadline(start, limit);
    CHECK(deadline.nextCheck() == start + limit);

    SECTION("a peer that sends nothing has the limit and no more")
    {
        CHECK(deadline.isOver(start + limit, { .isPending = false, .lastRead = start }));
    }
    SECTION("a response that was not read yet is waited for")
    {
        const auto late = start + limit + milliseconds(300);
        CHECK_FALSE(deadline.isOver(late, { .isPending = true, .lastRead = start }));
        CHECK(deadline.nextCheck() > late);
        CHECK(deadline.isOver(deadline.nextCheck(), { .isPending = false, .lastRead = start }));
    }
    SECTION("a request that was sent late is waited for")
    {
        const auto sentAt = start + limit - milliseconds(10);
        CHECK_FALSE(deadline.isOver(start + limit, { .isPending = false, .lastRead = sentAt }));
        CHECK(deadline.isOver(deadline.nextCheck(), { .isPending = false, .lastRead = sentAt }));
    }
    SECTION("a transfer goes on while bytes arrive")
    {
        for (int check = 0; check < 10; ++check) {
            const auto now = deadline.nextCheck();
            CHECK_FALSE(deadline.isOver(now, { .isPending = false, .lastRead = now - milliseconds(50) }));
            CHECK(deadline.nextCheck() > now);
        }
    }
    SECTION("a peer that sends without end is given up")
    {
        auto now = start;
        bool isOver = false;
        while (!isOver && now < start + seconds(20)) {
            now = deadline.nextCheck();
            isOver = deadline.isOver(now, { .isPending = true, .lastRead = now });
        }
        CHECK(isOver);
        CHECK(now - start < seconds(6));
    }
}
