#pragma once

#include <chrono>

namespace zinniadock
{

/// Decides when a call to another process is given up. No network, no clock.
///
/// The time limit is for a peer that does not respond. A call that makes progress goes on beyond it: the transfer of a
/// large response may take longer than the limit, and a busy event loop serves the timer of a call before the bytes
/// that have arrived meanwhile.
class CallDeadline
{
public:
    using Time = std::chrono::steady_clock::time_point;

    /// What has happened on the connection of a call.
    struct Progress
    {
        bool isPending = false; ///< something has arrived that the event loop has not read yet
        Time lastRead; ///< last time at which the event loop saw the connection open, or bytes written or received
    };

    CallDeadline(Time start, std::chrono::milliseconds limit);

    /// Returns when the call is to be looked at.
    Time nextCheck() const;

    /// Returns whether the call is given up at nextCheck() or later. If not, nextCheck() is put off.
    bool isOver(Time now, const Progress &progress);

private:
    const Time m_latestEnd;
    Time m_nextCheck;
};

} // namespace zinniadock
