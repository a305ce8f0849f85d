#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "zinniadock/process/placing/streammix.h"
#include "zinniadock/process/servers/serverdirectory.h"
#include "zinniadock/version/routetable.h"

namespace zinniadock
{

/// Returns whether a server may be used.
using ServerFilter = std::function<bool(const ServerRecord &)>;

/// Requirements of a request that is placed on a server.
struct PlacementRequest
{
    std::string pool;
    std::uint32_t promptTokens = 0; ///< 0 for a call of a plain service
    std::uint32_t expectedTokens = 0; ///< prompt and output together
    std::size_t sampleSize = 0; ///< number of candidates drawn at random; 0 for all
    std::string dataCentre; ///< of the entry, or of the engine that a generation moves away from
    std::optional<std::chrono::milliseconds> maxLoadAge; ///< engines with an older load are skipped
    ServerFilter maySend; ///< servers for which it returns false are skipped; empty for none
    /// All entries choose the same server for calls with the same key, whatever its load. Nothing for other calls.
    std::optional<std::uint64_t> commonServerKey;
    /// Nothing if the gaps between the events at different engines do not matter.
    std::optional<StreamNeed> stream;
};

/// Returns a random number, uniformly distributed in [0, 1).
using RandomSource = std::function<double()>;

/// Returns the memory to reserve for a generation, in tokens. \pre expectedTokens >= promptTokens
double neededTokens(std::uint32_t promptTokens, std::uint32_t expectedTokens);

/// Returns the memory that an engine is expected to need for its running and waiting generations, in tokens.
double committedTokens(const TrackedServer &server);

/// Returns the estimated number of prompt tokens that an engine has not read yet.
double waitingPromptTokens(const TrackedServer &server);

/// Returns the prompt tokens that an engine could read in the time until its warm-up ends.
double warmUpTokens(const TrackedServer &server, SteadyTime now);

/// Prompt tokens that an engine reads in a millisecond while it also produces outputs.
constexpr double promptTokensPerMillisecond = 7;

/// If a sidecar has sent no load report for this long, it counts as silent.
constexpr std::chrono::milliseconds maxSidecarSilence{ 1500 };

/// Returns whether the sidecar of an engine has sent a load report within maxSidecarSilence, or the engine was listed
/// within it.
bool hasRecentReport(const TrackedServer &server, SteadyTime now);

/// Maximum number of servers at which an entry follows the load of each engine. With more servers, the entry follows
/// only the engines that run its generations, and probes a few engines before it places a generation.
constexpr std::size_t maxFollowedServers = 64;

/// Returns the engines to probe for their load before a generation is placed. Draws up to \p count engines at random
/// among those that may take work, and omits those whose last load report is not older than \p age.
///
/// The cost of following each engine from each entry grows with the square of the fleet size. Placement by fresh loads
/// of a few engines is as good (power of d choices). Complexity: linear in the servers.
std::vector<std::string> enginesToProbe(const ServerDirectory &directory, const PlacementRequest &request,
                                        const std::set<std::string> &excluded, std::size_t count,
                                        std::chrono::milliseconds age, SteadyTime now, const RandomSource &draw);

/// Returns the number of servers that an entry chooses from: the servers divided by the entries, at least two.
/// Entries that choose from all servers by the same reports would all choose the least loaded one (power of two
/// choices). \pre entries > 0
std::size_t sampleSizeFor(std::size_t servers, std::uint32_t entries);

/// Chooses the least loaded server with enough free memory and a free slot for a generation. Skips servers that are
/// draining, in an evacuated data centre, paused, in backoff, excluded, or were full a moment ago. Returns nothing if
/// no server is left. \p draw adds a random part to each load, so that entries that read the same reports don't all
/// choose the same server. If the request states a StreamNeed and the engines differ in speed, the engines that
/// EngineTiers ranks best come first, whatever their load. Complexity: linear in the servers.
std::optional<std::string> placeGeneration(const ServerDirectory &directory, const PlacementRequest &request,
                                           const EngineCapacity &limits, const std::set<std::string> &excluded,
                                           SteadyTime now, const RandomSource &draw);

/// Chooses the server of a plain service with the least work of this entry per slot; among equal servers, one in the
/// entry's data centre. A server in backoff is chosen only if there is no other. A request with a commonServerKey gets
/// the server that a hash determines. Complexity: linear in the servers.
std::optional<std::string> placeCall(const ServerDirectory &directory, const PlacementRequest &request,
                                     const std::set<std::string> &excluded, SteadyTime now, const RandomSource &draw);

/// Returns the earliest end of a pause among the servers of a pool that accept work. Returns nothing if one of them is
/// not paused, or if there are none. Complexity: linear in the servers.
std::optional<SteadyTime> earliestPauseEnd(const ServerDirectory &directory, const std::string &pool, SteadyTime now);

/// Returns whether each server of a pool that accepts work is paused or rejected by \p maySend, and at least one is
/// rejected. Complexity: linear in the servers.
bool isPoolLimited(const ServerDirectory &directory, const std::string &pool, const ServerFilter &maySend,
                   SteadyTime now);

/// Returns whether each server of a pool that is not draining is in an evacuated data centre, and there is at least
/// one. Complexity: linear in the servers.
bool isPoolEvacuated(const ServerDirectory &directory, const std::string &pool);

/// Returns up to \p count targets for a running generation, best first. \copydetails placeGeneration
std::vector<std::string> moveTargets(const ServerDirectory &directory, const PlacementRequest &request,
                                     const EngineCapacity &limits, const std::string &source, std::size_t count,
                                     SteadyTime now, const RandomSource &draw);

/// Returns up to \p count engines that keep the bound on gaps for a running long stream whose engine does not, best
/// first. Returns none if the engine keeps the bound, if the engines do not differ in speed, or if no engine that keeps
/// the bound has room. Complexity: linear in the servers.
std::vector<std::string> keepingTargets(const ServerDirectory &directory, const PlacementRequest &request,
                                        const EngineCapacity &limits, const std::string &source, std::size_t count,
                                        SteadyTime now, const RandomSource &draw);

} // namespace zinniadock
