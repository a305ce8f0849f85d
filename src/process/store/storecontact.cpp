#include "zinniadock/process/store/storecontact.h"

#include <algorithm>

namespace zinniadock
{

namespace
{

/// Consecutive failures on new connections that show an outage. One alone may be a response that was lost.
constexpr std::uint32_t failuresOfOutage = 2;

constexpr std::chrono::milliseconds minResponseMargin{ 400 };
constexpr std::chrono::milliseconds maxResponseMargin{ 1500 };

/// Factor on the response time of a slow store.
constexpr int responseTimeFactor = 2;

/// Time for a new connection and a call on it after a watch was given up.
constexpr std::chrono::milliseconds recheckTime{ 200 };

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
    const bool wasOut = m_isOut;
    if (end == StoreCallEnd::Answered) {
        m_failuresOnNewConnections = {};
        m_isOut = false;
    } else if (end != StoreCallEnd::Throttled && (onNewConnection || end == StoreCallEnd::Rejected)) {
        std::uint32_t &failures = m_failuresOnNewConnections[static_cast<std::size_t>(part)];
        ++failures;
        m_isOut = m_isOut || failures >= failuresOfOutage;
    }
    return m_isOut != wasOut;
}

bool StoreContact::isOut() const
{
    return m_isOut;
}

std::chrono::steady_clock::time_point RemovalGrace::removalTime(std::int64_t revision,
                                                                std::chrono::steady_clock::time_point now) const
{
    return end && revision <= lastRevision ? std::max(*end, now) : now;
}

std::chrono::milliseconds watchWaitFor(std::chrono::milliseconds bound, std::chrono::milliseconds callInterval)
{
    return std::max(bound - minResponseMargin - recheckTime - callInterval, minWatchWait);
}

std::chrono::milliseconds responseMargin(std::chrono::milliseconds slowest)
{
    return std::clamp(responseTimeFactor * slowest, minResponseMargin, maxResponseMargin);
}

} // namespace zinniadock
