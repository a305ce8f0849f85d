#pragma once

#include <optional>
#include <string>
#include <vector>

#include "zinniadock/process/timeline.h"

namespace zinniadock
{

/// One event with the process that it happened to.
struct TimelineRecord
{
    std::string instance;
    std::string role;
    TimelineEvent event;

    /// Returns the instance and what happened to it in words.
    std::string sentence() const;

    /// Returns the time, the sentence and the request, as listings show it.
    std::string line() const;
};

/// The events of several processes.
struct MergedTimeline
{
    std::vector<TimelineRecord> records; ///< in the order of the hybrid clock
    std::vector<std::string> gaps; ///< what is missing, in sentences
};

/// Reads the result of formatTimeline(); nothing if it is malformed. Kinds of a later version are left out.
std::optional<MergedTimeline> parseTimeline(const std::string &text);

/// Joins the time lines of several processes into one, in order. Complexity: linearithmic.
MergedTimeline merge(const std::vector<MergedTimeline> &timelines);

/// Returns the events of one request, and what happened meanwhile to the processes that took part.
MergedTimeline requestTimeline(const MergedTimeline &timeline, const RequestId &request);

/// Tells in a few sentences what happened to one request: requestTimeline() in words.
std::vector<std::string> explain(const MergedTimeline &timeline, const RequestId &request);

/// Returns a page for a browser that shows the time line, with a lane for each instance; it needs no other file.
std::string renderTimelinePage(const MergedTimeline &timeline);

/// Returns a time as hours, minutes, seconds and microseconds of UTC.
std::string formatTimeOfDay(HybridTime time);

} // namespace zinniadock
