#include "zinniadock/process/servers/serverhealth.h"

#include <algorithm>
#include <cmath>

namespace zinniadock
{

namespace
{

using std::chrono::milliseconds;

constexpr milliseconds halfLife{ 10000 };
constexpr milliseconds reviewInterval{ 1000 };

// A server is failing if at least half of its recent requests failed, out of at least minRequests.
constexpr double minRequests = 5;
constexpr double minFailureShare = 0.5;

// A server is slow if its mean gap between tokens is more than slowGapFactor times the median of its pool, and also
// exceeds the users' bound for the time between tokens. Because of the second condition, a fast pool with uneven
// batches loses no server. The mean gap is known only from minTokens recent tokens on.
constexpr double minTokens = 50;
constexpr double slowGapFactor = 3;
constexpr double maxAcceptableGapMicroseconds = 47000;

constexpr milliseconds initialEjection{ 5000 };
constexpr std::uint32_t maxDoublings = 4;
constexpr milliseconds rampUpDuration{ 5000 };
constexpr milliseconds ejectionCountReset{ std::chrono::minutes(10) };

constexpr std::size_t minServersPerEjection = 3;

} // namespace

void ServerHealth::recordSuccess(const std::string &server, Time now)
{
    const std::lock_guard lock(m_mutex);
    decayedState(server, now).successes += 1;
}

void ServerHealth::recordFailure(const std::string &server, Time now)
{
    const std::lock_guard lock(m_mutex);
    decayedState(server, now).failures += 1;
}

void ServerHealth::recordTokenGaps(const std::string &server, std::uint32_t tokens, std::chrono::microseconds gaps,
                                   Time now)
{
    const std::lock_guard lock(m_mutex);
    ServerState &state = decayedState(server, now);
    state.tokens += tokens;
    state.gapMicroseconds += static_cast<double>(gaps.count());
}

std::vector<Ejection> ServerHealth::ejectOutliers(const std::string &pool, const std::vector<std::string> &servers,
                                                  Time now)
{
    const std::lock_guard lock(m_mutex);
    Time &lastReview = m_lastReview[pool];
    if (servers.size() < 2 || (lastReview != Time() && now - lastReview < reviewInterval)) {
        return {};
    }
    lastReview = now;
    std::size_t ejectedCount = 0;
    for (const std::string &server : servers) {
        ejectedCount += decayedState(server, now).ejectedUntil > now ? 1 : 0;
    }
    const std::size_t maxEjected = std::max<std::size_t>(1, servers.size() / minServersPerEjection);
    std::vector<Ejection> ejections;
    for (const EjectionCandidate &candidate : ejectionCandidates(servers, now)) {
        if (ejectedCount + ejections.size() >= maxEjected) {
            break;
        }
        ejections.push_back(eject(candidate, now));
    }
    return ejections;
}

std::map<std::string, double> ServerHealth::reducedTrafficShares(Time now)
{
    const std::lock_guard lock(m_mutex);
    std::map<std::string, double> shares;
    for (const std::string &server : m_reducedServers) {
        const std::chrono::duration<double> back = now - m_states.at(server).ejectedUntil;
        shares[server] = std::clamp(back / rampUpDuration, 0.0, 1.0);
    }
    std::erase_if(m_reducedServers, [&shares](const std::string &server) {
        return shares.at(server) >= 1;
    });
    return shares;
}

ServerHealth::ServerState &ServerHealth::decayedState(const std::string &server, Time now)
{
    ServerState &state = m_states[server];
    if (state.updated != Time()) {
        const double kept = std::exp2(-(std::chrono::duration<double>(now - state.updated) / halfLife));
        state.failures *= kept;
        state.successes *= kept;
        state.tokens *= kept;
        state.gapMicroseconds *= kept;
    }
    state.updated = now;
    return state;
}

double ServerHealth::meanGap(const ServerState &state)
{
    return state.tokens >= minTokens ? state.gapMicroseconds / state.tokens : 0;
}

// Returns the lower median of the mean gaps in the pool: with two servers, the gap of the faster one.
double ServerHealth::medianGap(const std::vector<std::string> &servers) const
{
    std::vector<double> gaps;
    for (const std::string &server : servers) {
        if (const double gap = meanGap(m_states.at(server)); gap > 0) {
            gaps.push_back(gap);
        }
    }
    if (gaps.empty()) {
        return 0;
    }
    std::sort(gaps.begin(), gaps.end());
    return gaps[(gaps.size() - 1) / 2];
}

std::vector<ServerHealth::EjectionCandidate> ServerHealth::ejectionCandidates(const std::vector<std::string> &servers,
                                                                              Time now) const
{
    const double median = medianGap(servers);
    std::vector<EjectionCandidate> candidates;
    for (const std::string &server : servers) {
        const ServerState &state = m_states.at(server);
        if (state.ejectedUntil > now) {
            continue;
        }
        const double requests = state.failures + state.successes;
        const double gap = meanGap(state);
        if (requests >= minRequests && state.failures >= minFailureShare * requests) {
            candidates.push_back(
                { .server = server,
                  .reason = std::to_string(std::lround(100 * state.failures / requests)) + "% of its requests failed",
                  .severity = slowGapFactor + state.failures });
        } else if (median > 0 && gap > slowGapFactor * median && gap > maxAcceptableGapMicroseconds) {
            candidates.push_back({ .server = server,
                                   .reason = "its mean gap between tokens is " + std::to_string(std::lround(gap / 1000))
                                       + " ms, the median of its pool is " + std::to_string(std::lround(median / 1000))
                                       + " ms",
                                   .severity = gap / median });
        }
    }
    std::sort(candidates.begin(), candidates.end(), [](const EjectionCandidate &a, const EjectionCandidate &b) {
        return a.severity > b.severity;
    });
    return candidates;
}

Ejection ServerHealth::eject(const EjectionCandidate &candidate, Time now)
{
    ServerState &state = m_states[candidate.server];
    if (state.ejectedUntil != Time() && now - state.ejectedUntil > ejectionCountReset) {
        state.ejections = 0;
    }
    const milliseconds duration = initialEjection * (1U << std::min(state.ejections, maxDoublings));
    const std::uint32_t ejections = state.ejections + 1;
    m_reducedServers.push_back(candidate.server);
    // Resets the counts of requests, tokens and gaps, so that only later requests count towards the next ejection.
    state = ServerState{ .updated = now, .ejectedUntil = now + duration, .ejections = ejections };
    return Ejection{ .server = candidate.server, .reason = candidate.reason, .duration = duration };
}

} // namespace zinniadock
