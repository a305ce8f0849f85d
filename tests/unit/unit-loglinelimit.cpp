// Limits of the log under load.

#include <catch2/catch.hpp>

#include "zinniadock/process/observing/loglinelimit.h"

using namespace zinniadock;

// Guards against a burst of requests whose log lines displace those about the configuration and the store.
TEST_CASE("lines about requests leave room in the log for all others")
{
    LogLineLimit limit;
    std::uint32_t requestLines = 0;
    for (std::uint32_t i = 0; i < 2 * LogLineLimit::maxLinesPerSecond; ++i) {
        requestLines += limit.tryAcquire(1, LogSubject::Request) ? 1 : 0;
    }
    CHECK(requestLines == LogLineLimit::maxRequestLinesPerSecond);
    std::uint32_t otherLines = 0;
    for (std::uint32_t i = 0; i < 2 * LogLineLimit::maxLinesPerSecond; ++i) {
        otherLines += limit.tryAcquire(1, LogSubject::Process) ? 1 : 0;
    }
    CHECK(otherLines == LogLineLimit::maxLinesPerSecond - LogLineLimit::maxRequestLinesPerSecond);

    SECTION("the next second has all lines again")
    {
        CHECK(limit.tryAcquire(2, LogSubject::Request));
    }
}
