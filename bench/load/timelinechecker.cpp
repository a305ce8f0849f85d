#include "timelinechecker.h"

#include <algorithm>
#include <array>

namespace zinniadock::load
{

namespace
{

using Json = nlohmann::json;

constexpr std::uint64_t timesPerMicrosecond = 4096;

// A fault leaves its trace while it lasts, or so long after.
constexpr std::int64_t traceMicroseconds = 6000000;

struct TraceRule
{
    const char *fault;
    std::vector<std::string> kinds; ///< any of these
};

const std::array<TraceRule, 16> traceRules{ {
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

// Each kind of event of one generation comes after the one before it in this list.
const std::array<const char *, 5> causes{ "received", "offered", "admitted", "first_token", "finished" };

} // namespace

void TimelineChecker::addHistory(const Json &event)
{
    if (const auto fault = readFault(event)) {
        m_faults.push_back(*fault);
    }
}

void TimelineChecker::addTimeline(const Json &timeline)
{
    const auto instance = timeline.value("instance", std::string());
    for (const Json &entry : timeline.value("events", Json::array())) {
        const auto time = entry.value("time", std::uint64_t());
        m_events[{ time, instance }] = { .instance = instance,
                                         .kind = entry.value("kind", std::string()),
                                         .subject = entry.value("subject", std::string()),
                                         .request = entry.value("request", std::string()),
                                         .generation = entry.value("generation", std::uint64_t()),
                                         .wall = static_cast<std::int64_t>(time / timesPerMicrosecond) };
    }
}

std::vector<std::string> TimelineChecker::check(Figures &figures) const
{
    std::vector<std::string> findings;
    std::size_t found = 0;
    for (const InjectedFault &fault : m_faults) {
        if (hasTrace(fault)) {
            ++found;
        } else {
            findings.push_back(fault.kind + " of " + fault.target + " at " + std::to_string(fault.from)
                               + " left no trace");
        }
    }
    const std::size_t before = findings.size();
    checkCauses(findings);
    figures.add("timeline_events", static_cast<double>(m_events.size()));
    figures.add("timeline_faults", static_cast<double>(m_faults.size()));
    figures.add("timeline_faults_found", static_cast<double>(found));
    figures.add("timeline_effects_before_causes", static_cast<double>(findings.size() - before));
    return findings;
}

// An instance has a trace of a fault if it is the target or the sidecar of the target, or tells of it by name. The
// store is known to all by one name, and relays stand for the server behind them.
bool TimelineChecker::hasTrace(const InjectedFault &fault) const
{
    const auto rule = std::find_if(traceRules.begin(), traceRules.end(), [&fault](const TraceRule &candidate) {
        return fault.kind == candidate.fault;
    });
    if (rule == traceRules.end()) {
        return false;
    }
    const std::string server = fault.server();
    return std::any_of(m_events.begin(), m_events.end(), [&](const auto &entry) {
        const Event &event = entry.second;
        const bool inTime = event.wall >= fault.from && event.wall <= fault.until + traceMicroseconds;
        const bool isKind = std::find(rule->kinds.begin(), rule->kinds.end(), event.kind) != rule->kinds.end();
        const bool isOfTarget = server == "store" || event.instance == server || event.instance == "sidecar-" + server
            || event.subject == server;
        return inTime && isKind && isOfTarget;
    });
}

void TimelineChecker::checkCauses(std::vector<std::string> &findings) const
{
    std::map<std::pair<std::string, std::uint64_t>, std::size_t> reached;
    for (const auto &[key, event] : m_events) {
        const auto position = std::find(causes.begin(), causes.end(), event.kind);
        if (position == causes.end() || event.request.empty()) {
            continue;
        }
        const auto rank = static_cast<std::size_t>(position - causes.begin());
        std::size_t &highest = reached[{ event.request, event.generation }];
        if (rank < highest) {
            findings.push_back(event.kind + " of " + event.request + " comes after " + causes.at(highest));
        }
        highest = std::max(highest, rank);
    }
}

} // namespace zinniadock::load
