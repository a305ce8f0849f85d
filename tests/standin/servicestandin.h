#pragma once

#include <chrono>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>

#include "functionserver.h"
#include "history.h"
#include "scriptedresponse.h"

namespace zinniadock::standin
{

struct ServiceStandinSettings
{
    std::uint16_t port = 0;
    std::string history; ///< file to which each call is appended; empty to record no calls
};

/// Simulated plain service that counts how often each call ran, by request body. `GET /runs` returns the counts.
class ServiceStandin
{
public:
    explicit ServiceStandin(const ServiceStandinSettings &settings);

    std::uint16_t port() const;

    /// Returns how often a call with \p body ran.
    std::uint64_t runs(const std::string &body) const;

    /// Returns the number of calls whose client closed the connection before the response.
    std::uint64_t cancelled() const;

    /// Sets the delay between the run of a call and its response.
    void setDelay(std::chrono::milliseconds delay);

    /// Closes the connection after each call has run, without a response, while \p dropResponses is true.
    void setDropResponses(bool dropResponses);

    /// Makes the service send exactly these bytes in response to each call that it runs.
    void setScriptedResponse(const ScriptedResponse &response);

    void stop();

private:
    void handle(HTTPServerRequest &request, HTTPServerResponse &response);

    /// Waits before a response. Returns whether the client has closed the connection meanwhile.
    bool delayResponse(HTTPServerRequest &request, std::chrono::milliseconds delay);
    void control(HTTPServerRequest &request, HTTPServerResponse &response);

    History m_history;
    mutable std::mutex m_mutex;
    std::map<std::string, std::uint64_t> m_runsByBody;
    std::uint64_t m_cancelled = 0;
    std::uint64_t m_totalRuns = 0;
    std::chrono::milliseconds m_delay{ 0 };
    bool m_dropResponses = false;
    std::optional<ScriptedResponse> m_script;
    std::unique_ptr<LoopbackHttpServer> m_server;
};

} // namespace zinniadock::standin
