#include "timelinechecker.h"

#include <algorithm>
#include <array>

namespace zinniadock::load
{

namespace
{

using Json = nlohmann::json;

// A hybrid time holds the microseconds since the epoch above a 12-bit counter.
constexpr std::uint64_t hybridTimePerMicrosecond = 4096;

// A timeline records an expected event while the fault lasts or at most this long after the fault ends.
constexpr std::int64_t maxEventDelayMicroseconds = 6000000;

/// Kinds of events that the timelines are expected to record for a fault of one kind.
struct ExpectedEvents
{
    const char *faultKind;
    std::vector<std::string> eventKinds; ///< at least one of them is expected
};

const std::array<ExpectedEvents, 16> expectedEvents{ {
    { "kill_sidecar", { "link_down", "process_started" } },
    { "kill_entry", { "link_down", "process_started" } },
    { "kill_engine", { "backend_restarted", "backend_down", "engine_crash" } },
    { "freeze_sidecar", { "process_paused", "link_silent" } },
    { "freeze_entry", { "process_paused" } },
    { "freeze_engine", { "backend_slow", "backend_down" } },
    { "drop_streams", { "stream_reopened" } },
    { "cross_streams", { "stream_reopened" } },
    { "silent_to_entry", { "link_silent", "link_down" } },
    { "silent_to_sidecar", { "link_silent", "link_down" } },
    { "silent_both", { "link_silent", "link_down" } },
    { "cut_link", { "link_down" } },
    { "store_down", { "store_down", "store_slow", "refused" } },
    { "store_loses", { "store_down", "store_slow", "refused" } },
    { "store_slow", { "store_down", "store_slow", "refused" } },
    { "planned_stop", { "draining", "peer_draining" } },
} };

// The order in which the events of one generation occur. An event may be absent.
const std::array<const char *, 5> generationEventOrder{ "received", "offered", "admitted", "first_token", "finished" };

} // namespace

void TimelineChecker::addHistoryEvent(const Json &event)
{
    if (const auto fault = parseFault(event)) {
        m_faults.push_back(*fault);
    }
}

void TimelineChecker::addTimeline(const Json &timeline)
{
    const auto instance = timeline.value("instance", std::string());
    for (const Json &entry : timeline.value("events", Json::array())) {
        const auto time = entry.value("time", std::uint64_t());
        m_events[{ time, instance }]
            = { .instance = instance,
                .kind = entry.value("kind", std::string()),
                .subject = entry.value("subject", std::string()),
                .request = entry.value("request", std::string()),
                .generation = entry.value("generation", std::uint64_t()),
                .wallMicroseconds = static_cast<std::int64_t>(time / hybridTimePerMicrosecond) };
    }
}

std::vector<std::string> TimelineChecker::check(Figures &figures) const
{
    std::vector<std::string> findings;
    std::size_t detectedFaults = 0;
    for (const InjectedFault &fault : m_faults) {
        if (hasExpectedEvent(fault)) {
            ++detectedFaults;
        } else {
            findings.push_back(fault.kind + " of " + fault.target + " at " + std::to_string(fault.from)
                               + ": no timeline holds an expected event");
        }
    }
    const std::size_t findingsBeforeOrderCheck = findings.size();
    checkEventOrder(findings);
    figures.add("timeline_events", static_cast<double>(m_events.size()));
    figures.add("timeline_faults", static_cast<double>(m_faults.size()));
    figures.add("timeline_faults_found", static_cast<double>(detectedFaults));
    figures.add("timeline_effects_before_causes", static_cast<double>(findings.size() - findingsBeforeOrderCheck));
    return findings;
}

// Returns whether a timeline holds an expected event of a fault. The event must be recorded between the begin of the
// fault and maxEventDelayMicroseconds after its end. A fault of a sidecar or of a relay counts as a fault of its
// server. The event must come from that server or its sidecar, or have the server as its subject. For a fault of the
// store, an event of any instance counts.
bool TimelineChecker::hasExpectedEvent(const InjectedFault &fault) const
{
    const auto rule
        = std::find_if(expectedEvents.begin(), expectedEvents.end(), [&fault](const ExpectedEvents &candidate) {
              return fault.kind == candidate.faultKind;
          });
    if (rule == expectedEvents.end()) {
        return false;
    }
    const std::string server = fault.server();
    return std::any_of(m_events.begin(), m_events.end(), [&](const auto &entry) {
        const Event &event = entry.second;
        const bool isInTimeWindow
            = event.wallMicroseconds >= fault.from && event.wallMicroseconds <= fault.until + maxEventDelayMicroseconds;
        const bool isExpectedKind
            = std::find(rule->eventKinds.begin(), rule->eventKinds.end(), event.kind) != rule->eventKinds.end();
        const bool concernsTarget = server == "store" || event.instance == server
            || event.instance == "sidecar-" + server || event.subject == server;
        return isInTimeWindow && isExpectedKind && concernsTarget;
    });
}

void TimelineChecker::checkEventOrder(std::vector<std::string> &findings) const
{
    std::map<std::pair<std::string, std::uint64_t>, std::size_t> highestRanks;
    for (const auto &[key, event] : m_events) {
        const auto position = std::find(generationEventOrder.begin(), generationEventOrder.end(), event.kind);
        if (position == generationEventOrder.end() || event.request.empty()) {
            continue;
        }
        const auto rank = static_cast<std::size_t>(position - generationEventOrder.begin());
        std::size_t &highestRank = highestRanks[{ event.request, event.generation }];
        if (rank < highestRank) {
            findings.push_back("event " + event.kind + " of request " + event.request + ": recorded after "
                               + generationEventOrder.at(highestRank) + ", expected before it");
        }
        highestRank = std::max(highestRank, rank);
    }
}

} // namespace zinniadock::load
