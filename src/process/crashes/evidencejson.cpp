#include "zinniadock/detail/evidencejson.h"

#include "zinniadock/process/placing/routing.h"

namespace zinniadock::detail
{

namespace
{

using Json = nlohmann::json;

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

} // namespace

nlohmann::json toJson(const CrashEvidence &evidence, SteadyTime now)
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

CrashEvidence evidenceFromJson(const nlohmann::json &value, SteadyTime now)
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

} // namespace zinniadock::detail
