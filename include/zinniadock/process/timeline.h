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

/// What happened. The order is that of the names in the source.
enum class EventKind : std::uint8_t {
    // Of a process and its surroundings.
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
    // Of a request that went another way than planned.
    Refused,
    Withdrawn,
    Resumed,
    Adopted,
    StreamReopened,
    Retried,
    Failed,
    Cancelled,
    // Of every request.
    Received,
    Offered,
    Queued,
    Admitted,
    FirstToken,
    Finished,
};

/// How long an event is kept: each class has a ring of its own, so that many ordinary events can't push out the others.
enum class EventClass : std::uint8_t {
    Process,
    Notable,
    Routine,
};

/// What an event is about.
struct EventContent
{
    RequestId request; ///< all zero for an event that is about no request
    GenerationId generation = 0; ///< 0 for the request as a whole
    std::string subject; ///< server, peer, account or revision
    std::string detail; ///< reason, in words
};

/// Returns what an event about one generation is about.
EventContent generationContent(const GenerationKey &key, std::string detail = {});

/// One event of one process.
struct TimelineEvent
{
    HybridTime time;
    EventKind kind = EventKind::ProcessStarted;
    EventContent content;
};

/// Which events to return.
struct TimelineQuery
{
    std::optional<RequestId> request; ///< only events about it, and all events of the process
    HybridTime since;
};

/// Returns the name of a kind in the JSON form.
std::string_view toString(EventKind kind);

/// Finds a kind by its name.
std::optional<EventKind> parseEventKind(std::string_view name);

EventClass classOf(EventKind kind);

/// Says in words what happened, without the process that it happened to: "offered generation 1 to engine-0".
std::string phraseOf(EventKind kind, const EventContent &content);

/// Returns milliseconds in words, for the detail of an event.
std::string formatMilliseconds(std::chrono::milliseconds duration);

/// The newest events of one process, in bounded memory. Thread-safe.
class Timeline
{
public:
    /// Appends an event with the present time. Details beyond a bound are cut. Complexity: constant.
    void record(EventKind kind, EventContent content = {});

    /// Returns the kept events that a query asks for, in order of time.
    std::vector<TimelineEvent> events(const TimelineQuery &query) const;

    /// Returns the number of events that were pushed out by newer ones.
    std::uint64_t dropped() const;

    HybridClock &clock()
    {
        return m_clock;
    }

private:
    static constexpr std::size_t eventsPerClass = 8192;
    static constexpr std::size_t mostDetailBytes = 200;

    HybridClock m_clock;
    mutable std::mutex m_mutex;
    std::array<std::deque<TimelineEvent>, 3> m_rings; ///< by class
    std::uint64_t m_dropped = 0;
};

/// A process that keeps a time line.
struct TimelineSource
{
    std::string instance;
    std::string role;
};

/// Writes the events that a query asks for as JSON.
std::string formatTimeline(const Timeline &timeline, const TimelineSource &source, const TimelineQuery &query);

} // namespace zinniadock
