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

/// What the query of an operators' request may hold; each is empty if not given.
struct AdminQuery
{
    std::string request;
    std::string since;
};

/// One thing that operators can ask a process for.
struct AdminAction
{
    std::string method; ///< `GET` or `POST`
    std::string contentType;
    std::function<std::optional<std::string>(const AdminQuery &)> run; ///< the body of the answer, or a bad query
};

/// The operators' HTTP interface of a process.
class AdminServer
{
public:
    /// \param keyDigest  SHA-256 of the key to ask for; empty asks for none
    AdminServer(Endpoint listen, std::string keyDigest, std::map<std::string, AdminAction> actions);
    ~AdminServer();

    AdminServer(const AdminServer &) = delete;
    AdminServer &operator=(const AdminServer &) = delete;

    std::error_code start();
    std::uint16_t port() const;
    void stop();

private:
    const Endpoint m_listen;
    const std::string m_keyDigest;
    const std::map<std::string, AdminAction> m_actions;
    std::unique_ptr<Poco::Net::HTTPServer> m_server;
};

} // namespace zinniadock
