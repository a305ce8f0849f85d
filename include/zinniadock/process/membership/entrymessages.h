#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "zinniadock/process/crashes/sharedsuspects.h"
#include "zinniadock/process/limits/limitbudget.h"

namespace zinniadock
{

/// What the sender of a message knows of the limit of one server.
struct LimitState
{
    ServerIncarnation server;
    std::optional<double> perSecond; ///< nothing after the limit has ended
    std::chrono::milliseconds age{ 0 }; ///< time since the server stated it
};

/// One server in an EntryReport.
struct LimitReportRow
{
    LimitState state;
    PermitRequest request;
};

/// Sent by an entry to its parent in the tree of entries to share limits. Sent to any neighbour as a notice, without
/// permits, with evidence about crashes, and to a child that may not know a limit yet.
struct EntryReport
{
    std::string sender; ///< peer address
    std::uint64_t start = 0; ///< identifies the start of the sender's process
    bool isNotice = false;
    std::size_t subtreeSize = 1; ///< entries of the sender's subtree, including it
    std::vector<LimitReportRow> rows;
    CrashEvidence evidence;
};

/// One server in an EntryReply.
struct LimitReplyRow
{
    LimitState state;
    PermitGrant grant;
};

/// The response to an EntryReport.
struct EntryReply
{
    std::uint64_t start = 0; ///< identifies the start of the process that responds
    std::vector<LimitReplyRow> rows;
};

/// Target of EntryReport requests at an entry's peer address.
constexpr const char *entryReportTarget = "/limits";

/// Encode a message. Times in it are encoded as ages at \p now.
std::string encode(const EntryReport &report, SteadyTime now);
std::string encode(const EntryReply &reply);

/// Decode a message. Return nothing if the bytes are malformed, or a field has the wrong type or is out of range.
/// \param now  time of arrival, to which the ages in the message refer
std::optional<EntryReport> decodeEntryReport(const std::string &bytes, SteadyTime now);
std::optional<EntryReply> decodeEntryReply(const std::string &bytes);

} // namespace zinniadock
