#include "zinniadock/connection/peerstate.h"

#include <cerrno>

#include <poll.h>
#include <sys/socket.h>

namespace zinniadock
{

// A peek shows the unread bytes and hides a close behind them. POLLRDHUP shows the close as soon as it has arrived.
PeerState peerState(int descriptor)
{
    pollfd state{ .fd = descriptor, .events = POLLIN | POLLRDHUP, .revents = 0 };
    const int ready = ::poll(&state, 1, 0);
    if (ready == 0 || (ready < 0 && errno == EINTR)) {
        return PeerState::Quiet;
    }
    if (ready < 0 || (state.revents & (POLLRDHUP | POLLHUP | POLLERR | POLLNVAL)) != 0) {
        return PeerState::HasClosed;
    }
    char byte = 0;
    const auto received = ::recv(descriptor, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    if (received > 0) {
        return PeerState::HasSent;
    }
    const bool isOpen = received < 0 && (errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR);
    return isOpen ? PeerState::Quiet : PeerState::HasClosed;
}

bool isConnectDecided(int descriptor)
{
    pollfd state{ .fd = descriptor, .events = POLLOUT, .revents = 0 };
    return ::poll(&state, 1, 0) > 0;
}

} // namespace zinniadock
