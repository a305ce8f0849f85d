#include "zinniadock/process/links/sidecarmessages.h"

#include "zinniadock/detail/cbormessage.h"

namespace zinniadock
{

namespace
{

using Json = nlohmann::json;

using detail::fromCbor;
using detail::toCbor;

std::optional<Endpoint> parseEndpoint(const std::string &text)
{
    Endpoint endpoint;
    return detail::parseValue(text, detail::Range{}, endpoint) ? std::optional(endpoint) : std::nullopt;
}

/// A longer event time in a report is taken for a fault and ignored.
constexpr std::chrono::seconds maxEventTime{ 60 };

Json toJson(const EventTime &time)
{
    return Json::array({ time.typical.count(), time.high.count() });
}

// Returns nothing if the field is missing or malformed, so that the engine counts as of unknown speed.
std::optional<EventTime> eventTimeFromJson(const Json &document, const char *key)
{
    const Json row = document.value(key, Json());
    if (!row.is_array() || row.size() < 2 || !row.at(0).is_number_integer() || !row.at(1).is_number_integer()) {
        return std::nullopt;
    }
    const EventTime time{ .typical = std::chrono::microseconds(row.at(0).get<std::int64_t>()),
                          .high = std::chrono::microseconds(row.at(1).get<std::int64_t>()) };
    const bool isPlausible = time.typical.count() > 0 && time.typical <= time.high && time.high <= maxEventTime;
    return isPlausible ? std::optional(time) : std::nullopt;
}

Json toJson(const EngineLoad &load)
{
    Json generations = Json::array();
    for (const EngineGeneration &generation : load.generations) {
        generations.push_back(Json::array({ generation.request, generation.tokens, generation.emittedEvents }));
    }
    Json document{ { "running", load.running },       { "queued", load.queued },      { "used", load.usedTokens },
                   { "total", load.totalTokens },     { "leaving", load.isDraining }, { "born", load.startTimeMs },
                   { "runs", std::move(generations) } };
    if (load.drainTimeLeft) {
        document["leaves_in_ms"] = load.drainTimeLeft->count();
    }
    if (load.committedTokens && load.waitingTokens) {
        document["committed"] = *load.committedTokens;
        document["waiting"] = *load.waitingTokens;
    }
    if (load.eventTimes.alone) {
        document["event_us"] = toJson(*load.eventTimes.alone);
    }
    if (load.eventTimes.besidePrompt) {
        document["prompt_event_us"] = toJson(*load.eventTimes.besidePrompt);
    }
    return document;
}

EngineLoad loadFromJson(const Json &document)
{
    EngineLoad load;
    load.running = document.at("running").get<std::uint32_t>();
    load.queued = document.at("queued").get<std::uint32_t>();
    load.usedTokens = document.at("used").get<std::uint32_t>();
    load.totalTokens = document.at("total").get<std::uint32_t>();
    load.isDraining = document.at("leaving").get<bool>();
    load.startTimeMs = document.at("born").get<std::int64_t>();
    if (document.contains("leaves_in_ms")) {
        load.drainTimeLeft = std::chrono::milliseconds(document.at("leaves_in_ms").get<std::int64_t>());
    }
    if (document.contains("committed")) {
        load.committedTokens = document.at("committed").get<double>();
        load.waitingTokens = document.at("waiting").get<double>();
    }
    load.eventTimes.alone = eventTimeFromJson(document, "event_us");
    load.eventTimes.besidePrompt = eventTimeFromJson(document, "prompt_event_us");
    for (const Json &row : document.at("runs")) {
        load.generations.push_back(
            { row.at(0).get<std::string>(), row.at(1).get<std::uint32_t>(), row.at(2).get<std::uint32_t>() });
    }
    return load;
}

Json toJson(const ColdState &cold)
{
    return Json::array({ cold.perSecond, cold.left.count(), cold.sequence });
}

ColdState coldFromJson(const Json &row)
{
    return { .perSecond = row.at(0).get<double>(),
             .left = std::chrono::milliseconds(row.at(1).get<std::int64_t>()),
             .sequence = row.at(2).get<std::uint64_t>() };
}

Json toJson(const AdmissionQuery &query)
{
    return { { "request", query.request },
             { "prompt", query.promptTokens },
             { "held", query.heldTokens },
             { "expected", query.expectedTokens },
             { "most", query.maxTokens },
             { "slots", query.slots },
             { "usable", query.usableFraction },
             { "forecast_usable", query.forecastFraction },
             { "most_waiting", query.maxWaitingTokens },
             { "reservation_ms", query.reservationDuration.count() },
             { "cold", toJson(query.cold) } };
}

AdmissionQuery admissionQueryFromJson(const Json &document)
{
    AdmissionQuery query;
    query.request = document.at("request").get<std::string>();
    query.promptTokens = document.at("prompt").get<std::uint32_t>();
    query.heldTokens = document.at("held").get<std::uint32_t>();
    query.expectedTokens = document.at("expected").get<std::uint32_t>();
    query.maxTokens = document.at("most").get<std::uint32_t>();
    query.slots = document.at("slots").get<std::uint32_t>();
    query.usableFraction = document.at("usable").get<double>();
    // An entry of an earlier version does not send the field.
    query.forecastFraction = document.value("forecast_usable", 0.0);
    query.maxWaitingTokens = document.at("most_waiting").get<std::uint32_t>();
    query.reservationDuration = std::chrono::milliseconds(document.at("reservation_ms").get<std::int64_t>());
    // An entry of an earlier version does not send the field.
    if (document.contains("cold")) {
        query.cold = coldFromJson(document.at("cold"));
    }
    return query;
}

} // namespace

std::string encode(const EngineLoadQuery &query)
{
    return toCbor(
        { { "after", query.lastReportNumber }, { "spacing_ms", query.minInterval.count() }, { "peer", query.peer } });
}

std::string encode(const EngineLoadReport &report)
{
    return toCbor({ { "number", report.number }, { "load", toJson(report.load) } });
}

std::string encode(const AdmissionQuery &query)
{
    return toCbor(toJson(query));
}

std::string encode(const AdmissionResponse &response)
{
    return toCbor({ { "admitted", response.admitted },
                    { "reason", response.reason },
                    { "reservation", response.reservationId },
                    { "committed", response.committedTokens },
                    { "waiting", response.waitingTokens } });
}

std::string encode(const MoveOrder &order)
{
    Json targets = Json::array();
    for (const Endpoint &target : order.targets) {
        targets.push_back(target.text());
    }
    Json document{ { "request", order.request },
                   { "targets", std::move(targets) },
                   { "value", order.priority },
                   { "admission", toJson(order.admission) },
                   { "copy_ms", order.estimatedCopyTime.count() } };
    for (const ColdState &cold : order.cold) {
        document["cold"].push_back(toJson(cold));
    }
    if (order.timeLeft) {
        document["time_left_ms"] = order.timeLeft->count();
    }
    return toCbor(document);
}

std::string encode(const MoveResult &result)
{
    Json document{ { "stopped", result.stopped },
                   { "may_have_stopped", result.mayHaveStopped },
                   { "reason", result.reason } };
    if (result.copy) {
        document["holder"] = result.copy->holder.text();
        document["copy"] = result.copy->name;
    }
    if (result.target) {
        document["target"] = result.target->text();
    }
    return toCbor(document);
}

std::string encode(const ServerAnnouncement &announcement)
{
    return toCbor({ { "id", announcement.id },
                    { "pool", announcement.pool },
                    { "address", announcement.address.text() },
                    { "data_centre", announcement.dataCentre },
                    { "born", announcement.startTimeMs } });
}

std::optional<EngineLoadQuery> decodeEngineLoadQuery(const std::string &bytes)
{
    return fromCbor<EngineLoadQuery>(bytes, [](const Json &document) {
        EngineLoadQuery query;
        query.lastReportNumber = document.at("after").get<std::uint64_t>();
        query.minInterval = std::chrono::milliseconds(document.at("spacing_ms").get<std::int64_t>());
        query.peer = document.at("peer").get<std::string>();
        return query;
    });
}

std::optional<EngineLoadReport> decodeEngineLoadReport(const std::string &bytes)
{
    return fromCbor<EngineLoadReport>(bytes, [](const Json &document) {
        EngineLoadReport report;
        report.number = document.at("number").get<std::uint64_t>();
        report.load = loadFromJson(document.at("load"));
        return report;
    });
}

std::optional<AdmissionQuery> decodeAdmissionQuery(const std::string &bytes)
{
    return fromCbor<AdmissionQuery>(bytes, admissionQueryFromJson);
}

std::optional<AdmissionResponse> decodeAdmissionResponse(const std::string &bytes)
{
    return fromCbor<AdmissionResponse>(bytes, [](const Json &document) {
        AdmissionResponse response;
        response.admitted = document.at("admitted").get<bool>();
        response.reason = document.at("reason").get<std::string>();
        response.reservationId = document.at("reservation").get<std::string>();
        response.committedTokens = document.at("committed").get<double>();
        response.waitingTokens = document.at("waiting").get<double>();
        return response;
    });
}

std::optional<MoveOrder> decodeMoveOrder(const std::string &bytes)
{
    return fromCbor<MoveOrder>(bytes, [](const Json &document) {
        MoveOrder order;
        order.request = document.at("request").get<std::string>();
        order.priority = document.at("value").get<double>();
        order.admission = admissionQueryFromJson(document.at("admission"));
        order.estimatedCopyTime = std::chrono::milliseconds(document.at("copy_ms").get<std::int64_t>());
        for (const Json &row : document.value("cold", Json::array())) {
            order.cold.push_back(coldFromJson(row));
        }
        if (document.contains("time_left_ms")) {
            order.timeLeft = std::chrono::milliseconds(document.at("time_left_ms").get<std::int64_t>());
        }
        for (const Json &target : document.at("targets")) {
            if (const auto endpoint = parseEndpoint(target.get<std::string>())) {
                order.targets.push_back(*endpoint);
            }
        }
        return order;
    });
}

std::optional<MoveResult> decodeMoveResult(const std::string &bytes)
{
    return fromCbor<MoveResult>(bytes, [](const Json &document) {
        MoveResult result;
        result.stopped = document.at("stopped").get<bool>();
        // A sidecar of an earlier version does not send the field.
        result.mayHaveStopped = document.value("may_have_stopped", !result.stopped);
        result.reason = document.at("reason").get<std::string>();
        if (document.contains("copy")) {
            const auto holder = parseEndpoint(document.at("holder").get<std::string>());
            result.copy = wire::KvCacheCopy{ holder.value_or(Endpoint()), document.at("copy").get<std::string>() };
        }
        if (document.contains("target")) {
            result.target = parseEndpoint(document.at("target").get<std::string>());
        }
        return result;
    });
}

std::optional<ServerAnnouncement> decodeServerAnnouncement(const std::string &bytes)
{
    auto announcement = fromCbor<ServerAnnouncement>(bytes, [](const Json &document) {
        ServerAnnouncement result;
        result.id = document.at("id").get<std::string>();
        result.pool = document.at("pool").get<std::string>();
        result.address = parseEndpoint(document.at("address").get<std::string>()).value_or(Endpoint());
        result.dataCentre = document.at("data_centre").get<std::string>();
        result.startTimeMs = document.at("born").get<std::int64_t>();
        return result;
    });
    const bool usable = announcement && announcement->address.port > 0;
    return usable ? announcement : std::nullopt;
}

} // namespace zinniadock
