#pragma once

#include <chrono>
#include <cstdint>
#include <random>
#include <string>
#include <vector>

#include "zinniadock/version/configuration.h"

namespace zinniadock::crowded
{

using Seconds = std::chrono::duration<double>;

/// A class of similar requests in a workload.
struct RequestClass
{
    std::string route;
    double share = 1; ///< fraction of the requests
    double medianTokens = 100; ///< median of the log-normal output length
    double sigma = 0.5; ///< standard deviation of the logarithm of the output length
    std::uint32_t promptTokens = 200;
    std::uint32_t priority = 0;
};

/// The request mix and policy of one deployment.
struct Workload
{
    std::string name;
    std::vector<RequestClass> classes;
    std::vector<double> accountShares; ///< fraction of the requests of each client account; the first is the largest
    Policy policy;
};

/// A request with its arrival time.
struct Arrival
{
    std::uint64_t id = 0;
    Seconds time{ 0 }; ///< since the start of the run
    std::size_t account = 0; ///< index in Workload::accountShares
    std::size_t requestClass = 0; ///< index in Workload::classes
    std::uint32_t promptTokens = 0;
    std::uint32_t outputTokens = 0;
    std::uint64_t prefixHash = 0;
};

/// Returns the workload of the Trilhos deployment, whose policy weights stalls ten times as much as preemptions.
Workload trilhosWorkload();

/// Returns the workload of the Qorgan deployment, whose policy weights preemptions ten times as much as stalls.
Workload qorganWorkload();

/// Maximum output length of one generation. The reservation baseline reserves memory for this length per request.
constexpr std::uint32_t maxOutputTokens = 8192;

/// Draws the requests of a Poisson process over a duration. The requests depend only on the arguments, so all policies
/// receive the same requests for a seed.
std::vector<Arrival> drawArrivals(const Workload &workload, double requestsPerSecond, Seconds duration,
                                  std::uint64_t seed);

/// Returns the mean memory use of a request over its lifetime, in tokens held times decoding steps. A request holds its
/// prompt and the output generated so far.
double meanTokenSteps(const Workload &workload, std::uint64_t seed);

} // namespace zinniadock::crowded
