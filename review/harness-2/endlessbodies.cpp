// Lets some engines send bytes without end in the bodies of their responses, and checks that the entry before them
// stays within the memory of its machine. A process that exceeds it is killed, as on the users' machines.

#include <array>
#include <atomic>
#include <cstdio>
#include <map>
#include <memory>
#include <random>
#include <thread>
#include <vector>

#include <nlohmann/json.hpp>
#include <platformstandin.h>

#include "daemon.h"
#include "httpclient.h"
#include "httpserver.h"
#include "record.h"

namespace zinniadock::review
{

namespace
{

using Clock = std::chrono::steady_clock;
using Json = nlohmann::json;
using std::chrono::milliseconds;

constexpr std::size_t engineCount = 10;

/// Engines that send bytes without end. The largest share of servers with spoiled responses in the site file is 0.6.
constexpr std::size_t brokenCount = 6;

/// The sheet has 12.92 generations a second before 14 engines.
constexpr double generationsPerSecond = 0.92 * engineCount;

/// Rate of each endless response, and the time between two pieces of it.
constexpr std::size_t endlessBytesPerSecond = 1400000;
constexpr milliseconds pieceInterval{ 20 };

constexpr milliseconds troubleTime{ 20000 };
constexpr std::size_t clientCount = 160;

/// Figures of an engine in the sheet.
constexpr std::size_t slots = 24;
constexpr std::size_t memoryTokens = 34319;
constexpr std::size_t promptTokensPerMillisecond = 14;
constexpr milliseconds eventInterval{ 10 };

/// Clients leave a stream after a gap of this time: four times the target latency.
constexpr milliseconds patience{ 7200 };

/// A kind of generation in the sheet.
struct Kind
{
    std::string path;
    std::size_t promptTokens = 0;
    std::size_t maxOutputTokens = 0;
    std::size_t events = 0;
    std::string deadline;
};

/// A model engine with its own sidecar.
class Engine
{
public:
    Engine(std::string id, const std::string &address, Record &record)
        : m_id(std::move(id))
        , m_address(address)
        , m_record(record)
        , m_server(address, [this](ServerConnection &connection, const Request &request) {
            return handle(connection, request);
        })
    {
    }

    const std::string &id() const
    {
        return m_id;
    }

    std::string endpoint() const
    {
        return endpointOf(m_address, m_server.port());
    }

    std::string record() const
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

    void setBroken(bool isBroken)
    {
        m_isBroken = isBroken;
    }

    std::uint64_t endlessBytes() const
    {
        return m_endlessBytes;
    }

private:
    static constexpr std::int64_t startTimeMs = 1000;

    bool handle(ServerConnection &connection, const Request &request)
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

    std::string report()
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

    bool run(ServerConnection &connection, const Request &request)
    {
        const std::string id = request.field("x-request-id");
        const std::string echo = "X-Request-Id: " + id + "\r\n";
        if (request.field("x-expected-instance") != m_id) {
            return connection.respond(421, echo, "");
        }
        const std::size_t promptTokens = std::stoul(request.field("x-token-count"));
        {
            const std::lock_guard lock(m_mutex);
            if (m_running.size() >= slots) {
                return connection.respond(503, "X-Not-Executed: 1\r\n", "");
            }
            m_running[id] = promptTokens;
        }
        m_record.write(m_id + " runs " + id + (m_isBroken ? ", endless" : ""));
        const bool isKept = m_isBroken ? sendEndlessly(connection, echo) : stream(connection, request, echo);
        const std::lock_guard lock(m_mutex);
        m_running.erase(id);
        return isKept;
    }

    /// Sends bytes that are no answer, until the caller closes the connection.
    bool sendEndlessly(ServerConnection &connection, const std::string &echo)
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

    bool stream(ServerConnection &connection, const Request &request, const std::string &echo)
    {
        std::this_thread::sleep_for(
            milliseconds(std::stoul(request.field("x-token-count")) / promptTokensPerMillisecond));
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

    const std::string m_id;
    const std::string m_address;
    Record &m_record;
    std::atomic<bool> m_isBroken{ false };
    std::atomic<std::uint64_t> m_reservations{ 0 };
    std::atomic<std::uint64_t> m_endlessBytes{ 0 };
    std::mutex m_mutex;
    std::map<std::string, std::size_t> m_running; ///< prompt tokens by request
    HttpServer m_server;
};

Json routeJson(const std::string &name, int timeoutMs, int targetMs, int priority)
{
    return { { "name", name },        { "host", "obra.example" }, { "prefix", "/" + name + "/" },
             { "kind", "streaming" }, { "timeoutMs", timeoutMs }, { "targetLatencyMs", targetMs },
             { "gapAimMs", 180 },     { "priority", priority },   { "service", "brief-models" },
             { "maxAttempts", 1 },    { "sticky", true },         { "public", true } };
}

std::string configurationText()
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

class EndlessBodiesCase
{
public:
    EndlessBodiesCase(const std::string &program, const std::string &directory, const std::string &recordPath,
                      bool hasTrouble)
        : m_record(recordPath)
        , m_hasTrouble(hasTrouble)
    {
        m_store.put("op/config", configurationText());
        const std::string seeds = endpointOf(addressOf(4, 0), peerPort);
        for (std::size_t i = 0; i < engineCount; ++i) {
            const std::string name = "engine-" + std::to_string(i);
            const std::string address = addressOf(5, i);
            m_engines.push_back(std::make_unique<Engine>(name, address, m_record));
            m_sidecars.push_back(std::make_unique<Daemon>(
                program, directory + "/sidecar-" + std::to_string(i),
                sidecarSettings(name, address, m_engines.back()->endpoint(), "brief-models", seeds)));
            m_sidecars.back()->start();
            m_store.put("servers/" + name, m_engines.back()->record());
        }
        m_entry = std::make_unique<Daemon>(
            program, directory + "/entry",
            entrySettings("entry-0", addressOf(4, 0), endpointOf("127.0.0.1", m_store.port()), seeds));
        m_entry->start();
    }

