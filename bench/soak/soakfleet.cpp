#include "soakfleet.h"

#include <csignal>
#include <fstream>

#include <fcntl.h>
#include <nlohmann/json.hpp>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

extern char **environ; // NOLINT: the standard's own name

namespace zinniadock::soak
{

namespace
{

using Json = nlohmann::json;

constexpr std::size_t shopCount = 2;
constexpr std::chrono::milliseconds eventInterval{ 20 };

/// Ports of the daemons, below those that the system gives out.
constexpr std::uint16_t callerPort = 18740;
constexpr std::uint16_t peerPort = 18741;
constexpr std::uint16_t metricsPort = 18742;
constexpr std::uint16_t readyPort = 18743;
constexpr std::uint16_t sidecarPort = 18750;

/// What an address on the loopback interface is for.
enum class Place {
    Relay = 1, ///< before an engine, and of the sidecar beside it
    Engine = 2,
    Entry = 3,
};

/// Returns an address that no other soak on this machine uses at the same time.
std::string addressOf(Place place, std::size_t index)
{
    constexpr int fleets = 250;
    return "127." + std::to_string(1 + getpid() % fleets) + "." + std::to_string(static_cast<int>(place)) + "."
        + std::to_string(index + 1);
}

std::string at(const std::string &address, std::uint16_t port)
{
    return address + ":" + std::to_string(port);
}

Json route(const std::string &prefix, const std::string &kind, const std::string &service, int timeout, int attempts)
{
    return { { "name", prefix },          { "host", "a.example" },     { "prefix", prefix }, { "kind", kind },
             { "timeoutMs", timeout },    { "targetLatencyMs", 1000 }, { "priority", 1 },    { "service", service },
             { "maxAttempts", attempts }, { "public", true } };
}

std::string configuration(std::uint64_t version)
{
    const Json engine{ { "slots", 16 },          { "kvCapacityTokens", 100000 },
                       { "kvTokenBytes", 1000 }, { "linkMbps", 24000.0 },
                       { "moves", true },        { "stride", 4 },
                       { "holdMs", 2000 } };
    return Json{
        { "version", version },
        { "routes",
          { route("/stream/", "streaming", "engines", 10000, 1), route("/order/", "non_idempotent", "shop", 2000, 1),
            route("/read/", "idempotent", "shop", 2000, 2) } },
        { "services",
          { { { "name", "engines" }, { "healthPath", "/h" }, { "maxConns", 100 }, { "engine", engine } },
            { { "name", "shop" }, { "healthPath", "/h" }, { "maxConns", 100 } } } },
        { "limits",
          { { "maxHeaderBytes", 4096 },
            { "maxBodyBytes", 20000 },
            { "headerTimeoutMs", 1000 },
            { "idleTimeoutMs", 5000 } } }
    }.dump();
}

} // namespace

Daemon::Daemon(std::string program, std::string file)
    : m_program(std::move(program))
    , m_file(std::move(file))
{
}

Daemon::~Daemon()
{
    kill();
}

void Daemon::writeSettings(const std::string &text)
{
    std::ofstream(m_file + ".ini") << text;
}

void Daemon::start()
{
    ++m_starts;
    const std::string settings = m_file + ".ini";
    const std::string log = m_file + ".log";
    posix_spawn_file_actions_t actions{};
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_addopen(&actions, 1, log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    std::vector<std::string> words{ m_program, "--settings", settings };
    std::vector<char *> arguments;
    for (std::string &word : words) {
        arguments.push_back(word.data());
    }
    arguments.push_back(nullptr);
    if (posix_spawn(&m_pid, m_program.c_str(), &actions, nullptr, arguments.data(), environ) != 0) {
        m_pid = 0;
    }
    posix_spawn_file_actions_destroy(&actions);
}

void Daemon::signal(int number) const
{
    if (m_pid > 0) {
        ::kill(m_pid, number);
    }
}

void Daemon::kill()
{
    if (m_pid > 0) {
        ::kill(m_pid, SIGKILL);
        waitpid(m_pid, nullptr, 0);
        m_pid = 0;
    }
}

std::optional<int> Daemon::ended()
{
    int status = 0;
    if (m_pid <= 0 || waitpid(m_pid, &status, WNOHANG) != m_pid) {
        return std::nullopt;
    }
    m_pid = 0;
    return WIFEXITED(status) ? WEXITSTATUS(status) : 128 + WTERMSIG(status);
}

bool Daemon::runs() const
{
    return m_pid > 0;
}

std::string Daemon::life() const
{
    return m_file.substr(m_file.rfind('/') + 1) + " life " + std::to_string(m_starts);
}

SoakFleet::SoakFleet(std::string program, std::string directory, std::size_t entryCount, std::size_t engineCount)
    : engines(engineCount)
    , entries(entryCount)
    , m_program(std::move(program))
    , m_directory(std::move(directory))
{
    changeConfiguration();
    for (std::size_t i = 0; i < shopCount; ++i) {
        const std::string id = "shop-" + std::to_string(i);
        shops.push_back(std::make_unique<standin::PlatformServer>(id));
        store.put("servers/" + id, shops.back()->record("shop"));
    }
    for (std::size_t i = 0; i < entryCount; ++i) {
        Entry &entry = entries[i];
        entry.storeRelay = std::make_unique<standin::LinkRelay>(
            standin::LinkRelaySettings{ .server = "127.0.0.1:" + std::to_string(store.port()) });
        entry.address = addressOf(Place::Entry, i);
        entry.port = callerPort;
        entry.metricsPort = metricsPort;
        entry.daemon = std::make_unique<Daemon>(m_program, m_directory + "/entry-" + std::to_string(i));
    }
    for (std::size_t i = 0; i < entryCount; ++i) {
        writeEntrySettings(i);
        entries[i].daemon->start();
    }
    for (std::size_t i = 0; i < engineCount; ++i) {
        startEngine(i);
    }
}

void SoakFleet::startEngine(std::size_t index)
{
    Engine &engine = engines[index];
    engine.id = "engine-" + std::to_string(++m_incarnations);
    engine.server = std::make_unique<standin::PlatformServer>(engine.id, addressOf(Place::Engine, index));
    engine.server->setEventInterval(eventInterval);
    engine.relay = std::make_unique<standin::LinkRelay>(
        standin::LinkRelaySettings{ .server = engine.server->endpoint(), .address = addressOf(Place::Relay, index) });
    engine.sidecar = std::make_unique<Daemon>(m_program, m_directory + "/sidecar-" + engine.id);
    const std::string address = addressOf(Place::Relay, index);
    engine.sidecar->writeSettings("[daemon]\nrole = sidecar\ninterface = forwarding\ninstance = " + engine.id
                                  + "\ndata_centre = north\nadmin = " + address + ":0\n[sidecar]\nserver = " + engine.id
                                  + "\nkind = engine\nlisten = " + address + ":" + std::to_string(sidecarPort)
                                  + "\nbackend = " + engine.server->endpoint()
                                  + "\n[forwarding]\npool = engines\nsidecar_port = " + std::to_string(sidecarPort)
                                  + "\nseeds = " + at(entries[0].address, peerPort) + "\n");
    engine.sidecar->start();
    Json record = Json::parse(engine.server->record("engines"));
    record["address"] = address + ":" + std::to_string(engine.relay->port());
    store.put("servers/" + engine.id, record.dump());
}

void SoakFleet::endEngine(std::size_t index, SoakChecker &checker)
{
    Engine &engine = engines[index];
    if (engine.server) {
        engine.relay.reset();
        handOver(*engine.server, checker);
        engine.server.reset();
    }
}

void SoakFleet::handOver(standin::PlatformServer &server, SoakChecker &checker)
{
    server.stop();
    for (const standin::ReceivedRequest &seen : server.startedRequests()) {
        checker.add(SeenRun{
            .id = seen.fields.at("x-request-id"), .body = seen.body, .continues = seen.fields.count("kv-from") > 0 });
    }
}

void SoakFleet::writeEntrySettings(std::size_t index)
{
    const Entry &entry = entries[index];
    std::string seeds;
    for (const Entry &other : entries) {
        seeds += (seeds.empty() ? "" : ", ") + at(other.address, peerPort);
    }
    entry.daemon->writeSettings(
        "[daemon]\nrole = entry\ninterface = forwarding\ninstance = entry-" + std::to_string(index)
        + "\ndata_centre = north\nadmin = " + at(entry.address, metricsPort) + "\n[store]\nendpoint = "
        + at("127.0.0.1", entry.storeRelay->port()) + "\n[entry]\nlisten = " + at(entry.address, callerPort)
        + "\nlame_duck_ms = 500\n[forwarding]\nready = " + at(entry.address, readyPort) + "\npeer = "
        + at(entry.address, peerPort) + "\nseeds = " + seeds + "\nsidecar_port = " + std::to_string(sidecarPort)
        + "\nretry_slack = " + std::to_string(100 + ++m_settingsWritten) + "\n");
}

void SoakFleet::changeConfiguration()
{
    store.put("op/config", configuration(++version));
}

void SoakFleet::finish(SoakChecker &checker)
{
    for (Entry &entry : entries) {
        entry.daemon->signal(SIGCONT);
        entry.daemon->kill();
    }
    for (std::size_t i = 0; i < engines.size(); ++i) {
        engines[i].sidecar.reset();
        endEngine(i, checker);
    }
    for (const auto &service : shops) {
        handOver(*service, checker);
    }
}

} // namespace zinniadock::soak
