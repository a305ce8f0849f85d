#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "zinniadock/connection/wireform.h"
#include "zinniadock/process/engineadmission.h"
#include "zinniadock/process/serverdirectory.h"

namespace zinniadock
{

/// An entry's wait for news of the engine beside a sidecar.
struct EngineLoadQuery
{
    std::uint64_t lastReportNumber = 0; ///< the last report that the entry has
    std::chrono::milliseconds minInterval{ 100 }; ///< least time between two reports, unless the server begins to leave
    std::string peer; ///< where the asking entry listens for other entries
};

/// What a sidecar tells of the engine beside it.
struct EngineLoadReport
{
    std::uint64_t number = 0;
    EngineLoad load;
};

/// Asks a sidecar to move a run to another engine.
struct MoveOrder
{
    std::string request;
    std::vector<Endpoint> targets; ///< best first
    AdmissionQuery admission; ///< what each target is asked before
    double priority = 0; ///< a run with more to lose is moved first
    std::chrono::milliseconds estimatedCopyTime{ 0 }; ///< of the whole memory, on an idle link
};

/// How a move ended.
struct MoveResult
{
    bool stopped = false; ///< the run no longer runs at its source
    std::optional<wire::KvCacheCopy> copy; ///< where the source keeps the memory, and its name
    std::optional<Endpoint> target; ///< the engine that holds a copy as well
    std::string reason; ///< why there is no target
};

/// A sidecar's word for the engine beside it, for entries that can't learn of it from the store.
struct ServerAnnouncement
{
    std::string id; ///< empty where the sidecar does not know it
    std::string pool;
    Endpoint address;
    std::string dataCentre;
    std::int64_t born = 0; ///< Unix milliseconds
};

/// Target of ServerAnnouncement requests at an entry's peer address.
constexpr const char *announcementTarget = "/announce";

/// Target of EngineLoadQuery, AdmissionQuery and MoveOrder requests at a sidecar.
constexpr const char *loadQueryTarget = "/load";
constexpr const char *admissionTarget = "/admit";
constexpr const char *moveOrderTarget = "/move";

std::string encode(const EngineLoadQuery &query);
std::string encode(const EngineLoadReport &report);
std::string encode(const AdmissionQuery &query);
std::string encode(const AdmissionAnswer &answer);
std::string encode(const MoveOrder &order);
std::string encode(const MoveResult &result);
std::string encode(const ServerAnnouncement &announcement);

/// Decode a message; nothing for malformed bytes.
std::optional<EngineLoadQuery> decodeEngineLoadQuery(const std::string &bytes);
std::optional<EngineLoadReport> decodeEngineLoadReport(const std::string &bytes);
std::optional<AdmissionQuery> decodeAdmissionQuery(const std::string &bytes);
std::optional<AdmissionAnswer> decodeAdmissionAnswer(const std::string &bytes);
std::optional<MoveOrder> decodeMoveOrder(const std::string &bytes);
std::optional<MoveResult> decodeMoveResult(const std::string &bytes);
std::optional<ServerAnnouncement> decodeServerAnnouncement(const std::string &bytes);

} // namespace zinniadock
