#include <catch2/catch.hpp>

#include "zinniadock/process/limits/serverlimit.h"

using namespace zinniadock;

TEST_CASE("limits on requests per second that servers state")
{
    const ServerIncarnation server{ "s1", 1000 };
    const SteadyTime now{ std::chrono::hours(1) };
    KnownLimits limits;

    SECTION("usable values")
    {
        CHECK(readLimit({}).perSecond == std::nullopt);
        CHECK(readLimit({}).problem.empty());
        CHECK(readLimit({ "3.25" }).perSecond == 3.25);
        CHECK(readLimit({ "400" }).perSecond == 400);
        CHECK(readLimit({ "400" }).problem.empty());
    }
    SECTION("values outside of the range are replaced by its bounds and reported")
    {
        for (const char *tooLow : { "0", "0.0", "0.001" }) {
            CHECK(readLimit({ tooLow }).perSecond == minRequestLimit);
            CHECK_FALSE(readLimit({ tooLow }).problem.empty());
        }
        for (const std::string &tooHigh : { std::string("1e300"), std::string(400, '9') }) {
            CHECK(readLimit({ tooHigh }).perSecond == maxRequestLimit);
            CHECK_FALSE(readLimit({ tooHigh }).problem.empty());
        }
    }
    SECTION("unusable values are reported and change nothing")
    {
        CHECK(limits.observe(server, readLimit({ "2" }), "r1", now) == LimitChange::Named);
        for (const char *invalid : { "", "-1", "-0.5", "soon", "nan", "inf", "1,5", "2 3", "0x10", "5/s" }) {
            const LimitReading reading = readLimit({ invalid });
            CHECK_FALSE(reading.perSecond);
            CHECK(reading.problem.find(std::string("\"") + invalid + "\"") != std::string::npos);
            for (std::uint32_t i = 0; i < responsesUntilEnd + 1; ++i) {
                CHECK(limits.observe(server, reading, "r2", now) == LimitChange::None);
            }
        }
        CHECK(limits.find(server) == 2);
    }
    SECTION("of several values the lowest usable one counts")
    {
        CHECK(readLimit({ "7", "x", "3" }).perSecond == 3);
        CHECK_FALSE(readLimit({ "7", "7" }).problem.empty());
    }
    SECTION("a problem is new once for each server")
    {
        CHECK(limits.isNewProblem(server, "found \"x\""));
        CHECK_FALSE(limits.isNewProblem(server, "found \"x\""));
        CHECK(limits.isNewProblem({ "s2", 1000 }, "found \"x\""));
        CHECK(limits.isNewProblem(server, "found \"y\""));
    }
    SECTION("a limit appears, changes, ends and returns")
    {
        CHECK(limits.observe(server, readLimit({ "2" }), "r1", now) == LimitChange::Named);
        CHECK(limits.observe(server, readLimit({ "2" }), "r2", now) == LimitChange::None);
        CHECK(limits.observe(server, readLimit({ "5" }), "r3", now) == LimitChange::Changed);
        CHECK(limits.observe(server, readLimit({}), "r4", now) == LimitChange::None);
        CHECK(limits.find(server) == 5);
        CHECK(limits.observe(server, readLimit({}), "r5", now) == LimitChange::Ended);
        CHECK_FALSE(limits.find(server));
        CHECK(limits.observe(server, readLimit({ "1" }), "r6", now) == LimitChange::Named);
        CHECK(limits.all().at(server).source == "r6");
    }
    SECTION("a restarted server, or another one, has no limit before it states one")
    {
        limits.observe(server, readLimit({ "2" }), "r1", now);
        CHECK_FALSE(limits.find({ "s1", 2000 }));
        CHECK_FALSE(limits.find({ "s2", 1000 }));
    }
    SECTION("older knowledge of another entry is ignored")
    {
        const auto earlier = now - std::chrono::seconds(1);
        limits.observe(server, readLimit({ "2" }), "r1", now);
        CHECK(limits.merge(server, 9, earlier, "peer") == LimitChange::None);
        CHECK(limits.find(server) == 2);
        CHECK(limits.merge(server, std::nullopt, now + std::chrono::seconds(1), "peer") == LimitChange::Ended);
        CHECK(limits.merge(server, 2, now, "peer") == LimitChange::None);
        CHECK_FALSE(limits.find(server));
    }
    SECTION("the metrics show the limit, its age and the requests sent and withheld")
    {
        limits.observe(server, readLimit({ "2" }), "r1", now);
        limits.recordSent(server, SendReason::Retry);
        limits.recordWithheld(server);
        std::string text;
        appendLimitMetrics(limits, now + std::chrono::seconds(3), text);
        CHECK(text.find("zinniadock_server_limit_per_second{server=\"s1\"} 2.000000\n") != std::string::npos);
        CHECK(text.find("zinniadock_server_limit_age_seconds{server=\"s1\"} 3.000000\n") != std::string::npos);
        CHECK(text.find("zinniadock_limited_requests_total{server=\"s1\",reason=\"retry\"} 1\n") != std::string::npos);
        CHECK(text.find("zinniadock_withheld_requests_total{server=\"s1\"} 1\n") != std::string::npos);
    }
}
