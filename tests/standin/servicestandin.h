#pragma once

#include <chrono>
#include <map>
#include <memory>
#include <mutex>
#include <string>

#include "functionserver.h"
#include "history.h"

namespace zinniadock::standin
{

struct ServiceStandinSettings
{
    std::uint16_t port = 0;
    std::string history;
};

/// A plain service that counts how often it ran each call; `GET /runs` lists them.
class ServiceStandin
{
public:
    explicit ServiceStandin(const ServiceStandinSettings &settings);

    std::uint16_t port() const;

    /// Returns how often a call with this body ran.
    std::uint64_t runs(const std::string &body) const;

    /// Makes each call run and then take so long to answer.
    void setDelay(std::chrono::milliseconds delay);

    /// Makes each call run and then close the connection without an answer.
    void setDropResponses(bool silent);

    void stop();

private:
    void handle(HTTPServerRequest &request, HTTPServerResponse &response);
    void control(HTTPServerRequest &request, HTTPServerResponse &response);

    History m_history;
    mutable std::mutex m_mutex;
    std::map<std::string, std::uint64_t> m_runs;
    std::uint64_t m_total = 0;
    std::chrono::milliseconds m_delay{ 0 };
    bool m_silent = false;
    std::unique_ptr<FunctionServer> m_server;
};

} // namespace zinniadock::standin
