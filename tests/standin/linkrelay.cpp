#include "linkrelay.h"

#include <array>

#include <Poco/Exception.h>
#include <Poco/Net/SocketAddress.h>
#include <nlohmann/json.hpp>

namespace zinniadock::standin
{

namespace
{

using Json = nlohmann::json;

constexpr int controlThreads = 2;
constexpr int pollMilliseconds = 50;
constexpr std::size_t bufferBytes = 65536;

void shutDownSocket(Poco::Net::StreamSocket &socket)
{
    try {
        socket.shutdown();
    } catch (const Poco::Exception &) {
        // The peer has already closed the connection.
        return;
    }
}

void sendAll(Poco::Net::StreamSocket &socket, const char *data, int size)
{
    for (int sent = 0; sent < size;) {
        sent += socket.sendBytes(data + sent, size - sent);
    }
}

} // namespace

LinkRelay::LinkRelay(const LinkRelaySettings &settings)
    : m_target(settings.server)
    , m_socket(Poco::Net::SocketAddress(settings.address, settings.port))
    , m_acceptor([this] {
        acceptConnections();
    })
    , m_control(std::make_unique<LoopbackHttpServer>(
          settings.controlPort, controlThreads, [this](auto &request, auto &response) {
              const Json body = Json::parse(readBody(request), nullptr, false);
              if (body.is_object()) {
                  setBlockedDirections({ .toServer = body.value("silent_to_server", false),
                                         .toClient = body.value("silent_to_client", false) });
                  if (body.value("cut", false)) {
                      cut();
                  }
              }
              sendJson(response, "{}");
          }))
{
}

LinkRelay::~LinkRelay()
{
    {
        const std::lock_guard lock(m_mutex);
        m_stopping = true;
        m_isEnding = true;
    }
    m_changed.notify_all();
    m_acceptor.join(); // before the cut, since a client may connect again at once
    cut();
    joinEndedConnections(true);
}

std::uint16_t LinkRelay::port() const
{
    return m_socket.address().port();
}

std::uint16_t LinkRelay::controlPort() const
{
    return m_control->port();
}

void LinkRelay::setBlockedDirections(BlockedDirections directions)
{
    {
        const std::lock_guard lock(m_mutex);
        m_blockedDirections = directions;
    }
    m_changed.notify_all();
}

void LinkRelay::setDelay(std::chrono::milliseconds delay)
{
    m_delayMilliseconds = delay.count();
}

void LinkRelay::setRate(std::size_t bytesPerSecond)
{
    m_bytesPerSecond = bytesPerSecond;
}

void LinkRelay::cut()
{
    const std::lock_guard lock(m_mutex);
    for (Connection &connection : m_connections) {
        shutDownSocket(connection.client);
        shutDownSocket(connection.server);
    }
}

void LinkRelay::silenceOpenConnections()
{
    const std::lock_guard lock(m_mutex);
    for (Connection &connection : m_connections) {
        connection.isSilent = true;
    }
}

void LinkRelay::acceptConnections()
{
    const auto stopping = [this] {
        const std::lock_guard lock(m_mutex);
        return m_stopping;
    };
    while (!stopping()) {
        joinEndedConnections(false);
        if (!m_socket.poll(Poco::Timespan(pollMilliseconds * 1000L), Poco::Net::Socket::SELECT_READ)) {
            continue;
        }
        try {
            Poco::Net::StreamSocket client = m_socket.acceptConnection();
            Poco::Net::StreamSocket server{ Poco::Net::SocketAddress(m_target) };
            client.setNoDelay(true);
            server.setNoDelay(true);
            const std::lock_guard lock(m_mutex);
            Connection &connection = m_connections.emplace_back();
            connection.client = client;
            connection.server = server;
            for (const bool toServer : { true, false }) {
                connection.threads.emplace_back([this, &connection, toServer] {
                    forward(connection, toServer);
                });
            }
        } catch (const Poco::Exception &) {
            // The server is unreachable; the client sees its connection close.
            continue;
        }
    }
}

void LinkRelay::forward(Connection &connection, bool toServer)
{
    Poco::Net::StreamSocket &from = toServer ? connection.client : connection.server;
    Poco::Net::StreamSocket &to = toServer ? connection.server : connection.client;
    std::array<char, bufferBytes> buffer{};
    try {
        for (int size = 0; (size = from.receiveBytes(buffer.data(), buffer.size())) > 0;) {
            {
                std::unique_lock lock(m_mutex);
                m_changed.wait(lock, [&] {
                    return m_stopping || !isBlocked(toServer);
                });
            }
            std::this_thread::sleep_for(std::chrono::milliseconds(m_delayMilliseconds));
            const std::size_t rate = m_bytesPerSecond;
            if (!toServer && rate > 0) {
                std::this_thread::sleep_for(
                    std::chrono::duration<double>(static_cast<double>(size) / static_cast<double>(rate)));
            }
            if (!connection.isSilent) {
                sendAll(to, buffer.data(), size);
            }
        }
    } catch (const Poco::Exception &) {
        // One end is closed. The shutdown below closes the other end.
        shutDownSocket(from);
    }
    if (!connection.isSilent || m_isEnding) {
        shutDownSocket(to);
    }
    --connection.running;
}

bool LinkRelay::isBlocked(bool toServer) const
{
    return toServer ? m_blockedDirections.toServer : m_blockedDirections.toClient;
}

void LinkRelay::joinEndedConnections(bool all)
{
    std::list<Connection> ended;
    {
        const std::lock_guard lock(m_mutex);
        for (auto position = m_connections.begin(); position != m_connections.end();) {
            const auto next = std::next(position);
            if (all || position->running == 0) {
                ended.splice(ended.end(), m_connections, position);
            }
            position = next;
        }
    }
    for (Connection &connection : ended) {
        for (std::thread &thread : connection.threads) {
            thread.join();
        }
    }
}

} // namespace zinniadock::standin
