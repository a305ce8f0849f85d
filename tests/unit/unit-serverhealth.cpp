#include <catch2/catch.hpp>

#include <atomic>

#include <rapidcheck.h>

#include "fleet.h"
#include "zinniadock/process/servers/serverhealth.h"

using namespace zinniadock;
using namespace zinniadock::test;

namespace
{

constexpr std::chrono::milliseconds quickGap{ 20 };
constexpr std::chrono::milliseconds slowGap{ 100 };

std::vector<std::string> names(int count)
{
    std::vector<std::string> servers;
    for (int i = 0; i < count; ++i) {
        servers.push_back("server-" + std::to_string(i));
    }
    return servers;
}

/// Returns the traffic share of a server: 0 if it is ejected, 1 if its traffic is not reduced.
double shareOf(ServerHealth &health, const std::string &server, ServerHealth::Time now)
{
    const auto shares = health.reducedTrafficShares(now);
    const auto position = shares.find(server);
    return position == shares.end() ? 1 : position->second;
}

} // namespace

TEST_CASE("server health")
{
    ServerHealth health;
    const auto servers = names(6);
    ServerHealth::Time now{ std::chrono::hours(1) };
    const auto pace = [&](const std::string &server, std::chrono::milliseconds gap) {
        health.recordTokenGaps(server, 100, 100 * gap, now);
    };

    SECTION("ejects a server that fails its requests, and gives the reason")
    {
        for (int i = 0; i < 5; ++i) {
            health.recordFailure(servers[2], now);
            health.recordSuccess(servers[3], now);
        }
        const auto ejections = health.ejectOutliers("p", servers, now);
        REQUIRE(ejections.size() == 1);
        CHECK(ejections[0].server == servers[2]);
        CHECK(ejections[0].reason == "100% of its requests failed");
        CHECK(shareOf(health, servers[2], now) == 0);
        CHECK(health.reducedTrafficShares(now) == std::map<std::string, double>{ { servers[2], 0.0 } });
        CHECK(health.reducedTrafficShares(now + std::chrono::seconds(11)).at(servers[2]) == 1);
        CHECK(health.reducedTrafficShares(now + std::chrono::seconds(11)).empty());
        CHECK(shareOf(health, servers[3], now) == 1);
    }

    SECTION("does not eject a server with few failures")
    {
        for (int i = 0; i < 4; ++i) {
            health.recordFailure(servers[0], now);
        }
        for (int i = 0; i < 20; ++i) {
            health.recordFailure(servers[1], now);
            health.recordSuccess(servers[1], now);
            health.recordSuccess(servers[1], now);
        }
        CHECK(health.ejectOutliers("p", servers, now).empty());
    }

    SECTION("ejects a server that has become slow without failing")
    {
        for (const std::string &server : servers) {
            pace(server, server == servers[4] ? slowGap : quickGap);
            health.recordSuccess(server, now);
        }
        const auto ejections = health.ejectOutliers("p", servers, now);
        REQUIRE(ejections.size() == 1);
        CHECK(ejections[0].server == servers[4]);
        CHECK(ejections[0].reason == "its mean gap between tokens is 100 ms, the median of its pool is 20 ms");
    }

    SECTION("ejects no server if all are slow, or if the mean gap of the slow one is acceptable")
    {
        for (const std::string &server : servers) {
            pace(server, slowGap);
        }
        CHECK(health.ejectOutliers("p", servers, now).empty());
        ServerHealth fast;
        for (const std::string &server : servers) {
            fast.recordTokenGaps(server, 100, std::chrono::milliseconds(server == servers[4] ? 4000 : 500), now);
        }
        CHECK(fast.ejectOutliers("p", servers, now).empty());
    }

    SECTION("raises the traffic share gradually after an ejection, and ejects for longer each time")
    {
        const auto ejectOnce = [&] {
            for (int i = 0; i < 10; ++i) {
                health.recordFailure(servers[0], now);
            }
            const auto ejections = health.ejectOutliers("p", servers, now);
            return ejections.empty() ? std::chrono::milliseconds(0) : ejections[0].duration;
        };
        const auto first = ejectOnce();
        CHECK(first == std::chrono::seconds(5));
        now += first;
        CHECK(shareOf(health, servers[0], now) == 0);
        now += std::chrono::milliseconds(2500);
        CHECK(shareOf(health, servers[0], now) == Approx(0.5));
        now += std::chrono::seconds(10);
        CHECK(shareOf(health, servers[0], now) == 1);
        CHECK(ejectOnce() == 2 * first);
    }

    SECTION("never ejects more than a third of a pool, nor the last server, whatever is reported")
    {
        CHECK(rc::check([](const std::vector<std::uint16_t> &reports) {
            ServerHealth table;
            const auto pool = names(*rc::gen::inRange(1, 8));
            ServerHealth::Time time{ std::chrono::hours(1) };
            for (const std::uint16_t report : reports) {
                const std::string &server = pool[report % pool.size()];
                time += std::chrono::milliseconds(report % 500);
                if (report % 3 == 0) {
                    table.recordSuccess(server, time);
                } else if (report % 3 == 1) {
                    for (int i = 0; i < 6; ++i) {
                        table.recordFailure(server, time);
                    }
                } else {
                    table.recordTokenGaps(server, 100, std::chrono::milliseconds(report), time);
                }
                table.ejectOutliers("p", pool, time);
                const auto out
                    = static_cast<std::size_t>(std::count_if(pool.begin(), pool.end(), [&](const auto &name) {
                          return shareOf(table, name, time) == 0;
                      }));
                RC_ASSERT(out <= std::max<std::size_t>(1, pool.size() / 3));
                RC_ASSERT(out < pool.size());
            }
        }));
    }
}

TEST_CASE("a grey failure")
{
    Fleet fleet(3, 1, std::chrono::microseconds(5000));

    SECTION("of one engine moves new work to the others")
    {
        fleet.engines[0]->setSlowdown(20);
        const auto runMany = [&](int requests) {
            std::atomic<int> whole{ 0 };
            std::vector<std::thread> callers;
            for (int i = 0; i < requests; ++i) {
                callers.emplace_back([&, i] {
                    const std::string prompt = "grey " + std::to_string(i) + " [tokens=60]";
                    const StreamResponse response = streamGeneration(fleet.entryPort(), prompt);
                    whole += hasExpectedTokens(response, prompt, 60) ? 1 : 0;
                });
            }
            for (std::thread &caller : callers) {
                caller.join();
            }
            CHECK(whole == requests);
        };
        runMany(12);
        const std::uint64_t before = fleet.engines[0]->started();
        CHECK(before > 0);
        runMany(12);
        CHECK(fleet.engines[0]->started() == before);
        const auto events = fleet.entries[0]->timeline().events({});
        const auto ejected = std::find_if(events.begin(), events.end(), [](const TimelineEvent &event) {
            return event.kind == EventKind::ServerEjected;
        });
        REQUIRE(ejected != events.end());
        CHECK(ejected->content.subject == "server-0");
    }
}
