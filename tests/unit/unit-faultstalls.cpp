#include <catch2/catch.hpp>

#include "faultstalls.h"

using zinniadock::load::Figures;
using zinniadock::load::StallAttribution;
using Json = nlohmann::json;

namespace
{

Json fault(const std::string &kind, std::int64_t from, std::int64_t until)
{
    return { { "event", "fault" }, { "kind", kind }, { "target", "x" }, { "time", from }, { "until", until } };
}

Json stall(std::int64_t from, std::int64_t until)
{
    return { { "event", "answer" }, { "stalls", { { { "from", from }, { "until", until } } } } };
}

} // namespace

TEST_CASE("stall attribution")
{
    StallAttribution stalls;
    stalls.add(fault("kill", 1000000, 1300000));
    stalls.add(fault("freeze", 2000000, 4000000));

    SECTION("a stall is attributed to the latest fault that began before it")
    {
        stalls.add(stall(2010000, 4500000));
        CHECK(stalls.describeMaxStall() == "the longest stall lasted 2490 ms, after freeze of x");
        Figures figures;
        stalls.report(figures);
        CHECK(figures.value("stall_freeze_max_ms").value() == Approx(2490));
        CHECK(figures.value("recovery_freeze_max_ms").value() == Approx(500));
        CHECK(figures.value("stall_kill_max_ms").value() == Approx(0));
    }

    SECTION("a stall that began before any fault is attributed to the first fault during it")
    {
        stalls.add(stall(100000, 2500000));
        CHECK(stalls.describeMaxStall() == "the longest stall lasted 2400 ms, after kill of x");
    }

    SECTION("a stall long after the last fault has no cause")
    {
        stalls.add(stall(20000000, 21000000));
        CHECK(stalls.describeMaxStall() == "the longest stall lasted 1000 ms, with no fault before it");
    }
}
