#pragma once

#include <atomic>
#include <cstdint>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace zinniadock::standin
{

/// A server that stops accepting or reading while it is told to, with a small receive buffer, so that what its clients
/// send stays in their send buffers. Responds to each whole request; calls under `/-/` get a reservation.
class HeldServer
{
public:
    /// What the server holds.
    enum class Hold {
        Nothing,
        Reading, ///< accepts connections, and reads nothing
        Accepting, ///< accepts no connections; the queue of new ones is full
    };

    /// \param address  listening address on the loopback interface
    explicit HeldServer(const std::string &address = "127.0.0.1");
    ~HeldServer();

    HeldServer(const HeldServer &) = delete;
    HeldServer &operator=(const HeldServer &) = delete;

    std::uint16_t port() const;

    /// Returns the JSON record that the server writes to the store.
    std::string record(const std::string &service) const;

    void hold(Hold hold);

    /// Answers requests with a stream of events that has no end, in place of a short response.
    void streamWithoutEnd();

    /// Returns the IDs of the whole requests that were received, without calls under `/-/`.
    std::vector<std::string> requests();

    /// Returns the number of streams that ended because their client closed the connection.
    std::size_t endedStreams() const;

private:
    void acceptLoop();
    void serve(int connection);

    /// Reads a whole request. Returns it, or an empty string if the connection has ended.
    std::string readRequest(int connection) const;
    void sendEndlessly(int connection, const std::string &request);
    void fillQueue();
    void emptyQueue();

    const std::string m_address;
    const int m_listener;
    std::uint16_t m_port = 0;
    std::atomic<Hold> m_hold{ Hold::Nothing };
    std::atomic<bool> m_streams{ false };
    std::atomic<bool> m_isStopping{ false };
    std::atomic<std::size_t> m_endedStreams{ 0 };
    std::mutex m_mutex;
    std::vector<std::string> m_requests;
    std::vector<int> m_queued; ///< connections of this server to itself that fill its queue
    std::vector<std::thread> m_threads;
    std::thread m_acceptor;
};

} // namespace zinniadock::standin
