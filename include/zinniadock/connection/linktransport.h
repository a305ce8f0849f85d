#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <system_error>

namespace zinniadock
{

/// First and last byte of a frame, which is a CBOR array of messages with indefinite length.
constexpr char frameBegin = '\x9f';
constexpr char frameEnd = '\xff';

/// Identifies one connection of a LinkTransport. An ID is not reused after its connection closed.
using LinkId = std::uint64_t;

/// Callbacks of a LinkTransport. All of them run on the transport's thread.
struct LinkHandlers
{
    std::function<void(LinkId)> opened;
    std::function<void(LinkId)> closed; ///< called once per connection, also if it never opened
    std::function<void(LinkId, const std::string &frame)> received;
};

/// Sends and receives binary frames over WebSocket connections, on a thread of its own.
class LinkTransport
{
public:
    explicit LinkTransport(LinkHandlers handlers);
    ~LinkTransport();

    LinkTransport(const LinkTransport &) = delete;
    LinkTransport &operator=(const LinkTransport &) = delete;

    /// Starts to accept connections on an IP address. Port 0 selects a free port.
    std::error_code listen(const std::string &address, std::uint16_t port);

    /// Returns the port that listen() bound.
    std::uint16_t port() const;

    /// Starts to connect. The handler `opened` or `closed` reports the result.
    LinkId connect(const std::string &address, std::uint16_t port);

    /// Queues a message. Returns false if the connection is closed or its buffer is full. A full buffer also closes the
    /// connection. Messages that are queued in quick succession share one frame.
    bool send(LinkId link, const std::string &message);

    /// Closes a connection without waiting for the peer.
    void drop(LinkId link);

    /// Stops accepting new connections. Open connections stay open.
    void stopListening();

    /// Closes all connections and joins the thread.
    void stop();

private:
    class Implementation;
    std::shared_ptr<Implementation> m_implementation;
};

} // namespace zinniadock
