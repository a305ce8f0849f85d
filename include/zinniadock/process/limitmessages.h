#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "zinniadock/process/limitbudget.h"

namespace zinniadock
{

/// What the sender of a message knows of the limit of one server.
struct LimitState
{
    ServerIncarnation server;
    std::optional<double> perSecond; ///< nothing after the limit has ended
    std::chrono::milliseconds age{ 0 }; ///< time since the server stated it
};

/// One server in a LimitReport.
struct LimitReportRow
{
    LimitState state;
    PermitRequest request;
};

/// Sent by an entry to its parent in the tree of entries. Sent to a child as a notice, without permits, if the child
/// may not know a limit yet.
struct LimitReport
{
    std::string sender; ///< peer address
    bool isNotice = false;
    std::size_t subtreeSize = 1; ///< entries of the sender's subtree, including it
    std::vector<LimitReportRow> rows;
};

/// One server in a LimitReply.
struct LimitReplyRow
{
    LimitState state;
    PermitGrant grant;
};

/// The response to a LimitReport.
struct LimitReply
{
    std::vector<LimitReplyRow> rows;
};

/// Target of LimitReport requests at an entry's peer address.
constexpr const char *limitReportTarget = "/limits";

std::string encode(const LimitReport &report);
std::string encode(const LimitReply &reply);

/// Decode a message. Return nothing if the bytes are malformed, or a field has the wrong type or is out of range.
std::optional<LimitReport> decodeLimitReport(const std::string &bytes);
std::optional<LimitReply> decodeLimitReply(const std::string &bytes);

} // namespace zinniadock
