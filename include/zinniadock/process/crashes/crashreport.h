#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include "zinniadock/process/servers/serverdirectory.h"

namespace zinniadock
{

/// Hash of a property that requests may have in common, such as client account, target and body together.
using RequestTrait = std::uint64_t;

/// The traits of one request, the most specific first. A request that comes again has the same first trait.
using RequestTraits = std::vector<RequestTrait>;

/// A request that was running when its server ended, or until shortly before, without a whole response. Its connection
/// broke, or the entry had closed it.
struct EndedRun
{
    std::string requestId; ///< a hash of it in the report of another entry
    std::chrono::milliseconds duration{ 0 }; ///< from sending the request until the server ended
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
    std::int64_t serverStartTimeMs = 0; ///< start of the server's incarnation, in Unix milliseconds; 0 if not known
};

/// A crash without the requests that were running.
struct ServerCrash
{
    std::string server; ///< server ID
    std::int64_t serverStartTimeMs = 0; ///< start of the server's incarnation, in Unix milliseconds; 0 if not known
    SteadyTime at;
};

/// A quarantine that an entry has concluded from all reports that it knows.
struct QuarantineConclusion
{
    RequestTrait trait = 0;
    std::size_t position = 0; ///< of the trait in the requests
    bool hadResponse = false; ///< the entry knows of a response before the crashes
    std::vector<ServerCrash> crashes; ///< during which requests with the trait were running, by time, not empty
};

/// Returns whether two entries have seen the same crash.
bool isSameCrash(const ServerCrash &left, const ServerCrash &right);

/// Returns a trait in hexadecimal form, as in logs.
std::string toText(RequestTrait trait);

} // namespace zinniadock
