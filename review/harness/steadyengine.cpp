#include "steadyengine.h"

#include <thread>

#include <nlohmann/json.hpp>

namespace zinniadock::review
{

namespace
{

using Json = nlohmann::json;

constexpr int serverThreads = 128;
constexpr int tokensPerEvent = 4;
constexpr int memoryTokens = 34319;
constexpr int slots = 24;

std::int64_t unixMilliseconds()
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
}

std::string eventText(int number)
{
    return "id: " + std::to_string(number) + "\ndata: piece " + std::to_string(number) + "\n\n";
}

} // namespace

SteadyEngine::SteadyEngine(std::string id, const std::string &address, EngineSpeed speed)
    : m_id(std::move(id))
    , m_address(address)
    , m_speed(speed)
    , m_startTimeMs(unixMilliseconds())
    , m_server(
          0, serverThreads,
          [this](standin::HTTPServerRequest &request, standin::HTTPServerResponse &response) {
              handle(request, response);
          },
          address)
{
}

SteadyEngine::~SteadyEngine()
{
    stop();
}

void SteadyEngine::startLeaving()
{
    m_isLeaving = true;
}

void SteadyEngine::stop()
{
    m_hasEnded = true;
    m_server.stop();
}

std::string SteadyEngine::endpoint() const
{
    return m_address + ":" + std::to_string(m_server.port());
}

std::string SteadyEngine::record(const std::string &service) const
{
    return Json{
        { "service", service },   { "address", endpoint() }, { "zone", "north" }, { "version", "v1" },
        { "slots", slots },       { "state", "ready" },      { "coldLeftMs", 0 }, { "seq", 1 },
        { "born", m_startTimeMs }
    }.dump();
}

std::vector<EngineRun> SteadyEngine::runs()
{
    const std::lock_guard lock(m_mutex);
    return m_runs;
}

void SteadyEngine::handle(standin::HTTPServerRequest &request, standin::HTTPServerResponse &response)
{
    if (m_hasEnded) {
        standin::cutConnection(request);
        return;
    }
    const std::string target = request.getURI();
    if (m_isLeaving) {
        response.set("Server-Leaving", "1");
    }
    if (target == "/h") {
        response.set("X-Instance-Id", m_id);
        standin::sendJson(response, "{}");
    } else if (target == "/-/report") {
        report(response);
    } else if (target == "/-/hold-take") {
        standin::readBody(request);
        standin::sendJson(response, Json{ { "hold", "h" + std::to_string(++m_reservations) } }.dump());
    } else if (target.rfind("/-/", 0) == 0) {
        standin::readBody(request);
        standin::sendJson(response, "{}", standin::HTTPServerResponse::HTTP_NOT_FOUND);
    } else if (request.has("X-Token-Count")) {
        stream(request, response);
    } else {
        answer(request, response);
    }
}

void SteadyEngine::answer(standin::HTTPServerRequest &request, standin::HTTPServerResponse &response)
{
    const std::string id = request.get("X-Request-Id", "");
    standin::readBody(request);
    {
        const std::lock_guard lock(m_mutex);
        m_runs.push_back({ .id = id, .events = 1, .allEvents = 1, .arrivedAt = std::chrono::steady_clock::now() });
    }
    std::this_thread::sleep_for(m_speed.firstEvent);
    if (m_hasEnded) {
        standin::cutConnection(request);
        return;
    }
    response.set("X-Request-Id", id);
    response.set("X-Server-Signature", "s." + m_id);
    standin::sendJson(response, "{\"booked\":\"" + id + "\"}");
}

void SteadyEngine::report(standin::HTTPServerResponse &response)
{
    Json running = Json::array();
    int usedTokens = 0;
    {
        const std::lock_guard lock(m_mutex);
        for (const auto &[id, generation] : m_running) {
            const int tokens = generation.promptTokens + tokensPerEvent * generation.events;
            usedTokens += tokens;
            running.push_back(Json::array({ id, tokens, generation.events, 5 }));
        }
    }
    standin::sendJson(response,
                      Json{ { "stage", "both" },
                            { "running", running.size() },
                            { "queued", 0 },
                            { "kvUsed", usedTokens },
                            { "kvTotal", memoryTokens },
                            { "handles", 0 },
                            { "born", m_startTimeMs },
                            { "state", "ready" },
                            { "runs", running } }
                          .dump());
}

void SteadyEngine::stream(standin::HTTPServerRequest &request, standin::HTTPServerResponse &response)
{
    const std::string id = request.get("X-Request-Id", "");
    const std::string counts = request.get("X-Token-Count", "0,0");
    standin::readBody(request);
    EngineRun run{ .id = id,
                   .events = 0,
                   .allEvents = std::stoi(counts.substr(counts.find(',') + 1)) / tokensPerEvent,
                   .arrivedAt = std::chrono::steady_clock::now() };
    {
        const std::lock_guard lock(m_mutex);
        m_running[id] = { .promptTokens = std::stoi(counts), .events = 0 };
    }
    response.set("X-Request-Id", id);
    response.set("X-Server-Signature", "s." + m_id);
    response.setContentType("text/event-stream");
    response.setChunkedTransferEncoding(true);
    std::this_thread::sleep_for(m_speed.firstEvent);
    try {
        std::ostream &out = response.send();
        while (out && run.events < run.allEvents) {
            out << eventText(run.events + 1) << std::flush;
            run.events += out ? 1 : 0;
            {
                const std::lock_guard lock(m_mutex);
                m_running[id].events = run.events;
            }
            std::this_thread::sleep_for(m_speed.eventInterval);
        }
    } catch (const Poco::Exception &) {
        run.isBrokenOff = true;
    }
    run.isBrokenOff = run.isBrokenOff || run.events < run.allEvents;
    const std::lock_guard lock(m_mutex);
    m_running.erase(id);
    m_runs.push_back(run);
}

} // namespace zinniadock::review
