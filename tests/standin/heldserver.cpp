#include "heldserver.h"

#include <array>
#include <cerrno>
#include <chrono>
#include <system_error>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <nlohmann/json.hpp>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace zinniadock::standin
{

namespace
{

constexpr std::chrono::milliseconds pollInterval{ 5 };
constexpr int receiveBufferBytes = 2048;

/// Connections that fill the queue of a listener with a backlog of 0.
constexpr int queueFillers = 4;

sockaddr_in toAddress(const std::string &address, std::uint16_t port)
{
    sockaddr_in out{};
    out.sin_family = AF_INET;
    out.sin_port = htons(port);
    ::inet_pton(AF_INET, address.c_str(), &out.sin_addr);
    return out;
}

bool isReadable(int descriptor)
{
    pollfd state{ .fd = descriptor, .events = POLLIN, .revents = 0 };
    return ::poll(&state, 1, static_cast<int>(pollInterval.count())) > 0;
}

std::string fieldOf(const std::string &request, const std::string &name)
{
    const std::size_t at = request.find("\r\n" + name + ": ");
    if (at == std::string::npos) {
        return "";
    }
    const std::size_t begin = at + name.size() + 4;
    return request.substr(begin, request.find("\r\n", begin) - begin);
}

bool isWhole(const std::string &request)
{
    const std::size_t headEnd = request.find("\r\n\r\n");
    const std::string length = fieldOf(request, "Content-Length");
    const std::size_t bodyBytes = length.empty() ? 0 : std::stoul(length);
    return headEnd != std::string::npos && request.size() >= headEnd + 4 + bodyBytes;
}

bool sendAll(int connection, const std::string &bytes)
{
    std::size_t sent = 0;
    while (sent < bytes.size()) {
        const auto count = ::send(connection, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
        if (count <= 0) {
            return false;
        }
        sent += static_cast<std::size_t>(count);
    }
    return true;
}

std::string responseTo(const std::string &request)
{
    const bool isReservation = request.find(" /-/") != std::string::npos;
    const std::string body = isReservation ? R"({"hold":"h1"})" : "done";
    return "HTTP/1.1 200 OK\r\nX-Server-Signature: held\r\nX-Request-Id: " + fieldOf(request, "X-Request-Id")
        + "\r\nConnection: close\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

} // namespace

HeldServer::HeldServer(const std::string &address)
    : m_address(address)
    , m_listener(::socket(AF_INET, SOCK_STREAM, 0))
{
    ::setsockopt(m_listener, SOL_SOCKET, SO_RCVBUF, &receiveBufferBytes, sizeof(receiveBufferBytes));
    sockaddr_in bound = toAddress(address, 0);
    if (::bind(m_listener, reinterpret_cast<const sockaddr *>(&bound), sizeof(bound)) != 0) {
        throw std::system_error(errno, std::generic_category(), "binding a server to " + address);
    }
    ::listen(m_listener, SOMAXCONN);
    socklen_t size = sizeof(bound);
    ::getsockname(m_listener, reinterpret_cast<sockaddr *>(&bound), &size);
    m_port = ntohs(bound.sin_port);
    m_acceptor = std::thread([this] {
        acceptLoop();
    });
}

HeldServer::~HeldServer()
{
    m_isStopping = true;
    m_acceptor.join();
    for (std::thread &thread : m_threads) {
        thread.join();
    }
    emptyQueue();
    ::close(m_listener);
}

std::uint16_t HeldServer::port() const
{
    return m_port;
}

std::string HeldServer::record(const std::string &service) const
{
    return nlohmann::json{
        { "service", service }, { "address", m_address + ":" + std::to_string(m_port) },
        { "zone", "north" },    { "version", "v1" },
        { "slots", 8 },         { "state", "ready" },
        { "coldLeftMs", 0 },    { "seq", 1 },
        { "born", 1000 }
    }.dump();
}

void HeldServer::hold(Hold hold)
{
    m_hold = hold;
    if (hold == Hold::Accepting) {
        fillQueue();
    } else {
        emptyQueue();
        ::listen(m_listener, SOMAXCONN);
    }
}

void HeldServer::streamWithoutEnd()
{
    m_streams = true;
}

std::vector<std::string> HeldServer::requests()
{
    const std::lock_guard lock(m_mutex);
    return m_requests;
}

std::size_t HeldServer::endedStreams() const
{
    return m_endedStreams;
}

// Waits until the acceptor does not run any more, so that the queue stays full.
void HeldServer::fillQueue()
{
    std::this_thread::sleep_for(4 * pollInterval);
    ::listen(m_listener, 0);
    for (int i = 0; i < queueFillers; ++i) {
        const int filler = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
        const sockaddr_in peer = toAddress(m_address, m_port);
        static_cast<void>(::connect(filler, reinterpret_cast<const sockaddr *>(&peer), sizeof(peer)));
        m_queued.push_back(filler);
    }
    std::this_thread::sleep_for(4 * pollInterval);
}

void HeldServer::emptyQueue()
{
    for (const int filler : m_queued) {
        ::close(filler);
    }
    m_queued.clear();
}

void HeldServer::acceptLoop()
{
    while (!m_isStopping) {
        if (m_hold == Hold::Accepting) {
            std::this_thread::sleep_for(pollInterval);
            continue;
        }
        if (!isReadable(m_listener)) {
            continue;
        }
        const int connection = ::accept(m_listener, nullptr, nullptr);
        if (connection >= 0) {
            m_threads.emplace_back([this, connection] {
                serve(connection);
                ::close(connection);
            });
        }
    }
}

void HeldServer::serve(int connection)
{
    const std::string request = readRequest(connection);
    if (request.empty()) {
        return;
    }
    const bool isControl = request.find(" /-/") != std::string::npos;
    if (!isControl) {
        const std::lock_guard lock(m_mutex);
        m_requests.push_back(fieldOf(request, "X-Request-Id"));
    }
    if (!isControl && m_streams) {
        sendEndlessly(connection, request);
        return;
    }
    static_cast<void>(sendAll(connection, responseTo(request))); // the client may have closed the connection
}

std::string HeldServer::readRequest(int connection) const
{
    std::string request;
    std::array<char, 1024> buffer{};
    while (!m_isStopping && !isWhole(request)) {
        if (m_hold == Hold::Reading) {
            std::this_thread::sleep_for(pollInterval);
            continue;
        }
        if (!isReadable(connection)) {
            continue;
        }
        const auto count = ::recv(connection, buffer.data(), buffer.size(), 0);
        if (count <= 0) {
            return "";
        }
        request.append(buffer.data(), static_cast<std::size_t>(count));
    }
    return isWhole(request) ? request : "";
}

void HeldServer::sendEndlessly(int connection, const std::string &request)
{
    constexpr std::size_t eventBytes = 16384;
    const timeval sendTimeout{ .tv_sec = 0, .tv_usec = 20000 };
    ::setsockopt(connection, SOL_SOCKET, SO_SNDTIMEO, &sendTimeout, sizeof(sendTimeout));
    std::string out = "HTTP/1.1 200 OK\r\nX-Server-Signature: held\r\nX-Request-Id: " + fieldOf(request, "X-Request-Id")
        + "\r\nContent-Type: text/event-stream\r\n\r\n";
    std::size_t sent = 0;
    int event = 0;
    while (!m_isStopping) {
        const auto count = ::send(connection, out.data() + sent, out.size() - sent, MSG_NOSIGNAL);
        const bool isBlocked = count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
        if (count < 0 && !isBlocked) {
            ++m_endedStreams;
            return;
        }
        sent += count > 0 ? static_cast<std::size_t>(count) : 0;
        if (sent == out.size()) {
            out = "id: " + std::to_string(++event) + "\ndata: " + std::string(eventBytes, 'x') + "\n\n";
            sent = 0;
        }
    }
}

} // namespace zinniadock::standin
