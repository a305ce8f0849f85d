#include "zinniadock/connection/linktransport.h"

#include <atomic>
#include <map>
#include <mutex>
#include <thread>

#include <boost/asio/executor_work_guard.hpp>
#include <websocketpp/client.hpp>
#include <websocketpp/config/asio_no_tls.hpp>
#include <websocketpp/config/asio_no_tls_client.hpp>
#include <websocketpp/server.hpp>

// This file is compiled as C++17, because websocketpp 0.8.2 does not compile as C++20 (see CMakeLists.txt).

namespace zinniadock
{

namespace
{

using ServerEndpoint = websocketpp::server<websocketpp::config::asio>;
using ClientEndpoint = websocketpp::client<websocketpp::config::asio_client>;

constexpr std::size_t maxFrameBytes = 8U << 20U;
constexpr std::size_t maxPendingBytes = 32U << 20U;
constexpr long openTimeoutMilliseconds = 2000;
constexpr long closeTimeoutMilliseconds = 500;

/// Result of Connection::append().
enum class AppendResult {
    Queued,
    FlushNeeded, ///< the message is the first of its frame; the caller has to call flush()
    Full, ///< the message was not queued, since more than maxPendingBytes are queued
};

// Common interface of server and client connections, which have different types in websocketpp.
class Connection
{
public:
    Connection() = default;
    virtual ~Connection() = default;
    Connection(const Connection &) = delete;
    Connection &operator=(const Connection &) = delete;

    /// Queues a message. Callable from any thread.
    AppendResult append(const std::string &message)
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        if (m_pending.size() > maxPendingBytes) {
            return AppendResult::Full;
        }
        const bool isFirst = m_pending.empty();
        m_pending += isFirst ? std::string(1, frameBegin) + message : message;
        return isFirst ? AppendResult::FlushNeeded : AppendResult::Queued;
    }

    /// Sends the queued messages as one frame. Messages that are queued while the transport's thread is busy share the
    /// frame. If the library has more than maxPendingBytes of unwritten bytes, closes the connection instead. Callable
    /// on the transport's thread only, because only this thread may read the library's count of unwritten bytes.
    void flush()
    {
        std::string frame;
        {
            const std::lock_guard<std::mutex> lock(m_mutex);
            frame.swap(m_pending);
        }
        if (unwrittenBytes() > maxPendingBytes) {
            drop();
        } else if (!frame.empty()) {
            frame += frameEnd;
            write(frame);
        }
    }

    virtual void drop() = 0;

protected:
    virtual std::size_t unwrittenBytes() const = 0;
    virtual void write(const std::string &frame) = 0;

private:
    mutable std::mutex m_mutex;
    std::string m_pending;
};

template <typename Pointer>
class TypedConnection final : public Connection
{
public:
    explicit TypedConnection(Pointer pointer)
        : m_pointer(std::move(pointer))
    {
    }

    // Shuts down the socket first, because a close handshake waits for a peer that may never respond.
    void drop() override
    {
        websocketpp::lib::error_code ignored;
        boost::system::error_code shutdownIgnored;
        m_pointer->get_raw_socket().shutdown(boost::asio::ip::tcp::socket::shutdown_both, shutdownIgnored);
        m_pointer->close(websocketpp::close::status::going_away, "", ignored);
    }

protected:
    std::size_t unwrittenBytes() const override
    {
        return m_pointer->get_buffered_amount();
    }

    // Ignores errors: a frame that cannot be sent is lost with its connection, whose close is reported.
    void write(const std::string &frame) override
    {
        const websocketpp::lib::error_code ignored = m_pointer->send(frame, websocketpp::frame::opcode::binary);
        static_cast<void>(ignored);
    }

private:
    Pointer m_pointer;
};

} // namespace

class LinkTransport::Implementation : public std::enable_shared_from_this<LinkTransport::Implementation>
{
public:
    explicit Implementation(LinkHandlers handlers)
        : m_handlers(std::move(handlers))
        , m_workGuard(boost::asio::make_work_guard(m_io))
    {
        configureEndpoint(m_server);
        configureEndpoint(m_client);
        m_server.set_reuse_addr(true);
        m_server.set_open_handler([this](const websocketpp::connection_hdl &handle) {
            const LinkId link = nextLinkId();
            registerConnection(m_server.get_con_from_hdl(handle), link);
            m_handlers.opened(link);
        });
    }

    void start()
    {
        m_thread = std::thread([this] {
            run();
        });
    }

    std::error_code listen(const std::string &address, std::uint16_t port)
    {
        boost::system::error_code error;
        const auto ip = boost::asio::ip::make_address(address, error);
        if (error) {
            return std::make_error_code(std::errc::invalid_argument);
        }
        websocketpp::lib::error_code listenError;
        m_server.listen(boost::asio::ip::tcp::endpoint(ip, port), listenError);
        if (listenError) {
            return std::make_error_code(std::errc::address_in_use);
        }
        m_port = m_server.get_local_endpoint(error).port();
        m_server.start_accept(listenError);
        return listenError ? std::make_error_code(std::errc::io_error) : std::error_code();
    }

    std::uint16_t port() const
    {
        return m_port;
    }

    LinkId connect(const std::string &address, std::uint16_t port)
    {
        const LinkId link = nextLinkId();
        websocketpp::lib::error_code error;
        auto connection = m_client.get_connection("ws://" + address + ":" + std::to_string(port) + "/link", error);
        if (error) {
            boost::asio::post(m_io, [this, link] {
                m_handlers.closed(link);
            });
            return link;
        }
        connection->set_open_handler([this, link](const websocketpp::connection_hdl &) {
            m_handlers.opened(link);
        });
        connection->set_fail_handler([this, link](const websocketpp::connection_hdl &) {
            removeConnection(link);
        });
        registerConnection(connection, link);
        boost::asio::post(m_io, [this, connection] {
            m_client.connect(connection);
        });
        return link;
    }

