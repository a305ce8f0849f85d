#include <catch2/catch.hpp>

#include <algorithm>
#include <map>

#include <nlohmann/json.hpp>
#include <rapidcheck.h>

#include "fleet.h"
#include "zinniadock/process/observing/timelinerecord.h"

using namespace zinniadock;
using namespace zinniadock::test;

namespace
{

MergedTimeline timelineOf(Timeline &timeline, const std::string &instance, const std::string &role)
{
    return *parseTimeline(formatTimeline(timeline, { .instance = instance, .role = role }, {}));
}

/// Returns the merged timeline of all processes of a fleet, as the command-line tool merges it.
MergedTimeline timelineOf(const Fleet &fleet)
{
    std::vector<MergedTimeline> timelines;
    for (std::size_t i = 0; i < fleet.entries.size(); ++i) {
        timelines.push_back(timelineOf(fleet.entries[i]->timeline(), "entry-" + std::to_string(i), "entry"));
    }
    for (std::size_t i = 0; i < fleet.sidecars.size(); ++i) {
        timelines.push_back(timelineOf(fleet.sidecars[i]->timeline(), "server-" + std::to_string(i), "sidecar"));
    }
    return merge(timelines);
}

std::vector<EventKind> kindsOf(const MergedTimeline &timeline, const RequestId &request)
{
    std::vector<EventKind> kinds;
    for (const TimelineRecord &record : timeline.records) {
        if (record.event.content.request == request) {
            kinds.push_back(record.event.kind);
        }
    }
    return kinds;
}

std::size_t count(const MergedTimeline &timeline, EventKind kind)
{
    return static_cast<std::size_t>(
        std::count_if(timeline.records.begin(), timeline.records.end(), [kind](const TimelineRecord &record) {
            return record.event.kind == kind;
        }));
}

/// Returns the index of the first event of a kind and a request; the number of records if there is no such event.
std::size_t positionOf(const MergedTimeline &timeline, const RequestId &request, EventKind kind)
{
    const auto position
        = std::find_if(timeline.records.begin(), timeline.records.end(), [&](const TimelineRecord &record) {
              return record.event.kind == kind && record.event.content.request == request;
          });
    return static_cast<std::size_t>(position - timeline.records.begin());
}

RequestId onlyRequest(const MergedTimeline &timeline)
{
    for (const TimelineRecord &record : timeline.records) {
        if (record.event.kind == EventKind::Received) {
            return record.event.content.request;
        }
    }
    return {};
}

} // namespace

TEST_CASE("hybrid clock")
{
    SECTION("orders the receipt of a message after its sending, regardless of the wall clocks")
    {
        CHECK(rc::check([](const std::vector<std::uint8_t> &steps) {
            std::array<HybridClock, 3> clocks;
            clocks[0].setOffset(std::chrono::seconds(-7));
            clocks[2].setOffset(std::chrono::seconds(9));
            std::array<HybridTime, 3> last{};
            for (const std::uint8_t step : steps) {
                const std::size_t from = step % 3;
                const std::size_t to = step / 3 % 3;
                const HybridTime sent = clocks.at(from).now();
                RC_ASSERT(sent > last.at(from));
                last.at(from) = sent;
                clocks.at(to).observe(sent);
                const HybridTime received = clocks.at(to).now();
                RC_ASSERT(received > sent);
                RC_ASSERT(from == to || received > last.at(to));
                last.at(to) = received;
            }
        }));
    }

    SECTION("ignores a time that is more than an hour ahead")
    {
        HybridClock clock;
        HybridClock broken;
        broken.setOffset(std::chrono::hours(24 * 365));
        clock.observe(broken.now());
        CHECK(clock.now() < HybridTime::fromWallTime(std::chrono::system_clock::now() + std::chrono::hours(1)));
    }
}

TEST_CASE("timeline")
{
    SECTION("keeps rare events when frequent events overflow, and reports the number of evicted events")
    {
        Timeline timeline;
        timeline.record(EventKind::StoreDown);
        timeline.record(EventKind::Refused, { .request = RequestId{ 1, 1 }, .detail = "full" });
        for (int i = 0; i < 20000; ++i) {
            timeline.record(EventKind::Offered, { .request = RequestId{ 2, 2 }, .subject = "engine-0" });
        }
        const MergedTimeline kept = timelineOf(timeline, "x", "entry");
        CHECK(count(kept, EventKind::StoreDown) == 1);
        CHECK(count(kept, EventKind::Refused) == 1);
        CHECK(count(kept, EventKind::Offered) < 20000);
        REQUIRE(kept.gaps.size() == 1);
        CHECK(kept.gaps.front().find("x no longer keeps") == 0);
    }

    SECTION("is unchanged after formatting and parsing")
    {
        Timeline timeline;
        timeline.record(EventKind::Retried, { .request = RequestId{ 1, 2 }, .generation = 3, .detail = "a <b> \"c\"" });
        const TimelineEvent event = timelineOf(timeline, "x", "entry").records.at(0).event;
        CHECK(event.content.request == RequestId{ 1, 2 });
        CHECK(event.content.generation == 3);
        CHECK(event.content.detail == "a <b> \"c\"");
        CHECK(describeEvent(event.kind, event.content) == "retried after generation 3: a <b> \"c\"");
        CHECK_FALSE(parseTimeline("{}"));
        const std::string page = renderTimelinePage(timelineOf(timeline, "x", "entry"));
        CHECK(page.find("a &lt;b&gt; &quot;c&quot;") != std::string::npos);
        CHECK(page.find("<b>") == std::string::npos);
    }

    SECTION("returns only the events that match the query")
    {
        Timeline timeline;
        timeline.record(EventKind::Received, { .request = RequestId{ 1, 1 } });
        timeline.record(EventKind::Received, { .request = RequestId{ 2, 2 } });
        const HybridTime between = timeline.clock().now();
        timeline.record(EventKind::Draining);
        CHECK(timeline.events({ .request = RequestId{ 1, 1 } }).size() == 2);
        CHECK(timeline.events({ .since = between }).size() == 1);
        CHECK(timeline.events({}).size() == 3);
    }
}

