#include "servicestandin.h"

#include <thread>

#include <Poco/Net/HTTPServerRequestImpl.h>
#include <nlohmann/json.hpp>

namespace zinniadock::standin
{

namespace
{

using Json = nlohmann::json;

constexpr int maxThreads = 256;

} // namespace

ServiceStandin::ServiceStandin(const ServiceStandinSettings &settings)
    : m_history(settings.history)
    , m_server(std::make_unique<LoopbackHttpServer>(settings.port, maxThreads, [this](auto &request, auto &response) {
        handle(request, response);
    }))
{
}

std::uint16_t ServiceStandin::port() const
{
    return m_server->port();
}

std::uint64_t ServiceStandin::runs(const std::string &body) const
{
    const std::lock_guard lock(m_mutex);
    const auto position = m_runsByBody.find(body);
    return position == m_runsByBody.end() ? 0 : position->second;
}

std::uint64_t ServiceStandin::cancelled() const
{
    const std::lock_guard lock(m_mutex);
    return m_cancelled;
}

void ServiceStandin::setDelay(std::chrono::milliseconds delay)
{
    const std::lock_guard lock(m_mutex);
    m_delay = delay;
}

void ServiceStandin::setDropResponses(bool dropResponses)
{
    const std::lock_guard lock(m_mutex);
    m_dropResponses = dropResponses;
}

void ServiceStandin::stop()
{
    m_server->stop();
}

void ServiceStandin::setScriptedResponse(const ScriptedResponse &response)
{
    const std::lock_guard lock(m_mutex);
    m_script = response;
}

void ServiceStandin::handle(HTTPServerRequest &request, HTTPServerResponse &response)
{
    if (request.getURI() == "/control") {
        control(request, response);
        return;
    }
    if (request.getURI() == "/runs") {
        const std::lock_guard lock(m_mutex);
        sendJson(response, Json(m_runsByBody).dump());
        return;
    }
    const std::string body = readBody(request);
    const std::string requestId = request.get("X-Request-Id", "");
    std::chrono::milliseconds delay{ 0 };
    bool dropResponses = false;
    std::optional<ScriptedResponse> script;
    std::uint64_t number = 0;
    {
        const std::lock_guard lock(m_mutex);
        ++m_runsByBody[body];
        number = ++m_totalRuns;
        delay = m_delay;
        dropResponses = m_dropResponses;
        script = m_script;
    }
    m_history.record({ { "event", "service_run" },
                       { "request", requestId },
                       { "path", request.getURI() },
                       { "method", request.getMethod() },
                       { "body", body },
                       { "key", request.get("Idempotency-Key", "") } });
    if (delayResponse(request, delay) || dropResponses) {
        cutConnection(request);
        return;
    }
    if (script) {
        sendScripted(request, *script);
        return;
    }
    sendJson(response, Json{ { "path", request.getURI() }, { "run", number }, { "body", body } }.dump());
}

bool ServiceStandin::delayResponse(HTTPServerRequest &request, std::chrono::milliseconds delay)
{
    const Poco::Timespan checkInterval(0, 5000);
    auto &socket = dynamic_cast<Poco::Net::HTTPServerRequestImpl &>(request).socket();
    const auto end = std::chrono::steady_clock::now() + delay;
    while (std::chrono::steady_clock::now() < end) {
        if (socket.poll(checkInterval, Poco::Net::Socket::SELECT_READ)) {
            const std::lock_guard lock(m_mutex);
            ++m_cancelled;
            return true;
        }
    }
    return false;
}

void ServiceStandin::control(HTTPServerRequest &request, HTTPServerResponse &response)
{
    const Json body = Json::parse(readBody(request), nullptr, false);
    if (body.is_object()) {
        setDelay(std::chrono::milliseconds(body.value("delay_ms", 0)));
        setDropResponses(body.value("silent", false));
    }
    sendJson(response, "{}");
}

} // namespace zinniadock::standin
