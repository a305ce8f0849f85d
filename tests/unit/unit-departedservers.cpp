#include <catch2/catch.hpp>

#include "zinniadock/process/servers/departedservers.h"

using namespace zinniadock;

namespace
{

constexpr std::int64_t started = 1000;
const SteadyTime now{ std::chrono::hours(1) };

ServerRecord record(std::uint64_t sequence, std::int64_t startTimeMs = started)
{
    ServerRecord out;
    out.id = "s";
    out.startTimeMs = startTimeMs;
    out.sequence = sequence;
    return out;
}

} // namespace

TEST_CASE("departed servers")
{
    DepartedServers departed;
    const RecordOrigin sameEra{ .era = 1 };
    const RecordOrigin copied{ .era = 2 };
    const RecordOrigin writtenSince{ .era = 2, .isWrittenInEra = true };

    SECTION("a server that was never seen draining or gone is listed")
    {
        CHECK(departed.judge(record(1), copied) == ListedAs::Listed);
    }
    SECTION("a draining incarnation stays draining in each era")
    {
        departed.recordDraining(record(4), 1, now);
        for (const RecordOrigin &origin : { sameEra, copied, writtenSince }) {
            CHECK(departed.judge(record(3), origin) == ListedAs::Draining);
            CHECK(departed.judge(record(5), origin) == ListedAs::Draining);
        }
        CHECK(departed.judge(record(1, started + 1), copied) == ListedAs::Listed);
    }
    SECTION("an incarnation that is gone is listed again only by a record that it wrote later")
    {
        departed.recordGone(record(4), 1, now);
        CHECK(departed.judge(record(4), sameEra) == ListedAs::Listed);
        CHECK(departed.judge(record(3), copied) == ListedAs::Gone);
        CHECK(departed.judge(record(4), copied) == ListedAs::Gone);
        CHECK(departed.judge(record(5), copied) == ListedAs::Listed);
        CHECK(departed.judge(record(4), writtenSince) == ListedAs::Listed);
        CHECK(departed.judge(record(0, started + 1), copied) == ListedAs::Listed);
        CHECK(departed.judge(record(9, started - 1), copied) == ListedAs::Gone);
    }
    SECTION("a server that is listed again is no longer gone in a later era")
    {
        departed.recordGone(record(4), 1, now);
        departed.recordListed(record(4));
        CHECK(departed.judge(record(4), copied) == ListedAs::Listed);
    }
    SECTION("what another entry has seen is added, and what is known already says nothing new")
    {
        const Departure seen{
            .server = "s", .startTimeMs = started, .sequence = 4, .isDraining = true, .isGone = true, .era = 1
        };
        CHECK(departed.merge(seen, now));
        CHECK_FALSE(departed.merge(seen, now));
        CHECK(departed.judge(record(4), copied) == ListedAs::Gone);
        CHECK(departed.judge(record(5), copied) == ListedAs::Draining);
        const Departure earlier{ .server = "s", .startTimeMs = started - 1, .isGone = true };
        CHECK_FALSE(departed.merge(earlier, now));
        const Departure later{ .server = "s", .startTimeMs = started + 1, .isDraining = true };
        CHECK(departed.merge(later, now));
        CHECK(departed.judge(record(1, started + 1), copied) == ListedAs::Draining);
    }
    SECTION("departures are forgotten after a time, and the latest are returned first")
    {
        departed.recordGone(record(4), 1, now);
        ServerRecord other = record(1);
        other.id = "t";
        departed.recordDraining(other, 1, now + std::chrono::minutes(20));
        REQUIRE(departed.latest(1).size() == 1);
        CHECK(departed.latest(1)[0].server == "t");
        departed.prune(now + std::chrono::minutes(40));
        CHECK(departed.latest(10).size() == 1);
        CHECK(departed.judge(record(4), copied) == ListedAs::Listed);
    }
}
