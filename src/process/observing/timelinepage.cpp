#include "zinniadock/process/observing/timelinerecord.h"

#include <algorithm>
#include <map>

namespace zinniadock
{

namespace
{

constexpr double laneHeight = 28;
constexpr double leftMargin = 170;
constexpr double plotWidth = 1000;
constexpr double topMargin = 20;

std::string escaped(const std::string &text)
{
    std::string out;
    for (const char c : text) {
        switch (c) {
        case '<':
            out += "&lt;";
            break;
        case '>':
            out += "&gt;";
            break;
        case '&':
            out += "&amp;";
            break;
        case '"':
            out += "&quot;";
            break;
        default:
            out += c;
        }
    }
    return out;
}

std::string colourOf(EventKind kind)
{
    switch (classOf(kind)) {
    case EventClass::Process:
        return "#c0392b";
    case EventClass::Exceptional:
        return "#d68910";
    case EventClass::Routine:
        return "#2471a3";
    }
    return "black";
}

std::string textAt(double x, double y, const std::string &text)
{
    return "<text x=\"" + std::to_string(x) + "\" y=\"" + std::to_string(y) + "\">" + escaped(text) + "</text>\n";
}

std::string mark(double x, double y, const TimelineRecord &record)
{
    return "<circle cx=\"" + std::to_string(x) + "\" cy=\"" + std::to_string(y) + "\" r=\"5\" fill=\""
        + colourOf(record.event.kind) + "\"><title>"
        + escaped(formatTimeOfDay(record.event.time) + " " + record.sentence()) + "</title></circle>\n";
}

std::string plot(const MergedTimeline &timeline)
{
    std::map<std::string, std::size_t> lanes;
    for (const TimelineRecord &record : timeline.records) {
        lanes.try_emplace(record.instance, lanes.size());
    }
    const double height = topMargin + laneHeight * static_cast<double>(lanes.size() + 1);
    std::string svg = "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\""
        + std::to_string(leftMargin + plotWidth + laneHeight) + "\" height=\"" + std::to_string(height)
        + "\" font-size=\"13\" font-family=\"sans-serif\">\n";
    const auto laneY = [&](std::size_t lane) {
        return topMargin + laneHeight * static_cast<double>(lane);
    };
    for (const auto &[instance, lane] : lanes) {
        const std::string y = std::to_string(laneY(lane));
        svg += textAt(4, laneY(lane) + 4, instance);
        svg += "<line x1=\"" + std::to_string(leftMargin) + "\" x2=\"" + std::to_string(leftMargin + plotWidth)
            + "\" y1=\"" + y + "\" y2=\"" + y + "\" stroke=\"#ddd\"/>\n";
    }
    if (!timeline.records.empty()) {
        const auto begin = timeline.records.front().event.time;
        const auto end = timeline.records.back().event.time;
        const auto span = static_cast<double>(std::max<std::uint64_t>(1, end.value - begin.value));
        for (const TimelineRecord &record : timeline.records) {
            const double share = static_cast<double>(record.event.time.value - begin.value) / span;
            svg += mark(leftMargin + share * plotWidth, laneY(lanes.at(record.instance)), record);
        }
        svg += textAt(leftMargin, height - 4, formatTimeOfDay(begin));
        svg += textAt(leftMargin + plotWidth - 100, height - 4, formatTimeOfDay(end));
    }
    return svg + "</svg>\n";
}

} // namespace

std::string renderTimelinePage(const MergedTimeline &timeline)
{
    std::string page
        = "<!DOCTYPE html>\n<html><head><meta charset=\"utf-8\"><title>zinniadock timeline</title></head>"
          "<body>\n<p>Red: processes and links. Orange: refusals, retries, failures and other irregular steps. "
          "Blue: regular steps of requests. Times are in UTC, ordered by the hybrid clock.</p>\n";
    for (const std::string &gap : timeline.gaps) {
        page += "<p>Gap: " + escaped(gap) + "</p>\n";
    }
    page += plot(timeline) + "<pre>\n";
    for (const TimelineRecord &record : timeline.records) {
        page += escaped(record.line()) + "\n";
    }
    return page + "</pre>\n</body></html>\n";
}

} // namespace zinniadock
