#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace zinniadock
{

/// A server that was just taken out of routing, and why.
struct Ejection
{
    std::string server;
    std::string reason;
    std::chrono::milliseconds duration{ 0 };
};

/// Notices servers that err or have become slow without failing, from what their requests saw, and takes them out of
/// routing for a while; never more than a third of a pool, and never the last server. Thread-safe.
class ServerHealth
{
public:
    using Time = std::chrono::steady_clock::time_point;

    /// Notes a request that the server answered.
    void recordSuccess(const std::string &server, Time now);

    /// Notes a request that the server did not bring to its end, for a reason that lies with the server.
    void recordFailure(const std::string &server, Time now);

    /// Notes the sum of the gaps before some tokens of one stream.
    void recordTokenGaps(const std::string &server, std::uint32_t tokens, std::chrono::microseconds gaps, Time now);

    /// Decides which servers of a pool to take out now; at most every \c reviewInterval, else it returns nothing.
    /// Complexity: linearithmic in the servers.
    std::vector<Ejection> ejectOutliers(const std::string &pool, const std::vector<std::string> &servers, Time now);

    /// Returns the share of its usual requests that a server is to get, for each whose share may be below 1: 0 while it
    /// is out, then growing to 1. Mostly empty. Complexity: linear in these servers.
    std::map<std::string, double> reducedTrafficShares(Time now);

private:
    /// Sums in which older requests weigh less.
    struct State
    {
        double errors = 0;
        double successes = 0;
        double tokens = 0;
        double gapMicroseconds = 0;
        Time updated;
        Time ejectedUntil;
        std::uint32_t ejections = 0;
    };

    struct Suspicion
    {
        std::string server;
        std::string reason;
        double badness = 0; ///< the worst is taken out first
    };

    State &fresh(const std::string &server, Time now);
    static double meanGap(const State &state);
    double usualGap(const std::vector<std::string> &servers) const;
    std::vector<Suspicion> suspicions(const std::vector<std::string> &servers, Time now) const;
    Ejection eject(const Suspicion &suspicion, Time now);

    std::mutex m_mutex;
    std::map<std::string, State> m_states;
    std::map<std::string, Time> m_reviewed; ///< by pool
    std::vector<std::string> m_reduced; ///< servers whose share may be below 1
};

} // namespace zinniadock
