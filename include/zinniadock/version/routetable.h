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

/// How often a request may run.
enum class RouteKind {
    Idempotent, ///< may run any number of times, so that it may be retried
    AtMostOnce, ///< may run at most once
    Stream, ///< a stream of events; may run at most once, and may move between servers while it runs
};

/// A pool that gets a share of the requests of a route, in proportion to its weight.
struct WeightedPool
{
    std::string pool;
    double weight = 1;
};

/// The route of the requests under one host and path prefix.
struct ForwardRoute
{
    std::string name;
    std::string host;
    std::string prefix; ///< path prefix; begins and ends with a slash
    RouteKind kind = RouteKind::AtMostOnce;
    std::chrono::milliseconds timeout{ 0 }; ///< maximum time until the complete response
    std::chrono::milliseconds targetLatency{ 0 }; ///< for the complete response, or for the first event of a stream
    std::chrono::milliseconds maxGap{ 0 }; ///< a longer gap between events of a stream counts as late; 0 for no limit
    std::uint32_t priority = 0; ///< requests with a lower value are served first
    std::vector<WeightedPool> pools;
    std::uint32_t maxAttempts = 1; ///< maximum number of servers that one request may run on
    bool isPublic = false; ///< accepts requests without a key
    bool isResumable = false; ///< a caller may resume a broken stream
};

/// Limits of each model engine of a pool.
struct EngineCapacity
{
    std::uint32_t slots = 0;
    std::uint32_t memoryTokens = 0;
    std::uint32_t bytesPerToken = 0;
    std::uint32_t tokensPerEvent = 1; ///< tokens in one event of a stream
    double linkMegabitsPerSecond = 0;
    std::chrono::milliseconds maxReservationDuration{ 0 }; ///< 0 if the engines accept no reservations
    bool supportsMoves = false; ///< a generation can move to another engine with its KV cache
};

/// Settings of a pool of backend servers that serve the same requests.
struct ServerPool
{
    std::string healthPath;
    std::optional<EngineCapacity> engine; ///< nothing for a plain service
    std::chrono::milliseconds coldDuration{ 0 }; ///< time for which a server is cold after its start
    double coldRate = 0; ///< requests per second that a cold server tolerates from all entries; 0 if not stated
};

/// Limits on the size and the duration of requests that callers send.
struct CallerLimits
{
    std::uint32_t headerBytes = 16384;
    std::uint32_t bodyBytes = 4194304;
    std::chrono::milliseconds headerTimeout{ 3000 };
    std::chrono::milliseconds idleTimeout{ 15000 };
};

/// The client account that owns a key.
struct KeyHolder
{
    std::string account;
    std::optional<std::uint32_t> priority; ///< overrides the priority of the route
};

/// One version of the operators' routes, pools and keys, in the form that entries look up.
struct RouteTable
{
    std::uint64_t version = 0;
    std::vector<ForwardRoute> routes;
    std::map<std::string, ServerPool> pools;
    std::map<std::string, KeyHolder> keys;
    bool authenticatesCallers
        = false; ///< requests on routes that are not public need a key, since client accounts exist
    CallerLimits limits;

    /// Returns the route of a host whose prefix is the longest match of a path; null if there is none. Ignores the port
    /// and the case of the host, and the query of the path.
    /// Complexity: linear in the routes.
    const ForwardRoute *find(std::string_view host, std::string_view path) const;

    /// Returns the client account that owns a key; null for an unknown key. Complexity: logarithmic in the keys.
    const KeyHolder *findKeyHolder(const std::string &key) const;
};

/// Returns the pool of a request, chosen by the weights of its route.
/// \param draw  random number, uniform in [0, 1)
/// \pre the route has at least one pool
const std::string &pickPool(const ForwardRoute &route, double draw);

} // namespace zinniadock