TEST_CASE("timeline of a fleet")
{
    Fleet fleet(2, 1);
    const std::string prompt = "told [tokens=400]";

    SECTION("orders causes before effects although wall clocks differ by seconds")
    {
        const std::chrono::seconds ahead(GENERATE(5, -5));
        fleet.entries[0]->timeline().clock().setOffset(ahead);
        fleet.sidecars[0]->timeline().clock().setOffset(-2 * ahead);
        fleet.sidecars[1]->timeline().clock().setOffset(-ahead / 2);
        for (int i = 0; i < 10; ++i) {
            REQUIRE(hasExpectedTokens(streamGeneration(fleet.entryPort(), "[tokens=5]"), "[tokens=5]", 5));
        }
        const MergedTimeline timeline = timelineOf(fleet);
        std::map<std::string, std::vector<EventKind>> byRequest;
        for (const TimelineRecord &record : timeline.records) {
            if (record.event.content.request != RequestId()) {
                byRequest[record.event.content.request.text()].push_back(record.event.kind);
            }
        }
        CHECK(byRequest.size() == 10);
        const std::vector<EventKind> expected{ EventKind::Received, EventKind::Offered, EventKind::Admitted,
                                               EventKind::FirstToken, EventKind::Finished };
        for (const auto &[request, kinds] : byRequest) {
            CHECK(kinds == expected);
        }
    }

    SECTION("explains a sidecar restart during a stream")
    {
        std::size_t busySidecar = 0;
        const StreamResponse response = streamGeneration(fleet.entryPort(), prompt, [&](std::size_t shown) {
            if (shown == 100) {
                busySidecar = fleet.engines[0]->running() > 0 ? 0 : 1;
                fleet.restartSidecar(busySidecar);
            }
            return true;
        });
        REQUIRE(hasExpectedTokens(response, prompt, 400));
        const MergedTimeline timeline = timelineOf(fleet);
        const RequestId request = onlyRequest(timeline);
        CHECK(positionOf(timeline, request, EventKind::Resumed) < positionOf(timeline, request, EventKind::Adopted));
        CHECK(positionOf(timeline, request, EventKind::Adopted) < positionOf(timeline, request, EventKind::Finished));
        CHECK(positionOf(timeline, request, EventKind::Finished) < timeline.records.size());
        std::string explanation;
        for (const std::string &sentence : explain(timeline, request)) {
            explanation += sentence + "\n";
        }
        const std::string server = "server-" + std::to_string(busySidecar);
        CHECK(explanation.find("meanwhile entry-0 lost the link with " + server) != std::string::npos);
        CHECK(explanation.find("entry-0 resumed generation 1 on a new link with " + server) != std::string::npos);
        CHECK(explanation.find(server + " adopted generation 1 from the engine") != std::string::npos);
        CHECK(explanation.find("entry-0 completed the request: 400 tokens") != std::string::npos);
    }

    SECTION("shows closed engine streams, stopped engines and refused requests")
    {
        const StreamResponse response = streamGeneration(fleet.entryPort(), prompt, [&](std::size_t shown) {
            if (shown == 100) {
                fleet.engines[0]->dropStreams();
                fleet.engines[1]->dropStreams();
            }
            return true;
        });
        REQUIRE(hasExpectedTokens(response, prompt, 400));
        const MergedTimeline cut = timelineOf(fleet);
        CHECK(positionOf(cut, onlyRequest(cut), EventKind::StreamReopened) < cut.records.size());
        fleet.engines[0]->stop();
        fleet.engines[1]->stop();
        CHECK(streamGeneration(fleet.entryPort(), prompt).verdict == "not_run");
        REQUIRE(eventually([&] {
            return count(timelineOf(fleet), EventKind::BackendDown) == 2;
        }));
        CHECK(count(timelineOf(fleet), EventKind::Refused) >= 1);
    }

    SECTION("shows store outages and drains")
    {
        fleet.store->setFaults({ .down = true });
        CHECK(eventually([&] {
            return count(timelineOf(fleet), EventKind::StoreDown) == 1;
        }));
        fleet.store->setFaults({});
        CHECK(eventually([&] {
            return count(timelineOf(fleet), EventKind::StoreUp) == 1;
        }));
        fleet.sidecars[0]->drain();
        fleet.entries[0]->drain();
        CHECK(count(timelineOf(fleet), EventKind::Draining) == 2);
        CHECK(kindsOf(timelineOf(fleet), RequestId{ 7, 7 }).empty());
        CHECK(explain(timelineOf(fleet), RequestId{ 7, 7 }).front().find("No process") == 0);
    }
}
