#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include "zinniadock/process/serverdirectory.h"

namespace zinniadock
{

/// Hash of a property that requests may have in common, such as client account, target and body together.
using RequestTrait = std::uint64_t;

/// The traits of one request, the most specific first. A request that comes again has the same first trait.
using RequestTraits = std::vector<RequestTrait>;

/// A request whose connection broke when its server ended, before any part of its response arrived.
struct EndedRun
{
    std::string requestId; ///< a hash of it in the report of another entry
    std::chrono::milliseconds duration{ 0 }; ///< from sending the request until the connection broke
    RequestTraits traits;
    std::string promptParts; ///< IDs of the shared parts of the prompt; only in the log of the entry itself
};

/// The end of a server that was not planned, as one entry has seen it.
struct CrashReport
{
    std::uint64_t id = 0; ///< unique to this report, the same at all entries
    std::string server; ///< server ID
    SteadyTime at; ///< when the connections broke
    std::vector<EndedRun> runs; ///< requests of one entry, not empty
};

/// Returns a trait in hexadecimal form, as in logs.
std::string toText(RequestTrait trait);

} // namespace zinniadock
