#include "zinniadock/process/entrymessages.h"

#include <cmath>

#include "zinniadock/detail/cbormessage.h"
#include "zinniadock/process/routing.h"

namespace zinniadock
{

namespace
{

using Json = nlohmann::json;
using detail::fromCbor;
using detail::toCbor;

// Rows are arrays, since the messages are sent often: ID, start time, limit (0 for none), age in milliseconds, and the
// two values of the request or the grant.

Json toRow(const LimitState &state, const Json &first, std::int64_t second)
{
    return Json::array(
        { state.server.id, state.server.startTimeMs, state.perSecond.value_or(0), state.age.count(), first, second });
}

LimitState stateFromRow(const Json &row)
{
    LimitState state;
    state.server = { row.at(0).get<std::string>(), row.at(1).get<std::int64_t>() };
    const double perSecond = row.at(2).get<double>();
    state.perSecond = perSecond > 0 ? std::optional(std::min(perSecond, maxRequestLimit)) : std::nullopt;
    state.age = std::chrono::milliseconds(std::max<std::int64_t>(row.at(3).get<std::int64_t>(), 0));
    return state;
}

double permitsFromJson(const Json &value)
{
    const double permits = value.get<double>();
    return std::isfinite(permits) ? std::clamp(permits, 0.0, maxRequestLimit) : 0;
}

// Crashes are arrays of ID, server, age in milliseconds, runs and start time of the server; a run is an array of a hash
// of the request ID, duration in milliseconds and traits. Cleared traits are arrays of trait and age. Conclusions are
// arrays of trait, position, crashes and whether there was a response before; such a crash is an array of server, start
// time of the server and age. Entries of earlier versions send neither start times nor conclusions.

constexpr std::size_t maxRunsPerCrash = 64;
constexpr std::size_t maxTraitsPerRun = 64;
constexpr std::size_t maxCrashesPerConclusion = 64;

std::int64_t ageOf(SteadyTime at, SteadyTime now)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::max(now, at) - at).count();
}

std::chrono::milliseconds durationFromJson(const Json &value)
{
    constexpr std::int64_t maxMilliseconds = std::chrono::milliseconds(std::chrono::hours(24)).count();
    return std::chrono::milliseconds(std::clamp<std::int64_t>(value.get<std::int64_t>(), 0, maxMilliseconds));
}

Json toRow(const CrashReport &report, SteadyTime now)
{
    Json runs = Json::array();
    for (const EndedRun &run : report.runs) {
        const auto request = static_cast<std::uint32_t>(stableHash(run.requestId));
        runs.push_back(Json::array({ request, run.duration.count(), run.traits }));
    }
    return Json::array({ report.id, report.server, ageOf(report.at, now), std::move(runs), report.serverStartTimeMs });
}

CrashReport crashFromRow(const Json &row, SteadyTime now)
{
    CrashReport report;
    report.id = row.at(0).get<std::uint64_t>();
    report.server = row.at(1).get<std::string>();
    report.at = now - durationFromJson(row.at(2));
    report.serverStartTimeMs = row.size() > 4 ? row.at(4).get<std::int64_t>() : 0;
    for (const Json &run : row.at(3)) {
        auto traits = run.at(2).get<RequestTraits>();
        if (report.runs.size() < maxRunsPerCrash && traits.size() <= maxTraitsPerRun) {
            report.runs.push_back({ .requestId = std::to_string(run.at(0).get<std::uint32_t>()),
                                    .duration = durationFromJson(run.at(1)),
                                    .traits = std::move(traits) });
        }
    }
    return report;
}

Json toRow(const QuarantineConclusion &conclusion, SteadyTime now)
{
    Json crashes = Json::array();
    for (const ServerCrash &crash : conclusion.crashes) {
        crashes.push_back(Json::array({ crash.server, crash.serverStartTimeMs, ageOf(crash.at, now) }));
    }
    return Json::array({ conclusion.trait, conclusion.position, std::move(crashes), conclusion.hadResponse });
}

