#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "zinniadock/process/serverdirectory.h"
#include "zinniadock/version/routetable.h"

namespace zinniadock
{

/// What a request needs of a server.
struct PlacementRequest
{
    std::string pool;
    std::uint32_t promptTokens = 0; ///< 0 for a call of a plain service
    std::uint32_t expectedTokens = 0; ///< prompt and output together
    std::size_t sampleSize = 0; ///< servers drawn at random to choose from; 0 for all
    std::string dataCentre; ///< of the entry, or of the engine that a run leaves
    std::optional<std::chrono::milliseconds> maxLoadAge; ///< engines whose load is older are passed over
};

/// Draws uniformly from [0, 1).
using RandomSource = std::function<double()>;

/// Returns the memory to keep for a generation, in tokens. \pre expectedTokens >= promptTokens
double neededTokens(std::uint32_t promptTokens, std::uint32_t expectedTokens);

/// Returns the memory that an engine is expected to need for what runs and waits there, in tokens.
double committedTokens(const TrackedServer &server);

/// Returns the prompt tokens that wait to be read at an engine, as far as known.
double waitingPromptTokens(const TrackedServer &server);

/// Returns the prompt tokens that an engine could have read in the time for which it stays cold.
double warmUpTokens(const TrackedServer &server, SteadyTime now);

/// Up to so many servers an entry follows the load of each engine; beyond, it asks a few when it has work.
constexpr std::size_t maxFollowedServers = 64;

/// Returns the engines to ask for their load before one of them is chosen: drawn at random among those that may take
/// work, less those whose load is known within \p age. Answers the pattern of many entries before many engines, where
/// following each one costs the square of the fleet and a few fresh answers place as well (power of d choices).
/// Complexity: linear in the servers.
std::vector<std::string> enginesToProbe(const ServerDirectory &directory, const PlacementRequest &need,
                                        const std::set<std::string> &excluded, std::size_t count,
                                        std::chrono::milliseconds age, SteadyTime now, const RandomSource &draw);

/// Returns the number of servers that an entry chooses from: the more entries see the same reports, the fewer, since
/// all would choose the one that looks emptiest (power of two choices). \pre entries > 0
std::size_t sampleSizeFor(std::size_t servers, std::uint32_t entries);

/// Chooses the server with the most room for a generation; nothing where each one is full, leaving or excluded. The
/// draw breaks near ties, so that entries which read the same reports don't all choose the same server.
/// Complexity: linear in the servers.
std::optional<std::string> placeGeneration(const ServerDirectory &directory, const PlacementRequest &need,
                                           const EngineCapacity &limits, const std::set<std::string> &excluded,
                                           SteadyTime now, const RandomSource &draw);

/// Chooses the server of a plain service with the least work of this entry per slot, in the entry's data centre if
/// equal; servers that failed just now only if there is no other. Complexity: linear in the servers.
std::optional<std::string> placeCall(const ServerDirectory &directory, const PlacementRequest &need,
                                     const std::set<std::string> &excluded, SteadyTime now, const RandomSource &draw);

/// Returns when the first server of a pool that has asked for a pause may be tried again; nothing where some server of
/// the pool takes work now, or where none will. Complexity: linear in the servers.
std::optional<SteadyTime> earliestPauseEnd(const ServerDirectory &directory, const std::string &pool, SteadyTime now);

/// Returns up to \p count targets for a running generation, best first. \copydetails placeGeneration
std::vector<std::string> moveTargets(const ServerDirectory &directory, const PlacementRequest &need,
                                     const EngineCapacity &limits, const std::string &source, std::size_t count,
                                     SteadyTime now, const RandomSource &draw);

} // namespace zinniadock
