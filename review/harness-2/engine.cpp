#include "engine.h"

#include <array>
#include <chrono>
#include <cstdio>
#include <thread>

#include <nlohmann/json.hpp>

#include "daemon.h"

namespace zinniadock::review
{

namespace
{

using Json = nlohmann::json;
using std::chrono::milliseconds;

/// Rate of each endless response, and the time between two pieces of it.
constexpr std::size_t endlessBytesPerSecond = 1400000;
constexpr milliseconds pieceInterval{ 20 };

/// Figures of an engine in the sheet.
constexpr std::size_t slots = 24;
constexpr std::size_t memoryTokens = 34319;
constexpr std::size_t promptTokensPerMillisecond = 14;
constexpr milliseconds eventInterval{ 10 };

constexpr std::int64_t startTimeMs = 1000;

Json routeJson(const std::string &name, int timeoutMs, int targetMs, int priority)
{
    return { { "name", name },        { "host", "obra.example" }, { "prefix", "/" + name + "/" },
             { "kind", "streaming" }, { "timeoutMs", timeoutMs }, { "targetLatencyMs", targetMs },
             { "gapAimMs", 180 },     { "priority", priority },   { "service", "brief-models" },
             { "maxAttempts", 1 },    { "sticky", true },         { "public", true } };
}

} // namespace

std::vector<GenerationKind> generationKinds()
{
    return { { "/fitting-brief/", 3079, 2204, 234, "39000" }, { "/clause-check/", 2550, 48, 4, "6000" } };
}

std::string generationRequest(const GenerationKind &kind, const std::string &id, std::uint64_t promptPart)
{
    const std::string body(3000, 'a');
    return "POST " + kind.path + "new HTTP/1.1\r\nHost: obra.example\r\nX-Request-Id: " + id
        + "\r\nX-Model: m\r\nX-Token-Count: " + std::to_string(kind.promptTokens) + ","
        + std::to_string(kind.maxOutputTokens) + "\r\nX-Prompt-Prefix: " + std::to_string(promptPart % 100000) + ":"
        + std::to_string(kind.promptTokens) + "\r\nX-Deadline-Ms: " + kind.deadline + "\r\nX-Test-Events: "
        + std::to_string(kind.events) + "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

std::string engineConfigurationText()
{
    const Json engine{ { "slots", slots }, { "kvCapacityTokens", memoryTokens },
                       { "moves", true },  { "kvTokenBytes", 10000 },
                       { "stride", 4 },    { "linkMbps", 2000.0 },
                       { "holdMs", 2000 } };
    return Json{
        { "version", 1 },
        { "routes", { routeJson("fitting-brief", 39000, 1800, 1), routeJson("clause-check", 6000, 1500, 0) } },
        { "services",
          { { { "name", "brief-models" }, { "healthPath", "/health" }, { "maxConns", 252 }, { "engine", engine } } } },
        { "limits",
          { { "maxHeaderBytes", 16384 },
            { "maxBodyBytes", 4194304 },
            { "headerTimeoutMs", 5000 },
            { "idleTimeoutMs", 20000 } } }
    }.dump();
}

Engine::Engine(std::string id, const std::string &address, Record &record)
    : m_id(std::move(id))
    , m_address(address)
    , m_record(record)
    , m_server(address, [this](ServerConnection &connection, const Request &request) {
        return handle(connection, request);
    })
{
}

const std::string &Engine::id() const
{
    return m_id;
}

std::string Engine::endpoint() const
{
    return endpointOf(m_address, m_server.port());
}

std::string Engine::record() const
{
    return Json{
        { "service", "brief-models" },
        { "address", endpoint() },
        { "zone", "campina" },
        { "version", "v1" },
        { "slots", slots },
        { "state", "ready" },
        { "coldLeftMs", 0 },
        { "seq", 1 },
        { "born", startTimeMs }
    }.dump();
}

void Engine::setBroken(bool isBroken)
{
    m_isBroken = isBroken;
}

std::uint64_t Engine::endlessBytes() const
{
    return m_endlessBytes;
}

bool Engine::hasRunSoundly(const std::string &request)
{
    const std::lock_guard lock(m_mutex);
    return m_runSoundly.contains(request);
}

bool Engine::handle(ServerConnection &connection, const Request &request)
{
    if (request.target == "/health") {
        return connection.respond(200, "X-Instance-Id: " + m_id + "\r\n", "{}");
    }
    if (request.target == "/-/report") {
        return connection.respond(200, "Content-Type: application/json\r\n", report());
    }
    if (request.target == "/-/hold-take") {
        return connection.respond(200, "", Json{ { "hold", "h" + std::to_string(++m_reservations) } }.dump());
    }
    if (request.target.starts_with("/-/")) {
        return connection.respond(200, "", "{}");
    }
    return run(connection, request);
}

std::string Engine::report()
{
    const std::lock_guard lock(m_mutex);
    Json runs = Json::array();
    std::size_t used = 0;
    for (const auto &[id, tokens] : m_running) {
        runs.push_back(Json::array({ id, tokens, 1, 5 }));
        used += tokens;
    }
    return Json{
        { "stage", "both" },  { "running", runs.size() }, { "queued", 0 },
        { "kvUsed", used },   { "handles", 0 },           { "kvTotal", memoryTokens },
        { "state", "ready" }, { "born", startTimeMs },    { "runs", runs }
    }.dump();
}

bool Engine::run(ServerConnection &connection, const Request &request)
{
    const std::string id = request.field("x-request-id");
    const std::string echo = "X-Request-Id: " + id + "\r\n";
    // An empty field names no other server.
    const std::string expected = request.field("x-expected-instance");
    if (!expected.empty() && expected != m_id) {
        return connection.respond(421, echo, "");
    }
    const std::size_t promptTokens = std::stoul(request.field("x-token-count"));
    {
        const std::lock_guard lock(m_mutex);
        if (m_running.size() >= slots) {
            return connection.respond(503, "X-Not-Executed: 1\r\n", "");
        }
        m_running[id] = promptTokens;
        if (!m_isBroken) {
            m_runSoundly.insert(id);
        }
    }
    m_record.write(m_id + " runs " + id + (m_isBroken ? ", endless" : ""));
    const bool isKept = m_isBroken ? sendEndlessly(connection, echo) : stream(connection, request, echo);
    const std::lock_guard lock(m_mutex);
    m_running.erase(id);
    return isKept;
}

/// Sends bytes that are no answer, until the caller closes the connection.
bool Engine::sendEndlessly(ServerConnection &connection, const std::string &echo)
{
    constexpr std::size_t piecesPerSecond = 1000 / pieceInterval.count();
    const std::string piece(endlessBytesPerSecond / piecesPerSecond, 'z');
    bool isOpen = connection.write("HTTP/1.1 200 OK\r\n" + echo + "\r\n");
    while (isOpen) {
        isOpen = connection.write(piece);
        m_endlessBytes += piece.size();
        std::this_thread::sleep_for(pieceInterval);
    }
    return false;
}

bool Engine::stream(ServerConnection &connection, const Request &request, const std::string &echo)
{
    std::this_thread::sleep_for(milliseconds(std::stoul(request.field("x-token-count")) / promptTokensPerMillisecond));
    bool isOpen = connection.write("HTTP/1.1 200 OK\r\n" + echo + "X-Server-Signature: " + m_id
                                   + "\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
    const std::size_t events = std::stoul(request.field("x-test-events"));
    for (std::size_t number = 1; isOpen && number <= events; ++number) {
        std::this_thread::sleep_for(eventInterval);
        const std::string event = "id: " + std::to_string(number) + "\ndata: " + std::string(20, 'e') + "\n\n";
        std::array<char, 16> size{};
        std::snprintf(size.data(), size.size(), "%zx\r\n", event.size());
        isOpen = connection.write(size.data() + event + "\r\n") && !connection.hasClientClosed();
    }
    return isOpen && connection.write("0\r\n\r\n");
}

} // namespace zinniadock::review
