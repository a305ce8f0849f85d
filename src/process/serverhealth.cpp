#include "zinniadock/process/serverhealth.h"

#include <algorithm>
#include <cmath>

namespace zinniadock
{

namespace
{

using std::chrono::milliseconds;

constexpr milliseconds halfLife{ 10000 };
constexpr milliseconds reviewInterval{ 1000 };

// A server errs if it failed at least half of at least so many recent requests.
constexpr double fewestRequests = 5;
constexpr double errorShare = 0.5;

// A server is slow if its tokens come at more than three times the usual gap of its pool, and later than the users'
// bound for the time between tokens, so that a fast pool with uneven batches loses none.
constexpr double fewestTokens = 50;
constexpr double slowFactor = 3;
constexpr double slowestRightGapMicroseconds = 47000;

constexpr milliseconds firstEjection{ 5000 };
constexpr std::uint32_t mostDoublings = 4;
constexpr milliseconds returnDuration{ 5000 };
constexpr milliseconds forgetEjections{ std::chrono::minutes(10) };

constexpr std::size_t ejectedAtMostOneIn = 3;

} // namespace

void ServerHealth::recordSuccess(const std::string &server, Time now)
{
    const std::lock_guard lock(m_mutex);
    fresh(server, now).successes += 1;
}

void ServerHealth::recordFailure(const std::string &server, Time now)
{
    const std::lock_guard lock(m_mutex);
    fresh(server, now).errors += 1;
}

void ServerHealth::recordTokenGaps(const std::string &server, std::uint32_t tokens, std::chrono::microseconds gaps,
                                   Time now)
{
    const std::lock_guard lock(m_mutex);
    State &state = fresh(server, now);
    state.tokens += tokens;
    state.gapMicroseconds += static_cast<double>(gaps.count());
}

std::vector<Ejection> ServerHealth::ejectOutliers(const std::string &pool, const std::vector<std::string> &servers,
                                                  Time now)
{
    const std::lock_guard lock(m_mutex);
    Time &reviewed = m_reviewed[pool];
    if (servers.size() < 2 || (reviewed != Time() && now - reviewed < reviewInterval)) {
        return {};
    }
    reviewed = now;
    std::size_t out = 0;
    for (const std::string &server : servers) {
        out += fresh(server, now).ejectedUntil > now ? 1 : 0;
    }
    const std::size_t most = std::max<std::size_t>(1, servers.size() / ejectedAtMostOneIn);
    std::vector<Ejection> ejections;
    for (const Suspicion &suspicion : suspicions(servers, now)) {
        if (out + ejections.size() >= most) {
            break;
        }
        ejections.push_back(eject(suspicion, now));
    }
    return ejections;
}

std::map<std::string, double> ServerHealth::reducedTrafficShares(Time now)
{
    const std::lock_guard lock(m_mutex);
    std::map<std::string, double> shares;
    for (const std::string &server : m_reduced) {
        const std::chrono::duration<double> back = now - m_states.at(server).ejectedUntil;
        shares[server] = std::clamp(back / returnDuration, 0.0, 1.0);
    }
    std::erase_if(m_reduced, [&shares](const std::string &server) {
        return shares.at(server) >= 1;
    });
    return shares;
}

ServerHealth::State &ServerHealth::fresh(const std::string &server, Time now)
{
    State &state = m_states[server];
    if (state.updated != Time()) {
        const double kept = std::exp2(-(std::chrono::duration<double>(now - state.updated) / halfLife));
        state.errors *= kept;
        state.successes *= kept;
        state.tokens *= kept;
        state.gapMicroseconds *= kept;
    }
    state.updated = now;
    return state;
}

double ServerHealth::meanGap(const State &state)
{
    return state.tokens >= fewestTokens ? state.gapMicroseconds / state.tokens : 0;
}

// The lower median of the pool: with two servers the quicker one counts as usual.
double ServerHealth::usualGap(const std::vector<std::string> &servers) const
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

std::vector<ServerHealth::Suspicion> ServerHealth::suspicions(const std::vector<std::string> &servers, Time now) const
{
    const double usual = usualGap(servers);
    std::vector<Suspicion> found;
    for (const std::string &server : servers) {
        const State &state = m_states.at(server);
        if (state.ejectedUntil > now) {
            continue;
        }
        const double requests = state.errors + state.successes;
        const double gap = meanGap(state);
        if (requests >= fewestRequests && state.errors >= errorShare * requests) {
            found.push_back(
                { .server = server,
                  .reason = std::to_string(std::lround(100 * state.errors / requests)) + "% of its requests failed",
                  .badness = slowFactor + state.errors });
        } else if (usual > 0 && gap > slowFactor * usual && gap > slowestRightGapMicroseconds) {
            found.push_back({ .server = server,
                              .reason = "its tokens come every " + std::to_string(std::lround(gap / 1000))
                                  + " ms, those of others every " + std::to_string(std::lround(usual / 1000)) + " ms",
                              .badness = gap / usual });
        }
    }
    std::sort(found.begin(), found.end(), [](const Suspicion &a, const Suspicion &b) {
        return a.badness > b.badness;
    });
    return found;
}

Ejection ServerHealth::eject(const Suspicion &suspicion, Time now)
{
    State &state = m_states[suspicion.server];
    if (state.ejectedUntil != Time() && now - state.ejectedUntil > forgetEjections) {
        state.ejections = 0;
    }
    const milliseconds duration = firstEjection * (1U << std::min(state.ejections, mostDoublings));
    const std::uint32_t ejections = state.ejections + 1;
    // It is judged anew after its return, by what it does then.
    m_reduced.push_back(suspicion.server);
    state = State{ .updated = now, .ejectedUntil = now + duration, .ejections = ejections };
    return Ejection{ .server = suspicion.server, .reason = suspicion.reason, .duration = duration };
}

} // namespace zinniadock
