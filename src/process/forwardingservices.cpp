#include "zinniadock/process/forwardingservices.h"

#include <algorithm>

#include "zinniadock/process/limits/memorychoice.h"

namespace zinniadock
{

namespace
{

/// Returns a number that no other start of an entry has. It is not 0.
std::uint64_t randomStart()
{
    std::random_device device;
    return (std::uint64_t(device()) << 32U | device()) | 1U;
}

/// Number of entries that is assumed until the list of entries is known.
constexpr std::uint32_t assumedEntries = 32;

/// Part of its share that an entry uses for an engine whose sidecar does not respond to it. The sidecar may respond to
/// other entries and admit all that the engine tolerates.
constexpr double silentSidecarShare = 0.5;

} // namespace

ForwardingServices::ForwardingServices(asio::io_context &ioContext, Settings initialSettings)
    : context(ioContext)
    , settings(std::move(initialSettings))
    , callerBudget(makeCallerBudget(settings))
    , pool(ioContext)
    , controlPool(ioContext)
    , serverLimiter(
          [this] {
              return randomFraction();
          },
          [this](const ServerIncarnation &server) {
              const TrackedServer *tracked = directory.find(server.id);
              return tracked && incarnationOf(tracked->record) == server;
          },
          entryTree)
    , suspects(entryTree, randomStart())
    , coldShare(randomStart())
    , capacityChanged(ioContext)
    , m_random(std::random_device{}())
{
}

double ForwardingServices::randomFraction()
{
    return std::uniform_real_distribution<>(0, 1)(m_random);
}

RetryWindow &ForwardingServices::retryWindow(const std::string &poolName)
{
    const RetryLimits limits{ .ratio = settings.forwarding.retryRatio,
                              .extraRetries = settings.forwarding.retrySlack,
                              .window = settings.forwarding.retryWindow() };
    return retryWindows.try_emplace(poolName, limits).first->second;
}

std::uint32_t ForwardingServices::entryCount() const
{
    return static_cast<std::uint32_t>(peerAddresses.size()) + 1;
}

std::uint32_t ForwardingServices::coldDivisor() const
{
    return std::max(maxKnownEntries == 0 ? assumedEntries : maxKnownEntries, entryCount());
}

bool ForwardingServices::maySendCold(const ServerRecord &server, const ServerPool &serverPool, SteadyTime now)
{
    if (serverPool.coldRate <= 0) {
        return true;
    }
    const TrackedServer *tracked = directory.find(server.id);
    const bool isDecidedBySidecar = tracked && serverPool.engine && hasRecentReport(*tracked, now);
    return !tracked || isDecidedBySidecar || hasColdShare(*tracked, serverPool, now);
}

bool ForwardingServices::hasColdShare(const TrackedServer &server, const ServerPool &serverPool, SteadyTime now) const
{
    if (serverPool.coldRate <= 0 || server.coldLeft(now).count() == 0) {
        return true;
    }
    const double perSecond = serverPool.coldRate * (serverPool.engine ? silentSidecarShare : 1);
    return coldShare.maySend(server.record.id, perSecond, coldDivisor(), now);
}

void ForwardingServices::recordColdSent(const ServerRecord &server, const ServerPool &serverPool, SteadyTime now)
{
    if (serverPool.coldRate <= 0) {
        return;
    }
    const TrackedServer *tracked = directory.find(server.id);
    if (tracked && tracked->coldLeft(now).count() > 0) {
        coldShare.recordSent(server.id, now);
    }
}

ColdState ForwardingServices::coldStateOf(const TrackedServer &server, SteadyTime now) const
{
    if (!routes) {
        return {};
    }
    const auto found = routes->pools.find(server.record.pool);
    if (found == routes->pools.end() || found->second.coldRate <= 0) {
        return {};
    }
    return { .perSecond = found->second.coldRate, .left = server.coldLeft(now), .sequence = server.record.sequence };
}

} // namespace zinniadock
