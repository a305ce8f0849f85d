#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace zinniadock
{

/// A server that was just ejected from routing, and why.
struct Ejection
{
    std::string server;
    std::string reason;
    std::chrono::milliseconds duration{ 0 };
};

/// Detects servers that fail requests or have become slow, from the results of their requests, and ejects them from
/// routing for a time. At most a third of the servers of a pool are ejected at the same time; in a pool of two servers,
/// at most one. The only server of a pool is never ejected. Thread-safe.
class ServerHealth
{
public:
    using Time = std::chrono::steady_clock::time_point;

    /// Records a request to which the server responded.
    void recordSuccess(const std::string &server, Time now);

    /// Records a request that failed because of the server.
    void recordFailure(const std::string &server, Time now);

    /// Records the sum of the gaps before \p tokens tokens of one stream.
    void recordTokenGaps(const std::string &server, std::uint32_t tokens, std::chrono::microseconds gaps, Time now);

    /// Ejects the outliers of a pool and returns them. Reviews each pool at most once per \c reviewInterval; returns
    /// nothing in between. Complexity: linearithmic in the servers.
    std::vector<Ejection> ejectOutliers(const std::string &pool, const std::vector<std::string> &servers, Time now);

    /// Returns, for each server whose share may be below 1, the share of its usual requests that it gets: 0 while it is
    /// ejected, then growing to 1. Mostly empty. Complexity: linear in these servers.
    std::map<std::string, double> reducedTrafficShares(Time now);

private:
    /// Exponentially decaying sums over the requests of a server, and its ejections.
    struct ServerState
    {
        double failures = 0;
        double successes = 0;
        double tokens = 0;
        double gapMicroseconds = 0;
        Time updated;
        Time ejectedUntil;
        std::uint32_t ejections = 0;
    };

    struct EjectionCandidate
    {
        std::string server;
        std::string reason;
        double severity = 0; ///< the candidate with the highest severity is ejected first
    };

    ServerState &decayedState(const std::string &server, Time now);
    static double meanGap(const ServerState &state);
    double medianGap(const std::vector<std::string> &servers) const;
    std::vector<EjectionCandidate> ejectionCandidates(const std::vector<std::string> &servers, Time now) const;
    Ejection eject(const EjectionCandidate &candidate, Time now);

    std::mutex m_mutex;
    std::map<std::string, ServerState> m_states;
    std::map<std::string, Time> m_lastReview; ///< by pool
    std::vector<std::string> m_reducedServers; ///< servers whose share may be below 1
};

} // namespace zinniadock
