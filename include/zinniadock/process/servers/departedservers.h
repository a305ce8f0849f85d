#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "zinniadock/connection/wireform.h"
#include "zinniadock/process/servers/serverdirectory.h"

namespace zinniadock
{

/// An incarnation of a server that was seen draining or gone.
struct Departure
{
    std::string server; ///< server ID
    std::int64_t startTimeMs = 0; ///< start of the incarnation, in Unix milliseconds; 0 if unknown
    std::uint64_t sequence = 0; ///< sequence number of its last known record
    bool isDraining = false;
    bool isGone = false; ///< the store did not list the server any more
    wire::StoreEra era = 0; ///< era of the store in which this was seen

    bool operator==(const Departure &) const = default;
};

/// What a record of a server in the store means, after what was seen of the server before.
enum class ListedAs {
    Listed,
    Draining, ///< the incarnation was seen draining, which it does not undo
    Gone, ///< the record is from before the incarnation was seen gone
};

/// Where a record of a server comes from.
struct RecordOrigin
{
    wire::StoreEra era = 0;
    bool isWrittenInEra = false; ///< the record was written after the store last went back
};

/// Remembers which servers were seen draining or gone. A store that comes back from a copy lists them as they were
/// before. Not thread-safe.
class DepartedServers
{
public:
    /// Records that a listed server is draining.
    void recordDraining(const ServerRecord &record, wire::StoreEra era, SteadyTime now);

    /// Records that the store no longer lists a server.
    void recordGone(const ServerRecord &record, wire::StoreEra era, SteadyTime now);

    /// Records that the store lists a server again that was gone.
    void recordListed(const ServerRecord &record);

    /// Adds what another entry has seen. Returns whether it says more than what was known.
    bool merge(const Departure &departure, SteadyTime now);

    /// Returns what a record means. Within one era, a later record is right; a record of a later era is right if it was
    /// written in it, or has a later sequence number or start.
    ListedAs judge(const ServerRecord &record, const RecordOrigin &origin) const;

    /// Returns the departures of the last minutes, the latest first, at most \p max of them.
    std::vector<Departure> latest(std::size_t max) const;

    /// Forgets departures that no copy of the store can be older than.
    void prune(SteadyTime now);

private:
    struct Entry
    {
        Departure departure;
        SteadyTime seenAt;
    };

    Departure &departureOf(const ServerRecord &record, wire::StoreEra era, SteadyTime now);

    std::map<std::string, Entry> m_entries; ///< by server ID
};

} // namespace zinniadock
