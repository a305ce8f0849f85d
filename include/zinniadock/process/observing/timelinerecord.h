#pragma once

#include <optional>
#include <string>
#include <vector>

#include "zinniadock/process/observing/timeline.h"

namespace zinniadock
{

/// An event with the process that recorded it.
struct TimelineRecord
{
    std::string instance;
    std::string role;
    TimelineEvent event;

    /// Returns the name of the instance and the description of the event.
    std::string sentence() const;

    /// Returns one line of a listing: the time, the sentence and the request ID.
    std::string line() const;
};

/// The merged events of several processes.
struct MergedTimeline
{
    std::vector<TimelineRecord> records; ///< sorted by hybrid time
    std::vector<std::string> gaps; ///< descriptions of missing events
};

/// Parses the result of formatTimeline(); returns nothing if it is malformed. Skips events of unknown kinds, which a
/// newer version of the process may send.
std::optional<MergedTimeline> parseTimeline(const std::string &text);

/// Merges timelines into one that is sorted by hybrid time. Complexity: linearithmic in the events.
MergedTimeline merge(const std::vector<MergedTimeline> &timelines);

/// Returns the events of one request, and the process events between its first and its last event that a participating
/// process recorded or that concern one. The participants are the processes that recorded events of the request, and
/// the servers that the request was offered to.
MergedTimeline requestTimeline(const MergedTimeline &timeline, const RequestId &request);

/// Returns the events of requestTimeline() as sentences, one per event; a single sentence if no event is found.
std::vector<std::string> explain(const MergedTimeline &timeline, const RequestId &request);

/// Renders a timeline as a self-contained HTML page with one lane per instance.
std::string renderTimelinePage(const MergedTimeline &timeline);

/// Returns the time of day in UTC with microseconds: "HH:MM:SS.ffffff".
std::string formatTimeOfDay(HybridTime time);

} // namespace zinniadock
