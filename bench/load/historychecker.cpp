#include "historychecker.h"

#include <algorithm>

namespace zinniadock::load
{

namespace
{

using Json = nlohmann::json;

constexpr std::int64_t leavingGraceMicroseconds = 3000000;
constexpr std::size_t requestIdLength = 32;

std::string field(const Json &event, const char *name)
{
    return event.value(name, std::string());
}

// The token's text up to its stamps.
std::string identityOf(const std::string &token)
{
    return token.substr(0, token.find_first_of("@ "));
}

} // namespace

void HistoryChecker::add(const Json &event)
{
    ++m_events;
    const std::string kind = field(event, "event");
    if (kind == "answer") {
        m_answers.push_back(event);
    } else if (kind == "call") {
        m_calls.push_back(event);
    } else if (kind == "engine_start") {
        m_starts.push_back(event);
    } else if (kind == "engine_end") {
        m_lengths[field(event, "key")].insert(event.value("tokens", std::uint64_t()));
    } else if (kind == "service_run") {
        m_runs.push_back(event);
    } else if (kind == "fault" && field(event, "kind") == "kill_engine") {
        m_engineKills.push_back(event);
    } else if (kind == "leaving") {
        m_leavings.push_back(event);
    } else if (kind == "revision") {
        m_revisions.push_back(event);
    }
}

std::vector<Violation> HistoryChecker::check() const
{
    std::vector<Violation> violations;
    checkTokens(violations);
    checkNotRun(violations);
    checkAtMostOnce(violations);
    checkLeaving(violations);
    checkLost(violations);
    checkRevisions(violations);
    return violations;
}

std::size_t HistoryChecker::eventCount() const
{
    return m_events;
}

void HistoryChecker::checkTokens(std::vector<Violation> &violations) const
{
    for (const Json &answer : m_answers) {
        const std::string request = field(answer, "request");
        const auto tokens = answer.value("tokens", std::vector<std::string>());
        std::string generation;
        for (std::size_t i = 0; i < tokens.size(); ++i) {
            const std::string identity = identityOf(tokens[i]);
            const std::size_t mark = identity.find(':');
            const std::size_t number = identity.rfind(':');
            if (i == 0 && mark != std::string::npos && number > mark) {
                generation = identity.substr(mark + 1, number - mark - 1);
            }
            const std::string expected = field(answer, "mark") + ":" + generation + ":" + std::to_string(i);
            if (identity != expected) {
                violations.push_back({ "tokens", request + " was shown " + identity + ", expected " + expected });
                break;
            }
        }
        if (field(answer, "end") != "whole") {
            continue;
        }
        const auto length = m_lengths.find(request + "-" + generation);
        if (length == m_lengths.end() || !length->second.contains(tokens.size())) {
            violations.push_back({ "whole",
                                   request + " was shown " + std::to_string(tokens.size())
                                       + " tokens as whole, which its engine did not generate" });
        }
    }
}

void HistoryChecker::checkNotRun(std::vector<Violation> &violations) const
{
    std::set<std::string> ran;
    for (const Json &start : m_starts) {
        ran.insert(field(start, "key").substr(0, requestIdLength));
    }
    for (const Json &run : m_runs) {
        ran.insert(field(run, "request"));
    }
    for (const auto *list : { &m_answers, &m_calls }) {
        for (const Json &answer : *list) {
            const std::string request = field(answer, "request");
            if (field(answer, "verdict") == "not_run" && !request.empty() && ran.contains(request)) {
                violations.push_back({ "not-run", request + " was answered as not run and ran" });
            }
        }
    }
}

void HistoryChecker::checkAtMostOnce(std::vector<Violation> &violations) const
{
    std::map<std::string, int> runs;
    for (const Json &run : m_runs) {
        if (field(run, "method") == "POST" && ++runs[field(run, "body")] == 2) {
            violations.push_back({ "at-most-once", "\"" + field(run, "body") + "\" ran more than once" });
        }
    }
    for (const Json &call : m_calls) {
        if (field(call, "verdict") == "ran" && !runs.contains(field(call, "body"))) {
            violations.push_back(
                { "at-most-once", "\"" + field(call, "body") + "\" was answered as run and did not run" });
        }
    }
}

void HistoryChecker::checkLeaving(std::vector<Violation> &violations) const
{
    for (const Json &leaving : m_leavings) {
        const std::int64_t from = leaving.value("time", std::int64_t()) + leavingGraceMicroseconds;
        const std::int64_t until = leaving.value("until", std::int64_t(INT64_MAX));
        for (const Json &start : m_starts) {
            const std::int64_t time = start.value("time", std::int64_t());
            if (field(start, "server") == field(leaving, "server") && time > from && time < until) {
                violations.push_back(
                    { "leaving",
                      field(start, "key") + " started on " + field(leaving, "server") + ", which was leaving" });
            }
        }
    }
}

void HistoryChecker::checkLost(std::vector<Violation> &violations) const
{
    const auto time = [](const Json &event) {
        return event.value("time", std::int64_t());
    };
    for (const Json &answer : m_answers) {
        if (field(answer, "end") != "error" || answer.value("tokens", Json::array()).empty()) {
            continue;
        }
        const std::string request = field(answer, "request");
        for (const Json &start : m_starts) {
            if (!field(start, "key").starts_with(request + "-")) {
                continue;
            }
            const bool died = std::any_of(m_engineKills.begin(), m_engineKills.end(), [&](const Json &kill) {
                return field(kill, "target") == field(start, "server") && time(kill) >= time(start)
                    && time(kill) <= time(answer);
            });
            if (!died) {
                violations.push_back(
                    { "lost", request + " was given up, and its engine " + field(start, "server") + " lived" });
            }
        }
    }
}

void HistoryChecker::checkRevisions(std::vector<Violation> &violations) const
{
    std::vector<Json> ordered = m_revisions;
    std::stable_sort(ordered.begin(), ordered.end(), [](const Json &a, const Json &b) {
        return a.value("time", std::int64_t()) < b.value("time", std::int64_t());
    });
    std::map<std::string, std::uint64_t> highest;
    for (const Json &report : ordered) {
        const std::string process = field(report, "instance") + "/" + field(report, "incarnation");
        const std::uint64_t revision = report.value("revision", std::uint64_t());
        if (revision < highest[process]) {
            violations.push_back({ "revision",
                                   process + " went from revision " + std::to_string(highest[process]) + " to "
                                       + std::to_string(revision) });
        }
        highest[process] = std::max(highest[process], revision);
    }
}

} // namespace zinniadock::load