QuarantineConclusion conclusionFromRow(const Json &row, SteadyTime now)
{
    QuarantineConclusion conclusion{ .trait = row.at(0).get<RequestTrait>(),
                                     .position = row.at(1).get<std::size_t>(),
                                     .hadResponse = row.at(3).get<bool>(),
                                     .crashes = {} };
    for (const Json &crash : row.at(2)) {
        if (conclusion.crashes.size() < maxCrashesPerConclusion) {
            conclusion.crashes.push_back({ .server = crash.at(0).get<std::string>(),
                                           .serverStartTimeMs = crash.at(1).get<std::int64_t>(),
                                           .at = now - durationFromJson(crash.at(2)) });
        }
    }
    return conclusion;
}

Json toJson(const CrashEvidence &evidence, SteadyTime now)
{
    Json crashes = Json::array();
    for (const CrashReport &report : evidence.crashes) {
        crashes.push_back(toRow(report, now));
    }
    Json cleared = Json::array();
    for (const ClearedTrait &each : evidence.cleared) {
        cleared.push_back(Json::array({ each.trait, ageOf(each.at, now) }));
    }
    Json conclusions = Json::array();
    for (const QuarantineConclusion &conclusion : evidence.conclusions) {
        conclusions.push_back(toRow(conclusion, now));
    }
    return Json::array({ std::move(crashes), std::move(cleared), std::move(conclusions) });
}

CrashEvidence evidenceFromJson(const Json &value, SteadyTime now)
{
    CrashEvidence evidence;
    for (const Json &row : value.at(0)) {
        evidence.crashes.push_back(crashFromRow(row, now));
    }
    for (const Json &row : value.at(1)) {
        evidence.cleared.push_back({ row.at(0).get<RequestTrait>(), now - durationFromJson(row.at(1)) });
    }
    for (const Json &row : value.size() > 2 ? value.at(2) : Json::array()) {
        evidence.conclusions.push_back(conclusionFromRow(row, now));
    }
    return evidence;
}

} // namespace

std::string encode(const EntryReport &report, SteadyTime now)
{
    Json rows = Json::array();
    for (const LimitReportRow &row : report.rows) {
        rows.push_back(toRow(row.state, static_cast<float>(row.request.returned), row.request.wanted));
    }
    return toCbor({ { "from", report.sender },
                    { "notice", report.isNotice },
                    { "entries", report.subtreeSize },
                    { "rows", std::move(rows) },
                    { "start", report.start },
                    { "crashes", toJson(report.evidence, now) } });
}

std::string encode(const EntryReply &reply)
{
    Json rows = Json::array();
    for (const LimitReplyRow &row : reply.rows) {
        rows.push_back(toRow(row.state, row.grant.permits, row.grant.wait.count()));
    }
    return toCbor({ { "rows", std::move(rows) }, { "start", reply.start } });
}

std::optional<EntryReport> decodeEntryReport(const std::string &bytes, SteadyTime now)
{
    return fromCbor<EntryReport>(bytes, [now](const Json &document) {
        EntryReport report;
        report.start = document.value("start", std::uint64_t(0));
        if (document.contains("crashes")) {
            report.evidence = evidenceFromJson(document.at("crashes"), now);
        }
        report.sender = document.at("from").get<std::string>();
        report.isNotice = document.at("notice").get<bool>();
        report.subtreeSize = document.at("entries").get<std::uint32_t>();
        for (const Json &row : document.at("rows")) {
            const PermitRequest request{ .returned = permitsFromJson(row.at(4)),
                                         .wanted = static_cast<std::uint32_t>(permitsFromJson(row.at(5))) };
            report.rows.push_back({ stateFromRow(row), request });
        }
        return report;
    });
}

std::optional<EntryReply> decodeEntryReply(const std::string &bytes)
{
    return fromCbor<EntryReply>(bytes, [](const Json &document) {
        EntryReply reply;
        reply.start = document.value("start", std::uint64_t(0));
        for (const Json &row : document.at("rows")) {
            const PermitGrant grant{ .permits = static_cast<std::uint32_t>(permitsFromJson(row.at(4))),
                                     .wait = std::chrono::milliseconds(
                                         static_cast<std::int64_t>(permitsFromJson(row.at(5)))) };
            reply.rows.push_back({ stateFromRow(row), grant });
        }
        return reply;
    });
}

} // namespace zinniadock
