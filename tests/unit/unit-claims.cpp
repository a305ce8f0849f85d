#include <catch2/catch.hpp>

#include <algorithm>
#include <atomic>
#include <thread>

#include "fakestore.h"
#include "zinniadock/process/store/claims.h"

using namespace zinniadock;
using namespace zinniadock::test;

namespace
{

constexpr std::chrono::milliseconds retention = std::chrono::hours(72);

IdempotencyClaims<FakeStore> makeClaims(FakeStore &store)
{
    return IdempotencyClaims<FakeStore>(store, "test", retention);
}

} // namespace

TEST_CASE("claims")
{
    FakeStore store;
    IdempotencyClaims<FakeStore> first(store, "test", retention);
    IdempotencyClaims<FakeStore> second(store, "test", retention);

    SECTION("are acquired by one process only")
    {
        const ClaimDecision claim = first.acquire("a", "k", RequestId::random(), "body");
        CHECK(claim.result == ClaimResult::Acquired);
        CHECK(second.acquire("a", "k", RequestId::random(), "body").result == ClaimResult::InUse);
        CHECK(second.acquire("a", "k", RequestId::random(), "other").result == ClaimResult::Mismatch);
        CHECK(second.acquire("b", "k", RequestId::random(), "body").result == ClaimResult::Acquired);
    }

    SECTION("return the recorded outcome when the call is sent again")
    {
        const ClaimDecision claim = first.acquire("a", "k", RequestId::random(), "body");
        const std::string bytes("\0\xff answer", 9);
        CHECK(first.complete("a", "k", claim, { .status = 201, .contentType = "text/plain", .body = bytes }));
        const ClaimDecision resend = second.acquire("a", "k", RequestId::random(), "body");
        REQUIRE(resend.result == ClaimResult::Completed);
        CHECK(resend.record.outcome->status == 201);
        CHECK(resend.record.outcome->body == bytes);
    }

    SECTION("can be acquired again after they are released because the call did not run")
    {
        const ClaimDecision claim = first.acquire("a", "k", RequestId::random(), "body");
        first.release("a", "k", claim);
        CHECK(second.acquire("a", "k", RequestId::random(), "body").result == ClaimResult::Acquired);
    }

    SECTION("cannot be acquired while the store is unavailable")
    {
        store.unavailableRate = 1;
        CHECK(first.acquire("a", "k", RequestId::random(), "body").result == ClaimResult::Unavailable);
    }

    SECTION("are released later if the response of the store was lost")
    {
        CHECK(first.acquire("a", "warm", RequestId::random(), "body").result == ClaimResult::Acquired);
        store.lostAfterWriteRate = 1;
        store.onWrite = [&store](const std::string &, const std::string &) {
            store.unavailableRate = 1;
        };
        CHECK(first.acquire("a", "k", RequestId::random(), "body").result == ClaimResult::Unavailable);
        CHECK(first.pendingReleaseCount() == 1);
        store.onWrite = nullptr;
        store.unavailableRate = 0;
        store.lostAfterWriteRate = 0;
        first.retryPendingReleases();
        CHECK(first.pendingReleaseCount() == 0);
        CHECK(second.acquire("a", "k", RequestId::random(), "body").result == ClaimResult::Acquired);
    }
}

TEST_CASE("claims under faults")
{
    SECTION("are acquired at most once each by concurrent processes on a store that loses responses")
    {
        for (std::uint64_t seed = 1; seed <= 5; ++seed) {
            FakeStore store(seed);
            store.unavailableRate = 0.05;
            store.lostAfterWriteRate = 0.2;
            store.lostBeforeWriteRate = 0.2;
            constexpr int keys = 20;
            std::array<std::atomic<int>, keys> acquired{};
            std::vector<std::thread> threads;
            threads.reserve(6);
            for (int process = 0; process < 6; ++process) {
                threads.emplace_back([&] {
                    IdempotencyClaims<FakeStore> claims = makeClaims(store);
                    for (int key = 0; key < keys; ++key) {
                        const ClaimDecision decision
                            = claims.acquire("a", std::to_string(key), RequestId::random(), "body");
                        acquired[static_cast<std::size_t>(key)] += decision.result == ClaimResult::Acquired ? 1 : 0;
                    }
                });
            }
            for (std::thread &thread : threads) {
                thread.join();
            }
            CHECK(std::all_of(acquired.begin(), acquired.end(), [](const auto &count) {
                return count <= 1;
            }));
            CHECK(std::any_of(acquired.begin(), acquired.end(), [](const auto &count) {
                return count == 1;
            }));
        }
    }
}
