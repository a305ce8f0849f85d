#include <catch2/catch.hpp>

#include <map>

#include <rapidcheck.h>

#include "zinniadock/process/limits/accountlimiter.h"
#include "zinniadock/process/placing/routing.h"

using namespace zinniadock;

namespace
{

constexpr std::chrono::microseconds saving{ 2000 };

std::vector<ServerView> servers(int count)
{
    std::vector<ServerView> views;
    for (int i = 0; i < count; ++i) {
        views.push_back(ServerView{ .name = "server-" + std::to_string(i) });
    }
    return views;
}

} // namespace

TEST_CASE("routing")
{
    SECTION("sends requests with the same prefix to one server while the loads are equal")
    {
        const auto views = servers(10);
        const auto owner = chooseServer(views, 42, saving, 1);
        for (std::uint64_t random = 0; random < 100; ++random) {
            CHECK(chooseServer(views, 42, saving, random) == owner);
        }
    }

    SECTION("spreads prefixes evenly")
    {
        const auto views = servers(10);
        std::map<std::size_t, int> counts;
        for (std::uint64_t prefix = 1; prefix <= 10000; ++prefix) {
            ++counts[*chooseServer(views, stableHash(std::to_string(prefix)), saving, prefix)];
        }
        for (const auto &[index, count] : counts) {
            CHECK(count > 800);
            CHECK(count < 1200);
        }
    }

    SECTION("moves few prefixes when a server becomes unusable")
    {
        auto views = servers(10);
        int moved = 0;
        for (std::uint64_t prefix = 1; prefix <= 1000; ++prefix) {
            const auto before = chooseServer(views, stableHash(std::to_string(prefix)), saving, 0);
            views[3].isUsable = false;
            const auto after = chooseServer(views, stableHash(std::to_string(prefix)), saving, 0);
            views[3].isUsable = true;
            moved += before != after ? 1 : 0;
            CHECK((before == after || before == std::optional<std::size_t>(3)));
        }
        CHECK(moved > 60);
    }

    SECTION("prefers a free server to the loaded owner of a prefix")
    {
        auto views = servers(2);
        const std::size_t owner = *chooseServer(views, 42, saving, 0);
        views[owner].expectedWait = std::chrono::milliseconds(50);
        CHECK(chooseServer(views, 42, saving, 1 - owner) == 1 - owner);
    }

    SECTION("prefers servers in the same data centre until they are loaded or unusable")
    {
        auto views = servers(4);
        views[2].isSameDataCentre = false;
        views[3].isSameDataCentre = false;
        for (std::uint64_t random = 0; random < 50; ++random) {
            CHECK(*chooseServer(views, random, saving, random) < 2);
        }
        views[0].expectedWait = views[1].expectedWait = std::chrono::milliseconds(900);
        bool spilled = false;
        for (std::uint64_t random = 0; random < 50; ++random) {
            spilled = spilled || *chooseServer(views, random, saving, random) >= 2;
        }
        CHECK(spilled);
        views[0].isUsable = views[1].isUsable = false;
        CHECK(*chooseServer(views, 1, saving, 0) >= 2);
    }

    SECTION("sends few requests to a recovered server at first")
    {
        auto views = servers(2);
        views[0].trafficShare = 0.05;
        views[1].running = 10;
        for (std::uint64_t random = 0; random < 20; ++random) {
            const auto chosen = chooseServer(views, 0, saving, random);
            CHECK((chosen == std::optional<std::size_t>(1) || random % 2 == 0));
        }
        CHECK(estimatedTimeToFirstToken(views[0]) > estimatedTimeToFirstToken(views[1]));
    }

    SECTION("never chooses a server that is not usable")
    {
        CHECK(rc::check([](std::uint64_t prefix, std::uint64_t random) {
            auto views = servers(*rc::gen::inRange(0, 8));
            bool anyUsable = false;
            for (ServerView &view : views) {
                view.isUsable = *rc::gen::arbitrary<bool>();
                view.isSameDataCentre = *rc::gen::arbitrary<bool>();
                view.expectedWait = std::chrono::milliseconds(*rc::gen::inRange(0, 1000));
                anyUsable = anyUsable || view.isUsable;
            }
            const auto chosen = chooseServer(views, prefix, saving, random);
            RC_ASSERT(chosen.has_value() == anyUsable);
            RC_ASSERT(!chosen || views[*chosen].isUsable);
        }));
    }
}

TEST_CASE("account limits")
{
    AccountLimiter limiter;
    const Account account{ .requestsPerSecond = 10, .maxConcurrentRequests = 4 };
    const AccountLimiter::Time start{ std::chrono::hours(1) };

    SECTION("limit the request rate over time")
    {
        int admitted = 0;
        for (int i = 0; i < 10000; ++i) { // ten seconds
            if (!limiter.acquire("a", account, start + std::chrono::milliseconds(i))) {
                ++admitted;
                limiter.release("a");
            }
        }
        CHECK(admitted >= 100);
        CHECK(admitted <= 110);
    }

    SECTION("limit the number of concurrent requests")
    {
        int admitted = 0;
        for (int i = 0; i < 8; ++i) {
            admitted += !limiter.acquire("a", account, start);
        }
        CHECK(admitted == 4);
        limiter.release("a");
        CHECK_FALSE(limiter.acquire("a", account, start).has_value());
    }

    SECTION("are divided among the entries")
    {
        limiter.setEntryCount(2);
        int admitted = 0;
        for (int i = 0; i < 8; ++i) {
            admitted += !limiter.acquire("a", account, start);
        }
        CHECK(admitted == 2);
    }

    SECTION("return a retry time after which a request is admitted")
    {
        std::optional<Failure> failure;
        AccountLimiter::Time now = start;
        while (!(failure = limiter.acquire("a", account, now))) {
            limiter.release("a");
        }
        CHECK(failure->verdict == Verdict::NotRun);
        CHECK_FALSE(limiter.acquire("a", account, now + failure->retryAfter).has_value());
    }
}

TEST_CASE("retry budget")
{
    SECTION("keeps retries within a share of the requests")
    {
        RetryBudget budget;
        int retries = 0;
        for (int i = 0; i < 1000; ++i) {
            budget.recordRequest(0.1);
            for (int attempt = 0; attempt < 3; ++attempt) {
                retries += budget.takeRetry() ? 1 : 0;
            }
        }
        CHECK(retries >= 100);
        CHECK(retries <= 106);
    }
}
