#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>

#include "zinniadock/connection/httpclient.h"
#include "zinniadock/process/hintedlength.h"
#include "zinniadock/process/metrics.h"
#include "zinniadock/process/placement.h"
#include "zinniadock/process/retrywindow.h"
#include "zinniadock/process/serverdirectory.h"
#include "zinniadock/process/settings.h"
#include "zinniadock/version/routetable.h"

namespace zinniadock
{

class GenerationForward;

/// Counts of a forwarding entry, beside those of every entry.
struct ForwardingCounters
{
    std::uint64_t movedStreams = 0; ///< streams that went on at another server
    std::uint64_t failedMoves = 0;
    std::uint64_t brokenStreams = 0;
    std::uint64_t lateGaps = 0; ///< pauses of streams beyond what their route allows
    std::uint64_t waitedGenerations = 0; ///< generations that waited for room
    std::uint64_t refusedReservations = 0; ///< engines that had less room than their last report said
    std::uint64_t activeRequests = 0; ///< requests in progress
};

/// The parts of a forwarding entry that live as long as its process. Used on the network thread only.
struct ForwardingServices
{
    ForwardingServices(asio::io_context &ioContext, Settings initialSettings);

    /// Returns a number drawn uniformly from [0, 1).
    double randomFraction();

    /// Returns the budget of repeated sends to a pool.
    RetryWindow &retryWindow(const std::string &poolName);

    /// Returns the number of entries that share the limits, this one included.
    std::uint32_t entryCount() const;

    asio::io_context &context;
    Settings settings;
    ConnectionPool pool;
    std::shared_ptr<const RouteTable> routes; ///< null before the first configuration
    ServerDirectory directory;
    AsyncCondition capacityChanged; ///< some server may have room that had none
    EntryMetrics metrics;
    ForwardingCounters counters;
    std::map<std::string, RetryWindow> retryWindows; ///< by pool
    std::map<std::string, HintedLengthModel> outputLengths; ///< by route
    std::set<std::string> peerAddresses; ///< where the other entries listen for this one
    std::map<std::string, std::set<GenerationForward *>> activeGenerations; ///< running streams by server
    std::optional<SteadyTime> stopDeadline; ///< when this process ends, once it was asked to stop

private:
    std::minstd_rand m_random;
};

} // namespace zinniadock
