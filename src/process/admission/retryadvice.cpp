#include "zinniadock/process/admission/retryadvice.h"

#include <algorithm>

namespace zinniadock
{

namespace
{

using std::chrono::milliseconds;

constexpr milliseconds minRetryAfter{ 400 };

/// A client that waits longer may give up, and the ends of generations beyond are estimated too roughly.
constexpr milliseconds maxRetryAfter{ 3000 };

/// Width of the random part. It separates clients of different entries, which expect ends at the same times.
constexpr milliseconds minSpread{ 200 };
constexpr double spreadShare = 0.25;

/// Retry time without running generations, from which capacity could be expected.
constexpr milliseconds unknownSpread{ 800 };

/// With fewer generations, the ends at this entry say little about the capacity of the fleet.
constexpr std::size_t minGenerations = 8;

/// Number of generations that may wait for each one that is expected to end in time. It is above 1, since capacity also
/// becomes free by other means, such as an engine that starts.
constexpr std::size_t maxWaitingPerEnd = 2;

/// Maximum number of clients whose return is counted. Further ones come back after maxRetryAfter anyway.
constexpr std::size_t maxReturns = 512;

/// Returns the time of the end with an index. Beyond the last one, ends continue at the mean rate.
milliseconds endAt(const ExpectedEnds &sortedEnds, std::size_t index)
{
    if (index < sortedEnds.size()) {
        return sortedEnds[index];
    }
    const auto count = static_cast<milliseconds::rep>(sortedEnds.size());
    const auto beyond = static_cast<milliseconds::rep>(index + 1) - count;
    return sortedEnds.back() + sortedEnds.back() * beyond / count;
}

} // namespace

bool mayWaitingHelp(const ExpectedEnds &ends, std::size_t ahead, milliseconds maxWait)
{
    const auto inTime = static_cast<std::size_t>(std::count_if(ends.begin(), ends.end(), [maxWait](milliseconds end) {
        return end <= maxWait;
    }));
    return ends.size() < minGenerations || ahead <= maxWaitingPerEnd * inTime;
}

milliseconds RetryAdvice::retryAfter(ExpectedEnds ends, std::size_t ahead, std::uint32_t priority, SteadyTime now,
                                     double draw)
{
    std::erase_if(m_returns, [now](const auto &each) {
        return each.first < now;
    });
    if (ends.empty()) {
        return minRetryAfter + std::chrono::duration_cast<milliseconds>(draw * unknownSpread);
    }
    std::sort(ends.begin(), ends.end());
    const auto returning
        = static_cast<std::size_t>(std::count_if(m_returns.begin(), m_returns.end(), [priority](const auto &each) {
              return each.second <= priority;
          }));
    const milliseconds end = std::clamp(endAt(ends, ahead + returning), minRetryAfter, maxRetryAfter);
    const milliseconds spread = std::max(minSpread, std::chrono::duration_cast<milliseconds>(spreadShare * end));
    const milliseconds delay = end + std::chrono::duration_cast<milliseconds>(draw * spread);
    if (m_returns.size() < maxReturns) {
        m_returns.emplace(now + delay, priority);
    }
    return delay;
}

} // namespace zinniadock
