#pragma once

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "zinniadock/detail/fieldtable.h"

namespace zinniadock
{

using SteadyTime = std::chrono::steady_clock::time_point;

/// A backend server as the platform lists it.
struct ServerRecord
{
    std::string id; ///< usually a new one for each incarnation
    std::string pool;
    Endpoint address;
    std::string dataCentre;
    std::uint32_t slots = 1;
    bool isDraining = false;
    std::chrono::milliseconds warmUpDuration{ 0 }; ///< the server is cold for this time after it has written the record
    std::int64_t startTimeMs = 0; ///< start of the incarnation, in Unix milliseconds
    std::uint64_t sequence = 0; ///< rises with each record that the incarnation writes; 0 if not stated
};

/// A generation that an engine runs.
struct EngineGeneration
{
    std::string request;
    std::uint32_t tokens = 0; ///< in the engine's memory
    std::uint32_t emittedEvents = 0; ///< number emitted so far
};

/// Time between two events of one generation, measured over some tens of seconds.
struct EventTime
{
    std::chrono::microseconds typical{ 0 }; ///< median
    std::chrono::microseconds high{ 0 }; ///< high quantile, not below the median
};

/// Event times of an engine. Nothing where too little was measured.
struct EventTimes
{
    std::optional<EventTime> alone; ///< while the engine reads no prompt
    std::optional<EventTime> besidePrompt; ///< while it reads a prompt
};

/// Load of an engine, as read by its sidecar.
struct EngineLoad
{
    std::uint32_t running = 0;
    std::uint32_t queued = 0;
    std::uint32_t usedTokens = 0; ///< memory that can't be evicted
    std::uint32_t totalTokens = 0;
    bool isDraining = false;
    std::optional<std::chrono::milliseconds> drainTimeLeft; ///< time until the engine shuts down
    std::vector<EngineGeneration> generations;
    std::int64_t startTimeMs = 0;
    std::optional<double> committedTokens; ///< memory in use, admitted by the sidecar or expected to be needed
    std::optional<double> waitingTokens; ///< prompt tokens not read yet, as counted by the sidecar
    EventTimes eventTimes; ///< as measured by the sidecar
};

/// Work that this process has sent to a server and that has not ended.
struct Assignment
{
    std::string request;
    std::uint32_t promptTokens = 0; ///< 0 for a call of a plain service
    std::uint32_t expectedTokens = 0; ///< prompt and output together
    bool hasStarted = false; ///< the first event has arrived
    SteadyTime assignedAt;
};

/// State of one backend server, as known to an entry.
struct TrackedServer
{
    ServerRecord record;
    EngineLoad load;
    std::optional<SteadyTime> loadReceivedAt; ///< nothing before the first report
    std::optional<SteadyTime> unlistedSince; ///< when the platform removed the server; nothing while it is listed
    bool replaced = false; ///< a later incarnation has the address of the server
    bool isEvacuated = false; ///< the data centre of the server is evacuated
    bool announcedDraining = false; ///< a response of the server itself states that it is draining
    SteadyTime listedAt;
    SteadyTime coldUntil; ///< the server is slow until then, as it states itself
    SteadyTime returnsUntil; ///< limited like a cold server until then, after the evacuation of its data centre
    std::map<std::uint64_t, Assignment> assignments;
    std::uint32_t consecutiveFailures = 0;
    SteadyTime fullUntil; ///< skipped until then, after a reservation was refused for lack of capacity
    SteadyTime backoffUntil; ///< skipped until then after failures, while other servers are available
    SteadyTime pausedUntil; ///< the server has requested a pause until then
    bool isHalfOpen = false; ///< after a requested pause: gets one request at a time until one succeeds

    bool isDraining() const
    {
        return record.isDraining || load.isDraining || replaced || announcedDraining || unlistedSince.has_value();
    }

    /// Returns whether the server may get new work.
    bool acceptsWork() const
    {
        return !isDraining() && !isEvacuated;
    }

