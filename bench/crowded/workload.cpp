#include "workload.h"

#include <algorithm>
#include <cmath>

namespace zinniadock::crowded
{

namespace
{

std::uint32_t drawLength(const RequestClass &requestClass, std::mt19937_64 &random)
{
    std::lognormal_distribution<double> length(std::log(requestClass.medianTokens), requestClass.sigma);
    return static_cast<std::uint32_t>(std::clamp(std::ceil(length(random)), 1.0, static_cast<double>(maxOutputTokens)));
}

std::size_t drawClass(const Workload &workload, std::mt19937_64 &random)
{
    std::vector<double> shares;
    for (const RequestClass &requestClass : workload.classes) {
        shares.push_back(requestClass.share);
    }
    return std::discrete_distribution<std::size_t>(shares.begin(), shares.end())(random);
}

} // namespace

Workload trilhosWorkload()
{
    return { .name = "trilhos",
             .classes
             = { { .route = "fitting-brief", .share = 0.4, .medianTokens = 500, .sigma = 0.9, .promptTokens = 300 },
                 { .route = "clause-check", .share = 0.6, .medianTokens = 25, .sigma = 0.5, .promptTokens = 200 } },
             .accountShares = { 0.45, 0.2, 0.1, 0.05, 0.05, 0.03, 0.03, 0.03, 0.03, 0.03 },
             .policy = { .weightStall = 10, .weightPreemption = 1 } };
}

Workload qorganWorkload()
{
    return { .name = "qorgan",
             .classes
             = { { .route = "report", .share = 0.5, .medianTokens = 400, .sigma = 0.7, .promptTokens = 500 },
                 { .route = "pass-note", .share = 0.5, .medianTokens = 30, .sigma = 0.5, .promptTokens = 500 } },
             .accountShares = { 0.45, 0.2, 0.1, 0.05, 0.05, 0.03, 0.03, 0.03, 0.03, 0.03 },
             .policy = { .weightStall = 1, .weightPreemption = 10 } };
}

std::vector<Arrival> drawArrivals(const Workload &workload, double requestsPerSecond, Seconds duration,
                                  std::uint64_t seed)
{
    std::mt19937_64 random(seed);
    std::exponential_distribution<double> interval(requestsPerSecond);
    std::discrete_distribution<std::size_t> account(workload.accountShares.begin(), workload.accountShares.end());
    std::vector<Arrival> arrivals;
    for (Seconds time(interval(random)); time < duration; time += Seconds(interval(random))) {
        Arrival arrival;
        arrival.id = arrivals.size() + 1;
        arrival.time = time;
        arrival.account = account(random);
        arrival.requestClass = drawClass(workload, random);
        const RequestClass &requestClass = workload.classes[arrival.requestClass];
        arrival.promptTokens = requestClass.promptTokens;
        arrival.outputTokens = drawLength(requestClass, random);
        arrival.prefixHash = 1 + arrival.account * workload.classes.size() + arrival.requestClass;
        arrivals.push_back(arrival);
    }
    return arrivals;
}

double meanTokenSteps(const Workload &workload, std::uint64_t seed)
{
    constexpr int samples = 20000;
    std::mt19937_64 random(seed);
    double sum = 0;
    for (int i = 0; i < samples; ++i) {
        const RequestClass &requestClass = workload.classes[drawClass(workload, random)];
        const double length = drawLength(requestClass, random);
        sum += length * (requestClass.promptTokens + length / 2);
    }
    return sum / samples;
}

} // namespace zinniadock::crowded
