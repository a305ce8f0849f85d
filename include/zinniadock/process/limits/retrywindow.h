#pragma once

#include <chrono>
#include <cstdint>
#include <deque>

#include "zinniadock/process/servers/serverdirectory.h"

namespace zinniadock
{

/// Limits on the retries to one pool, summed over all entries.
struct RetryLimits
{
    double ratio = 0.2; ///< retries per request
    double extraRetries = 20; ///< retries beyond the ratio, per window
    std::chrono::milliseconds window{ 10000 };
};

/// Counts the requests and retries of one entry over a sliding window, and enforces the entry's share of the limits
/// without communication with the other entries.
class RetryWindow
{
public:
    explicit RetryWindow(RetryLimits limits);

    void recordRequest(SteadyTime now);

    /// Consumes one retry. Returns false if this entry's share is used up. \pre entries > 0
    bool takeRetry(std::uint32_t entries, SteadyTime now);

private:
    void removeExpired(SteadyTime now);

    RetryLimits m_limits;
    std::deque<SteadyTime> m_requests;
    std::deque<SteadyTime> m_retries;
};

} // namespace zinniadock
