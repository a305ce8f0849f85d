#include "zinniadock/process/observing/timelinerecord.h"

#include <algorithm>
#include <set>

#include <Poco/DateTimeFormatter.h>
#include <Poco/NumberFormatter.h>
#include <Poco/Timestamp.h>
#include <nlohmann/json.hpp>

namespace zinniadock
{

namespace
{

using Json = nlohmann::json;

std::optional<TimelineEvent> parseEvent(const Json &entry)
{
    const auto kind = parseEventKind(entry.at("kind").get<std::string>());
    if (!kind) {
        return std::nullopt;
    }
    TimelineEvent event{ .time = HybridTime{ entry.at("time").get<std::uint64_t>() }, .kind = *kind };
    event.content.request = RequestId::parse(entry.value("request", std::string())).value_or(RequestId());
    event.content.generation = entry.value("generation", GenerationId());
    event.content.subject = entry.value("subject", std::string());
    event.content.detail = entry.value("detail", std::string());
    return event;
}

// Returns the processes that took part in a request: those that recorded events of the request, and the servers that
// the request was offered to.
std::set<std::string> participants(const std::vector<const TimelineRecord *> &requestRecords)
{
    std::set<std::string> names;
    for (const TimelineRecord *record : requestRecords) {
        names.insert(record->instance);
        if (record->event.kind == EventKind::Offered) {
            names.insert(record->event.content.subject);
        }
    }
    return names;
}

} // namespace

std::string TimelineRecord::sentence() const
{
    return instance + " " + describeEvent(event.kind, event.content);
}

std::string TimelineRecord::line() const
{
    const RequestId &request = event.content.request;
    return formatTimeOfDay(event.time) + "  " + sentence()
        + (request == RequestId() ? "" : "  [" + request.text() + "]");
}

std::optional<MergedTimeline> parseTimeline(const std::string &text)
{
    const Json document = Json::parse(text, nullptr, false);
    MergedTimeline timeline;
    try {
        const auto instance = document.at("instance").get<std::string>();
        const auto role = document.at("role").get<std::string>();
        for (const Json &entry : document.at("events")) {
            if (auto event = parseEvent(entry)) {
                timeline.records.push_back({ .instance = instance, .role = role, .event = std::move(*event) });
            }
        }
        if (const auto dropped = document.at("dropped").get<std::uint64_t>(); dropped > 0) {
            timeline.gaps.push_back(instance + " no longer keeps " + std::to_string(dropped) + " older events");
        }
    } catch (const Json::exception &) {
        return std::nullopt;
    }
    return timeline;
}

MergedTimeline merge(const std::vector<MergedTimeline> &timelines)
{
    MergedTimeline merged;
    for (const MergedTimeline &timeline : timelines) {
        merged.records.insert(merged.records.end(), timeline.records.begin(), timeline.records.end());
        merged.gaps.insert(merged.gaps.end(), timeline.gaps.begin(), timeline.gaps.end());
    }
    std::stable_sort(merged.records.begin(), merged.records.end(), [](const auto &a, const auto &b) {
        return a.event.time < b.event.time;
    });
    return merged;
}

MergedTimeline requestTimeline(const MergedTimeline &timeline, const RequestId &request)
{
    std::vector<const TimelineRecord *> requestRecords;
    for (const TimelineRecord &record : timeline.records) {
        if (record.event.content.request == request) {
            requestRecords.push_back(&record);
        }
    }
    MergedTimeline result{ .gaps = timeline.gaps };
    if (requestRecords.empty()) {
        return result;
    }
    const std::set<std::string> names = participants(requestRecords);
    const HybridTime first = requestRecords.front()->event.time;
    const HybridTime last = requestRecords.back()->event.time;
    for (const TimelineRecord &record : timeline.records) {
        const TimelineEvent &event = record.event;
        const bool isConcurrent = event.time >= first && event.time <= last
            && classOf(event.kind) == EventClass::Process
            && (names.contains(record.instance) || names.contains(event.content.subject));
        if (event.content.request == request || isConcurrent) {
            result.records.push_back(record);
        }
    }
    return result;
}

std::vector<std::string> explain(const MergedTimeline &timeline, const RequestId &request)
{
    std::vector<std::string> sentences;
    for (const TimelineRecord &record : requestTimeline(timeline, request).records) {
        const bool isOwn = record.event.content.request == request;
        sentences.push_back(formatTimeOfDay(record.event.time) + " " + (isOwn ? "" : "meanwhile ") + record.sentence()
                            + ".");
    }
    if (sentences.empty()) {
        sentences.push_back("No process that responded has events about request " + request.text() + ".");
    }
    return sentences;
}

std::string formatTimeOfDay(HybridTime time)
{
    const auto sinceEpoch
        = std::chrono::duration_cast<std::chrono::microseconds>(time.wallTime().time_since_epoch()).count();
    const Poco::Timestamp stamp(sinceEpoch);
    constexpr std::int64_t microsecondsPerSecond = 1000000;
    return Poco::DateTimeFormatter::format(stamp, "%H:%M:%S") + "."
        + Poco::NumberFormatter::format0(static_cast<int>(sinceEpoch % microsecondsPerSecond), 6);
}

} // namespace zinniadock
