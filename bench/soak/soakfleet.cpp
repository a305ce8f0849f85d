#include "soakfleet.h"

#include <array>
#include <csignal>
#include <fstream>

#include <Poco/Exception.h>
#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/StreamCopier.h>
#include <fcntl.h>
#include <nlohmann/json.hpp>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

extern char **environ; // NOLINT: POSIX defines this name

namespace zinniadock::soak
{

namespace
{

using Json = nlohmann::json;

constexpr std::size_t shopCount = 2;
/// Times between the events of the engines, in the order of their starts. A stream of the slowest ones takes longer
/// than an entry assumes without their pace.
constexpr std::array<std::chrono::milliseconds, 4> eventIntervals{ std::chrono::milliseconds(20),
                                                                   std::chrono::milliseconds(5),
                                                                   std::chrono::milliseconds(40),
                                                                   std::chrono::milliseconds(50) };

/// Ports of the daemons, below the ephemeral port range of the system.
constexpr std::uint16_t callerPort = 18740;
constexpr std::uint16_t peerPort = 18741;
constexpr std::uint16_t metricsPort = 18742;
constexpr std::uint16_t readyPort = 18743;
constexpr std::uint16_t sidecarPort = 18750;

/// The use of a loopback address; its value is the third octet of the address.
enum class AddressRole {
    Relay = 1, ///< relay of an engine, and the sidecar of this engine
    Engine = 2,
    Entry = 3,
};

/// Returns a loopback address whose second octet depends on the process id, so that concurrent soak runs on one machine
/// use different addresses unless their process ids are equal modulo addressRangeCount.
std::string addressOf(AddressRole role, std::size_t index)
{
    constexpr int addressRangeCount = 250;
    return "127." + std::to_string(1 + getpid() % addressRangeCount) + "." + std::to_string(static_cast<int>(role))
        + "." + std::to_string(index + 1);
}

std::string endpointOf(const std::string &address, std::uint16_t port)
{
    return address + ":" + std::to_string(port);
}

Json routeJson(const std::string &prefix, const std::string &kind, const std::string &service, int timeoutMs,
               int maxAttempts)
{
    return { { "name", prefix }, { "host", "a.example" },    { "prefix", prefix },
             { "kind", kind },   { "timeoutMs", timeoutMs }, { "targetLatencyMs", 1000 },
             { "priority", 1 },  { "service", service },     { "maxAttempts", maxAttempts },
             { "public", true } };
}

std::string configurationText(std::uint64_t version)
{
    const Json engine{ { "slots", 16 },          { "kvCapacityTokens", 100000 },
                       { "kvTokenBytes", 1000 }, { "linkMbps", 24000.0 },
                       { "moves", true },        { "stride", 4 },
                       { "holdMs", 2000 } };
    return Json{
        { "version", version },
        { "routes",
          { routeJson("/stream/", "streaming", "engines", 10000, 1),
            routeJson("/order/", "non_idempotent", "shop", 2000, 1),
            routeJson("/read/", "idempotent", "shop", 2000, 2) } },
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

DaemonProcess::DaemonProcess(std::string program, std::string pathPrefix)
    : m_program(std::move(program))
    , m_pathPrefix(std::move(pathPrefix))
{
}

DaemonProcess::~DaemonProcess()
{
    kill();
}

void DaemonProcess::writeSettings(const std::string &text)
{
    std::ofstream(m_pathPrefix + ".ini") << text;
}

void DaemonProcess::start()
{
    ++m_startCount;
    const std::string settingsFile = m_pathPrefix + ".ini";
    const std::string logFile = m_pathPrefix + ".log";
    posix_spawn_file_actions_t actions{};
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_addopen(&actions, 1, logFile.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    std::vector<std::string> argumentStrings{ m_program, "--settings", settingsFile };
    std::vector<char *> arguments;
    for (std::string &argument : argumentStrings) {
        arguments.push_back(argument.data());
    }
    arguments.push_back(nullptr);
    if (posix_spawn(&m_pid, m_program.c_str(), &actions, nullptr, arguments.data(), environ) != 0) {
        m_pid = 0;
    }
    posix_spawn_file_actions_destroy(&actions);
}

void DaemonProcess::sendSignal(int number) const
{
    if (m_pid > 0) {
        ::kill(m_pid, number);
    }
}

void DaemonProcess::kill()
{
    if (m_pid > 0) {
        ::kill(m_pid, SIGKILL);
        waitpid(m_pid, nullptr, 0);
        m_pid = 0;
    }
}

std::optional<int> DaemonProcess::takeExitCode()
{
    int status = 0;
    if (m_pid <= 0 || waitpid(m_pid, &status, WNOHANG) != m_pid) {
        return std::nullopt;
    }
    m_pid = 0;
    return WIFEXITED(status) ? WEXITSTATUS(status) : 128 + WTERMSIG(status);
}

bool DaemonProcess::isRunning() const
{
    return m_pid > 0;
}

std::string DaemonProcess::incarnation() const
{
    return m_pathPrefix.substr(m_pathPrefix.rfind('/') + 1) + " incarnation " + std::to_string(m_startCount);
}

std::uint64_t reportedVersion(const Entry &entry)
{
    const std::string metric = "\nzinniadock_configuration_version ";
    try {
        Poco::Net::HTTPClientSession session(entry.address, entry.metricsPort);
        session.setTimeout(Poco::Timespan(0, 300000));
        Poco::Net::HTTPRequest request("GET", "/metrics", Poco::Net::HTTPMessage::HTTP_1_1);
        session.sendRequest(request);
        Poco::Net::HTTPResponse response;
        std::string text;
        Poco::StreamCopier::copyToString(session.receiveResponse(response), text);
        const std::size_t position = text.find(metric);
        return position == std::string::npos ? 0 : std::stoull(text.substr(position + metric.size()));
    } catch (const Poco::Exception &) {
        return 0; // the entry is stopped or suspended by a fault
    }
}

SoakFleet::SoakFleet(std::string program, std::string directory, std::size_t entryCount, std::size_t engineCount)
    : engines(engineCount)
    , entries(entryCount)
    , m_program(std::move(program))
    , m_directory(std::move(directory))
{
    publishConfiguration();
    for (std::size_t i = 0; i < shopCount; ++i) {
        const std::string id = "shop-" + std::to_string(i);
        shopServers.push_back(std::make_unique<standin::PlatformServer>(id));
        store.put("servers/" + id, shopServers.back()->record("shop"));
    }
    for (std::size_t i = 0; i < entryCount; ++i) {
        Entry &entry = entries[i];
        entry.storeAddress = std::make_unique<standin::StoreAddress>(store);
        entry.storeRelay = std::make_unique<standin::LinkRelay>(
            standin::LinkRelaySettings{ .server = "127.0.0.1:" + std::to_string(entry.storeAddress->port()) });
        entry.address = addressOf(AddressRole::Entry, i);
        entry.port = callerPort;
        entry.metricsPort = metricsPort;
        entry.daemon = std::make_unique<DaemonProcess>(m_program, m_directory + "/entry-" + std::to_string(i));
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
    engine.id = "engine-" + std::to_string(++m_engineIncarnations);
    engine.server = std::make_unique<standin::PlatformServer>(engine.id, addressOf(AddressRole::Engine, index));
    engine.server->setEventInterval(eventIntervals.at(m_engineIncarnations % eventIntervals.size()));
    engine.relay = std::make_unique<standin::LinkRelay>(standin::LinkRelaySettings{
        .server = engine.server->endpoint(), .address = addressOf(AddressRole::Relay, index) });
    engine.sidecar = std::make_unique<DaemonProcess>(m_program, m_directory + "/sidecar-" + engine.id);
    const std::string address = addressOf(AddressRole::Relay, index);
    engine.sidecar->writeSettings("[daemon]\nrole = sidecar\ninterface = forwarding\ninstance = " + engine.id
                                  + "\ndata_centre = north\nadmin = " + address + ":0\n[sidecar]\nserver = " + engine.id
                                  + "\nkind = engine\nlisten = " + address + ":" + std::to_string(sidecarPort)
                                  + "\nbackend = " + engine.server->endpoint()
                                  + "\n[forwarding]\npool = engines\nsidecar_port = " + std::to_string(sidecarPort)
                                  + "\nseeds = " + endpointOf(entries[0].address, peerPort) + "\n");
    engine.sidecar->start();
    Json record = Json::parse(engine.server->record("engines"));
    record["address"] = address + ":" + std::to_string(engine.relay->port());
    store.put("servers/" + engine.id, record.dump());
}

void SoakFleet::stopEngine(std::size_t index, SoakChecker &checker)
{
    Engine &engine = engines[index];
    if (engine.server) {
        engine.relay.reset();
        reportExecutions(*engine.server, checker);
        engine.server.reset();
    }
}

void SoakFleet::reportExecutions(standin::PlatformServer &server, SoakChecker &checker)
{
    server.stop();
    for (const standin::ReceivedRequest &request : server.startedRequests()) {
        checker.add(Execution{ .id = request.fields.at("x-request-id"),
                               .body = request.body,
                               .isContinuation = request.fields.count("kv-from") > 0,
                               .startedAt = request.startedAt });
    }
}

void SoakFleet::writeEntrySettings(std::size_t index)
{
    const Entry &entry = entries[index];
    std::string seeds;
    for (const Entry &other : entries) {
        seeds += (seeds.empty() ? "" : ", ") + endpointOf(other.address, peerPort);
    }
    entry.daemon->writeSettings(
        "[daemon]\nrole = entry\ninterface = forwarding\ninstance = entry-" + std::to_string(index)
        + "\ndata_centre = north\nadmin = " + endpointOf(entry.address, metricsPort)
        + "\n[store]\nendpoint = " + endpointOf("127.0.0.1", entry.storeRelay->port())
        + "\n[entry]\nlisten = " + endpointOf(entry.address, callerPort)
        + "\nlame_duck_ms = 500\n[forwarding]\nready = " + endpointOf(entry.address, readyPort) + "\npeer = "
        + endpointOf(entry.address, peerPort) + "\nseeds = " + seeds + "\nsidecar_port = " + std::to_string(sidecarPort)
        + "\nretry_slack = " + std::to_string(100 + ++m_settingsWriteCount) + "\n");
}

void SoakFleet::publishConfiguration()
{
    store.put("op/config", configurationText(++configurationVersion));
}

void SoakFleet::finish(SoakChecker &checker)
{
    for (Entry &entry : entries) {
        entry.daemon->sendSignal(SIGCONT);
        entry.daemon->kill();
    }
    for (std::size_t i = 0; i < engines.size(); ++i) {
        engines[i].sidecar.reset();
        stopEngine(i, checker);
    }
    for (const auto &server : shopServers) {
        reportExecutions(*server, checker);
    }
}

} // namespace zinniadock::soak
