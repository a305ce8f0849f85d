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

/// Settings of the callers of a run.
struct CallerPlan
{
    std::vector<Endpoint> targets; ///< entries or engines; callers use them in rotation
    std::string key;
    std::string route;
    std::string callPath; ///< path of the calls to a plain service; empty for no calls
    std::uint32_t callers = 1; ///< number of callers; each is a thread that sends one request at a time
    std::uint32_t requests = 1; ///< requests per caller; ignored if \c duration is set
    std::chrono::milliseconds duration{ 0 }; ///< time in which callers begin requests; 0 to use \c requests
    std::chrono::milliseconds rampDuration{ 0 }; ///< time over which the callers start, evenly spaced
    std::uint32_t tokens = 100; ///< tokens per generation; 0 leaves the number to the engine
    std::uint32_t promptBytes = 64; ///< minimum length of a prompt
    std::uint64_t seed = 1;
};

/// Results that the callers of a run measured.
struct CallerResults
{
    std::uint64_t requests = 0;
    std::uint64_t whole = 0; ///< complete responses
    std::uint64_t partial = 0; ///< requests that ended incomplete after at least one token was received
    std::uint64_t refused = 0; ///< requests that were reported as not run
    std::uint64_t unknown = 0; ///< requests that ended incomplete without a token and were not reported as not run
    std::uint64_t wrongTokens = 0; ///< requests that received a token other than the next one of their own generation
    std::uint64_t tokens = 0;
    double seconds = 0; ///< duration of the run
    DurationSamples firstToken; ///< time from sending a request to its first token
    DurationSamples gap; ///< time between two consecutive tokens
    DurationSamples maxWait; ///< per generation: longest wait for a token or for the end of the stream
    DurationSamples requestLatency; ///< time from sending to arrival at the engine, if the engine timestamps its tokens
    DurationSamples tokenLatency; ///< time from the emission of a token by the engine to its receipt by the caller
    DurationSamples pathLatency; ///< requestLatency plus tokenLatency, per token that carries the arrival time

    void add(const CallerResults &other);
    /// Adds the results to \p figures under names that begin with \p prefix.
    void report(Figures &figures, const std::string &prefix);
};

/// Runs the callers of a plan until all have finished, and returns the sum of their results.
CallerResults runCallers(const CallerPlan &plan, standin::History &history);

} // namespace zinniadock::load
