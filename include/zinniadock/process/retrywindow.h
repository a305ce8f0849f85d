#pragma once

#include <chrono>
#include <cstdint>
#include <deque>

#include "zinniadock/process/serverdirectory.h"

namespace zinniadock
{

/// Bounds on the repeated sends to one pool, summed over all entries.
struct RetryLimits
{
    double ratio = 0.2; ///< repeats per request
    double extraRetries = 20; ///< repeats beyond the ratio
    std::chrono::milliseconds window{ 10000 };
};

/// Counts the requests and repeats of one entry over a sliding window and keeps to its share of the limits without
/// asking the other entries.
class RetryWindow
{
public:
    explicit RetryWindow(RetryLimits limits);

    void recordRequest(SteadyTime now);

    /// Takes one repeat; false if this entry's share is used up. \pre entries > 0
    bool takeRetry(std::uint32_t entries, SteadyTime now);

private:
    void forgetOld(SteadyTime now);

    RetryLimits m_limits;
    std::deque<SteadyTime> m_requests;
    std::deque<SteadyTime> m_repeats;
};

} // namespace zinniadock
