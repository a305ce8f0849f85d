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

/// Checks the timelines of a run against its injected faults. It shares no code with the daemons.
class TimelineChecker
{
public:
    /// Adds one event of the recorded history. Events other than `fault` are ignored.
    void addHistoryEvent(const nlohmann::json &event);

    /// Adds the timeline of one process. A later, longer copy of the same timeline may be added; its events replace the
    /// earlier ones.
    void addTimeline(const nlohmann::json &timeline);

    /// Adds the totals to \p figures, and returns one sentence for each fault without an expected event and for each
    /// event of a generation that is out of order.
    std::vector<std::string> check(Figures &figures) const;

private:
    struct Event
    {
        std::string instance;
        std::string kind;
        std::string subject;
        std::string request;
        std::uint64_t generation = 0;
        std::int64_t wallMicroseconds = 0; ///< microseconds since the epoch
    };

    bool hasExpectedEvent(const InjectedFault &fault) const;
    void checkEventOrder(std::vector<std::string> &findings) const;

    std::vector<InjectedFault> m_faults;
    std::map<std::pair<std::uint64_t, std::string>, Event> m_events; ///< by hybrid time and instance
};

} // namespace zinniadock::load
