#include <catch2/catch.hpp>

#include <rapidcheck.h>

#include "zinniadock/request/tokenorder.h"
#include "zinniadock/request/verdict.h"

using namespace zinniadock;

TEST_CASE("token order")
{
    SECTION("delivers each token of one generation once and in order")
    {
        CHECK(rc::check([](const std::vector<std::pair<bool, std::uint8_t>> &frames) {
            TokenOrder order;
            order.follow(2);
            SequenceNumber delivered = 0;
            for (const auto &[isFollowed, sequence] : frames) {
                const TokenAction action = order.accept(isFollowed ? 2 : 1, sequence % 8);
                if (action == TokenAction::Deliver) {
                    RC_ASSERT(isFollowed);
                    RC_ASSERT(sequence % 8 == delivered);
                    ++delivered;
                } else {
                    RC_ASSERT(!isFollowed || sequence % 8 != delivered);
                }
            }
            RC_ASSERT(order.next() == delivered);
        }));
    }

    SECTION("distinguishes a gap from a duplicate")
    {
        TokenOrder order;
        order.follow(1);
        CHECK(order.accept(1, 0) == TokenAction::Deliver);
        CHECK(order.accept(1, 0) == TokenAction::Drop);
        CHECK(order.accept(1, 2) == TokenAction::Gap);
        CHECK(order.accept(1, 1) == TokenAction::Deliver);
    }
}

TEST_CASE("verdict")
{
    SECTION("of two verdicts the stronger one is chosen")
    {
        CHECK(strongerVerdict(Verdict::NotRun, Verdict::MayHaveRun) == Verdict::MayHaveRun);
        CHECK(strongerVerdict(Verdict::Ran, Verdict::NotRun) == Verdict::Ran);
    }

    SECTION("an unknown name is parsed as MayHaveRun")
    {
        CHECK(parseVerdict("not_run") == Verdict::NotRun);
        CHECK(parseVerdict("no such verdict") == Verdict::MayHaveRun);
    }
}
