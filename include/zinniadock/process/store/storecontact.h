#pragma once

#include <chrono>
#include <cstdint>
#include <limits>
#include <optional>
#include <string_view>

#include "zinniadock/process/store/relaymessages.h"

namespace zinniadock
{

/// How a call to the store ended.
enum class StoreCallEnd {
    Answered, ///< with a valid response, also one that says that the history is gone
    Cut, ///< the connection ended before a response
    Silent, ///< without a response in time
    Rejected, ///< with a response that states that nothing was done, or that is malformed
    Throttled, ///< with a response that states that there were too many calls
    NotConnected, ///< no connection could be opened
};

std::string_view toString(StoreCallEnd end);

/// Decides from the calls of an entry which parts of the store are out of service for it. No network, no clock.
///
/// A connection that is cut or silent says nothing of the store: a waiting watch may be cut, a response may be lost,
/// and something between the two ends may have forgotten the connection. Only calls on new connections that fail one
/// after the other, without an answer to a call for the same part in between, show an outage of this part. An answer
/// for one part says nothing of another.
class StoreContact
{
public:
    /// Records the end of a call for one part of the store. Returns whether an outage of it has begun or ended.
    bool record(StorePart part, StoreCallEnd end, bool onNewConnection);

    /// Returns whether a part of the store is out of service for this entry.
    bool isOut(StorePart part) const;

    /// Returns whether any part of the store is out of service for this entry.
    bool isAnyOut() const;

private:
    PerPart<std::uint32_t> m_failuresOnNewConnections{}; ///< since the last answer for the part
    PerPart<bool> m_isOut{};
};

/// When removed servers are unlisted after an outage of the store. The records of living servers may have expired
/// during it, and are written again within two seconds of its end. A removal that the store has acknowledged after its
/// return holds at once.
struct RemovalGrace
{
    std::optional<std::chrono::steady_clock::time_point> end; ///< nothing if there was no outage
    /// Latest revision that the store had when it returned. A deletion up to it may be an expiration during the outage.
    std::int64_t lastRevision = std::numeric_limits<std::int64_t>::max();

    /// Returns when a server is unlisted whose record was deleted at a revision.
    std::chrono::steady_clock::time_point removalTime(std::int64_t revision,
                                                      std::chrono::steady_clock::time_point now) const;
};

/// Returns the maximum time that a watch may wait at the store, so that a change reaches the entry within \p bound also
/// if the watch's connection has become silent.
/// \param callInterval  pause between two watches
/// \param slowest  recent response time of the store
std::chrono::milliseconds watchWaitFor(std::chrono::milliseconds bound, std::chrono::milliseconds callInterval,
                                       std::chrono::milliseconds slowest = std::chrono::milliseconds(0));

/// Returns how long a response may take beyond the time that a call waits at the store, before the call is given up.
/// \param slowest  recent response time of the store
std::chrono::milliseconds responseMargin(std::chrono::milliseconds slowest);

} // namespace zinniadock
