#include "zinniadock/process/placing/routing.h"

#include <vector>

namespace zinniadock
{

namespace
{

using std::chrono::microseconds;

// Estimated delay of the first token in a batch: per request that already runs, and per request that waits or was sent
// since the last load report.
constexpr microseconds costPerRunning{ 1000 };
constexpr microseconds costPerQueued{ 4000 };

// Memory use above which an engine is likely to make a new request wait, and the estimated wait at full memory. Between
// the two, the estimate grows linearly.
constexpr double highMemoryUse = 0.85;
constexpr microseconds waitAtFullMemory{ 500000 };

// Other data centres are used too if each usable local server has at least this expected wait. The value is far above
// the round-trip time to them.
constexpr microseconds spilloverWait{ 100000 };

constexpr double minTrafficShare = 0.05;

std::uint64_t mixBits(std::uint64_t value)
{
    value ^= value >> 33U;
    value *= 0xff51afd7ed558ccdULL;
    value ^= value >> 33U;
    value *= 0xc4ceb9fe1a85ec53ULL;
    return value ^ (value >> 33U);
}

std::vector<std::size_t> candidates(std::span<const ServerView> servers)
{
    std::vector<std::size_t> local;
    std::vector<std::size_t> all;
    bool hasFreeLocal = false;
    for (std::size_t i = 0; i < servers.size(); ++i) {
        if (!servers[i].isUsable) {
            continue;
        }
        all.push_back(i);
        if (servers[i].isSameDataCentre) {
            local.push_back(i);
            hasFreeLocal = hasFreeLocal || servers[i].expectedWait < spilloverWait;
        }
    }
    return hasFreeLocal ? local : all;
}

} // namespace

std::uint64_t stableHash(std::string_view text)
{
    std::uint64_t hash = 0xcbf29ce484222325ULL;
    for (const char c : text) {
        hash = (hash ^ static_cast<unsigned char>(c)) * 0x100000001b3ULL;
    }
    return mixBits(hash);
}

std::chrono::microseconds estimatedTimeToFirstToken(const ServerView &server)
{
    microseconds estimate = server.expectedWait;
    estimate += costPerRunning * server.running + costPerQueued * (server.sentSinceReport + server.waiting);
    if (server.memoryUse > highMemoryUse) {
        const double excess = (server.memoryUse - highMemoryUse) / (1 - highMemoryUse);
        estimate += microseconds(static_cast<std::int64_t>(static_cast<double>(waitAtFullMemory.count()) * excess));
    }
    const double trafficShare = server.trafficShare < minTrafficShare ? minTrafficShare : server.trafficShare;
    const auto load = static_cast<double>((estimate + costPerQueued).count());
    return microseconds(static_cast<std::int64_t>(load / trafficShare));
}

std::optional<std::size_t> chooseServer(std::span<const ServerView> servers, std::uint64_t prefixHash,
                                        std::chrono::microseconds prefixSaving, std::uint64_t random)
{
    const std::vector<std::size_t> usable = candidates(servers);
    if (usable.empty()) {
        return std::nullopt;
    }
    const std::size_t randomChoice = usable[random % usable.size()];
    std::size_t owner = usable[mixBits(random) % usable.size()];
    if (prefixHash != 0) {
        std::uint64_t best = 0;
        for (const std::size_t index : usable) {
            const std::uint64_t weight = mixBits(prefixHash ^ stableHash(servers[index].name));
            if (weight >= best) {
                best = weight;
                owner = index;
            }
        }
    }
    const microseconds saving = prefixHash == 0 ? microseconds(0) : prefixSaving;
    return estimatedTimeToFirstToken(servers[owner]) - saving <= estimatedTimeToFirstToken(servers[randomChoice])
        ? owner
        : randomChoice;
}

} // namespace zinniadock
