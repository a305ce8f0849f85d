#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "zinniadock/detail/fieldtable.h"

namespace zinniadock
{

using SteadyTime = std::chrono::steady_clock::time_point;

/// A backend server as the platform lists it.
struct ServerRecord
{
    std::string id; ///< of one incarnation, mostly
    std::string pool;
    Endpoint address;
    std::string dataCentre;
    std::uint32_t slots = 1;
    bool isDraining = false;
    std::chrono::milliseconds warmUpDuration{ 0 }; ///< stays slow for so long after its start
    std::int64_t startTimeMs = 0; ///< start of the incarnation, in Unix milliseconds
};

/// A generation that an engine runs.
struct EngineRun
{
    std::string request;
    std::uint32_t tokens = 0; ///< in the engine's memory
    std::uint32_t emittedEvents = 0; ///< emitted so far
};

/// Load of an engine as the sidecar beside it reads it.
struct EngineLoad
{
    std::uint32_t running = 0;
    std::uint32_t queued = 0;
    std::uint32_t usedTokens = 0; ///< memory that can't yield
    std::uint32_t totalTokens = 0;
    bool isDraining = false;
    std::optional<std::chrono::milliseconds> drainTimeLeft;
    std::vector<EngineRun> runs;
    std::int64_t startTimeMs = 0;
    std::optional<double> committedTokens; ///< with what the sidecar has admitted and outputs to come
    std::optional<double> waitingTokens; ///< of prompts, as the sidecar counts them
};

/// Work that this process has sent to a server and that has not ended.
struct Assignment
{
    std::string request;
    std::uint32_t promptTokens = 0; ///< 0 for a call of a plain service
    std::uint32_t expectedTokens = 0; ///< prompt and output together
    bool hasStarted = false; ///< its first event has arrived
    SteadyTime assignedAt;
};

/// What an entry knows of one backend server.
struct TrackedServer
{
    ServerRecord record;
    EngineLoad load;
    std::optional<SteadyTime> loadReceivedAt; ///< when the load was received; nothing before the first report
    std::optional<SteadyTime> unlistedSince; ///< the platform lists it no longer
    bool replaced = false; ///< a later incarnation has its address
    bool announcedDraining = false; ///< its own answers say that it leaves
    SteadyTime listedAt;
    std::map<std::uint64_t, Assignment> assignments;
    std::uint32_t consecutiveFailures = 0;
    SteadyTime fullUntil; ///< passed over after it had no room for a reservation
    SteadyTime backoffUntil; ///< passed over after failures, while others serve
    SteadyTime pausedUntil; ///< has asked to be left alone until then
    bool isHalfOpen = false; ///< gets one request at a time until it serves one, after a pause that it asked for

    bool isDraining() const
    {
        return record.isDraining || load.isDraining || replaced || announcedDraining || unlistedSince.has_value();
    }

    /// Says whether the server has asked for a pause that is not over, or has a request on trial after one.
    bool isPaused(SteadyTime now) const
    {
        return pausedUntil > now || (isHalfOpen && !assignments.empty());
    }
};

/// The backend servers that an entry knows, its own work on them, and what their sidecars report.
class ServerDirectory
{
public:
    /// Adds a server or changes its record. A new incarnation starts without load and failures.
    /// Returns whether the server is new or has begun to leave.
    bool addOrUpdate(const ServerRecord &record, SteadyTime now);

    /// Notes that the platform has removed a server, which gets no new work from now on.
    /// Returns whether the server was known and listed.
    bool markUnlisted(const std::string &id, SteadyTime now);

    /// Forgets servers that are unlisted for \p age and have no work left.
    std::vector<std::string> removeUnlisted(std::chrono::milliseconds age, SteadyTime now);

    /// Notes that another incarnation answers at a server's address.
    void markReplaced(const std::string &id);

    /// Notes that a server's own answer says that it leaves. Returns whether that is news.
    bool markDraining(const std::string &id);

    /// Keeps new work from a server that has asked for a pause; then one request at a time tries it.
    void pause(const std::string &id, SteadyTime until);

    /// Takes a report. Returns whether the server has just begun to leave. A report of a later incarnation shows that
    /// this one is gone.
    bool updateLoad(const std::string &id, EngineLoad load, SteadyTime now);

    /// Takes what a server's sidecar says of it between two reports.
    void updateEstimates(const std::string &id, double committedTokens, double waitingTokens);

    std::uint64_t assign(const std::string &id, Assignment assignment);
    void markStarted(const std::string &id, std::uint64_t assignment);
    void release(const std::string &id, std::uint64_t assignment);

    /// Notes that a server answered as it should.
    void recordSuccess(const std::string &id);

    /// Notes a failure that lies with the server; more in a row keep it out for longer.
    void recordFailure(const std::string &id, SteadyTime now);

    /// Notes that an engine had no room for a reservation.
    void markFull(const std::string &id, SteadyTime now);

    /// Notes that a server could not be connected to, which keeps it out at once.
    void recordConnectFailure(const std::string &id, SteadyTime now);

    TrackedServer *find(const std::string &id);
    const std::map<std::string, TrackedServer> &servers() const;

private:
    void keepLatestAt(const Endpoint &address);

    std::map<std::string, TrackedServer> m_servers;
    std::uint64_t m_nextAssignment = 1;
};

} // namespace zinniadock