    /// Returns the time for which the server counts as cold; 0 if it does not.
    std::chrono::milliseconds coldLeft(SteadyTime now) const
    {
        const auto left = std::max(coldUntil, returnsUntil) - now;
        return std::max(std::chrono::ceil<std::chrono::milliseconds>(left), std::chrono::milliseconds(0));
    }

    /// Returns whether a pause that the server requested is not over, or the server is half-open with a request in
    /// flight.
    bool isPaused(SteadyTime now) const
    {
        return pausedUntil > now || (isHalfOpen && !assignments.empty());
    }
};

/// The backend servers that an entry knows, the entry's own work on them, and the load reports of their sidecars.
class ServerDirectory
{
public:
    /// Adds a server or changes its record. A new incarnation starts without load and failures.
    /// Returns whether the server is new or has just begun to drain.
    bool addOrUpdate(const ServerRecord &record, SteadyTime now);

    /// Marks a server that the platform has removed. The server gets no new work from then on.
    /// Returns whether the server was known and listed.
    bool markUnlisted(const std::string &id, SteadyTime now);

    /// Removes servers that have been unlisted for more than \p age and have no work left. Returns their ids.
    std::vector<std::string> removeUnlisted(std::chrono::milliseconds age, SteadyTime now);

    /// Marks a server as replaced: another incarnation responds at its address.
    void markReplaced(const std::string &id);

    /// Marks a server as draining because its own response said so. Returns whether the server was not draining before.
    bool markDraining(const std::string &id);

    /// Withholds new work from a server until the pause that it requested is over. Then the server is half-open: it
    /// gets one request at a time until one succeeds.
    void pause(const std::string &id, SteadyTime until);

    /// Starts or ends the evacuation of a data centre, whose servers get no new work. Returns the number of its listed
    /// servers. Complexity: linear in the servers.
    std::size_t setEvacuated(const std::string &dataCentre, bool isEvacuated);

    /// Sets the time for which a server is cold, as the server states it in a response.
    void setCold(const std::string &id, std::chrono::milliseconds left, SteadyTime now);

    /// Counts the servers of a pool and a data centre as cold for a time, after the evacuation of the data centre.
    void startReturn(const std::string &dataCentre, const std::string &pool, std::chrono::milliseconds duration,
                     SteadyTime now);

    /// Returns the number of listed servers that count as cold. Complexity: linear in the servers.
    std::size_t coldServers(SteadyTime now) const;

    /// Returns whether a data centre is evacuated.
    bool isEvacuated(const std::string &dataCentre) const;

    /// Applies a load report. Returns whether the server has just begun to drain. A report of another incarnation is
    /// not applied; if that incarnation is later, the server is marked as replaced.
    bool updateLoad(const std::string &id, EngineLoad load, SteadyTime now);

    /// Applies the estimates that a server's sidecar has sent between two reports.
    void updateEstimates(const std::string &id, double committedTokens, double waitingTokens);

    std::uint64_t assign(const std::string &id, Assignment assignment);
    void markStarted(const std::string &id, std::uint64_t assignment);
    void release(const std::string &id, std::uint64_t assignment);

    /// Records that a server responded correctly. Ends its backoff and its half-open state.
    void recordSuccess(const std::string &id);

    /// Records a failure caused by the server. The backoff begins with the second consecutive failure and grows with
    /// each further one, up to a maximum.
    void recordFailure(const std::string &id, SteadyTime now);

    /// Records that an engine refused a reservation for lack of capacity. For a short time, no generation is placed on
    /// it.
    void markFull(const std::string &id, SteadyTime now);

    /// Records that a server could not be connected to, or that a request to it got no response. The backoff of the
    /// server begins with the first such failure.
    void recordConnectionFailure(const std::string &id, SteadyTime now);

    TrackedServer *find(const std::string &id);
    const std::map<std::string, TrackedServer> &servers() const;

private:
    void markReplacedAt(const Endpoint &address);

    std::map<std::string, TrackedServer> m_servers;
    std::set<std::string> m_evacuated; ///< data centres
    std::uint64_t m_nextAssignment = 1;
};

} // namespace zinniadock