    int run()
    {
        std::this_thread::sleep_for(std::chrono::seconds(3));
        const Answer ready = sendRequest(addressOf(4, 0), readyPort, "GET /-/readiness HTTP/1.1\r\nHost: ready\r\n\r\n",
                                         milliseconds(500));
        if (ready.status != 200) {
            return 2;
        }
        std::vector<std::thread> clients;
        for (std::size_t i = 0; i < clientCount; ++i) {
            clients.emplace_back([this, i] {
                runClient(i);
            });
        }
        watch(std::chrono::seconds(5));
        for (std::size_t i = 0; i < brokenCount; ++i) {
            m_engines[i]->setBroken(m_hasTrouble);
        }
        m_record.report(m_hasTrouble ? "6 of 10 engines send bytes without end" : "no trouble");
        watch(troubleTime);
        m_hasEnded = true;
        const bool hasSurvived = m_entry->isRunning();
        m_entry->kill();
        for (std::thread &client : clients) {
            client.join();
        }
        m_sidecars.clear();
        return report(hasSurvived);
    }

private:
    /// Watches the memory of the entry for a time, as the machine does.
    void watch(milliseconds time)
    {
        constexpr milliseconds interval{ 10 };
        const auto end = Clock::now() + time;
        auto nextLine = Clock::now();
        while (Clock::now() < end && m_entry->isRunning()) {
            const double memory = m_entry->residentMb();
            m_maxMemory = std::max(m_maxMemory, memory);
            if (Clock::now() >= nextLine) {
                nextLine += std::chrono::seconds(1);
                m_record.write("memory of the entry: " + std::to_string(memory) + " MB");
            }
            if (memory > entryMemoryMb) {
                m_record.report("the entry has " + std::to_string(memory) + " MB and is killed");
                m_entry->kill();
            }
            std::this_thread::sleep_for(interval);
        }
    }

    void runClient(std::size_t client)
    {
        const std::vector<Kind> kinds{ { "/fitting-brief/", 3079, 2204, 234, "39000" },
                                       { "/clause-check/", 2550, 48, 4, "6000" } };
        std::mt19937_64 random(client + 1);
        std::exponential_distribution<> pause(generationsPerSecond / clientCount);
        std::discrete_distribution<std::size_t> choice{ 5.38, 7.54 };
        for (int number = 1; !m_hasEnded; ++number) {
            const auto sendAt = Clock::now() + std::chrono::duration<double>(pause(random));
            while (!m_hasEnded && Clock::now() < sendAt) {
                std::this_thread::sleep_for(milliseconds(5));
            }
            if (m_hasEnded) {
                break;
            }
            const Kind &kind = kinds[choice(random)];
            const std::string id = "c" + std::to_string(client) + "-" + std::to_string(number);
            const std::string body(3000, 'a');
            const Answer answer = sendRequest(
                addressOf(4, 0), callerPort,
                "POST " + kind.path + "new HTTP/1.1\r\nHost: obra.example\r\nX-Request-Id: " + id
                    + "\r\nX-Model: m\r\nX-Token-Count: " + std::to_string(kind.promptTokens) + ","
                    + std::to_string(kind.maxOutputTokens) + "\r\nX-Prompt-Prefix: " + std::to_string(random() % 100000)
                    + ":" + std::to_string(kind.promptTokens) + "\r\nX-Deadline-Ms: " + kind.deadline
                    + "\r\nX-Test-Events: " + std::to_string(kind.events)
                    + "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body,
                patience);
            const std::string end = answer.isComplete ? std::to_string(answer.status)
                : !answer.isConnected                 ? "no connection"
                : answer.hasTimedOut                  ? "given up"
                                                      : "cut";
            m_record.write("request " + id + " " + kind.path + ": " + end);
            const std::lock_guard lock(m_mutex);
            ++m_ends[end];
        }
    }

    int report(bool hasSurvived)
    {
        std::uint64_t endlessBytes = 0;
        for (const auto &engine : m_engines) {
            endlessBytes += engine->endlessBytes();
        }
        for (const auto &[end, count] : m_ends) {
            m_record.report("requests " + end + ": " + std::to_string(count));
        }
        m_record.report("endless bytes: " + std::to_string(endlessBytes));
        m_record.report("most memory of the entry: " + std::to_string(m_maxMemory) + " of "
                        + std::to_string(entryMemoryMb) + " MB");
        m_record.report(hasSurvived ? "the entry kept running" : "the entry ended");
        return hasSurvived ? 0 : 1;
    }

    Record m_record;
    const bool m_hasTrouble;
    standin::PlatformStore m_store;
    std::vector<std::unique_ptr<Engine>> m_engines;
    std::vector<std::unique_ptr<Daemon>> m_sidecars;
    std::unique_ptr<Daemon> m_entry;
    std::atomic<bool> m_hasEnded{ false };
    double m_maxMemory = 0;
    std::mutex m_mutex;
    std::map<std::string, std::size_t> m_ends;
};

} // namespace

} // namespace zinniadock::review

int main(int argc, char **argv)
{
    if (argc != 5) {
        return 2;
    }
    zinniadock::review::EndlessBodiesCase play(argv[1], argv[2], argv[3], std::string(argv[4]) != "0");
    return play.run();
}
