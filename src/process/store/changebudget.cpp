#include "zinniadock/process/store/changebudget.h"

#include <algorithm>

#include "zinniadock/process/store/readerchoice.h"

namespace zinniadock
{

namespace
{

using std::chrono::milliseconds;

/// Part of the bound that is left after the longest time between two confirmations of an entry that reads the store
/// itself: at least minReserve, and at least minReserveShare of the bound.
constexpr milliseconds minReserve{ 590 };
constexpr double minReserveShare = 0.1;

/// In a large fleet, a change passes through a reader. Then the time between two confirmations is at most this share of
/// the bound, and at most largeFleetInterval and intervalPerReader for each reader, since the readers share the store.
constexpr double maxIntervalShare = 0.588;
constexpr milliseconds largeFleetInterval{ 1300 };
constexpr milliseconds intervalPerReader{ 17 };

/// Slack of a view: a share of the bound, and at most maxSlack.
constexpr double slackShare = 0.1;
constexpr milliseconds maxSlack{ 400 };

/// Pause between two watches of the server list: serverPausePerReader for each reader, since the readers share the
/// store, and at least minServerPauseInLargeFleet in a large fleet. The pause is at most maxServerPauseShare of the
/// bound. Sidecars report a draining server sooner.
constexpr milliseconds serverPausePerReader{ 60 };
constexpr milliseconds minServerPauseInLargeFleet{ 200 };
constexpr double maxServerPauseShare = 0.25;

/// Pause between two watches of the entry registrations. When a fleet starts, its entries register at the same time,
/// and one response carries several registrations.
constexpr milliseconds entriesPause{ 1000 };

constexpr milliseconds minWait{ 100 };

milliseconds share(double fraction, milliseconds duration)
{
    return std::chrono::duration_cast<milliseconds>(fraction * duration);
}

// Evacuations are in the same part as the configuration. Half of their time is left for requests that are underway.
// Registrations of entries decide how the retry budget is shared, so they must be known within its window.
milliseconds boundOf(StorePart part, const ForwardingSection &settings)
{
    switch (part) {
    case StorePart::Configuration:
        return std::min(settings.configurationWithin, settings.evacuationWithin / 2);
    case StorePart::Servers:
        return settings.drainWithin;
    case StorePart::Entries:
        break;
    }
    return settings.retryWindow();
}

milliseconds pauseOf(StorePart part, milliseconds bound, std::size_t entries)
{
    if (part == StorePart::Configuration) {
        return milliseconds(0);
    }
    if (part == StorePart::Entries) {
        return entriesPause;
    }
    const milliseconds shared = serverPausePerReader * static_cast<int>(readerCount(entries));
    const bool isLargeFleet = entries > maxSmallFleetSize;
    const milliseconds pause = isLargeFleet ? std::max(shared, minServerPauseInLargeFleet) : shared;
    return std::min(pause, share(maxServerPauseShare, bound));
}

milliseconds intervalOf(StorePart part, milliseconds bound, std::size_t entries)
{
    const milliseconds direct = bound - std::max(minReserve, share(minReserveShare, bound));
    if (part == StorePart::Entries || entries <= maxSmallFleetSize) {
        return direct;
    }
    const milliseconds shared = largeFleetInterval + intervalPerReader * static_cast<int>(readerCount(entries));
    return std::min({ direct, shared, share(maxIntervalShare, bound) });
}

} // namespace

milliseconds ChangeBudget::confirmationInterval() const
{
    return pause + wait;
}

milliseconds ChangeBudget::staleAfter() const
{
    return confirmationInterval() + slack;
}

milliseconds ChangeBudget::total() const
{
    return staleAfter() + search;
}

ChangeBudget changeBudget(StorePart part, const ForwardingSection &settings, std::size_t entries)
{
    ChangeBudget budget;
    budget.bound = boundOf(part, settings);
    budget.pause = pauseOf(part, budget.bound, entries);
    budget.wait = std::max(intervalOf(part, budget.bound, entries) - budget.pause, minWait);
    budget.slack = std::min(share(slackShare, budget.bound), maxSlack);
    budget.search = resumeInterval + askTime;
    return budget;
}

} // namespace zinniadock
