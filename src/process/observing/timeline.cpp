#include "zinniadock/process/observing/timeline.h"

#include <algorithm>

#include <nlohmann/json.hpp>

namespace zinniadock
{

namespace
{

using Json = nlohmann::json;

struct KindDescription
{
    std::string_view name;
    EventClass eventClass;
    std::string_view phrase; ///< %s is replaced by the subject, %g by the generation
};

constexpr std::array<KindDescription, 31> kinds{ {
    { "process_started", EventClass::Process, "started" },
    { "draining", EventClass::Process, "started draining; new requests are refused" },
    { "revision_in_force", EventClass::Process, "activated configuration revision %s" },
    { "link_up", EventClass::Process, "opened a link with %s" },
    { "link_down", EventClass::Process, "lost the link with %s" },
    { "link_silent", EventClass::Process, "closed the link with %s after a ping timeout" },
    { "backend_up", EventClass::Process, "got responses from its backend server again" },
    { "backend_down", EventClass::Process, "got no response from its backend server" },
    { "store_up", EventClass::Process, "reached the store again" },
    { "store_down", EventClass::Process, "got no response from the store" },
    { "engine_crash", EventClass::Process, "detected a crash of its engine" },
    { "backend_restarted", EventClass::Process, "detected a restart of its backend server" },
    { "backend_slow", EventClass::Process, "measured a slow probe of its backend server" },
    { "store_slow", EventClass::Process, "measured a slow claim of an idempotency key in the store" },
    { "peer_draining", EventClass::Process, "was notified that server %s is draining" },
    { "server_ejected", EventClass::Process, "ejected server %s from routing" },
    { "process_paused", EventClass::Process, "was paused" },
    { "refused", EventClass::Exceptional, "refused the request without running it" },
    { "withdrawn", EventClass::Exceptional, "removed generation %g from the queue" },
    { "resumed", EventClass::Exceptional, "resumed generation %g on a new link with %s" },
    { "adopted", EventClass::Exceptional, "adopted generation %g from the engine after a restart" },
    { "stream_reopened", EventClass::Exceptional, "reopened the engine stream of generation %g" },
    { "retried", EventClass::Exceptional, "retried after generation %g" },
    { "failed", EventClass::Exceptional, "failed the request" },
    { "cancelled", EventClass::Exceptional, "cancelled the request because its caller disconnected" },
    { "received", EventClass::Routine, "received the request from client account %s" },
    { "offered", EventClass::Routine, "offered generation %g to server %s" },
    { "queued", EventClass::Routine, "queued generation %g" },
    { "admitted", EventClass::Routine, "sent generation %g to its backend server" },
    { "first_token", EventClass::Routine, "delivered the first token of generation %g" },
    { "finished", EventClass::Routine, "completed the request" },
} };

const KindDescription &descriptionOf(EventKind kind)
{
    return kinds.at(static_cast<std::size_t>(kind));
}

std::string replacePlaceholder(std::string text, std::string_view placeholder, const std::string &value)
{
    const std::size_t position = text.find(placeholder);
    return position == std::string::npos ? text : text.replace(position, placeholder.size(), value);
}

bool matches(const TimelineQuery &query, const TimelineEvent &event)
{
    const bool isRelevant
        = !query.request || classOf(event.kind) == EventClass::Process || event.content.request == *query.request;
    return isRelevant && event.time >= query.since;
}

} // namespace

std::string_view toString(EventKind kind)
{
    return descriptionOf(kind).name;
}

std::optional<EventKind> parseEventKind(std::string_view name)
{
    const auto position = std::find_if(kinds.begin(), kinds.end(), [name](const KindDescription &entry) {
        return entry.name == name;
    });
    return position == kinds.end() ? std::nullopt : std::optional(static_cast<EventKind>(position - kinds.begin()));
}

EventClass classOf(EventKind kind)
{
    return descriptionOf(kind).eventClass;
}

std::string describeEvent(EventKind kind, const EventContent &content)
{
    std::string phrase = replacePlaceholder(std::string(descriptionOf(kind).phrase), "%s", content.subject);
    phrase = replacePlaceholder(std::move(phrase), "%g", std::to_string(content.generation));
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
    content.detail.resize(std::min(content.detail.size(), maxDetailBytes));
    const std::lock_guard lock(m_mutex);
    auto &ring = m_rings.at(static_cast<std::size_t>(classOf(kind)));
    if (ring.size() >= maxEventsPerClass) {
        ring.pop_front();
        ++m_dropped;
    }
    ring.push_back({ .time = m_clock.now(), .kind = kind, .content = std::move(content) });
}

std::vector<TimelineEvent> Timeline::events(const TimelineQuery &query) const
{
    std::vector<TimelineEvent> matching;
    {
        const std::lock_guard lock(m_mutex);
        for (const auto &ring : m_rings) {
            std::copy_if(ring.begin(), ring.end(), std::back_inserter(matching), [&query](const TimelineEvent &event) {
                return matches(query, event);
            });
        }
    }
    std::sort(matching.begin(), matching.end(), [](const TimelineEvent &a, const TimelineEvent &b) {
        return a.time < b.time;
    });
    return matching;
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
