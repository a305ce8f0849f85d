#include "zinniadock/connection/calldeadline.h"

#include <algorithm>

namespace zinniadock
{

namespace
{

/// Time without progress after which a call beyond its limit is given up.
constexpr std::chrono::milliseconds progressInterval{ 200 };

/// Time that a call with progress may take beyond its limit. It bounds the wait for a peer that sends slowly without
/// end.
constexpr std::chrono::milliseconds maxOvertime{ 5000 };

} // namespace

CallDeadline::CallDeadline(Time start, std::chrono::milliseconds limit)
    : m_latestEnd(start + limit + maxOvertime)
    , m_nextCheck(start + limit)
{
}

CallDeadline::Time CallDeadline::nextCheck() const
{
    return m_nextCheck;
}

bool CallDeadline::isOver(Time now, const Progress &progress)
{
    const bool hasProgress = progress.isPending || now - progress.lastRead < progressInterval;
    if (!hasProgress || now >= m_latestEnd) {
        return true;
    }
    m_nextCheck = std::min(now + progressInterval, m_latestEnd);
    return false;
}

} // namespace zinniadock
