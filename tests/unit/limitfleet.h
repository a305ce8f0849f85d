#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "zinniadock/process/limits/serverlimiter.h"

namespace zinniadock::test
{

/// Parameters of a simulated fleet.
struct LimitFleetSetup
{
    std::size_t entries = 5;
    std::vector<double> limits{ 4 }; ///< requests per second of each server; 0 for a server without a limit
    double demand = 40; ///< requests per second of all callers
    double skew = 0; ///< entry i gets a share proportional to 1 / (i + 1)^skew
    std::uint64_t seed = 1;
};

/// Simulates entries that share the limits of servers, with a simulated clock and network. Messages and responses take
/// no time. An entry that is frozen does nothing and does not respond; an entry in another partition is unreachable.
class LimitFleet
{
public:
    explicit LimitFleet(const LimitFleetSetup &setup);

    /// Runs the fleet for a simulated time.
    void run(std::chrono::milliseconds duration);

    /// Sends \p count requests at once to random entries.
    void sendBurst(std::size_t count);

    void setDemand(double perSecond);

    /// Sets the limit that a server states, in requests per second; 0 for none.
    void setLimit(std::size_t server, double perSecond);

    /// Starts a server again under its ID.
    void restartServer(std::size_t server);

    /// Replaces an entry by one that knows nothing.
    void restartEntry(std::size_t entry);

    void setFrozen(std::size_t entry, bool frozen);

    /// Removes an entry for good, or adds it.
    void setRunning(std::size_t entry, bool running);

    /// Divides the network: entries reach only entries of the same partition.
    void setPartition(std::size_t entry, int partition);

    /// Sets which entries an entry finds in the store. All entries at first.
    void setListed(std::size_t entry, const std::set<std::size_t> &listed);

    /// Max number of requests that a server got in 4 s, from entries that had passed on a response with its limit half
    /// a second before or earlier, in the time from \p from on.
    std::size_t busiestWindow(std::size_t server, std::chrono::milliseconds from) const;

    /// Returns the number of requests that a server got from \p from on.
    std::size_t sentTo(std::size_t server, std::chrono::milliseconds from) const;

    /// Returns the number of attempts that were refused because of the limits.
    std::size_t refused() const;

    /// Returns the number of served requests of each caller group. Requests belong to the groups in turn.
    const std::vector<std::size_t> &servedByGroup() const;

    /// Return the number of requests of sendBurst() that were served at a later attempt, and that were never served.
    std::size_t servedLater() const;
    std::size_t neverServed() const;

    /// Returns the max bytes per second that one entry sent and received, on average over the whole run.
    double maxBytesPerSecond() const;

    /// Returns the simulated time since the start.
    std::chrono::milliseconds now() const;

private:
    struct Entry
    {
        std::unique_ptr<EntryTree> tree;
        std::unique_ptr<ServerLimiter> limiter;
        bool isFrozen = false;
        bool isRunning = true;
        int partition = 0;
        std::set<std::string> listed;
        SteadyTime nextMaintenance;
        bool isAsking = false;
        std::uint64_t bytes = 0;
        std::vector<SteadyTime> toldAt; ///< when the entry got the first response with the limit, by server
    };

    struct Server
    {
        ServerRecord record;
        double limit = 0;
        /// When requests arrived, and whether their sender knew the limit for at least limitReactionTime.
        std::vector<std::pair<SteadyTime, bool>> arrivals;
    };

    /// A caller that was refused and comes back.
    struct Return
    {
        SteadyTime at;
        std::size_t group = 0;
        int attempt = 0;
    };

    void step();
    void handleRequest(std::size_t entry, std::size_t group, int attempt, bool returns);
    std::optional<std::size_t> chooseServer(std::size_t entry);
    void send(std::size_t entry, std::size_t server);
    void refresh(std::size_t entry);
    std::optional<EntryReply> report(std::size_t from, const std::string &to, const EntryReport &report);
    void startLimiter(std::size_t entry);
    bool isReachable(std::size_t from, std::size_t to) const;
    std::size_t randomEntry();
    std::size_t indexOf(const std::string &peer) const;
    SteadyTime time(std::chrono::milliseconds sinceStart) const;

    const LimitFleetSetup m_setup;
    std::mt19937_64 m_random;
    const SteadyTime m_start{ std::chrono::hours(1) };
    SteadyTime m_now{ m_start };
    double m_demand = 0;
    ServerDirectory m_directory;
    std::vector<Server> m_servers;
    std::vector<Entry> m_entries;
    std::map<std::string, std::size_t> m_indexes;
    std::discrete_distribution<std::size_t> m_shares;
    std::deque<Return> m_returns;
    std::vector<std::size_t> m_servedByGroup;
    std::size_t m_nextGroup = 0;
    std::size_t m_refused = 0;
    std::size_t m_servedLater = 0;
    std::size_t m_neverServed = 0;
};

} // namespace zinniadock::test
