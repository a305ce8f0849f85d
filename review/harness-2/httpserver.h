#pragma once

#include <atomic>
#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <mutex>
#include <string>
#include <string_view>
#include <thread>

namespace zinniadock::review
{

struct Request
{
    std::string target;
    std::map<std::string, std::string> fields; ///< names in lower case
    std::string body;

    /// Returns a field, or an empty text if the request does not have it.
    std::string field(const std::string &name) const;
};

/// A connection of a client of an HttpServer.
class ServerConnection
{
public:
    explicit ServerConnection(int socket);
    ~ServerConnection();

    ServerConnection(const ServerConnection &) = delete;
    ServerConnection &operator=(const ServerConnection &) = delete;

    /// Reads a request whose body has a length. Returns false if the connection ends before.
    bool read(Request &request);

    /// Returns false if the client has closed the connection.
    bool write(std::string_view bytes);

    /// Writes a response with a length.
    bool respond(int status, const std::string &fields, const std::string &body);

    /// Returns whether the client has closed the connection.
    bool hasClientClosed() const;

    /// Ends the connection, by a reset if \p resets is true. Thread-safe.
    void end(bool resets);

private:
    const int m_socket;
    std::string m_unread;
};

/// HTTP server on a loopback address with a thread for each connection. As the process of a server, it can crash.
class HttpServer
{
public:
    /// Handles a request. Returns whether the connection is kept.
    using Handler = std::function<bool(ServerConnection &, const Request &)>;

    HttpServer(const std::string &address, Handler handler);
    ~HttpServer();

    HttpServer(const HttpServer &) = delete;
    HttpServer &operator=(const HttpServer &) = delete;

    std::uint16_t port() const;

    /// Refuses new connections and resets all others, as the host of a killed process does.
    void crash();

private:
    void acceptConnections();
    void serve(ServerConnection &connection);

    const Handler m_handler;
    int m_listener = -1;
    std::uint16_t m_port = 0;
    std::atomic<bool> m_hasEnded{ false };
    std::mutex m_mutex;
    std::list<ServerConnection> m_connections;
    std::list<std::thread> m_threads;
    std::thread m_acceptor;
};

} // namespace zinniadock::review
