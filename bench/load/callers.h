#pragma once

#include <atomic>
#include <chrono>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "figures.h"
#include "history.h"
#include "processusage.h"
#include "zinniadock/detail/fieldtable.h"

namespace zinniadock::load
{

/// What the callers of a run do.
struct CallerPlan
{
    std::vector<Endpoint> targets; ///< entries, or engines
    std::string key;
    std::string route;
    std::string callPath; ///< path of keyed calls to a plain service; empty for none
    std::uint32_t callers = 1; ///< threads, each with one request at a time
    std::uint32_t requests = 1; ///< per caller, unless \c duration is set
    std::chrono::milliseconds duration{ 0 };
    std::chrono::milliseconds ramp{ 0 }; ///< the callers start evenly over this time
    std::uint32_t tokens = 100; ///< of each generation; 0 leaves it to the engine
    std::uint32_t promptBytes = 64;
    std::uint64_t seed = 1;
};

/// What the callers of a run saw.
struct CallerResults
{
    std::uint64_t requests = 0;
    std::uint64_t whole = 0;
    std::uint64_t partial = 0; ///< ended after tokens were shown
    std::uint64_t refused = 0; ///< answered as not run
    std::uint64_t unknown = 0; ///< other ends
    std::uint64_t wrongTokens = 0; ///< not the next token of the caller's own generation
    std::uint64_t tokens = 0;
    double seconds = 0;
    DurationSamples firstToken; ///< from sending to the first token
    DurationSamples gap; ///< between tokens
    DurationSamples stall; ///< longest wait of each request
    DurationSamples requestWay; ///< from sending to the engine, for engines that stamp their tokens
    DurationSamples tokenWay; ///< from the engine to the caller
    DurationSamples addedPath; ///< request way and first token's way together

    void add(const CallerResults &other);
    void report(Figures &figures, const std::string &prefix);
};

/// Runs the callers of a plan to their end and returns what they saw.
CallerResults runCallers(const CallerPlan &plan, standin::History &history);

} // namespace zinniadock::load
