#include "zinniadock/process/limits/coldshare.h"

#include <algorithm>
#include <cmath>
#include <limits>

#include "zinniadock/process/placing/routing.h"

namespace zinniadock
{

namespace
{

/// Time over which the requests are counted, and for which an entry with less than one request decides whether it may
/// send one.
constexpr std::chrono::seconds window{ 1 };

/// An entry whose share is below one request per second may send in a second with its share times this factor as
/// probability. Any period of one second overlaps two decisions of each entry, so without the factor the entries could
/// send twice the limit together.
constexpr double chosenSecondFactor = 0.5;

/// Maximum number of remembered requests for each server.
constexpr std::size_t maxRemembered = 1000;

} // namespace

ColdShare::ColdShare(std::uint64_t seed)
    : m_seed(seed)
{
}

bool ColdShare::maySend(const std::string &server, double perSecond, std::uint32_t entries, SteadyTime now) const
{
    const double share = perSecond / entries;
    const auto allowed = static_cast<std::size_t>(std::clamp(std::floor(share), 1.0, double{ maxRemembered }));
    return sentSince(server, now - window) < allowed && (share >= 1 || isChosenSecond(server, share, now));
}

std::size_t ColdShare::sentSince(const std::string &server, SteadyTime since) const
{
    const auto found = m_sent.find(server);
    if (found == m_sent.end()) {
        return 0;
    }
    const auto &times = found->second;
    return static_cast<std::size_t>(times.end() - std::upper_bound(times.begin(), times.end(), since));
}

// The decision is a hash, so that it needs no state and stays the same within its second.
bool ColdShare::isChosenSecond(const std::string &server, double share, SteadyTime now) const
{
    const auto phase = std::chrono::milliseconds(m_seed % 1000);
    const auto second = std::chrono::floor<std::chrono::seconds>(now.time_since_epoch() + phase).count();
    const std::uint64_t hash = stableHash(server + "/" + std::to_string(m_seed) + "/" + std::to_string(second));
    return static_cast<double>(hash)
        < chosenSecondFactor * share * static_cast<double>(std::numeric_limits<std::uint64_t>::max());
}

void ColdShare::recordSent(const std::string &server, SteadyTime now)
{
    std::deque<SteadyTime> &times = m_sent[server];
    times.push_back(now);
    while (times.size() > maxRemembered || times.front() <= now - window) {
        times.pop_front();
    }
}

void ColdShare::prune(SteadyTime now)
{
    std::erase_if(m_sent, [now](const auto &server) {
        return server.second.empty() || server.second.back() <= now - window;
    });
}

} // namespace zinniadock
