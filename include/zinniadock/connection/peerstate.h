#pragma once

namespace zinniadock
{

/// What has arrived from the peer of a TCP connection and was not read yet.
enum class PeerState {
    Quiet, ///< nothing
    HasSent, ///< bytes, and the peer has not closed the connection
    HasClosed, ///< the peer has closed the connection or its sending side, or has reset it, also behind unread bytes
};

/// Returns what has arrived from the peer, without reading it and without waiting.
/// \param descriptor  socket of the connection
PeerState peerState(int descriptor);

/// Returns whether an attempt to connect has succeeded or failed, without waiting. The event loop may not have reported
/// it yet.
/// \param descriptor  socket of the connection
bool isConnectDecided(int descriptor);

} // namespace zinniadock
