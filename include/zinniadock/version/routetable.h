#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace zinniadock
{

/// What may happen to a request more than once.
enum class RouteKind {
    Idempotent, ///< may run any number of times
    AtMostOnce, ///< may run once
    Stream, ///< a stream of events; may run once, and may move between servers while it runs
};

/// A pool that gets a share of a route's requests.
struct WeightedPool
{
    std::string pool;
    double weight = 1;
};

/// Where the requests under one host and path prefix go.
struct ForwardRoute
{
    std::string name;
    std::string host;
    std::string prefix; ///< begins and ends with a slash
    RouteKind kind = RouteKind::AtMostOnce;
    std::chrono::milliseconds timeout{ 0 }; ///< longest time until the whole answer
    std::chrono::milliseconds targetLatency{ 0 }; ///< until the whole answer, of a stream until its first event
    std::chrono::milliseconds maxGap{ 0 }; ///< between the events of a stream that is still on time; 0 for any
    std::uint32_t priority = 0; ///< 0 goes first
    std::vector<WeightedPool> pools;
    std::uint32_t maxAttempts = 1; ///< servers that one request may run on
    bool isPublic = false; ///< needs no key
    bool isResumable = false; ///< a caller may take up a broken stream
};

/// Limits of the model engines of a pool.
struct EngineCapacity
{
    std::uint32_t slots = 0;
    std::uint32_t memoryTokens = 0;
    std::uint32_t bytesPerToken = 0;
    std::uint32_t tokensPerEvent = 1; ///< of a stream
    double linkMegabitsPerSecond = 0;
    std::chrono::milliseconds maxReservationDuration{ 0 }; ///< 0 where engines take no reservations
    bool movesRuns = false;
};

/// Backend servers that serve the same requests.
struct ServerPool
{
    std::string healthPath;
    std::optional<EngineCapacity> engine; ///< nothing for a plain service
};

/// Bounds on what a caller may send, and how long it may take.
struct CallerLimits
{
    std::uint32_t headerBytes = 16384;
    std::uint32_t bodyBytes = 4194304;
    std::chrono::milliseconds headerTimeout{ 3000 };
    std::chrono::milliseconds idleTimeout{ 15000 };
};

/// The client account that a key belongs to.
struct KeyHolder
{
    std::string account;
    std::optional<std::uint32_t> priority; ///< goes before the priority of the route
};

/// One version of the operators' routes, pools and keys, as entries apply it.
struct RouteTable
{
    std::uint64_t version = 0;
    std::vector<ForwardRoute> routes;
    std::map<std::string, ServerPool> pools;
    std::map<std::string, KeyHolder> keys;
    bool checksKeys = false; ///< some client account is configured
    CallerLimits limits;

    /// Returns the route of the host with the longest prefix of the path; null if there is none.
    /// Complexity: linear in the routes.
    const ForwardRoute *find(std::string_view host, std::string_view path) const;

    /// Returns who holds a key; null for an unknown one. Complexity: logarithmic in the keys.
    const KeyHolder *findKeyHolder(const std::string &key) const;
};

/// Picks the pool of a request by the weights of its route. \pre the route has a pool
/// \param draw  uniform in [0, 1)
const std::string &pickPool(const ForwardRoute &route, double draw);

} // namespace zinniadock
