#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

namespace zinniadock::load
{

/// One broken promise, with the events that show it.
struct Violation
{
    std::string rule;
    std::string detail;
};

/// Checks a recorded history against the promises, from what callers, engines, services and operators saw.
///
/// It shares no code with the daemons. The rules:
///  - tokens: each token once, in order, from one generation, of the caller's own prompt
///  - whole: an answer shown as whole has as many tokens as its engine generated
///  - not-run: a request answered as not run was started by no engine and no service
///  - at-most-once: a call that may not be repeated ran at most once
///  - leaving: a server starts nothing more than three seconds after it was told to leave
///  - lost: a generation whose tokens were shown is not given up while its engine lives
///  - revision: the revision that an incarnation of a process reports never goes down
class HistoryChecker
{
public:
    /// Takes one event; events may come in any order.
    void add(const nlohmann::json &event);

    /// Returns every violation found in the events taken.
    std::vector<Violation> check() const;

    std::size_t eventCount() const;

private:
    void checkTokens(std::vector<Violation> &violations) const;
    void checkNotRun(std::vector<Violation> &violations) const;
    void checkAtMostOnce(std::vector<Violation> &violations) const;
    void checkLeaving(std::vector<Violation> &violations) const;
    void checkLost(std::vector<Violation> &violations) const;
    void checkRevisions(std::vector<Violation> &violations) const;

    std::size_t m_events = 0;
    std::vector<nlohmann::json> m_answers;
    std::vector<nlohmann::json> m_calls;
    std::vector<nlohmann::json> m_starts; ///< of engines
    std::map<std::string, std::set<std::uint64_t>> m_lengths; ///< by generation key
    std::vector<nlohmann::json> m_runs; ///< of services
    std::vector<nlohmann::json> m_leavings;
    std::vector<nlohmann::json> m_engineKills;
    std::vector<nlohmann::json> m_revisions;
};

} // namespace zinniadock::load
