#include "historychecker.h"

#include <algorithm>

namespace zinniadock::load
{

namespace
{

using Json = nlohmann::json;

// Time after a drain request in which a server may still start generations.
constexpr std::int64_t drainGraceMicroseconds = 3000000;
constexpr std::size_t requestIdLength = 32; // a generation key is the request id, "-" and a generation number

std::string stringField(const Json &event, const char *name)
{
    return event.value(name, std::string());
}

// Returns the part of a token before its timestamps: `MARK:generation:index`.
std::string tokenIdentity(const std::string &token)
{
    return token.substr(0, token.find_first_of("@ "));
}

} // namespace

void HistoryChecker::add(const Json &event)
{
    ++m_eventCount;
    const std::string kind = stringField(event, "event");
    if (kind == "answer") {
        m_responses.push_back(event);
    } else if (kind == "call") {
        m_calls.push_back(event);
    } else if (kind == "engine_start") {
        m_engineStarts.push_back(event);
    } else if (kind == "engine_end") {
        m_generatedTokenCounts[stringField(event, "key")].insert(event.value("tokens", std::uint64_t()));
    } else if (kind == "service_run") {
        m_serviceRuns.push_back(event);
    } else if (kind == "fault" && stringField(event, "kind") == "kill_engine") {
        m_engineKills.push_back(event);
    } else if (kind == "leaving") {
        m_drains.push_back(event);
    } else if (kind == "revision") {
        m_revisionReports.push_back(event);
    }
}

std::vector<Violation> HistoryChecker::check() const
{
    std::vector<Violation> violations;
    checkGeneratedTokens(violations);
    checkNotRun(violations);
    checkAtMostOnce(violations);
    checkDraining(violations);
    checkAbandoned(violations);
    checkRevisions(violations);
    return violations;
}

std::size_t HistoryChecker::eventCount() const
{
    return m_eventCount;
}

void HistoryChecker::checkGeneratedTokens(std::vector<Violation> &violations) const
{
    for (const Json &response : m_responses) {
        const std::string request = stringField(response, "request");
        const auto tokens = response.value("tokens", std::vector<std::string>());
        std::string generation;
        for (std::size_t i = 0; i < tokens.size(); ++i) {
            const std::string identity = tokenIdentity(tokens[i]);
            const std::size_t markEnd = identity.find(':');
            const std::size_t generationEnd = identity.rfind(':');
            if (i == 0 && markEnd != std::string::npos && generationEnd > markEnd) {
                generation = identity.substr(markEnd + 1, generationEnd - markEnd - 1);
            }
            const std::string expected = stringField(response, "mark") + ":" + generation + ":" + std::to_string(i);
            if (identity != expected) {
                violations.push_back(
                    { "tokens",
                      "request " + request + ": received token \"" + identity + "\", expected \"" + expected + "\"" });
                break;
            }
        }
        if (stringField(response, "end") != "whole") {
            continue;
        }
        const auto generatedCounts = m_generatedTokenCounts.find(request + "-" + generation);
        if (generatedCounts == m_generatedTokenCounts.end() || !generatedCounts->second.contains(tokens.size())) {
            violations.push_back({ "whole",
                                   "request " + request + ": ended as complete after " + std::to_string(tokens.size())
                                       + " tokens, but its engine recorded no generation of that length" });
        }
    }
}

void HistoryChecker::checkNotRun(std::vector<Violation> &violations) const
{
    std::set<std::string> startedRequests;
    for (const Json &start : m_engineStarts) {
        startedRequests.insert(stringField(start, "key").substr(0, requestIdLength));
    }
    for (const Json &run : m_serviceRuns) {
        startedRequests.insert(stringField(run, "request"));
    }
    for (const auto *responses : { &m_responses, &m_calls }) {
        for (const Json &response : *responses) {
            const std::string request = stringField(response, "request");
            if (stringField(response, "verdict") == "not_run" && !request.empty()
                && startedRequests.contains(request)) {
                violations.push_back(
                    { "not-run",
                      "request " + request + ": was reported as not run, but an engine or a service ran it" });
            }
        }
    }
}

void HistoryChecker::checkAtMostOnce(std::vector<Violation> &violations) const
{
    std::map<std::string, int> runs;
    for (const Json &run : m_serviceRuns) {
        if (stringField(run, "method") == "POST" && ++runs[stringField(run, "body")] == 2) {
            violations.push_back({ "at-most-once", "call \"" + stringField(run, "body") + "\": ran more than once" });
        }
    }
    for (const Json &call : m_calls) {
        if (stringField(call, "verdict") == "ran" && !runs.contains(stringField(call, "body"))) {
            violations.push_back(
                { "at-most-once",
                  "call \"" + stringField(call, "body") + "\": was reported as run, but no service ran it" });
        }
    }
}

void HistoryChecker::checkDraining(std::vector<Violation> &violations) const
{
    for (const Json &drain : m_drains) {
        const std::int64_t from = drain.value("time", std::int64_t()) + drainGraceMicroseconds;
        const std::int64_t until = drain.value("until", std::int64_t(INT64_MAX));
        for (const Json &start : m_engineStarts) {
            const std::int64_t time = start.value("time", std::int64_t());
            if (stringField(start, "server") == stringField(drain, "server") && time > from && time < until) {
                violations.push_back({ "leaving",
                                       "generation " + stringField(start, "key") + ": started on server "
                                           + stringField(drain, "server") + ", which was draining" });
            }
        }
    }
}

void HistoryChecker::checkAbandoned(std::vector<Violation> &violations) const
{
    const auto time = [](const Json &event) {
        return event.value("time", std::int64_t());
    };
    for (const Json &response : m_responses) {
        if (stringField(response, "end") != "error" || response.value("tokens", Json::array()).empty()) {
            continue;
        }
        const std::string request = stringField(response, "request");
        for (const Json &start : m_engineStarts) {
            if (!stringField(start, "key").starts_with(request + "-")) {
                continue;
            }
            const bool wasKilled = std::any_of(m_engineKills.begin(), m_engineKills.end(), [&](const Json &kill) {
                return stringField(kill, "target") == stringField(start, "server") && time(kill) >= time(start)
                    && time(kill) <= time(response);
            });
            if (!wasKilled) {
                violations.push_back({ "lost",
                                       "request " + request + ": ended with an error, although its engine "
                                           + stringField(start, "server") + " was not killed" });
            }
        }
    }
}

void HistoryChecker::checkRevisions(std::vector<Violation> &violations) const
{
    std::vector<Json> orderedReports = m_revisionReports;
    std::stable_sort(orderedReports.begin(), orderedReports.end(), [](const Json &a, const Json &b) {
        return a.value("time", std::int64_t()) < b.value("time", std::int64_t());
    });
    std::map<std::string, std::uint64_t> highestRevision;
    for (const Json &report : orderedReports) {
        const std::string process = stringField(report, "instance") + "/" + stringField(report, "incarnation");
        const std::uint64_t revision = report.value("revision", std::uint64_t());
        if (revision < highestRevision[process]) {
            violations.push_back({ "revision",
                                   "process " + process + ": reported revision decreased from "
                                       + std::to_string(highestRevision[process]) + " to "
                                       + std::to_string(revision) });
        }
        highestRevision[process] = std::max(highestRevision[process], revision);
    }
}

} // namespace zinniadock::load
