#pragma once

#include "zinniadock/connection/linkmessage.h"
#include "zinniadock/connection/linktransport.h"
#include "zinniadock/process/hybridclock.h"

namespace zinniadock
{

/// Sends a message over a link. Unless the message is frequent, sends a ClockStamp first, so that the receiver advances
/// its hybrid clock.
inline void sendWithClockStamp(LinkTransport &transport, LinkId link, const LinkMessage &message, HybridClock &clock)
{
    if (!isFrequent(message)) {
        transport.send(link, encode(ClockStamp{ .time = clock.now().value }));
    }
    transport.send(link, encode(message));
}

} // namespace zinniadock
