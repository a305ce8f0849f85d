#include "appserver.h"

#include <algorithm>
#include <thread>

#include <nlohmann/json.hpp>

#include "daemon.h"

namespace zinniadock::review
{

namespace
{

using Json = nlohmann::json;

} // namespace

std::string configurationText()
{
    return Json{
        { "version", 1 },
        { "routes",
          { { { "name", "work-order" },
              { "host", "obra.example" },
              { "prefix", "/order/" },
              { "kind", "non_idempotent" },
              { "timeoutMs", deadline.count() },
              { "targetLatencyMs", 150 },
              { "priority", 2 },
              { "service", "obra-app" },
              { "maxAttempts", 1 },
              { "public", true } } } },
        { "services", { { { "name", "obra-app" }, { "healthPath", "/health" }, { "maxConns", 110 } } } },
        { "limits",
          { { "maxHeaderBytes", 16384 },
            { "maxBodyBytes", 4194304 },
            { "headerTimeoutMs", 5000 },
            { "idleTimeoutMs", 20000 } } }
    }.dump();
}

std::string orderRequest(const std::string &id)
{
    const std::string body(600, 'a');
    return "POST /order/new HTTP/1.1\r\nHost: obra.example\r\nX-Request-Id: " + id + "\r\nX-Deadline-Ms: "
        + std::to_string(deadline.count()) + "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

AppServer::AppServer(std::string id, const std::string &address)
    : m_id(std::move(id))
    , m_address(address)
    , m_server(address, [this](ServerConnection &connection, const Request &request) {
        return handle(connection, request);
    })
{
}

const std::string &AppServer::id() const
{
    return m_id;
}

std::string AppServer::record() const
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return Json{
        { "service", "obra-app" },
        { "address", endpointOf(m_address, m_server.port()) },
        { "zone", "campina" },
        { "version", "v1" },
        { "slots", 6 },
        { "state", "ready" },
        { "coldLeftMs", 0 },
        { "seq", 1 },
        { "born", std::chrono::duration_cast<std::chrono::milliseconds>(now).count() }
    }.dump();
}

bool AppServer::runsFor(const std::vector<std::size_t> &entries)
{
    const std::lock_guard lock(m_mutex);
    return std::all_of(entries.begin(), entries.end(), [this](std::size_t entry) {
        const std::string suffix = "-e" + std::to_string(entry);
        return std::any_of(m_running.begin(), m_running.end(), [&suffix](const std::string &request) {
            return request.ends_with(suffix);
        });
    });
}

bool AppServer::hasRun(const std::string &request)
{
    const std::lock_guard lock(m_mutex);
    return m_started.contains(request);
}

std::vector<std::chrono::steady_clock::time_point> AppServer::arrivals()
{
    const std::lock_guard lock(m_mutex);
    return m_arrivals;
}

void AppServer::leave()
{
    m_isLeaving = true;
}

void AppServer::exit()
{
    m_server.crash();
}

bool AppServer::handle(ServerConnection &connection, const Request &request)
{
    const std::string id = request.field("x-request-id");
    if (request.target == "/health") {
        return connection.respond(200, "X-Instance-Id: " + m_id + "\r\n", "{}");
    }
    const std::string echo = "X-Request-Id: " + id + "\r\n" + (m_isLeaving ? "Server-Leaving: 1\r\n" : "");
    if (request.field("x-expected-instance") != m_id) {
        return connection.respond(421, echo, "");
    }
    {
        const std::lock_guard lock(m_mutex);
        m_arrivals.push_back(std::chrono::steady_clock::now());
        m_started.insert(id);
        m_running.insert(id);
    }
    std::this_thread::sleep_for(runTime);
    {
        const std::lock_guard lock(m_mutex);
        m_running.erase(id);
    }
    return connection.respond(200, echo + "X-Server-Signature: " + m_id + "\r\n", std::string(800, 'b'));
}

} // namespace zinniadock::review
