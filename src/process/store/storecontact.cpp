#include "zinniadock/process/store/storecontact.h"

#include <algorithm>

namespace zinniadock
{

namespace
{

/// Consecutive failures on new connections that show an outage. One alone may be a response that was lost.
constexpr std::uint32_t failuresOfOutage = 2;

constexpr std::chrono::milliseconds minResponseMargin{ 200 };
constexpr std::chrono::milliseconds maxResponseMargin{ 1500 };

/// Factor on the response time of a slow store.
constexpr int responseTimeFactor = 2;

/// Time for a new connection after a watch was given up, beside the response to the call on it.
constexpr std::chrono::milliseconds reconnectTime{ 200 };

constexpr std::chrono::milliseconds minWatchWait{ 100 };

} // namespace

std::string_view toString(StoreCallEnd end)
{
    switch (end) {
    case StoreCallEnd::Answered:
        return "answered";
    case StoreCallEnd::Cut:
        return "cut";
    case StoreCallEnd::Silent:
        return "silent";
    case StoreCallEnd::Rejected:
        return "rejected";
    case StoreCallEnd::Throttled:
        return "throttled";
    case StoreCallEnd::NotConnected:
        return "not connected";
    }
    return "unknown";
}

// A rejection is the store's own statement, whatever the connection. A throttled call shows neither that the store
// serves nor that it does not.
bool StoreContact::record(StorePart part, StoreCallEnd end, bool onNewConnection)
{
    std::uint32_t &failures = m_failuresOnNewConnections[static_cast<std::size_t>(part)];
    bool &isPartOut = m_isOut[static_cast<std::size_t>(part)];
    const bool wasOut = isPartOut;
    if (end == StoreCallEnd::Answered) {
        failures = 0;
        isPartOut = false;
    } else if (end != StoreCallEnd::Throttled && (onNewConnection || end == StoreCallEnd::Rejected)) {
        ++failures;
        isPartOut = isPartOut || failures >= failuresOfOutage;
    }
    return isPartOut != wasOut;
}

bool StoreContact::isOut(StorePart part) const
{
    return m_isOut[static_cast<std::size_t>(part)];
}

bool StoreContact::isAnyOut() const
{
    return std::find(m_isOut.begin(), m_isOut.end(), true) != m_isOut.end();
}

std::chrono::steady_clock::time_point RemovalGrace::removalTime(std::int64_t revision,
                                                                std::chrono::steady_clock::time_point now) const
{
    return end && revision <= lastRevision ? std::max(*end, now) : now;
}

std::chrono::milliseconds watchWaitFor(std::chrono::milliseconds bound, std::chrono::milliseconds callInterval,
                                       std::chrono::milliseconds slowest)
{
    return std::max(bound - responseMargin(slowest) - reconnectTime - slowest - callInterval, minWatchWait);
}

std::chrono::milliseconds responseMargin(std::chrono::milliseconds slowest)
{
    return std::clamp(responseTimeFactor * slowest, minResponseMargin, maxResponseMargin);
}

} // namespace zinniadock
