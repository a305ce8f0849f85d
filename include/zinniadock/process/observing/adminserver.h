#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <system_error>

#include "zinniadock/detail/fieldtable.h"

namespace Poco::Net // NOLINT(readability-identifier-naming)
{
class HTTPServer;
}

namespace zinniadock
{

/// Query parameters of an admin request; a parameter that is not given is empty.
struct AdminQuery
{
    std::string request; ///< request ID
    std::string since; ///< hybrid time, as a number
};

/// An operation of the admin interface.
struct AdminAction
{
    std::string method; ///< `GET` or `POST`
    std::string contentType;

    /// Returns the response body; nothing if the query is invalid.
    std::function<std::optional<std::string>(const AdminQuery &)> run;
};

/// HTTP server of the admin interface of a process.
class AdminServer
{
public:
    /// \param keyDigest  SHA-256 of the key that each request must present as a Bearer token; empty to require no key
    /// \param actions  operations by URL path
    AdminServer(Endpoint listen, std::string keyDigest, std::map<std::string, AdminAction> actions);
    ~AdminServer();

    AdminServer(const AdminServer &) = delete;
    AdminServer &operator=(const AdminServer &) = delete;

    /// Starts listening.
    std::error_code start();

    /// Returns the listening port.
    std::uint16_t port() const;

    void stop();

private:
    const Endpoint m_listen;
    const std::string m_keyDigest;
    const std::map<std::string, AdminAction> m_actions;
    std::unique_ptr<Poco::Net::HTTPServer> m_server;
};

} // namespace zinniadock
