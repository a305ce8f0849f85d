#include "commands.h"

#include <fstream>
#include <iostream>

#include <nlohmann/json.hpp>

#include "zinniadock/process/timelinerecord.h"

namespace zinniadock::cli
{

namespace
{

using Json = nlohmann::json;

std::string pathOf(const TimelineOptions &question)
{
    std::string path = "/timeline?request=" + question.request;
    if (question.since.count() > 0) {
        const auto from = std::chrono::system_clock::now() - question.since;
        path += "&since=" + std::to_string(HybridTime::fromWallTime(from).value);
    }
    return path;
}

// An instance that does not answer leaves a gap, which is named; what its peers saw is still there.
MergedTimeline collect(const Options &options, const TimelineOptions &question)
{
    std::vector<MergedTimeline> timelines;
    for (const Endpoint &instance : options.admins) {
        const auto answer = adminCall(options, instance, "GET", pathOf(question));
        auto timeline = answer ? parseTimeline(*answer) : std::nullopt;
        if (!timeline) {
            timeline = MergedTimeline{ .gaps = { "the instance at " + instance.text()
                                                 + " does not answer; its events are missing" } };
        }
        timelines.push_back(std::move(*timeline));
    }
    MergedTimeline merged = merge(timelines);
    if (const auto request = RequestId::parse(question.request)) {
        merged = requestTimeline(merged, *request);
    }
    if (!question.instance.empty()) {
        std::erase_if(merged.records, [&question](const TimelineRecord &record) {
            return record.instance != question.instance && record.event.content.subject != question.instance;
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

ExitCode badRequestId(const std::string &command, const std::string &found)
{
    std::cerr << "zinniadock: " << command << ": expected a request id of 32 hexadecimal digits, found \"" << found
              << "\"\n";
    return ExitCode::Usage;
}

ExitCode codeFor(const MergedTimeline &timeline, const Options &options)
{
    for (const std::string &gap : timeline.gaps) {
        if (!options.json) {
            std::cerr << "gap: " << gap << "\n";
        }
    }
    return timeline.records.empty() && !timeline.gaps.empty() ? ExitCode::Unavailable : ExitCode::Done;
}

} // namespace

ExitCode showTimeline(const Options &options, const TimelineOptions &question)
{
    if (!question.request.empty() && !RequestId::parse(question.request)) {
        return badRequestId("timeline", question.request);
    }
    const MergedTimeline timeline = collect(options, question);
    if (!question.page.empty()) {
        std::ofstream file(question.page);
        file << renderTimelinePage(timeline);
        if (!file.flush()) {
            std::cerr << "zinniadock: --html: can't write " << question.page << "\n";
            return ExitCode::Failed;
        }
    } else if (options.json) {
        printJson(timeline);
    } else {
        for (const TimelineRecord &record : timeline.records) {
            std::cout << record.line() << "\n";
        }
    }
    return codeFor(timeline, options);
}

ExitCode explainRequest(const Options &options, const std::string &request)
{
    const auto id = RequestId::parse(request);
    if (!id) {
        return badRequestId("explain", request);
    }
    const MergedTimeline timeline = collect(options, TimelineOptions{ .request = request });
    const std::vector<std::string> sentences = explain(timeline, *id);
    if (options.json) {
        std::cout << Json{ { "gaps", timeline.gaps }, { "sentences", sentences } }.dump(2) << "\n";
    } else {
        for (const std::string &sentence : sentences) {
            std::cout << sentence << "\n";
        }
    }
    return codeFor(timeline, options);
}

} // namespace zinniadock::cli
