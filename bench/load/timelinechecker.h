#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "figures.h"
#include "injectedfault.h"

namespace zinniadock::load
{

/// Holds the time lines of a run against its injected faults; it shares no code with the daemons.
class TimelineChecker
{
public:
    /// Takes one event of the recorded history; only `fault` matters.
    void addHistory(const nlohmann::json &event);

    /// Takes the time line of one process. The same one may be taken again later, with more events.
    void addTimeline(const nlohmann::json &timeline);

    /// Returns a sentence for each fault without a trace, and each event that comes before its cause.
    std::vector<std::string> check(Figures &figures) const;

private:
    struct Event
    {
        std::string instance;
        std::string kind;
        std::string subject;
        std::string request;
        std::uint64_t generation = 0;
        std::int64_t wall = 0; ///< microseconds since the epoch
    };

    bool hasTrace(const InjectedFault &fault) const;
    void checkCauses(std::vector<std::string> &findings) const;

    std::vector<InjectedFault> m_faults;
    std::map<std::pair<std::uint64_t, std::string>, Event> m_events; ///< by hybrid time and instance
};

} // namespace zinniadock::load
