#include "soakchecker.h"

#include <algorithm>

namespace zinniadock::soak
{

namespace
{

constexpr int ok = 200;

/// Statuses that promise that a request has not run and never will.
bool promisesNotRun(int status)
{
    return status == 408 || status == 421 || status == 429 || status == 503;
}

} // namespace

SoakChecker::SoakChecker(std::string wholeStream)
    : m_wholeStream(std::move(wholeStream))
{
}

void SoakChecker::add(Outcome outcome)
{
    m_outcomes.push_back(std::move(outcome));
}

void SoakChecker::add(const SeenRun &run)
{
    m_runs[run.id].push_back(run);
}

void SoakChecker::version(const std::string &process, std::uint64_t version)
{
    std::uint64_t &last = m_versions[process];
    if (version < last) {
        violation(process + ": configuration " + std::to_string(last) + " went back to " + std::to_string(version));
    }
    last = std::max(last, version);
}

void SoakChecker::violation(const std::string &text)
{
    m_violations.push_back(text);
}

std::string SoakChecker::problemOf(const Outcome &outcome) const
{
    const auto found = m_runs.find(outcome.id);
    const std::size_t runs = found == m_runs.end()
        ? 0
        : static_cast<std::size_t>(std::count_if(found->second.begin(), found->second.end(), [](const SeenRun &run) {
              return !run.continues;
          }));
    if (outcome.kind != RequestKind::Read && runs > 1) {
        return "ran " + std::to_string(runs) + " times";
    }
    if (outcome.kind != RequestKind::Read && promisesNotRun(outcome.status) && found != m_runs.end()) {
        return "status " + std::to_string(outcome.status) + " promises that it did not run, but it did";
    }
    if (outcome.status != ok) {
        return "";
    }
    if (!outcome.isSigned) {
        return "a success without a server's signature";
    }
    if (outcome.kind == RequestKind::Generation) {
        const bool isPart = m_wholeStream.compare(0, outcome.body.size(), outcome.body) == 0;
        const bool isWhole = outcome.body.size() == m_wholeStream.size();
        return !isPart                  ? "events missing, repeated or out of order"
            : outcome.whole && !isWhole ? "an answer that ended early looks whole"
                                        : "";
    }
    const bool isOwn = outcome.body.find("body of " + outcome.id + "\"") != std::string::npos;
    return outcome.whole && outcome.kind == RequestKind::Order && !isOwn ? "the answer to another request" : "";
}

std::vector<std::string> SoakChecker::check() const
{
    std::vector<std::string> violations = m_violations;
    for (const Outcome &outcome : m_outcomes) {
        const std::string problem = problemOf(outcome);
        if (!problem.empty()) {
            violations.push_back(outcome.id + ": " + problem);
        }
    }
    return violations;
}

std::map<std::string, std::size_t> SoakChecker::ends() const
{
    std::map<std::string, std::size_t> ends;
    for (const Outcome &outcome : m_outcomes) {
        const bool served = outcome.status == ok && outcome.whole;
        ++ends[served                                      ? "served"
                   : promisesNotRun(outcome.status)        ? "refused"
                   : outcome.status == 0 || !outcome.whole ? "broken"
                                                           : "failed"];
    }
    return ends;
}

} // namespace zinniadock::soak
