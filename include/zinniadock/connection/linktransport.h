#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <system_error>

namespace zinniadock
{

/// A frame is a CBOR array of indefinite length: these bytes stand before and after its messages.
constexpr char frameBegin = '\x9f';
constexpr char frameEnd = '\xff';

/// Names one connection of a LinkTransport; never used again after it closed.
using LinkId = std::uint64_t;

/// What a LinkTransport reports, all on its one thread.
struct LinkHandlers
{
    std::function<void(LinkId)> opened;
    std::function<void(LinkId)> closed; ///< once per connection, also for one that never opened
    std::function<void(LinkId, const std::string &frame)> received;
};

/// Carries binary frames over WebSocket connections, on one thread of its own.
class LinkTransport
{
public:
    explicit LinkTransport(LinkHandlers handlers);
    ~LinkTransport();

    LinkTransport(const LinkTransport &) = delete;
    LinkTransport &operator=(const LinkTransport &) = delete;

    /// Accepts connections at an IP address; port 0 takes a free one.
    std::error_code listen(const std::string &address, std::uint16_t port);

    /// Returns the port that listen() took.
    std::uint16_t port() const;

    /// Starts to connect; `opened` or `closed` tells the result.
    LinkId connect(const std::string &address, std::uint16_t port);

    /// Queues a message; false if the connection is gone or its buffer is full, which also closes it.
    /// Messages queued close together travel in one frame.
    bool send(LinkId link, const std::string &message);

    /// Drops a connection without waiting for the peer.
    void drop(LinkId link);

    /// Stops accepting new connections; the present ones stay.
    void stopListening();

    /// Closes everything and joins the thread.
    void stop();

private:
    class Implementation;
    std::shared_ptr<Implementation> m_implementation;
};

} // namespace zinniadock
