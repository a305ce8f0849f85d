#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

namespace zinniadock::load
{

/// A violation of a delivery guarantee, with the request, call, generation or process that shows it.
struct Violation
{
    std::string rule; ///< name of the violated rule, see HistoryChecker
    std::string detail;
};

/// Checks a recorded history against the delivery guarantees.
///
/// The history holds the events that callers, engines, services and operators recorded. The checker shares no code with
/// the daemons. The rules:
///  - tokens: a caller receives each token exactly once, in order, from a single generation of its own prompt
///  - whole: a response that ended as complete has as many tokens as its engine generated
///  - not-run: no engine and no service started a request that was reported as not run
///  - at-most-once: a POST call, identified by its body, runs at most once, and a call that was reported as run did run
///  - leaving: a draining server starts no generation later than three seconds after it was told to drain
///  - lost: a request that received tokens does not end with an error unless each engine that started a generation of
///    the request was killed between that start and the end of the response
///  - revision: the revision that one incarnation of a process reports never decreases
class HistoryChecker
{
public:
    /// Adds one event. Events may be added in any order.
    void add(const nlohmann::json &event);

    /// Returns all violations in the events added so far.
    std::vector<Violation> check() const;

    std::size_t eventCount() const;

private:
    void checkGeneratedTokens(std::vector<Violation> &violations) const;
    void checkNotRun(std::vector<Violation> &violations) const;
    void checkAtMostOnce(std::vector<Violation> &violations) const;
    void checkDraining(std::vector<Violation> &violations) const;
    void checkAbandoned(std::vector<Violation> &violations) const;
    void checkRevisions(std::vector<Violation> &violations) const;

    std::size_t m_eventCount = 0;
    std::vector<nlohmann::json> m_responses;
    std::vector<nlohmann::json> m_calls;
    std::vector<nlohmann::json> m_engineStarts;
    std::map<std::string, std::set<std::uint64_t>> m_generatedTokenCounts; ///< by generation key
    std::vector<nlohmann::json> m_serviceRuns;
    std::vector<nlohmann::json> m_drains;
    std::vector<nlohmann::json> m_engineKills;
    std::vector<nlohmann::json> m_revisionReports;
};

} // namespace zinniadock::load
