#include "daemon.h"

#include <csignal>
#include <fstream>
#include <vector>

#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

extern char **environ; // NOLINT: POSIX defines this name

namespace zinniadock::review
{

std::string addressOf(int role, std::size_t index)
{
    constexpr int addressRangeCount = 250;
    return "127." + std::to_string(1 + getpid() % addressRangeCount) + "." + std::to_string(role) + "."
        + std::to_string(index + 1);
}

std::string endpointOf(const std::string &address, std::uint16_t port)
{
    return address + ":" + std::to_string(port);
}

std::string entrySettings(const std::string &name, const std::string &address, const std::string &store,
                          const std::string &seeds)
{
    return "[daemon]\nrole = entry\ninterface = forwarding\ninstance = " + name
        + "\ndata_centre = campina\nadmin = " + endpointOf(address, metricsPort)
        + "\nmemory_mb = " + std::to_string(entryMemoryMb) + "\nmax_descriptors = 4100\n\n[store]\nendpoint = " + store
        + "\n\n[entry]\nlisten = " + endpointOf(address, callerPort) + "\nlame_duck_ms = 3300\n\n[forwarding]\nready = "
        + endpointOf(address, readyPort) + "\npeer = " + endpointOf(address, peerPort) + "\nseeds = " + seeds
        + "\nsidecar_port = " + std::to_string(sidecarPort)
        + "\nretry_ratio = 0.2\nretry_slack = 56\nretry_window_s = 10\ndrain_within_ms = 2000\n"
          "configuration_within_ms = 2000\ncapacity = 0.19\nstop_within_s = 8\n";
}

std::string sidecarSettings(const std::string &name, const std::string &address, const std::string &engine,
                            const std::string &pool, const std::string &seeds)
{
    return "[daemon]\nrole = sidecar\ninterface = forwarding\ninstance = " + name + "\ndata_centre = campina\nadmin = "
        + endpointOf(address, metricsPort) + "\nmemory_mb = 192\nmax_descriptors = 4096\n\n[sidecar]\nserver = " + name
        + "\nkind = engine\nlisten = " + endpointOf(address, sidecarPort) + "\nbackend = " + engine
        + "\n\n[forwarding]\nsidecar_port = " + std::to_string(sidecarPort) + "\nstop_within_s = 8\npool = " + pool
        + "\nseeds = " + seeds + "\n";
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
    const std::string settingsFile = m_pathPrefix + ".ini";
    const std::string logFile = m_pathPrefix + ".log";
    posix_spawn_file_actions_t actions{};
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_addopen(&actions, 1, logFile.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    std::vector<std::string> texts{ m_program, "--settings", settingsFile };
    std::vector<char *> arguments;
    for (std::string &text : texts) {
        arguments.push_back(text.data());
    }
    arguments.push_back(nullptr);
    m_exitCode.reset();
    if (posix_spawn(&m_pid, m_program.c_str(), &actions, nullptr, arguments.data(), environ) != 0) {
        m_pid = 0;
    }
    posix_spawn_file_actions_destroy(&actions);
}

void Daemon::sendSignal(int number) const
{
    if (m_pid > 0) {
        ::kill(m_pid, number);
    }
}

void Daemon::kill()
{
    if (isRunning()) {
        ::kill(m_pid, SIGKILL);
        waitpid(m_pid, nullptr, 0);
        m_pid = 0;
        m_exitCode = 128 + SIGKILL;
    }
}

bool Daemon::isRunning()
{
    int status = 0;
    if (m_pid > 0 && waitpid(m_pid, &status, WNOHANG) == m_pid) {
        m_pid = 0;
        m_exitCode = WIFEXITED(status) ? WEXITSTATUS(status) : 128 + WTERMSIG(status);
    }
    return m_pid > 0;
}

std::optional<int> Daemon::exitCode() const
{
    return m_exitCode;
}

// Counts what the process has allocated, without the pages of the program and of its libraries.
double Daemon::allocatedMb() const
{
    constexpr double kilobytesPerMb = 1024;
    const std::string name = "RssAnon:";
    std::ifstream file("/proc/" + std::to_string(m_pid) + "/status");
    std::string line;
    while (std::getline(file, line)) {
        if (line.starts_with(name)) {
            return std::stod(line.substr(name.size())) / kilobytesPerMb;
        }
    }
    return 0;
}

} // namespace zinniadock::review
