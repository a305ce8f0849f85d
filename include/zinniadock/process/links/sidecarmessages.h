#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "zinniadock/connection/wireform.h"
#include "zinniadock/process/admission/engineadmission.h"
#include "zinniadock/process/servers/serverdirectory.h"

namespace zinniadock
{

/// A long poll of an entry for load reports of an engine, sent to the engine's sidecar.
struct EngineLoadQuery
{
    std::uint64_t lastReportNumber = 0; ///< number of the last report that the entry received; 0 for none
    std::chrono::milliseconds minInterval{ 100 }; ///< minimum time between reports, unless the engine starts to drain
    std::string peer; ///< address on which the querying entry listens for other entries
};

/// A sidecar's report of the load of its engine.
struct EngineLoadReport
{
    std::uint64_t number = 0; ///< increases with each changed load; 0 before the first
    EngineLoad load;
};

/// Asks a sidecar to move a generation from its engine to another engine.
struct MoveOrder
{
    std::string request; ///< ID of the request that the generation serves
    std::vector<Endpoint> targets; ///< engines, best first
    AdmissionQuery admission; ///< sent to each target before the move
    /// Expected remaining output in tokens. The generation with the highest value has the most to lose and is moved
    /// first.
    double priority = 0;
    std::chrono::milliseconds estimatedCopyTime{ 0 }; ///< time to copy the whole KV cache on an idle link
    bool sourceStays = false; ///< the source engine is not draining; the generation may also stay there
};

/// The result of a MoveOrder.
struct MoveResult
{
    bool stopped = false; ///< the generation has stopped at the source engine
    /// The generation was ordered to stop, and it is not known whether it has. False if \c stopped is true.
    bool mayHaveStopped = false;
    std::optional<wire::KvCacheCopy> copy; ///< the copy of the generation's KV cache at the source engine
    std::optional<Endpoint> target; ///< the engine that also has a copy; nothing if the move failed
    std::string reason; ///< why there is no target
};

/// Announces an engine. Sent by the sidecar of the engine to entries that may have no record of it from the store.
struct ServerAnnouncement
{
    std::string id; ///< server ID of the engine; empty if unknown to the sender
    std::string pool;
    Endpoint address;
    std::string dataCentre;
    std::int64_t startTimeMs = 0; ///< start time of the engine, in Unix milliseconds
};

/// Target of ServerAnnouncement requests at an entry's peer address.
constexpr const char *announcementTarget = "/announce";

/// Targets of EngineLoadQuery, AdmissionQuery and MoveOrder requests at a sidecar.
constexpr const char *loadQueryTarget = "/load";
constexpr const char *admissionTarget = "/admit";
constexpr const char *moveOrderTarget = "/move";

std::string encode(const EngineLoadQuery &query);
std::string encode(const EngineLoadReport &report);
std::string encode(const AdmissionQuery &query);
std::string encode(const AdmissionResponse &response);
std::string encode(const MoveOrder &order);
std::string encode(const MoveResult &result);
std::string encode(const ServerAnnouncement &announcement);

/// Decode a message. Return nothing if the bytes are malformed or a field has the wrong type.
std::optional<EngineLoadQuery> decodeEngineLoadQuery(const std::string &bytes);
std::optional<EngineLoadReport> decodeEngineLoadReport(const std::string &bytes);
std::optional<AdmissionQuery> decodeAdmissionQuery(const std::string &bytes);
std::optional<AdmissionResponse> decodeAdmissionResponse(const std::string &bytes);
std::optional<MoveOrder> decodeMoveOrder(const std::string &bytes);
std::optional<MoveResult> decodeMoveResult(const std::string &bytes);
std::optional<ServerAnnouncement> decodeServerAnnouncement(const std::string &bytes);

} // namespace zinniadock
