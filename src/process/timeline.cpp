#include "zinniadock/process/timeline.h"

#include <algorithm>

#include <nlohmann/json.hpp>

namespace zinniadock
{

namespace
{

using Json = nlohmann::json;

struct KindEntry
{
    std::string_view name;
    EventClass eventClass;
    std::string_view phrase; ///< %s stands for the subject, %g for the generation
};

constexpr std::array<KindEntry, 31> kinds{ {
    { "process_started", EventClass::Process, "started" },
    { "draining", EventClass::Process, "began to drain and refuses new requests" },
    { "revision_in_force", EventClass::Process, "put configuration revision %s in force" },
    { "link_up", EventClass::Process, "opened a link with %s" },
    { "link_down", EventClass::Process, "lost the link with %s" },
    { "link_silent", EventClass::Process, "dropped the silent link with %s" },
    { "backend_up", EventClass::Process, "got answers from its backend server again" },
    { "backend_down", EventClass::Process, "got no answer from its backend server" },
    { "store_up", EventClass::Process, "reached the store again" },
    { "store_down", EventClass::Process, "got no answer from the store" },
    { "engine_crash", EventClass::Process, "saw its engine crash" },
    { "backend_restarted", EventClass::Process, "saw that its backend server has restarted" },
    { "backend_slow", EventClass::Process, "waited long for its backend server" },
    { "store_slow", EventClass::Process, "waited long for the store" },
    { "peer_draining", EventClass::Process, "was told that server %s is leaving" },
    { "server_ejected", EventClass::Process, "sends nothing new to server %s for a while" },
    { "process_paused", EventClass::Process, "stood still" },
    { "refused", EventClass::Notable, "refused it as not run" },
    { "withdrawn", EventClass::Notable, "took generation %g out of the queue" },
    { "resumed", EventClass::Notable, "resumed generation %g on a new link with %s" },
    { "adopted", EventClass::Notable, "took up generation %g from the engine after a restart" },
    { "stream_reopened", EventClass::Notable, "opened the engine stream of generation %g anew" },
    { "retried", EventClass::Notable, "tried again after generation %g" },
    { "failed", EventClass::Notable, "gave up" },
    { "cancelled", EventClass::Notable, "cancelled it, since its caller left" },
    { "received", EventClass::Routine, "received it from client account %s" },
    { "offered", EventClass::Routine, "offered generation %g to server %s" },
    { "queued", EventClass::Routine, "queued generation %g" },
    { "admitted", EventClass::Routine, "sent generation %g to its backend server" },
    { "first_token", EventClass::Routine, "showed the first token of generation %g" },
    { "finished", EventClass::Routine, "ended it whole" },
} };

const KindEntry &entryOf(EventKind kind)
{
    return kinds.at(static_cast<std::size_t>(kind));
}

std::string replaced(std::string text, std::string_view mark, const std::string &value)
{
    const std::size_t position = text.find(mark);
    return position == std::string::npos ? text : text.replace(position, mark.size(), value);
}

bool asksFor(const TimelineQuery &query, const TimelineEvent &event)
{
    const bool isAbout
        = !query.request || classOf(event.kind) == EventClass::Process || event.content.request == *query.request;
    return isAbout && event.time >= query.since;
}

} // namespace

std::string_view toString(EventKind kind)
{
    return entryOf(kind).name;
}

std::optional<EventKind> parseEventKind(std::string_view name)
{
    const auto position = std::find_if(kinds.begin(), kinds.end(), [name](const KindEntry &entry) {
        return entry.name == name;
    });
    return position == kinds.end() ? std::nullopt : std::optional(static_cast<EventKind>(position - kinds.begin()));
}

EventClass classOf(EventKind kind)
{
    return entryOf(kind).eventClass;
}

std::string phraseOf(EventKind kind, const EventContent &content)
{
    std::string phrase = replaced(std::string(entryOf(kind).phrase), "%s", content.subject);
    phrase = replaced(std::move(phrase), "%g", std::to_string(content.generation));
    return content.detail.empty() ? phrase : phrase + ": " + content.detail;
}

EventContent generationContent(const GenerationKey &key, std::string detail)
{
    return EventContent{ .request = key.request, .generation = key.generation, .detail = std::move(detail) };
}

std::string formatMilliseconds(std::chrono::milliseconds duration)
{
    return std::to_string(duration.count()) + " ms";
}

void Timeline::record(EventKind kind, EventContent content)
{
    content.detail.resize(std::min(content.detail.size(), mostDetailBytes));
    const std::lock_guard lock(m_mutex);
    auto &ring = m_rings.at(static_cast<std::size_t>(classOf(kind)));
    if (ring.size() >= eventsPerClass) {
        ring.pop_front();
        ++m_dropped;
    }
    ring.push_back({ .time = m_clock.now(), .kind = kind, .content = std::move(content) });
}

std::vector<TimelineEvent> Timeline::events(const TimelineQuery &query) const
{
    std::vector<TimelineEvent> found;
    {
        const std::lock_guard lock(m_mutex);
        for (const auto &ring : m_rings) {
            std::copy_if(ring.begin(), ring.end(), std::back_inserter(found), [&query](const TimelineEvent &event) {
                return asksFor(query, event);
            });
        }
    }
    std::sort(found.begin(), found.end(), [](const TimelineEvent &a, const TimelineEvent &b) {
        return a.time < b.time;
    });
    return found;
}

std::uint64_t Timeline::dropped() const
{
    const std::lock_guard lock(m_mutex);
    return m_dropped;
}

std::string formatTimeline(const Timeline &timeline, const TimelineSource &source, const TimelineQuery &query)
{
    Json events = Json::array();
    for (const TimelineEvent &event : timeline.events(query)) {
        Json entry{ { "time", event.time.value }, { "kind", toString(event.kind) } };
        if (event.content.request != RequestId()) {
            entry["request"] = event.content.request.text();
        }
        if (event.content.generation != 0) {
            entry["generation"] = event.content.generation;
        }
        if (!event.content.subject.empty()) {
            entry["subject"] = event.content.subject;
        }
        if (!event.content.detail.empty()) {
            entry["detail"] = event.content.detail;
        }
        events.push_back(std::move(entry));
    }
    const Json document{ { "instance", source.instance },
                         { "role", source.role },
                         { "dropped", timeline.dropped() },
                         { "events", std::move(events) } };
    return document.dump(-1, ' ', false, Json::error_handler_t::replace);
}

} // namespace zinniadock
