#include "zinniadock/process/limits/memorychoice.h"

#include <algorithm>

#include <sys/resource.h>

#include "zinniadock/process/observing/eventlog.h"
#include "zinniadock/process/observing/metrics.h"
#include "zinniadock/version/routetable.h"

namespace zinniadock
{

namespace
{

constexpr double bytesPerMebibyte = 1U << 20U;

/// Part of the memory of an instance that clients may use.
constexpr double callerMemoryShare = 0.25;

/// Parts of the descriptors that the connections of clients and of other entries may use. The rest is for connections
/// to servers and for files.
constexpr std::size_t callerDescriptorDivisor = 2;
constexpr std::size_t peerDescriptorDivisor = 4;

/// Part of the memory of an instance that the connections of clients may use.
constexpr double connectionMemoryShare = 0.125;

/// Memory of an idle connection. Each connection of the completions interface has a thread.
constexpr double bytesPerConnection = 8192;
constexpr double bytesPerConnectionThread = 24576;

constexpr std::size_t maxPageConnections = 64;
constexpr std::size_t minConnections = 16;

} // namespace

BudgetLimits chooseCallerBudget(const Settings &settings)
{
    BudgetLimits limits;
    const double instanceShare = settings.daemon.memoryMb * callerMemoryShare;
    const double stated = settings.entry.callerMemoryMb > 0 ? settings.entry.callerMemoryMb : instanceShare;
    if (stated > 0) {
        limits.totalBytes = static_cast<std::size_t>(stated * bytesPerMebibyte);
    }
    const std::size_t maxBodyBytes = CallerLimits().bodyBytes;
    // A body of the maximum size is held together with its head and the bytes that are read next.
    limits.totalBytes = std::max(limits.totalBytes, limits.reservedBytes + maxBodyBytes + smallRequestBytes);
    return limits;
}

ConnectionLimits chooseConnectionLimits(const Settings &settings, std::size_t descriptorLimit)
{
    const std::size_t stated = settings.daemon.maxDescriptors;
    const std::size_t descriptors = stated > 0 ? std::min(stated, descriptorLimit) : descriptorLimit;
    std::size_t maxCallers = std::max(descriptors / callerDescriptorDivisor, minConnections);
    if (settings.daemon.memoryMb > 0) {
        const bool hasThreads = settings.daemon.interface == "completions";
        const double bytes = hasThreads ? bytesPerConnectionThread : bytesPerConnection;
        const double fitting = settings.daemon.memoryMb * bytesPerMebibyte * connectionMemoryShare / bytes;
        maxCallers = std::min(maxCallers, static_cast<std::size_t>(fitting));
    }
    return { .callers = std::min<std::size_t>(settings.entry.maxConnections, maxCallers),
             .peers = std::max(descriptors / peerDescriptorDivisor, minConnections),
             .pages = maxPageConnections };
}

std::size_t descriptorLimit()
{
    rlimit limit{};
    constexpr std::size_t assumedLimit = 1024;
    return ::getrlimit(RLIMIT_NOFILE, &limit) == 0 ? limit.rlim_cur : assumedLimit;
}

std::shared_ptr<CallerBudget> makeCallerBudget(const Settings &settings)
{
    return std::make_shared<CallerBudget>(chooseCallerBudget(settings), [](RefusalCause cause, std::uint64_t count) {
        logEvent("clients", "refused", { { "reason", toString(cause) }, { "count", count } });
    });
}

void appendBudgetMetrics(const CallerBudget &budget, std::string &out)
{
    appendMetric("zinniadock_client_bytes", budget.heldBytes(), out);
    for (const RefusalCause cause :
         { RefusalCause::Memory, RefusalCause::Stalled, RefusalCause::Framing, RefusalCause::Connections }) {
        appendMetric("zinniadock_client_refusals_total{cause=\"" + std::string(toString(cause)) + "\"}",
                     budget.refusals(cause), out);
    }
}

} // namespace zinniadock
