#include "httpclient.h"

#include <array>

#include <arpa/inet.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace zinniadock::review
{

namespace
{

/// Clients allow a new connection one second.
constexpr int connectMilliseconds = 1000;

bool isConnected(int socket)
{
    pollfd state{ .fd = socket, .events = POLLOUT, .revents = 0 };
    int error = 0;
    socklen_t size = sizeof error;
    return ::poll(&state, 1, connectMilliseconds) > 0 && ::getsockopt(socket, SOL_SOCKET, SO_ERROR, &error, &size) == 0
        && error == 0;
}

/// Returns whether a response is complete.
bool isWhole(const std::string &response)
{
    const std::size_t headEnd = response.find("\r\n\r\n");
    if (headEnd == std::string::npos) {
        return false;
    }
    const std::string name = "Content-Length: ";
    const std::size_t length = response.find(name);
    if (length < headEnd) {
        return response.size() >= headEnd + 4 + std::stoul(response.substr(length + name.size()));
    }
    return response.size() >= 5 && response.substr(response.size() - 5) == "0\r\n\r\n";
}

/// Reads a response until it is complete, its connection ends or the client's patience does.
void readResponse(int socket, std::chrono::milliseconds patience, Answer &answer)
{
    std::string response;
    std::array<char, 16384> bytes{};
    while (!answer.isComplete) {
        pollfd state{ .fd = socket, .events = POLLIN, .revents = 0 };
        if (::poll(&state, 1, static_cast<int>(patience.count())) <= 0) {
            answer.hasTimedOut = true;
            return;
        }
        const auto count = ::recv(socket, bytes.data(), bytes.size(), 0);
        if (count <= 0) {
            return;
        }
        response.append(bytes.data(), static_cast<std::size_t>(count));
        answer.hasBegun = true;
        constexpr std::size_t statusAt = 9;
        answer.status = response.size() > statusAt + 3 ? std::stoi(response.substr(statusAt, 3)) : 0;
        answer.isComplete = isWhole(response);
    }
}

/// Opens a connection. Returns -1 if it can't be opened within a second.
int connectTo(const std::string &address, std::uint16_t port)
{
    const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
    sockaddr_in name{};
    name.sin_family = AF_INET;
    name.sin_port = htons(port);
    ::inet_pton(AF_INET, address.c_str(), &name.sin_addr);
    static_cast<void>(::connect(socket, reinterpret_cast<sockaddr *>(&name), sizeof name)); // goes on in the background
    if (isConnected(socket)) {
        return socket;
    }
    ::close(socket);
    return -1;
}

/// Returns whether the peer has closed an idle connection.
bool hasPeerClosed(int socket)
{
    pollfd state{ .fd = socket, .events = POLLIN | POLLRDHUP, .revents = 0 };
    return ::poll(&state, 1, 0) != 0;
}

/// A request of this size fits into the buffer of an idle connection.
void exchange(int socket, const std::string &request, std::chrono::milliseconds patience, Answer &answer)
{
    answer.isConnected = true;
    ::send(socket, request.data(), request.size(), MSG_NOSIGNAL);
    readResponse(socket, patience, answer);
}

} // namespace

Answer sendRequest(const std::string &address, std::uint16_t port, const std::string &request,
                   std::chrono::milliseconds patience)
{
    Answer answer;
    const int socket = connectTo(address, port);
    if (socket >= 0) {
        exchange(socket, request, patience, answer);
        ::close(socket);
    }
    return answer;
}

KeptConnections::KeptConnections(std::string address, std::uint16_t port)
    : m_address(std::move(address))
    , m_port(port)
{
}

KeptConnections::~KeptConnections()
{
    for (const int socket : m_sockets) {
        ::close(socket);
    }
}

Answer KeptConnections::send(const std::string &request, std::chrono::milliseconds patience)
{
    Answer answer;
    int socket = take();
    answer.wasKept = socket >= 0;
    socket = answer.wasKept ? socket : connectTo(m_address, m_port);
    if (socket < 0) {
        return answer;
    }
    exchange(socket, request, patience, answer);
    if (answer.isComplete) {
        const std::lock_guard lock(m_mutex);
        m_sockets.push_back(socket);
    } else {
        ::close(socket);
    }
    return answer;
}

int KeptConnections::take()
{
    const std::lock_guard lock(m_mutex);
    while (!m_sockets.empty()) {
        const int socket = m_sockets.back();
        m_sockets.pop_back();
        if (!hasPeerClosed(socket)) {
            return socket;
        }
        ::close(socket);
    }
    return -1;
}

} // namespace zinniadock::review
