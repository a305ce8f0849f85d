#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>

namespace zinniadock
{

/// What an entry knows of one backend server when it routes a request.
struct ServerView
{
    std::string name;
    bool isSameDataCentre = true;
    bool isUsable = true; ///< linked, alive and not draining
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    double memoryUse = 0; ///< committed share of the engine memory, from 0 to 1
    std::chrono::milliseconds expectedWait{ 0 };
    std::uint32_t sentSinceReport = 0; ///< requests sent after the newest load report
    double trafficShare = 1; ///< grows from 0 to 1 after a server came back
};

/// Estimates the time to first token of a request sent to a server now.
std::chrono::microseconds estimatedTimeToFirstToken(const ServerView &server);

/// Chooses a server: the one that owns the prompt prefix, unless another one drawn at random would answer so much
/// earlier that the saved prefill does not pay.
///
/// Servers in the same data centre go first; others are used when none there is usable, or when all there make the
/// request wait.
/// \param prefixHash  hash of the prompt prefix, 0 for none
/// \param prefixSaving  prefill time that a warm prefix cache saves
/// \param random  a uniformly random number
/// \return the index of the server; nothing if none is usable
/// Complexity: linear in the servers, with one hash each.
std::optional<std::size_t> chooseServer(std::span<const ServerView> servers, std::uint64_t prefixHash,
                                        std::chrono::microseconds prefixSaving, std::uint64_t random);

/// Hashes text for affinity; the same on every instance.
std::uint64_t stableHash(std::string_view text);

} // namespace zinniadock
