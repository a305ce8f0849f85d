#include "httpserver.h"

#include <algorithm>
#include <array>
#include <cctype>

#include <arpa/inet.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace zinniadock::review
{

namespace
{

constexpr int pollMilliseconds = 20;

std::string lowerCase(std::string text)
{
    std::transform(text.begin(), text.end(), text.begin(), [](unsigned char each) {
        return static_cast<char>(std::tolower(each));
    });
    return text;
}

Request parseHead(const std::string &head)
{
    Request request;
    const std::size_t lineEnd = head.find("\r\n");
    const std::size_t targetBegin = head.find(' ') + 1;
    request.target = head.substr(targetBegin, head.find(' ', targetBegin) - targetBegin);
    std::size_t begin = lineEnd + 2;
    while (begin < head.size()) {
        const std::size_t end = std::min(head.find("\r\n", begin), head.size());
        const std::string line = head.substr(begin, end - begin);
        const std::size_t colon = line.find(": ");
        if (colon != std::string::npos) {
            request.fields[lowerCase(line.substr(0, colon))] = line.substr(colon + 2);
        }
        begin = end + 2;
    }
    return request;
}

} // namespace

std::string Request::field(const std::string &name) const
{
    const auto found = fields.find(name);
    return found == fields.end() ? "" : found->second;
}

ServerConnection::ServerConnection(int socket)
    : m_socket(socket)
{
    const int enabled = 1;
    ::setsockopt(m_socket, IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof enabled);
}

ServerConnection::~ServerConnection()
{
    ::close(m_socket);
}

bool ServerConnection::read(Request &request)
{
    std::array<char, 16384> bytes{};
    std::size_t headEnd = m_unread.find("\r\n\r\n");
    while (headEnd == std::string::npos) {
        const auto count = ::recv(m_socket, bytes.data(), bytes.size(), 0);
        if (count <= 0) {
            return false;
        }
        m_unread.append(bytes.data(), static_cast<std::size_t>(count));
        headEnd = m_unread.find("\r\n\r\n");
    }
    request = parseHead(m_unread.substr(0, headEnd + 2));
    const std::string length = request.field("content-length");
    const std::size_t bodyBegin = headEnd + 4;
    const std::size_t end = bodyBegin + (length.empty() ? 0 : std::stoul(length));
    while (m_unread.size() < end) {
        const auto count = ::recv(m_socket, bytes.data(), bytes.size(), 0);
        if (count <= 0) {
            return false;
        }
        m_unread.append(bytes.data(), static_cast<std::size_t>(count));
    }
    request.body = m_unread.substr(bodyBegin, end - bodyBegin);
    m_unread.erase(0, end);
    return true;
}

bool ServerConnection::write(std::string_view bytes)
{
    while (!bytes.empty()) {
        const auto count = ::send(m_socket, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (count <= 0) {
            return false;
        }
        bytes.remove_prefix(static_cast<std::size_t>(count));
    }
    return true;
}

bool ServerConnection::respond(int status, const std::string &fields, const std::string &body)
{
    return write("HTTP/1.1 " + std::to_string(status) + " Status\r\n" + fields
                 + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
}

bool ServerConnection::hasClientClosed() const
{
    pollfd state{ .fd = m_socket, .events = POLLRDHUP, .revents = 0 };
    return ::poll(&state, 1, 0) > 0;
}

void ServerConnection::end(bool resets)
{
    if (resets) {
        // A socket that is connected to no address is reset.
        sockaddr none{};
        none.sa_family = AF_UNSPEC;
        static_cast<void>(::connect(m_socket, &none, sizeof none));
    }
    ::shutdown(m_socket, SHUT_RDWR);
}

HttpServer::HttpServer(const std::string &address, Handler handler)
    : m_handler(std::move(handler))
    , m_listener(::socket(AF_INET, SOCK_STREAM, 0))
{
    constexpr int backlog = 512;
    sockaddr_in name{};
    name.sin_family = AF_INET;
    ::inet_pton(AF_INET, address.c_str(), &name.sin_addr);
    socklen_t size = sizeof name;
    static_cast<void>(::bind(m_listener, reinterpret_cast<sockaddr *>(&name), size));
    ::listen(m_listener, backlog);
    ::getsockname(m_listener, reinterpret_cast<sockaddr *>(&name), &size);
    m_port = ntohs(name.sin_port);
    m_acceptor = std::thread([this] {
        acceptConnections();
    });
}

HttpServer::~HttpServer()
{
    crash();
    for (std::thread &thread : m_threads) {
        thread.join();
    }
}

std::uint16_t HttpServer::port() const
{
    return m_port;
}

void HttpServer::crash()
{
    if (m_hasEnded.exchange(true)) {
        return;
    }
    ::shutdown(m_listener, SHUT_RDWR);
    {
        const std::lock_guard lock(m_mutex);
        for (ServerConnection &connection : m_connections) {
            connection.end(true);
        }
    }
    m_acceptor.join();
    ::close(m_listener);
}

void HttpServer::acceptConnections()
{
    while (!m_hasEnded) {
        pollfd state{ .fd = m_listener, .events = POLLIN, .revents = 0 };
        const int socket = ::poll(&state, 1, pollMilliseconds) > 0 ? ::accept(m_listener, nullptr, nullptr) : -1;
        if (socket < 0) {
            continue;
        }
        const std::lock_guard lock(m_mutex);
        ServerConnection &connection = m_connections.emplace_back(socket);
        if (m_hasEnded) {
            connection.end(true);
        }
        m_threads.emplace_back([this, &connection] {
            serve(connection);
        });
    }
}

void HttpServer::serve(ServerConnection &connection)
{
    Request request;
    while (!m_hasEnded && connection.read(request) && m_handler(connection, request)) { }
    connection.end(false);
}

} // namespace zinniadock::review
