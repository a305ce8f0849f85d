#include <catch2/catch.hpp>

#include <memory>
#include <vector>

#include "zinniadock/connection/callerbudget.h"
#include "zinniadock/process/limits/memorychoice.h"

using namespace zinniadock;

namespace
{

constexpr std::size_t kibibyte = 1024;
constexpr std::size_t mebibyte = kibibyte * kibibyte;
constexpr BudgetLimits limits{ .totalBytes = 1000 * kibibyte, .reservedBytes = 200 * kibibyte };
constexpr std::chrono::milliseconds shortTime{ 10 };
constexpr std::chrono::seconds longTime{ 5 };

/// A connection that records for which cause its request was abandoned.
struct Client
{
    explicit Client(const std::shared_ptr<CallerBudget> &budget)
        : share(budget, [this](RefusalCause cause) {
            abandonedFor = cause;
        })
    {
    }

    std::optional<RefusalCause> abandonedFor;
    BudgetShare share;
};

} // namespace

// Guards against clients that together make the process hold more than its budget.
TEST_CASE("the budget for what clients send")
{
    const auto budget = std::make_shared<CallerBudget>(limits);
    const auto start = std::chrono::steady_clock::now();
    Client first(budget);
    Client second(budget);
    Client third(budget);

    SECTION("counts what is held, and gets all of it back when a connection ends")
    {
        {
            Client other(budget);
            CHECK(other.share.hold(100 * kibibyte, start));
            CHECK(other.share.hold(300 * kibibyte, start));
            CHECK(budget->heldBytes() == 300 * kibibyte);
            CHECK(other.share.hold(50 * kibibyte, start));
            CHECK(budget->heldBytes() == 50 * kibibyte);
        }
        CHECK(budget->heldBytes() == 0);
    }
    SECTION("refuses the newest large request if all make progress")
    {
        CHECK(first.share.hold(400 * kibibyte, start));
        CHECK(second.share.hold(300 * kibibyte, start));
        CHECK_FALSE(third.share.hold(200 * kibibyte, start + shortTime));
        CHECK_FALSE(first.abandonedFor);
        CHECK_FALSE(second.abandonedFor);
    }
    SECTION("abandons a newer request for an older one, which is closer to its end")
    {
        CHECK(first.share.hold(400 * kibibyte, start));
        CHECK(second.share.hold(300 * kibibyte, start));
        CHECK(first.share.hold(700 * kibibyte, start + shortTime));
        CHECK(second.abandonedFor == RefusalCause::Memory);
        CHECK(budget->heldBytes() == 700 * kibibyte);
    }
    SECTION("abandons the request that stands still for the longest time first")
    {
        CHECK(first.share.hold(300 * kibibyte, start));
        CHECK(second.share.hold(300 * kibibyte, start + shortTime));
        CHECK(third.share.hold(500 * kibibyte, start + longTime));
        CHECK(first.abandonedFor == RefusalCause::Memory);
        CHECK_FALSE(second.abandonedFor);
    }
    SECTION("never abandons a request that is complete")
    {
        CHECK(first.share.hold(700 * kibibyte, start));
        first.share.startService();
        CHECK_FALSE(second.share.hold(200 * kibibyte, start + longTime));
        CHECK_FALSE(first.abandonedFor);
    }
    SECTION("admits small requests while large ones use all of their part")
    {
        CHECK(first.share.hold(800 * kibibyte, start));
        first.share.startService();
        CHECK_FALSE(second.share.hold(100 * kibibyte, start));
        CHECK(third.share.hold(smallRequestBytes, start));
    }
    SECTION("abandons a request for a new connection, and no complete one")
    {
        CHECK(first.share.hold(kibibyte, start));
        first.share.startService();
        CHECK_FALSE(budget->abandonForConnection());
        CHECK(second.share.hold(kibibyte, start));
        CHECK(budget->abandonForConnection());
        CHECK(second.abandonedFor == RefusalCause::Connections);
    }
    SECTION("can be used again by a connection whose request was abandoned")
    {
        CHECK(first.share.hold(kibibyte, start));
        CHECK(budget->abandonForConnection());
        CHECK(first.share.hold(2 * kibibyte, start));
        CHECK(budget->heldBytes() == 2 * kibibyte);
    }
}

// Guards against a log that one line for each refused request fills.
TEST_CASE("refusals of clients are counted by cause and logged at intervals")
{
    std::vector<std::uint64_t> logged;
    CallerBudget budget({}, [&logged](RefusalCause /*cause*/, std::uint64_t count) {
        logged.push_back(count);
    });
    const auto start = std::chrono::steady_clock::now();
    for (int i = 0; i < 5; ++i) {
        budget.recordRefusal(RefusalCause::Memory, start);
    }
    budget.recordRefusal(RefusalCause::Memory, start + std::chrono::seconds(20));
    CHECK(budget.refusals(RefusalCause::Memory) == 6);
    CHECK(budget.refusals(RefusalCause::Stalled) == 0);
    CHECK(logged == std::vector<std::uint64_t>{ 1, 5 });
}

// Guards against bodies that occupy memory without end, and against the refusal of clients on a slow link.
TEST_CASE("the progress of a body")
{
    const auto start = std::chrono::steady_clock::now();
    BodyProgress progress(start);
    const auto passes = [&](std::size_t bytesPerSecond, int seconds) {
        for (int i = 1; i <= seconds; ++i) {
            const auto now = start + std::chrono::seconds(i);
            progress.record(bytesPerSecond, now);
            if (progress.isTooSlow(now)) {
                return false;
            }
        }
        return true;
    };
    SECTION("is enough if 100 clients share 10 Mbit/s")
    {
        CHECK(passes(12500, 340));
    }
    SECTION("is too little at a byte each second")
    {
        CHECK_FALSE(passes(1, 60));
    }
    SECTION("is too little without a byte for 15 s, not for 14 s")
    {
        CHECK_FALSE(progress.isTooSlow(start + std::chrono::seconds(14)));
        CHECK(progress.isTooSlow(start + std::chrono::seconds(15)));
        CHECK(progress.nextCheck() == start + std::chrono::seconds(15));
    }
}

TEST_CASE("the budget for what clients send follows the settings")
{
    Settings settings;
    CHECK(chooseCallerBudget(settings).totalBytes == 24 * mebibyte);
    settings.daemon.memoryMb = 88;
    CHECK(chooseCallerBudget(settings).totalBytes == 22 * mebibyte);
    settings.entry.callerMemoryMb = 30;
    CHECK(chooseCallerBudget(settings).totalBytes == 30 * mebibyte);
    settings.entry.callerMemoryMb = 1;
    const BudgetLimits least = chooseCallerBudget(settings);
    CHECK(least.totalBytes - least.reservedBytes >= 4 * mebibyte);
    CHECK(chooseConnectionLimits(settings, 4100).callers == 469);
    settings.daemon.interface = "forwarding";
    CHECK(chooseConnectionLimits(settings, 4100).callers == 1408);
    settings.daemon.memoryMb = 1024;
    CHECK(chooseConnectionLimits(settings, 4100).callers == 2050);
    settings.daemon.maxDescriptors = 1000;
    CHECK(chooseConnectionLimits(settings, 4100).callers == 500);
    settings.entry.maxConnections = 64;
    CHECK(chooseConnectionLimits(settings, 4100).callers == 64);
}
