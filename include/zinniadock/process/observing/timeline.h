#pragma once

#include <array>
#include <cstdint>
#include <deque>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "zinniadock/process/hybridclock.h"
#include "zinniadock/request/requestid.h"

namespace zinniadock
{

/// Kind of a recorded event. The order of the values is that of the table of names in timeline.cpp.
enum class EventKind : std::uint8_t {
    // Events of a process, its links and the services that it depends on.
    ProcessStarted,
    Draining,
    RevisionInForce,
    LinkUp,
    LinkDown,
    LinkSilent,
    BackendUp,
    BackendDown,
    StoreUp,
    StoreDown,
    EngineCrash,
    BackendRestarted,
    BackendSlow,
    StoreSlow,
    PeerDraining,
    ServerEjected,
    ProcessPaused,
    // Deviations from the regular course of a request.
    Refused,
    Withdrawn,
    Resumed,
    Adopted,
    StreamReopened,
    Retried,
    Failed,
    Cancelled,
    // Regular steps of every request.
    Received,
    Offered,
    Queued,
    Admitted,
    FirstToken,
    Finished,
};

/// Retention class of an event. Each class has its own ring buffer, so that frequent events of one class can't evict
/// the events of another class.
enum class EventClass : std::uint8_t {
    Process, ///< events of a process, its links and the services that it depends on
    Exceptional, ///< deviations from the regular course of a request
    Routine, ///< regular steps of every request
};

/// Subject of an event: the request, the generation, and further details.
struct EventContent
{
    RequestId request; ///< all zero if the event concerns no request
    GenerationId generation = 0; ///< 0 if the event concerns the request and no single generation
    std::string subject; ///< name of a server, peer or client account, or a configuration revision
    std::string detail; ///< reason as readable text
};

/// Returns the content of an event that concerns one generation.
EventContent generationContent(const GenerationKey &key, std::string detail = {});

/// An event that one process recorded.
struct TimelineEvent
{
    HybridTime time;
    EventKind kind = EventKind::ProcessStarted;
    EventContent content;
};

/// Selects the events that Timeline::events() returns.
struct TimelineQuery
{
    std::optional<RequestId> request; ///< if set: only events of this request, and all events of class Process
    HybridTime since; ///< earliest time of the returned events
};

/// Returns the name that the JSON form uses for an event kind.
std::string_view toString(EventKind kind);

/// Returns the event kind with a JSON name; nothing if the name is unknown.
std::optional<EventKind> parseEventKind(std::string_view name);

/// Returns the retention class of an event kind.
EventClass classOf(EventKind kind);

/// Returns a readable description of an event without the name of its process, such as "offered generation 1 to server
/// engine-0".
std::string describeEvent(EventKind kind, const EventContent &content);

/// Returns a duration as text such as "15 ms", for the detail of an event.
std::string formatMilliseconds(std::chrono::milliseconds duration);

/// Keeps the newest events of one process in bounded memory. Thread-safe.
class Timeline
{
public:
    /// Records an event with the current time. Truncates a detail of more than \c maxDetailBytes. Complexity: constant.
    void record(EventKind kind, EventContent content = {});

    /// Returns the retained events that match a query, sorted by time.
    std::vector<TimelineEvent> events(const TimelineQuery &query) const;

    /// Returns the number of events that were evicted by newer events.
    std::uint64_t dropped() const;

    HybridClock &clock()
    {
        return m_clock;
    }

private:
    static constexpr std::size_t maxEventsPerClass = 8192;
    static constexpr std::size_t maxDetailBytes = 200;

    HybridClock m_clock;
    mutable std::mutex m_mutex;
    std::array<std::deque<TimelineEvent>, 3> m_rings; ///< indexed by EventClass
    std::uint64_t m_dropped = 0;
};

/// Identifies the process whose events a timeline holds.
struct TimelineSource
{
    std::string instance;
    std::string role;
};

/// Returns the events that match a query as a JSON document.
std::string formatTimeline(const Timeline &timeline, const TimelineSource &source, const TimelineQuery &query);

} // namespace zinniadock
