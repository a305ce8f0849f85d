#include "zinniadock/process/forwardingservices.h"

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

} // namespace zinniadock
