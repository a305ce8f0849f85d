#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>

namespace zinniadock
{

/// State of one backend server, as known to an entry that routes a request.
struct ServerView
{
    std::string name;
    bool isSameDataCentre = true;
    bool isUsable = true; ///< link open, backend server reachable, not draining and not ejected
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    double memoryUse = 0; ///< committed share of the engine memory, from 0 to 1
    std::chrono::milliseconds expectedWait{ 0 };
    std::uint32_t sentSinceReport = 0; ///< requests sent after the newest load report
    /// Share of its usual requests. Grows from 0 to 1 after the link opens and after an ejection ends.
    double trafficShare = 1;
};

/// Returns the estimated time to first token of a request sent to a server now.
std::chrono::microseconds estimatedTimeToFirstToken(const ServerView &server);

/// Chooses the server that owns the prompt prefix (rendezvous hashing), unless another server, drawn at random, would
/// respond earlier by more than the saved prefill time.
///
/// Chooses among the usable servers in the same data centre if the expected wait on one of them is short. Otherwise
/// chooses among all usable servers.
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