    bool send(LinkId link, const std::string &message)
    {
        const std::shared_ptr<Connection> connection = find(link);
        if (!connection) {
            return false;
        }
        const AppendResult result = connection->append(message);
        if (result == AppendResult::FlushNeeded) {
            boost::asio::post(m_io, [connection] {
                connection->flush();
            });
        } else if (result == AppendResult::Full) {
            drop(link);
        }
        return result != AppendResult::Full;
    }

    void drop(LinkId link)
    {
        boost::asio::post(m_io, [self = shared_from_this(), link] {
            if (const std::shared_ptr<Connection> connection = self->find(link)) {
                connection->drop();
                self->removeConnection(link);
            }
        });
    }

    void stopListening()
    {
        boost::asio::post(m_io, [self = shared_from_this()] {
            websocketpp::lib::error_code ignored;
            self->m_server.stop_listening(ignored);
        });
    }

    void stop()
    {
        if (m_stopped.exchange(true)) {
            return;
        }
        boost::asio::post(m_io, [self = shared_from_this()] {
            websocketpp::lib::error_code ignored;
            self->m_server.stop_listening(ignored);
            std::map<LinkId, std::shared_ptr<Connection>> connections;
            {
                const std::lock_guard<std::mutex> lock(self->m_mutex);
                connections.swap(self->m_connections);
            }
            for (const auto &entry : connections) {
                entry.second->drop();
            }
            self->m_workGuard.reset();
            self->m_io.stop();
        });
        if (m_thread.joinable()) {
            m_thread.join();
        }
    }

private:
    template <typename Endpoint>
    void configureEndpoint(Endpoint &endpoint)
    {
        endpoint.clear_access_channels(websocketpp::log::alevel::all);
        endpoint.clear_error_channels(websocketpp::log::elevel::all);
        endpoint.init_asio(&m_io);
        endpoint.set_max_message_size(maxFrameBytes);
        endpoint.set_open_handshake_timeout(openTimeoutMilliseconds);
        endpoint.set_close_handshake_timeout(closeTimeoutMilliseconds);
        endpoint.set_socket_init_handler([](const websocketpp::connection_hdl &, boost::asio::ip::tcp::socket &socket) {
            boost::system::error_code ignored;
            socket.set_option(boost::asio::ip::tcp::no_delay(true), ignored);
        });
        endpoint.set_tcp_post_init_handler([&endpoint](const websocketpp::connection_hdl &handle) {
            boost::system::error_code ignored;
            endpoint.get_con_from_hdl(handle)->get_raw_socket().set_option(boost::asio::ip::tcp::no_delay(true),
                                                                           ignored);
        });
    }

    void run()
    {
        while (!m_io.stopped()) {
            try {
                m_io.run();
            } catch (const std::exception &) {
                // An exception ends only the callback that threw it and not the thread that serves all links.
                continue;
            }
        }
    }

    LinkId nextLinkId()
    {
        return ++m_lastLinkId;
    }

    template <typename Pointer>
    void registerConnection(const Pointer &connection, LinkId link)
    {
        connection->set_close_handler([this, link](const websocketpp::connection_hdl &) {
            removeConnection(link);
        });
        connection->set_message_handler([this, link](const websocketpp::connection_hdl &, const auto &message) {
            if (message->get_opcode() == websocketpp::frame::opcode::binary) {
                m_handlers.received(link, message->get_payload());
            } else {
                drop(link);
            }
        });
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_connections.emplace(link, std::make_shared<TypedConnection<Pointer>>(connection));
    }

    std::shared_ptr<Connection> find(LinkId link) const
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        const auto position = m_connections.find(link);
        return position == m_connections.end() ? nullptr : position->second;
    }

    void removeConnection(LinkId link)
    {
        bool wasRegistered = false;
        {
            const std::lock_guard<std::mutex> lock(m_mutex);
            wasRegistered = m_connections.erase(link) > 0;
        }
        if (wasRegistered) {
            m_handlers.closed(link);
        }
    }

    LinkHandlers m_handlers;
    boost::asio::io_service m_io;
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> m_workGuard;
    ServerEndpoint m_server;
    ClientEndpoint m_client;
    std::atomic<std::uint16_t> m_port{ 0 };
    std::atomic<LinkId> m_lastLinkId{ 0 };
    std::atomic<bool> m_stopped{ false };
    mutable std::mutex m_mutex;
    std::map<LinkId, std::shared_ptr<Connection>> m_connections;
    std::thread m_thread;
};

LinkTransport::LinkTransport(LinkHandlers handlers)
    : m_implementation(std::make_shared<Implementation>(std::move(handlers)))
{
    m_implementation->start();
}

LinkTransport::~LinkTransport()
{
    m_implementation->stop();
}

std::error_code LinkTransport::listen(const std::string &address, std::uint16_t port)
{
    return m_implementation->listen(address, port);
}

std::uint16_t LinkTransport::port() const
{
    return m_implementation->port();
}

LinkId LinkTransport::connect(const std::string &address, std::uint16_t port)
{
    return m_implementation->connect(address, port);
}

bool LinkTransport::send(LinkId link, const std::string &message)
{
    return m_implementation->send(link, message);
}

void LinkTransport::drop(LinkId link)
{
    m_implementation->drop(link);
}

void LinkTransport::stopListening()
{
    m_implementation->stopListening();
}

void LinkTransport::stop()
{
    m_implementation->stop();
}

} // namespace zinniadock
