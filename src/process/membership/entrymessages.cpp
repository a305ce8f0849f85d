#include "zinniadock/process/membership/entrymessages.h"

#include <cmath>

#include "zinniadock/detail/cbormessage.h"
#include "zinniadock/detail/evidencejson.h"

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
                    { "crashes", detail::toJson(report.evidence, now) } });
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
            report.evidence = detail::evidenceFromJson(document.at("crashes"), now);
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
