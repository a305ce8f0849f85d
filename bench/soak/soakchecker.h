#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace zinniadock::soak
{

enum class RequestKind {
    Generation,
    Order, ///< not idempotent: must be executed at most once
    Read, ///< idempotent: may be executed several times
};

/// The result of one request, as observed by its caller.
struct Outcome
{
    std::string id;
    RequestKind kind = RequestKind::Read;
    int status = 0; ///< HTTP status; 0 if the connection failed before the response head was read
    bool isSigned = false; ///< the response has the signature of a backend server
    bool isComplete = false; ///< the response body was read to its end
    bool isMalformed = false; ///< bytes arrived that are no part of a response
    std::string body;
    std::optional<std::chrono::steady_clock::time_point> leftAt; ///< when the caller closed the connection early
};

/// One execution of a request, as recorded by a backend server.
struct Execution
{
    std::string id;
    std::string body;
    bool isContinuation = false; ///< resumes an earlier execution from a copy of its KV cache
    std::chrono::steady_clock::time_point startedAt;
};

/// Checks the guarantees of the daemons from what callers and backend servers observed. Shares no code with the
/// daemons. Not thread-safe.
class SoakChecker
{
public:
    /// \param completeStream  expected body of a complete generation
    explicit SoakChecker(std::string completeStream);

    void add(Outcome outcome);
    void add(const Execution &execution);

    /// Records the configuration version that a process reports. A version lower than one that the same incarnation of
    /// the process reported before is a violation.
    void recordVersion(const std::string &process, std::uint64_t version);

    /// Adds a violation that was detected outside of the checker.
    void addViolation(const std::string &text);

    /// Returns all violations. The result is complete only after the outcomes of all callers and the executions of all
    /// backend servers were added.
    std::vector<std::string> check() const;

    /// Returns the number of requests by outcome: served, refused, broken or failed.
    std::map<std::string, std::size_t> countOutcomes() const;

private:
    /// Returns the first violation that the outcome shows; empty if there is none.
    std::string violationOf(const Outcome &outcome) const;

    const std::string m_completeStream;
    std::vector<Outcome> m_outcomes;
    std::map<std::string, std::vector<Execution>> m_executions; ///< by request id
    std::map<std::string, std::uint64_t> m_versions; ///< highest reported version by process incarnation
    std::vector<std::string> m_violations;
};

} // namespace zinniadock::soak
