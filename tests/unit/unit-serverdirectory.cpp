#include <catch2/catch.hpp>

#include "zinniadock/process/limits/retrywindow.h"
#include "zinniadock/process/servers/serverdirectory.h"

using namespace zinniadock;

namespace
{

constexpr SteadyTime now{ std::chrono::hours(1) };

ServerRecord server(const std::string &id, std::int64_t startTimeMs, std::uint16_t port = 80)
{
    return { .id = id, .pool = "p", .address = { .address = "10.0.0.1", .port = port }, .startTimeMs = startTimeMs };
}

} // namespace

TEST_CASE("server directory")
{
    ServerDirectory directory;

    SECTION("of two records at one address only the later incarnation gets work, in either order of arrival")
    {
        directory.addOrUpdate(server("old", 1000), now);
        directory.addOrUpdate(server("new", 2000), now);
        CHECK(directory.find("old")->isDraining());
        CHECK_FALSE(directory.find("new")->isDraining());
        directory.addOrUpdate(server("older", 500), now);
        CHECK(directory.find("older")->isDraining());
        CHECK_FALSE(directory.find("new")->isDraining());
    }
    SECTION("a report of a later incarnation shows that a server is gone")
    {
        directory.addOrUpdate(server("a", 1000), now);
        EngineLoad load;
        load.startTimeMs = 2000;
        CHECK_FALSE(directory.updateLoad("a", load, now));
        CHECK(directory.find("a")->isDraining());
    }
    SECTION("a server that restarts under its id starts with a clean state")
    {
        directory.addOrUpdate(server("a", 1000), now);
        directory.recordConnectionFailure("a", now);
        directory.markReplaced("a");
        directory.addOrUpdate(server("a", 3000), now);
        CHECK_FALSE(directory.find("a")->isDraining());
        CHECK(directory.find("a")->backoffUntil <= now);
    }
    SECTION("a server that announces its drain in a response gets no more work, even if its record is written again")
    {
        directory.addOrUpdate(server("a", 1000), now);
        CHECK(directory.markDraining("a"));
        CHECK_FALSE(directory.markDraining("a"));
        directory.addOrUpdate(server("a", 1000), now);
        CHECK(directory.find("a")->isDraining());
        directory.addOrUpdate(server("a", 3000), now);
        CHECK_FALSE(directory.find("a")->isDraining());
    }
    SECTION("a server that requested a pause gets no request during it, and then one at a time until one succeeds")
    {
        directory.addOrUpdate(server("a", 1000), now);
        directory.pause("a", now + std::chrono::seconds(2));
        CHECK(directory.find("a")->isPaused(now + std::chrono::milliseconds(1999)));
        const SteadyTime after = now + std::chrono::seconds(2);
        CHECK_FALSE(directory.find("a")->isPaused(after));
        directory.assign("a", { .request = "r1" });
        CHECK(directory.find("a")->isPaused(after));
        directory.recordSuccess("a");
        CHECK_FALSE(directory.find("a")->isPaused(after));
    }
    SECTION("a shorter pause does not end a longer one")
    {
        directory.addOrUpdate(server("a", 1000), now);
        directory.pause("a", now + std::chrono::seconds(3));
        directory.pause("a", now + std::chrono::seconds(1));
        CHECK(directory.find("a")->isPaused(now + std::chrono::seconds(2)));
    }
    SECTION("writing its record again does not reinstate a server whose address another server has")
    {
        directory.addOrUpdate(server("a", 1000), now);
        directory.markReplaced("a");
        directory.addOrUpdate(server("a", 1000), now);
        CHECK(directory.find("a")->isDraining());
    }
    SECTION("a single failure starts no backoff, two in a row do, a success ends the backoff")
    {
        directory.addOrUpdate(server("a", 1000), now);
        directory.recordFailure("a", now);
        CHECK(directory.find("a")->backoffUntil <= now);
        directory.recordFailure("a", now);
        CHECK(directory.find("a")->backoffUntil > now);
        directory.recordSuccess("a");
        CHECK(directory.find("a")->backoffUntil <= now);
    }
    SECTION("repeated failures lengthen the backoff up to a bound")
    {
        directory.addOrUpdate(server("a", 1000), now);
        directory.recordConnectionFailure("a", now);
        const auto first = directory.find("a")->backoffUntil;
        for (int i = 0; i < 50; ++i) {
            directory.recordFailure("a", now);
        }
        CHECK(directory.find("a")->backoffUntil > first);
        CHECK(directory.find("a")->backoffUntil <= now + std::chrono::seconds(8));
    }
    SECTION("the start of a drain is reported once, and an unlisted server is removed when its work has ended")
    {
        directory.addOrUpdate(server("a", 1000), now);
        EngineLoad load;
        load.isDraining = true;
        CHECK(directory.updateLoad("a", load, now));
        CHECK_FALSE(directory.updateLoad("a", load, now));
        const auto work = directory.assign("a", { .request = "r" });
        directory.markUnlisted("a", now);
        const auto later = now + std::chrono::minutes(1);
        CHECK(directory.removeUnlisted(std::chrono::seconds(20), later).empty());
        directory.release("a", work);
        CHECK(directory.removeUnlisted(std::chrono::seconds(20), later) == std::vector<std::string>{ "a" });
        CHECK(directory.find("a") == nullptr);
    }
}

TEST_CASE("retry window")
{
    RetryWindow window({ .ratio = 0.2, .extraRetries = 50, .window = std::chrono::seconds(10) });

    SECTION("the retries of all entries together stay within the bound if every request fails")
    {
        constexpr std::uint32_t entries = 5;
        int retries = 0;
        for (int i = 0; i < 100; ++i) {
            window.recordRequest(now);
            retries += window.takeRetry(entries, now) ? 1 : 0;
        }
        CHECK(retries > 0);
        CHECK(retries * entries <= 0.2 * 100 * entries + 50);
    }
    SECTION("retries are allowed again after the window")
    {
        while (window.takeRetry(1, now)) { }
        CHECK_FALSE(window.takeRetry(1, now + std::chrono::seconds(9)));
        CHECK(window.takeRetry(1, now + std::chrono::seconds(11)));
    }
}
