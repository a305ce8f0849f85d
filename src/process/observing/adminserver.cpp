#include "zinniadock/process/observing/adminserver.h"

#include <Poco/Exception.h>
#include <Poco/Net/HTTPRequestHandler.h>
#include <Poco/Net/HTTPRequestHandlerFactory.h>
#include <Poco/Net/HTTPServer.h>
#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerResponse.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/URI.h>

#include "zinniadock/version/configuration.h"

namespace zinniadock
{

namespace
{

using Poco::Net::HTTPResponse;
using Poco::Net::HTTPServerRequest;
using Poco::Net::HTTPServerResponse;

constexpr int maxThreads = 4;

void sendResponse(HTTPServerResponse &response, HTTPResponse::HTTPStatus status, const std::string &type,
                  const std::string &body)
{
    response.setStatusAndReason(status);
    response.setContentType(type);
    response.sendBuffer(body.data(), body.size());
}

AdminQuery parseAdminQuery(const Poco::URI &uri)
{
    AdminQuery query;
    for (const auto &[name, value] : uri.getQueryParameters()) {
        if (name == "request") {
            query.request = value;
        } else if (name == "since") {
            query.since = value;
        }
    }
    return query;
}

class AdminRequestHandler final : public Poco::Net::HTTPRequestHandler
{
public:
    AdminRequestHandler(const std::string &keyDigest, const std::map<std::string, AdminAction> &actions)
        : m_keyDigest(keyDigest)
        , m_actions(actions)
    {
    }

    void handleRequest(HTTPServerRequest &request, HTTPServerResponse &response) override
    {
        const std::string authorization = request.get("Authorization", "");
        const std::string key = authorization.starts_with("Bearer ") ? authorization.substr(7) : "";
        if (!m_keyDigest.empty() && sha256(key) != m_keyDigest) {
            sendResponse(response, HTTPResponse::HTTP_UNAUTHORIZED, "text/plain",
                         "expected the key of the admin interface in the header Authorization: Bearer KEY\n");
            return;
        }
        const Poco::URI uri(request.getURI());
        const auto action = m_actions.find(uri.getPath());
        if (action == m_actions.end()) {
            sendResponse(response, HTTPResponse::HTTP_NOT_FOUND, "text/plain", "no page at " + uri.getPath() + "\n");
        } else if (action->second.method != request.getMethod()) {
            sendResponse(response, HTTPResponse::HTTP_METHOD_NOT_ALLOWED, "text/plain",
                         "expected method " + action->second.method + "\n");
        } else if (const auto body = action->second.run(parseAdminQuery(uri))) {
            sendResponse(response, HTTPResponse::HTTP_OK, action->second.contentType, *body);
        } else {
            sendResponse(response, HTTPResponse::HTTP_BAD_REQUEST, "text/plain",
                         "expected request=ID of 32 hexadecimal digits and since=NUMBER\n");
        }
    }

private:
    const std::string &m_keyDigest;
    const std::map<std::string, AdminAction> &m_actions;
};

class AdminRequestHandlerFactory final : public Poco::Net::HTTPRequestHandlerFactory
{
public:
    AdminRequestHandlerFactory(const std::string &keyDigest, const std::map<std::string, AdminAction> &actions)
        : m_keyDigest(keyDigest)
        , m_actions(actions)
    {
    }

    Poco::Net::HTTPRequestHandler *createRequestHandler(const HTTPServerRequest & /*request*/) override
    {
        return new AdminRequestHandler(m_keyDigest, m_actions); // NOLINT: Poco deletes the handler
    }

private:
    const std::string &m_keyDigest;
    const std::map<std::string, AdminAction> &m_actions;
};

} // namespace

AdminServer::AdminServer(Endpoint listen, std::string keyDigest, std::map<std::string, AdminAction> actions)
    : m_listen(std::move(listen))
    , m_keyDigest(std::move(keyDigest))
    , m_actions(std::move(actions))
{
}

AdminServer::~AdminServer()
{
    stop();
}

std::error_code AdminServer::start()
{
    try {
        const Poco::Net::ServerSocket socket(Poco::Net::SocketAddress(m_listen.address, m_listen.port));
        Poco::Net::HTTPServerParams::Ptr parameters(new Poco::Net::HTTPServerParams);
        parameters->setMaxThreads(maxThreads);
        parameters->setKeepAlive(false);
        m_server = std::make_unique<Poco::Net::HTTPServer>(new AdminRequestHandlerFactory(m_keyDigest, m_actions),
                                                           socket, parameters);
        m_server->start();
        return {};
    } catch (const Poco::Exception &) {
        return std::make_error_code(std::errc::address_in_use);
    }
}

std::uint16_t AdminServer::port() const
{
    return m_server->port();
}

void AdminServer::stop()
{
    if (m_server) {
        m_server->stopAll(true);
        m_server.reset();
    }
}

} // namespace zinniadock
