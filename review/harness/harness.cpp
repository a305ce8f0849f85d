#include "harness.h"

#include <algorithm>
#include <array>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <thread>

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

namespace zinniadock::review
{

namespace
{

using Json = nlohmann::json;

constexpr int entryRole = 3;
constexpr int serverRole = 2;

std::string endpoint(const std::string &address, std::uint16_t port)
{
    return address + ":" + std::to_string(port);
}

sockaddr_in socketAddress(const std::string &address, std::uint16_t port)
{
    sockaddr_in out{};
    out.sin_family = AF_INET;
    out.sin_port = htons(port);
    inet_pton(AF_INET, address.c_str(), &out.sin_addr);
    return out;
}

int connectTo(const std::string &address, std::uint16_t port)
{
    const int number = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const sockaddr_in target = socketAddress(address, port);
    if (::connect(number, reinterpret_cast<const sockaddr *>(&target), sizeof(target)) != 0) {
        ::close(number);
        return -1;
    }
    return number;
}

std::string lowerCase(std::string text)
{
    std::transform(text.begin(), text.end(), text.begin(), [](unsigned char c) {
        return static_cast<char>(std::tolower(c));
    });
    return text;
}

Json routeJson(const std::string &prefix, const std::string &kind, const std::string &service, int timeoutMs,
               int targetLatencyMs, int maxAttempts)
{
    return { { "name", prefix }, { "host", "a.example" },    { "prefix", prefix },
             { "kind", kind },   { "timeoutMs", timeoutMs }, { "targetLatencyMs", targetLatencyMs },
             { "priority", 1 },  { "service", service },     { "maxAttempts", maxAttempts },
             { "public", true }, { "gapAimMs", 180 } };
}

bool isHexadecimal(const std::string &text)
{
    return !text.empty() && std::all_of(text.begin(), text.end(), [](unsigned char c) {
        return std::isxdigit(c) != 0;
    });
}

} // namespace

bool hasTrouble()
{
    const char *value = std::getenv("TROUBLE"); // NOLINT(concurrency-mt-unsafe): nothing changes the environment
    return !value || std::string(value) != "0";
}

Record::Record(const std::string &file)
    : m_file(file)
{
}

void Record::line(const std::string &text)
{
    const auto elapsed = std::chrono::duration_cast<std::chrono::milliseconds>(Clock::now() - m_start);
    const std::lock_guard lock(m_mutex);
    m_file << elapsed.count() << " ms  " << text << std::endl;
}

Daemon::Daemon(std::string program, std::string pathPrefix, const std::string &settings)
    : m_program(std::move(program))
    , m_pathPrefix(std::move(pathPrefix))
{
    std::ofstream(m_pathPrefix + ".ini") << settings;
}

Daemon::~Daemon()
{
    kill();
}

void Daemon::start()
{
    const std::string settings = m_pathPrefix + ".ini";
    const std::string log = m_pathPrefix + ".log";
    std::vector<std::string> texts{ m_program, "--settings", settings };
    std::vector<char *> arguments;
    for (std::string &text : texts) {
        arguments.push_back(text.data());
    }
    arguments.push_back(nullptr);
    m_pid = fork();
    if (m_pid == 0) {
        prctl(PR_SET_PDEATHSIG, SIGKILL); // ends with this process
        dup2(::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644), STDOUT_FILENO);
        execv(m_program.c_str(), arguments.data());
        _exit(127);
    }
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

bool Daemon::isRunning()
{
    if (m_pid > 0 && waitpid(m_pid, nullptr, WNOHANG) == m_pid) {
        m_pid = 0;
    }
    return m_pid > 0;
}

std::size_t Daemon::residentKilobytes() const
{
    std::ifstream status("/proc/" + std::to_string(m_pid) + "/status");
    const std::string name = "VmRSS:";
    for (std::string line; std::getline(status, line);) {
        if (line.rfind(name, 0) == 0) {
            return std::stoul(line.substr(name.size()));
        }
    }
    return 0;
}

Deployment::Deployment(std::string program)
    : m_program(std::move(program))
{
    reserveRange();
    std::string pattern = "/tmp/zinniadock-review-XXXXXX";
    m_directory = mkdtemp(pattern.data());
    m_heartbeats = std::thread([this] {
        sendHeartbeats();
    });
}

// Keeps the logs if KEEP_LOGS is set.
Deployment::~Deployment()
{
    m_isStopping = true;
    m_heartbeats.join();
    ::close(m_lock);
    entries.clear();
    engines.clear();
    if (!std::getenv("KEEP_LOGS")) { // NOLINT(concurrency-mt-unsafe): nothing changes the environment
        std::error_code ignored;
        std::filesystem::remove_all(m_directory, ignored);
    }
}

// Keeps a listener in the range of addresses, so that no other case that runs at the same time uses it.
void Deployment::reserveRange()
{
    constexpr int rangeCount = 250;
    constexpr int lockRole = 1;
    m_lock = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    for (int i = 0; i < rangeCount; ++i) {
        m_range = 1 + (getpid() + i) % rangeCount;
        const sockaddr_in own = socketAddress(address(lockRole, 1), callerPort);
        if (::bind(m_lock, reinterpret_cast<const sockaddr *>(&own), sizeof(own)) == 0) {
            return;
        }
    }
}

std::string Deployment::address(int role, std::size_t index) const
{
    return "127." + std::to_string(m_range) + "." + std::to_string(role) + "." + std::to_string(index);
}

std::string Deployment::newServerAddress()
{
    return address(serverRole, ++m_serverAddresses);
}

std::string Deployment::storeEndpoint() const
{
    return endpoint("127.0.0.1", store.port());
}

void Deployment::publishConfiguration(const std::string &orderService)
{
    const Json engine{ { "slots", 24 },
                       { "kvCapacityTokens", 34319 },
                       { "kvTokenBytes", 163840 },
                       { "linkMbps", 24000.0 },
                       { "moves", true },
                       { "stride", 4 },
                       { "holdMs", 2000 } };
    store.put("op/config",
              Json{ { "version", ++m_version },
                    { "routes",
                      { routeJson("/stream/", "streaming", "engines", 39000, 1800, 1),
                        routeJson("/order/", "non_idempotent", orderService, 800, 150, 1),
                        routeJson("/read/", "idempotent", "shop", 800, 150, 2) } },
                    { "services",
                      { { { "name", "engines" }, { "healthPath", "/h" }, { "maxConns", 252 }, { "engine", engine } },
                        { { "name", "shop" }, { "healthPath", "/h" }, { "maxConns", 110 } },
                        { { "name", "depot" }, { "healthPath", "/h" }, { "maxConns", 110 } } } },
                    { "limits",
                      { { "maxHeaderBytes", 16384 },
                        { "maxBodyBytes", 4194304 },
                        { "headerTimeoutMs", 3000 },
                        { "idleTimeoutMs", 15000 } } } }
                  .dump());
}

Entry &Deployment::startEntry(const std::string &storeEndpointOfEntry)
{
    auto entry = std::make_unique<Entry>();
    const std::string name = "entry-" + std::to_string(entries.size());
    entry->address = address(entryRole, entries.size() + 1);
    const std::string text = "[daemon]\nrole = entry\ninterface = forwarding\ninstance = " + name
        + "\ndata_centre = north\nadmin = " + endpoint(entry->address, metricsPort)
        + "\n[store]\nendpoint = " + (storeEndpointOfEntry.empty() ? storeEndpoint() : storeEndpointOfEntry)
        + "\n[entry]\nlisten = " + endpoint(entry->address, callerPort)
        + "\nlame_duck_ms = 3300\n[forwarding]\nready = " + endpoint(entry->address, readyPort)
        + "\npeer = " + endpoint(entry->address, peerPort) + "\nseeds = " + endpoint(address(entryRole, 1), peerPort)
        + "\nsidecar_port = " + std::to_string(sidecarPort)
        + "\nretry_ratio = 0.2\nretry_slack = 56\nretry_window_s = 10\ndrain_within_ms = 2000\ncapacity = 0.19"
          "\nstop_within_s = 8\n";
    entry->daemon = std::make_unique<Daemon>(m_program, m_directory + "/" + name, text);
    entry->daemon->start();
    entries.push_back(std::move(entry));
    return *entries.back();
}

Engine &Deployment::startEngine(const std::string &id)
{
    auto engine = std::make_unique<Engine>();
    engine->server = std::make_unique<standin::PlatformServer>(id, newServerAddress());
    engine->sidecar = startSidecar(id, engine->server->endpoint());
    engines.push_back(std::move(engine));
    return *engines.back();
}

std::unique_ptr<Daemon> Deployment::startSidecar(const std::string &id, const std::string &backend)
{
    const std::string address = backend.substr(0, backend.find(':'));
    const std::string text = "[daemon]\nrole = sidecar\ninterface = forwarding\ninstance = " + id
        + "\ndata_centre = north\nadmin = " + endpoint(address, metricsPort) + "\n[sidecar]\nserver = " + id
        + "\nkind = engine\nlisten = " + endpoint(address, sidecarPort) + "\nbackend = " + backend
        + "\n[forwarding]\nsidecar_port = " + std::to_string(sidecarPort)
        + "\nstop_within_s = 8\npool = engines\nseeds = " + endpoint(this->address(entryRole, 1), peerPort) + "\n";
    auto sidecar = std::make_unique<Daemon>(m_program, m_directory + "/sidecar-" + id, text);
    sidecar->start();
    return sidecar;
}

void Deployment::list(const std::string &id, const std::string &record)
{
    const std::lock_guard lock(m_mutex);
    m_records[id] = Json::parse(record);
    store.put("servers/" + id, record);
}

void Deployment::unlist(const std::string &id)
{
    const std::lock_guard lock(m_mutex);
    m_records.erase(id);
    store.remove("servers/" + id);
}

void Deployment::sendHeartbeats()
{
    constexpr std::chrono::milliseconds heartbeatInterval{ 1200 };
    constexpr std::chrono::milliseconds pollInterval{ 20 };
    auto next = Clock::now() + heartbeatInterval;
    while (!m_isStopping) {
        std::this_thread::sleep_for(pollInterval);
        if (Clock::now() < next) {
            continue;
        }
        next += heartbeatInterval;
        const std::lock_guard lock(m_mutex);
        for (auto &[id, record] : m_records) {
            record["seq"] = record.at("seq").get<int>() + 1;
            store.put("servers/" + id, record.dump());
        }
    }
}

bool Deployment::waitUntilReady(const Entry &entry, std::chrono::milliseconds timeout)
{
    constexpr std::chrono::milliseconds pollInterval{ 50 };
    const auto until = Clock::now() + timeout;
    while (Clock::now() < until) {
        Caller caller(entry.address, readyPort);
        caller.send("GET /-/readiness HTTP/1.1\r\nHost: ready\r\n\r\n");
        if (caller.isConnected() && readAnswer(caller, until).status == 200) {
            return true;
        }
        std::this_thread::sleep_for(pollInterval);
    }
    return false;
}

Caller::Caller(const std::string &address, std::uint16_t port)
    : m_socket(connectTo(address, port))
{
}

Caller::~Caller()
{
    if (m_socket >= 0) {
        ::close(m_socket);
    }
}

bool Caller::isConnected() const
{
    return m_socket >= 0;
}

bool Caller::send(const std::string &bytes) const
{
    for (std::size_t sent = 0; sent < bytes.size();) {
        const ssize_t count = ::send(m_socket, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
        if (count <= 0) {
            return false;
        }
        sent += static_cast<std::size_t>(count);
    }
    return true;
}

bool Caller::receive(Clock::time_point until)
{
    const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(until - Clock::now()).count();
    pollfd wait{ .fd = m_socket, .events = POLLIN, .revents = 0 };
    if (left <= 0 || ::poll(&wait, 1, static_cast<int>(left)) <= 0) {
        return false;
    }
    std::array<char, 16384> data{};
    const ssize_t count = ::recv(m_socket, data.data(), data.size(), 0);
    if (count <= 0) {
        return false;
    }
    m_buffer.append(data.data(), static_cast<std::size_t>(count));
    return true;
}

std::optional<std::string> Caller::readLine(Clock::time_point until)
{
    std::size_t end = m_buffer.find("\r\n");
    while (end == std::string::npos) {
        if (!receive(until)) {
            return std::nullopt;
        }
        end = m_buffer.find("\r\n");
    }
    const std::string line = m_buffer.substr(0, end);
    m_buffer.erase(0, end + 2);
    return line;
}

std::optional<std::string> Caller::readBytes(std::size_t count, Clock::time_point until)
{
    while (m_buffer.size() < count) {
        if (!receive(until)) {
            return std::nullopt;
        }
    }
    const std::string bytes = m_buffer.substr(0, count);
    m_buffer.erase(0, count);
    return bytes;
}

namespace
{

// Returns whether the body in chunks is complete.
bool readChunks(Caller &caller, Clock::time_point until, Answer &answer)
{
    constexpr int hexadecimal = 16;
    while (const auto line = caller.readLine(until)) {
        const std::string size = line->substr(0, line->find(';'));
        if (!isHexadecimal(size)) {
            answer.malformed = *line;
            return false;
        }
        const std::size_t count = std::stoul(size, nullptr, hexadecimal);
        const auto piece = caller.readBytes(count + 2, until);
        if (!piece) {
            return false;
        }
        answer.body += piece->substr(0, count);
        if (count == 0) {
            return true;
        }
    }
    return false;
}

} // namespace

Answer readAnswer(Caller &caller, Clock::time_point until)
{
    Answer answer;
    const auto statusLine = caller.readLine(until);
    if (!statusLine) {
        answer.isClosed = Clock::now() < until;
        return answer;
    }
    if (statusLine->rfind("HTTP/1.1 ", 0) != 0) {
        answer.malformed = *statusLine;
        return answer;
    }
    answer.status = std::stoi(statusLine->substr(statusLine->find(' ') + 1));
    for (auto line = caller.readLine(until); line && !line->empty(); line = caller.readLine(until)) {
        const std::size_t colon = line->find(':');
        const std::size_t value = line->find_first_not_of(' ', colon + 1);
        answer.fields[lowerCase(line->substr(0, colon))] = value == std::string::npos ? "" : line->substr(value);
    }
    if (answer.fields.count("transfer-encoding") > 0) {
        answer.isComplete = readChunks(caller, until, answer);
    } else {
        const auto length = answer.fields.find("content-length");
        const auto body = caller.readBytes(length == answer.fields.end() ? 0 : std::stoul(length->second), until);
        answer.isComplete = body.has_value();
        answer.body = body.value_or("");
    }
    answer.isClosed = !answer.isComplete && answer.malformed.empty() && Clock::now() < until;
    return answer;
}

std::string requestText(const std::string &method, const std::string &target, const std::string &id,
                        const std::string &fields, const std::string &body)
{
    return method + " " + target + " HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: " + id + "\r\n" + fields
        + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

} // namespace zinniadock::review
