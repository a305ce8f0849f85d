#include "commands.h"

#include <fstream>
#include <iostream>

#include <nlohmann/json.hpp>

#include "zinniadock/process/observing/timelinerecord.h"

namespace zinniadock::cli
{

namespace
{

using Json = nlohmann::json;

std::string timelinePath(const TimelineOptions &timelineOptions)
{
    std::string path = "/timeline?request=" + timelineOptions.request;
    if (timelineOptions.since.count() > 0) {
        const auto startTime = std::chrono::system_clock::now() - timelineOptions.since;
        path += "&since=" + std::to_string(HybridTime::fromWallTime(startTime).value);
    }
    return path;
}

// Merges the timelines of all instances. An instance that does not respond is listed as a gap; the events that other
// instances recorded about it remain.
MergedTimeline collectTimeline(const Options &options, const TimelineOptions &timelineOptions)
{
    std::vector<MergedTimeline> timelines;
    for (const Endpoint &instance : options.admins) {
        const auto response = callAdmin(options, instance, "GET", timelinePath(timelineOptions));
        auto timeline = response ? parseTimeline(*response) : std::nullopt;
        if (!timeline) {
            timeline = MergedTimeline{ .gaps = { "the instance at " + instance.text()
                                                 + " does not respond; its events are missing" } };
        }
        timelines.push_back(std::move(*timeline));
    }
    MergedTimeline merged = merge(timelines);
    if (const auto request = RequestId::parse(timelineOptions.request)) {
        merged = requestTimeline(merged, *request);
    }
    if (!timelineOptions.instance.empty()) {
        std::erase_if(merged.records, [&timelineOptions](const TimelineRecord &record) {
            return record.instance != timelineOptions.instance
                && record.event.content.subject != timelineOptions.instance;
        });
    }
    return merged;
}

void printJson(const MergedTimeline &timeline)
{
    Json events = Json::array();
    for (const TimelineRecord &record : timeline.records) {
        const EventContent &content = record.event.content;
        events.push_back({ { "time", record.event.time.value },
                           { "clock", formatTimeOfDay(record.event.time) },
                           { "instance", record.instance },
                           { "role", record.role },
                           { "kind", toString(record.event.kind) },
                           { "request", content.request == RequestId() ? "" : content.request.text() },
                           { "generation", content.generation },
                           { "subject", content.subject },
                           { "detail", content.detail } });
    }
    std::cout << Json{ { "gaps", timeline.gaps }, { "events", events } }.dump(2) << "\n";
}

ExitCode reportInvalidRequestId(const std::string &command, const std::string &found)
{
    std::cerr << "zinniadock: " << command << ": expected a request id of 32 hexadecimal digits, found \"" << found
              << "\"\n";
    return ExitCode::Usage;
}

// Prints the gaps, unless the output is JSON. Returns Unavailable if there are gaps and no events.
ExitCode reportGaps(const MergedTimeline &timeline, const Options &options)
{
    for (const std::string &gap : timeline.gaps) {
        if (!options.json) {
            std::cerr << "gap: " << gap << "\n";
        }
    }
    return timeline.records.empty() && !timeline.gaps.empty() ? ExitCode::Unavailable : ExitCode::Done;
}

} // namespace

ExitCode showTimeline(const Options &options, const TimelineOptions &timelineOptions)
{
    if (!timelineOptions.request.empty() && !RequestId::parse(timelineOptions.request)) {
        return reportInvalidRequestId("timeline", timelineOptions.request);
    }
    const MergedTimeline timeline = collectTimeline(options, timelineOptions);
    if (!timelineOptions.htmlFile.empty()) {
        std::ofstream file(timelineOptions.htmlFile);
        file << renderTimelinePage(timeline);
        if (!file.flush()) {
            std::cerr << "zinniadock: --html: can't write " << timelineOptions.htmlFile << "\n";
            return ExitCode::Failed;
        }
    } else if (options.json) {
        printJson(timeline);
    } else {
        for (const TimelineRecord &record : timeline.records) {
            std::cout << record.line() << "\n";
        }
    }
    return reportGaps(timeline, options);
}

ExitCode explainRequest(const Options &options, const std::string &request)
{
    const auto id = RequestId::parse(request);
    if (!id) {
        return reportInvalidRequestId("explain", request);
    }
    const MergedTimeline timeline = collectTimeline(options, TimelineOptions{ .request = request });
    const std::vector<std::string> sentences = explain(timeline, *id);
    if (options.json) {
        std::cout << Json{ { "gaps", timeline.gaps }, { "sentences", sentences } }.dump(2) << "\n";
    } else {
        for (const std::string &sentence : sentences) {
            std::cout << sentence << "\n";
        }
    }
    return reportGaps(timeline, options);
}

} // namespace zinniadock::cli
