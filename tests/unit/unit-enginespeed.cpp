#include <catch2/catch.hpp>

#include "zinniadock/process/links/sidecarmessages.h"
#include "zinniadock/process/servers/enginespeed.h"

using namespace zinniadock;
using std::chrono::microseconds;
using std::chrono::milliseconds;

namespace
{

/// An engine whose load report is read every 50 ms. Its streams emit an event per event time, at different phases.
class ReportedEngine
{
public:
    explicit ReportedEngine(int streams)
        : m_streams(streams)
    {
    }

    /// \param prompts  generations that the reports count but do not list
    void run(milliseconds time, milliseconds eventTime, std::uint32_t prompts = 0)
    {
        for (milliseconds passed{ 0 }; passed < time; passed += interval) {
            m_now += interval;
            m_progress += static_cast<double>(interval.count()) / static_cast<double>(eventTime.count());
            EngineLoad load;
            load.startTimeMs = startTimeMs;
            load.running = static_cast<std::uint32_t>(m_streams) + prompts;
            for (int i = 0; i < m_streams; ++i) {
                const double phase = static_cast<double>(i) / m_streams;
                load.generations.push_back(
                    { "r" + std::to_string(i), 3000, offset + static_cast<std::uint32_t>(m_progress + phase) });
            }
            speed.update(load, m_now);
        }
    }

    std::int64_t startTimeMs = 1000;
    std::uint32_t offset = 0; ///< added to each count of events
    EngineSpeed speed;

private:
    static constexpr milliseconds interval{ 50 };

    int m_streams;
    double m_progress = 0;
    SteadyTime m_now{ std::chrono::hours(1) };
};

void checkNear(microseconds found, milliseconds expected)
{
    CHECK(std::chrono::abs(found - expected) < expected / 5.0);
}

} // namespace

TEST_CASE("the speed of an engine from its load reports")
{
    ReportedEngine engine(6);

    SECTION("is unknown before enough events were seen")
    {
        engine.run(milliseconds(300), milliseconds(40));
        CHECK_FALSE(engine.speed.eventTimes().alone);
    }
    SECTION("is measured apart while a prompt of 3,000 tokens is read beside six streams")
    {
        for (int i = 0; i < 10; ++i) {
            engine.run(milliseconds(2000), milliseconds(40));
            engine.run(milliseconds(500), milliseconds(72), 1);
        }
        const EventTimes times = engine.speed.eventTimes();
        REQUIRE(times.alone);
        REQUIRE(times.besidePrompt);
        checkNear(times.alone->typical, milliseconds(40));
        checkNear(times.besidePrompt->typical, milliseconds(72));
    }
    SECTION("of one stream alone is measured as well")
    {
        ReportedEngine single(1);
        single.run(milliseconds(10000), milliseconds(80));
        REQUIRE(single.speed.eventTimes().alone);
        checkNear(single.speed.eventTimes().alone->typical, milliseconds(80));
    }
    SECTION("has a high quantile that shows an engine 2.5 times slower for 600 ms every four seconds")
    {
        for (int i = 0; i < 10; ++i) {
            engine.run(milliseconds(3400), milliseconds(40));
            engine.run(milliseconds(600), milliseconds(100));
        }
        const EventTimes times = engine.speed.eventTimes();
        REQUIRE(times.alone);
        checkNear(times.alone->typical, milliseconds(40));
        checkNear(times.alone->high, milliseconds(100));
    }
    SECTION("is unknown after a restart of the engine")
    {
        engine.run(milliseconds(5000), milliseconds(40));
        REQUIRE(engine.speed.eventTimes().alone);
        engine.startTimeMs = 2000;
        engine.run(milliseconds(100), milliseconds(40));
        CHECK_FALSE(engine.speed.eventTimes().alone);
    }
    SECTION("ignores counts that go backward, are huge or vanish")
    {
        engine.run(milliseconds(5000), milliseconds(40));
        for (const std::uint32_t offset : { 4000000000U, 0U, 1000U, 500U }) {
            engine.offset = offset;
            engine.run(milliseconds(500), milliseconds(40));
        }
        engine.speed.update({ .startTimeMs = 1000 }, SteadyTime(std::chrono::hours(2)));
        const EventTimes times = engine.speed.eventTimes();
        REQUIRE(times.alone);
        checkNear(times.alone->typical, milliseconds(40));
        checkNear(times.alone->high, milliseconds(40));
    }
}

TEST_CASE("event times in a load report")
{
    EngineLoadReport report;
    report.load.eventTimes.alone = EventTime{ .typical = milliseconds(40), .high = milliseconds(100) };

    SECTION("reach the entry")
    {
        const auto decoded = decodeEngineLoadReport(encode(report));
        REQUIRE(decoded);
        REQUIRE(decoded->load.eventTimes.alone);
        CHECK(decoded->load.eventTimes.alone->typical == milliseconds(40));
        CHECK(decoded->load.eventTimes.alone->high == milliseconds(100));
        CHECK_FALSE(decoded->load.eventTimes.besidePrompt);
    }
    SECTION("that are negative, huge or contradictory count as unknown")
    {
        const std::vector<EventTime> invalid{ { .typical = milliseconds(-1), .high = milliseconds(5) },
                                              { .typical = milliseconds(5), .high = milliseconds(4) },
                                              { .typical = milliseconds(5), .high = std::chrono::hours(1) } };
        for (const EventTime &time : invalid) {
            report.load.eventTimes.alone = time;
            const auto decoded = decodeEngineLoadReport(encode(report));
            REQUIRE(decoded);
            CHECK_FALSE(decoded->load.eventTimes.alone);
        }
    }
}
