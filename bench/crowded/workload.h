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

/// One kind of request of a workload.
struct RequestClass
{
    std::string route;
    double share = 1; ///< of the requests
    double medianTokens = 100; ///< of a log-normal output length
    double sigma = 0.5;
    std::uint32_t promptTokens = 200;
    std::uint32_t priority = 0;
};

/// The requests of one deployment.
struct Workload
{
    std::string name;
    std::vector<RequestClass> classes;
    std::vector<double> accountShares; ///< of the requests, by client account
    Policy policy;
};

/// One request that arrives.
struct Arrival
{
    std::uint64_t id = 0;
    Seconds time{ 0 };
    std::size_t account = 0;
    std::size_t requestClass = 0;
    std::uint32_t promptTokens = 0;
    std::uint32_t outputTokens = 0;
    std::uint64_t prefixHash = 0;
};

Workload trilhos();
Workload qorgan();

/// Longest output of one generation, which the reservation baseline sets aside.
constexpr std::uint32_t maxOutputTokens = 8192;

/// Draws Poisson arrivals over a time; the same seed gives the same requests whatever serves them.
std::vector<Arrival> drawArrivals(const Workload &workload, double requestsPerSecond, Seconds length,
                                  std::uint64_t seed);

/// Returns the mean of prompt and output, in tokens of memory times decoding steps, that one request takes.
double meanMemorySteps(const Workload &workload, std::uint64_t seed);

} // namespace zinniadock::crowded
