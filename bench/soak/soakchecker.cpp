#include "soakchecker.h"

#include <algorithm>

namespace zinniadock::soak
{

namespace
{

constexpr int ok = 200;

/// After a caller has left, nothing may be sent on for it later than this.
constexpr std::chrono::milliseconds sendWithin{ 500 };

/// Returns whether the status guarantees that the request was not executed and never will be.
bool guaranteesNotExecuted(int status)
{
    return status == 408 || status == 421 || status == 429 || status == 503;
}

} // namespace

SoakChecker::SoakChecker(std::string completeStream)
    : m_completeStream(std::move(completeStream))
{
}

void SoakChecker::add(Outcome outcome)
{
    m_outcomes.push_back(std::move(outcome));
}

void SoakChecker::add(const Execution &execution)
{
    m_executions[execution.id].push_back(execution);
}

void SoakChecker::recordVersion(const std::string &process, std::uint64_t version)
{
    std::uint64_t &highest = m_versions[process];
    if (version < highest) {
        addViolation(process + ": configuration version went back from " + std::to_string(highest) + " to "
                     + std::to_string(version));
    }
    highest = std::max(highest, version);
}

void SoakChecker::addViolation(const std::string &text)
{
    m_violations.push_back(text);
}

std::string SoakChecker::violationOf(const Outcome &outcome) const
{
    const auto found = m_executions.find(outcome.id);
    const std::size_t executionCount = found == m_executions.end()
        ? 0
        : static_cast<std::size_t>(
            std::count_if(found->second.begin(), found->second.end(), [](const Execution &execution) {
                return !execution.isContinuation;
            }));
    if (outcome.kind != RequestKind::Read && executionCount > 1) {
        return "executed " + std::to_string(executionCount) + " times, expected at most once";
    }
    if (outcome.kind != RequestKind::Read && guaranteesNotExecuted(outcome.status) && found != m_executions.end()) {
        return "status " + std::to_string(outcome.status)
            + " guarantees that the request was not executed, but it was executed";
    }
    // The relay of an engine may hold a generation that was sent before its caller left.
    const bool isSentLate = outcome.leftAt && outcome.kind != RequestKind::Generation && found != m_executions.end()
        && std::any_of(found->second.begin(), found->second.end(), [&outcome](const Execution &execution) {
                                return execution.startedAt > *outcome.leftAt + sendWithin;
                            });
    if (isSentLate) {
        return "sent to a server after its caller had left";
    }
    if (outcome.isMalformed) {
        return "received bytes that are no part of a response";
    }
    if (outcome.status != ok) {
        return "";
    }
    if (!outcome.isSigned) {
        return "status 200 without the signature of a backend server";
    }
    if (outcome.kind == RequestKind::Generation) {
        const bool isPrefix = m_completeStream.compare(0, outcome.body.size(), outcome.body) == 0;
        const bool hasFullLength = outcome.body.size() == m_completeStream.size();
        return !isPrefix                           ? "events of the stream are missing, repeated or out of order"
            : outcome.isComplete && !hasFullLength ? "a truncated stream ended like a complete one"
                                                   : "";
    }
    const bool isOwnBody = outcome.body.find("body of " + outcome.id + "\"") != std::string::npos;
    return outcome.isComplete && outcome.kind == RequestKind::Order && !isOwnBody
        ? "received the response to another request"
        : "";
}

std::vector<std::string> SoakChecker::check() const
{
    std::vector<std::string> violations = m_violations;
    for (const Outcome &outcome : m_outcomes) {
        const std::string violation = violationOf(outcome);
        if (!violation.empty()) {
            violations.push_back(outcome.id + ": " + violation);
        }
    }
    return violations;
}

std::map<std::string, std::size_t> SoakChecker::countOutcomes() const
{
    std::map<std::string, std::size_t> counts;
    for (const Outcome &outcome : m_outcomes) {
        const bool served = outcome.status == ok && outcome.isComplete;
        ++counts[served                                           ? "served"
                     : guaranteesNotExecuted(outcome.status)      ? "refused"
                     : outcome.status == 0 || !outcome.isComplete ? "broken"
                                                                  : "failed"];
    }
    return counts;
}

} // namespace zinniadock::soak
