#include "silencingrelay.h"

#include <array>
#include <stdexcept>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace zinniadock::review
{

namespace
{

constexpr int pollMilliseconds = 20;

sockaddr_in loopbackAddress(const std::string &address, std::uint16_t port)
{
    sockaddr_in out{};
    out.sin_family = AF_INET;
    out.sin_port = htons(port);
    inet_pton(AF_INET, address.c_str(), &out.sin_addr);
    return out;
}

// Returns false if the connection has ended.
bool forwardOnce(int from, int to)
{
    std::array<char, 16384> data{};
    const ssize_t count = ::recv(from, data.data(), data.size(), 0);
    if (count <= 0) {
        return false;
    }
    for (ssize_t sent = 0; sent < count;) {
        const ssize_t part = ::send(to, data.data() + sent, static_cast<std::size_t>(count - sent), MSG_NOSIGNAL);
        if (part <= 0) {
            return false;
        }
        sent += part;
    }
    return true;
}

} // namespace

SilencingRelay::SilencingRelay(std::string targetAddress, std::uint16_t targetPort)
    : m_targetAddress(std::move(targetAddress))
    , m_targetPort(targetPort)
    , m_listener(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
{
    constexpr int backlog = 64;
    sockaddr_in address = loopbackAddress("127.0.0.1", 0);
    socklen_t length = sizeof(address);
    const bool listens = ::bind(m_listener, reinterpret_cast<const sockaddr *>(&address), sizeof(address)) == 0
        && ::listen(m_listener, backlog) == 0
        && ::getsockname(m_listener, reinterpret_cast<sockaddr *>(&address), &length) == 0;
    if (!listens) {
        throw std::runtime_error("can't listen on the loopback interface");
    }
    m_port = ntohs(address.sin_port);
    m_acceptor = std::thread([this] {
        acceptConnections();
    });
}

SilencingRelay::~SilencingRelay()
{
    m_isStopping = true;
    m_acceptor.join();
    for (Connection &connection : m_connections) {
        connection.thread.join();
        ::close(connection.client);
        ::close(connection.server);
    }
    ::close(m_listener);
}

std::uint16_t SilencingRelay::port() const
{
    return m_port;
}

void SilencingRelay::silenceOpenConnections()
{
    const std::lock_guard lock(m_mutex);
    for (Connection &connection : m_connections) {
        connection.isSilent = true;
    }
}

int SilencingRelay::accepted() const
{
    return m_accepted;
}

void SilencingRelay::acceptConnections()
{
    while (!m_isStopping) {
        pollfd wait{ .fd = m_listener, .events = POLLIN, .revents = 0 };
        if (::poll(&wait, 1, pollMilliseconds) <= 0) {
            continue;
        }
        const int client = ::accept4(m_listener, nullptr, nullptr, SOCK_CLOEXEC);
        const int server = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const sockaddr_in target = loopbackAddress(m_targetAddress, m_targetPort);
        if (::connect(server, reinterpret_cast<const sockaddr *>(&target), sizeof(target)) != 0) {
            ::close(client);
            ::close(server);
            continue;
        }
        ++m_accepted;
        const std::lock_guard lock(m_mutex);
        Connection &connection = m_connections.emplace_back();
        connection.client = client;
        connection.server = server;
        connection.thread = std::thread([this, &connection] {
            forward(connection);
        });
    }
}

void SilencingRelay::forward(Connection &connection) const
{
    bool isOpen = true;
    while (isOpen && !m_isStopping && !connection.isSilent) {
        std::array<pollfd, 2> waits{ { { .fd = connection.client, .events = POLLIN, .revents = 0 },
                                       { .fd = connection.server, .events = POLLIN, .revents = 0 } } };
        if (::poll(waits.data(), waits.size(), pollMilliseconds) <= 0 || connection.isSilent) {
            continue;
        }
        if (waits[0].revents != 0) {
            isOpen = forwardOnce(connection.client, connection.server);
        }
        if (isOpen && waits[1].revents != 0) {
            isOpen = forwardOnce(connection.server, connection.client);
        }
    }
    if (!connection.isSilent) {
        ::shutdown(connection.client, SHUT_RDWR);
        ::shutdown(connection.server, SHUT_RDWR);
    }
}

} // namespace zinniadock::review
