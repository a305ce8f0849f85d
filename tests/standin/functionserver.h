#pragma once

#include <functional>
#include <memory>

#include <Poco/Net/HTTPRequestHandler.h>
#include <Poco/Net/HTTPRequestHandlerFactory.h>
#include <Poco/Net/HTTPServer.h>
#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerRequestImpl.h>
#include <Poco/Net/HTTPServerResponse.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/StreamCopier.h>
#include <Poco/ThreadPool.h>

namespace zinniadock::standin
{

using Poco::Net::HTTPServerRequest;
using Poco::Net::HTTPServerResponse;

/// HTTP server on the loopback interface that passes each request to one handler function.
class LoopbackHttpServer
{
public:
    using Function = std::function<void(HTTPServerRequest &, HTTPServerResponse &)>;

    /// \param port  0 selects a free port
    /// \param threads  maximum number of threads and of queued connections
    /// \param address  listening address on the loopback interface
    LoopbackHttpServer(std::uint16_t port, int threads, Function function, const std::string &address = "127.0.0.1")
        : m_threads(std::make_unique<Poco::ThreadPool>(2, threads, 60, threadStackBytes))
    {
        Poco::Net::HTTPServerParams::Ptr parameters(new Poco::Net::HTTPServerParams);
        parameters->setMaxThreads(threads);
        parameters->setMaxQueued(threads);
        parameters->setKeepAliveTimeout(Poco::Timespan(keepAliveSeconds, 0));
        m_socket = Poco::Net::ServerSocket(Poco::Net::SocketAddress(address, port), listenBacklog);
        m_server = std::make_unique<Poco::Net::HTTPServer>(new Factory(std::move(function)), *m_threads, m_socket,
                                                           parameters);
        m_server->start();
    }

    ~LoopbackHttpServer()
    {
        stop();
    }

    LoopbackHttpServer(const LoopbackHttpServer &) = delete;
    LoopbackHttpServer &operator=(const LoopbackHttpServer &) = delete;

    std::uint16_t port() const
    {
        return m_server->port();
    }

    /// Refuses new connections from now on, as the host of a process that has ended does.
    void refuseConnections()
    {
        ::shutdown(m_socket.impl()->sockfd(), SHUT_RDWR);
    }

    /// Closes all connections and stops the server.
    void stop()
    {
        if (m_threads) {
            m_server->stopAll(true);
            m_server.reset();
            m_socket.close();
            m_threads->stopAll();
            m_threads.reset();
        }
    }

private:
    static constexpr int threadStackBytes = 256 * 1024;
    static constexpr int listenBacklog = 1024;
    static constexpr int keepAliveSeconds = 30;

    class Handler final : public Poco::Net::HTTPRequestHandler
    {
    public:
        explicit Handler(const Function &function)
            : m_function(function)
        {
        }

        void handleRequest(HTTPServerRequest &request, HTTPServerResponse &response) override
        {
            static_cast<Poco::Net::HTTPServerRequestImpl &>(request).socket().setNoDelay(true);
            m_function(request, response);
        }

    private:
        const Function &m_function;
    };

    class Factory final : public Poco::Net::HTTPRequestHandlerFactory
    {
    public:
        explicit Factory(Function function)
            : m_function(std::move(function))
        {
        }

        Poco::Net::HTTPRequestHandler *createRequestHandler(const HTTPServerRequest & /*request*/) override
        {
            return new Handler(m_function); // NOLINT: the HTTP server deletes the handler
        }

    private:
        const Function m_function;
    };

    Poco::Net::ServerSocket m_socket;
    std::unique_ptr<Poco::ThreadPool> m_threads;
    std::unique_ptr<Poco::Net::HTTPServer> m_server;
};

/// Reads the whole body of a request.
inline std::string readBody(HTTPServerRequest &request)
{
    std::string body;
    Poco::StreamCopier::copyToString(request.stream(), body);
    return body;
}

/// Closes the connection of a request without a response.
inline void cutConnection(HTTPServerRequest &request)
{
    static_cast<Poco::Net::HTTPServerRequestImpl &>(request).socket().close();
}

/// Sends a response with a JSON body.
inline void sendJson(HTTPServerResponse &response, const std::string &body, int status = HTTPServerResponse::HTTP_OK)
{
    response.setStatusAndReason(static_cast<HTTPServerResponse::HTTPStatus>(status));
    response.setContentType("application/json");
    response.sendBuffer(body.data(), body.size());
}

} // namespace zinniadock::standin
