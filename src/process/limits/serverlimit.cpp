#include "zinniadock/process/limits/serverlimit.h"

#include <algorithm>
#include <charconv>
#include <cmath>

#include "zinniadock/process/observing/eventlog.h"

namespace zinniadock
{

namespace
{

/// Labels of the metrics, in the order of SendReason.
constexpr std::array<const char *, sendReasonCount> sendReasonNames{ "first", "retry", "move", "control" };

/// Parses a decimal number of requests per second. Returns infinity for a number too large for a double, and nothing if
/// the text is not a non-negative decimal number.
std::optional<double> parseDecimal(const std::string &text)
{
    const bool isDecimal = !text.empty() && text.find_first_not_of("0123456789.eE+") == std::string::npos;
    double value = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (!isDecimal || end != text.data() + text.size()) {
        return std::nullopt;
    }
    if (error == std::errc::result_out_of_range) {
        return HUGE_VAL;
    }
    return error == std::errc() ? std::optional(value) : std::nullopt;
}

} // namespace

ServerIncarnation incarnationOf(const ServerRecord &record)
{
    return { .id = record.id, .startTimeMs = record.startTimeMs };
}

LimitReading readLimit(const std::vector<std::string> &values)
{
    LimitReading reading;
    std::string quoted;
    bool isValid = values.size() <= 1;
    for (const std::string &value : values) {
        quoted += (quoted.empty() ? "\"" : ", \"") + value + "\"";
        const auto number = parseDecimal(value);
        if (!number) {
            isValid = false;
            continue;
        }
        const double bounded = std::clamp(*number, minRequestLimit, maxRequestLimit);
        isValid = isValid && bounded == *number;
        reading.perSecond = std::min(reading.perSecond.value_or(bounded), bounded);
    }
    if (!isValid) {
        reading.problem = "expected one limit from 0.05 to 1000000 requests per second, found " + quoted;
    }
    return reading;
}

LimitChange KnownLimits::observe(const ServerIncarnation &server, const LimitReading &reading,
                                 const std::string &source, SteadyTime now)
{
    const auto found = m_limits.find(server);
    if (reading.perSecond) {
        KnownLimit &limit = m_limits[server];
        limit.responsesWithout = 0;
        return merge(server, reading.perSecond, now, source);
    }
    const bool statesNoLimit = reading.problem.empty();
    if (found == m_limits.end() || !found->second.perSecond || !statesNoLimit
        || ++found->second.responsesWithout < responsesUntilEnd) {
        return LimitChange::None;
    }
    return merge(server, std::nullopt, now, source);
}

LimitChange KnownLimits::merge(const ServerIncarnation &server, std::optional<double> perSecond, SteadyTime observedAt,
                               const std::string &source)
{
    if (!perSecond && !m_limits.contains(server)) {
        return LimitChange::None;
    }
    KnownLimit &limit = m_limits[server];
    if (observedAt < limit.observedAt) {
        return LimitChange::None;
    }
    const std::optional<double> previous = limit.perSecond;
    limit.perSecond = perSecond;
    limit.observedAt = observedAt;
    limit.source = source;
    if (previous == perSecond) {
        return LimitChange::None;
    }
    return !perSecond ? LimitChange::Ended : previous ? LimitChange::Changed : LimitChange::Named;
}

std::optional<double> KnownLimits::find(const ServerIncarnation &server) const
{
    const auto found = m_limits.find(server);
    return found == m_limits.end() ? std::nullopt : found->second.perSecond;
}

bool KnownLimits::isNewProblem(const ServerIncarnation &server, const std::string &problem)
{
    std::string &reported = m_reportedProblems[server];
    if (reported == problem) {
        return false;
    }
    reported = problem;
    return true;
}

void KnownLimits::recordSent(const ServerIncarnation &server, SendReason reason)
{
    const auto found = m_limits.find(server);
    if (found != m_limits.end() && found->second.perSecond) {
        ++found->second.sent.at(static_cast<std::size_t>(reason));
    }
}

void KnownLimits::recordWithheld(const ServerIncarnation &server)
{
    const auto found = m_limits.find(server);
    if (found != m_limits.end()) {
        ++found->second.withheld;
    }
}

std::vector<ServerIncarnation> KnownLimits::remove(const std::string &serverId)
{
    std::erase_if(m_reportedProblems, [&serverId](const auto &entry) {
        return entry.first.id == serverId;
    });
    std::vector<ServerIncarnation> removed;
    std::erase_if(m_limits, [&removed, &serverId](const auto &entry) {
        const bool isOfServer = entry.first.id == serverId;
        if (isOfServer) {
            removed.push_back(entry.first);
        }
        return isOfServer;
    });
    return removed;
}

const std::map<ServerIncarnation, KnownLimit> &KnownLimits::all() const
{
    return m_limits;
}

LimitChange observeLimit(KnownLimits &limits, const ServerIncarnation &server, const std::vector<std::string> &values,
                         const std::string &source, SteadyTime now)
{
    const LimitReading reading = readLimit(values);
    if (!reading.problem.empty() && limits.isNewProblem(server, reading.problem)) {
        logEvent("limit", "invalid value",
                 { { "server", server.id }, { "source", source }, { "reason", reading.problem } });
    }
    return limits.observe(server, reading, source, now);
}

void appendLimitMetrics(const KnownLimits &limits, SteadyTime now, std::string &out)
{
    for (const auto &[server, limit] : limits.all()) {
        const std::string label = "{server=\"" + server.id + "\"";
        if (limit.perSecond) {
            const std::chrono::duration<double> age = now - limit.observedAt;
            out += "zinniadock_server_limit_per_second" + label + "} " + std::to_string(*limit.perSecond) + "\n";
            out += "zinniadock_server_limit_age_seconds" + label + "} " + std::to_string(age.count()) + "\n";
        }
        for (std::size_t reason = 0; reason < sendReasonCount; ++reason) {
            out += "zinniadock_limited_requests_total" + label + ",reason=\"" + sendReasonNames.at(reason) + "\"} "
                + std::to_string(limit.sent.at(reason)) + "\n";
        }
        out += "zinniadock_withheld_requests_total" + label + "} " + std::to_string(limit.withheld) + "\n";
    }
}

const char *toString(LimitChange change)
{
    switch (change) {
    case LimitChange::Named:
        return "named";
    case LimitChange::Changed:
        return "changed";
    case LimitChange::Ended:
        return "ended";
    case LimitChange::None:
        break;
    }
    return "unchanged";
}

} // namespace zinniadock
