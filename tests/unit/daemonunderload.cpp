#include "daemonunderload.h"

#include <array>
#include <cerrno>
#include <chrono>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <thread>

#include <Poco/Net/ServerSocket.h>
#include <arpa/inet.h>
#include <catch2/catch.hpp>
#include <fcntl.h>
#include <netinet/in.h>
#include <spawn.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

extern char **environ; // NOLINT: POSIX defines this name

namespace zinniadock::test
{

namespace
{

/// Returns a socket that is connected to a port of 127.0.0.1; -1 if it refuses the connection.
int connectTo(std::uint16_t port)
{
    const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    if (::connect(descriptor, reinterpret_cast<const sockaddr *>(&address), sizeof address) != 0) { // NOLINT
        ::close(descriptor);
        return -1;
    }
    return descriptor;
}

} // namespace

std::vector<std::uint16_t> freePorts(std::size_t count)
{
    std::vector<Poco::Net::ServerSocket> sockets;
    std::vector<std::uint16_t> ports;
    for (std::size_t i = 0; i < count; ++i) {
        sockets.emplace_back(Poco::Net::SocketAddress("127.0.0.1", 0));
        ports.push_back(sockets.back().address().port());
    }
    return ports;
}

MeasuredDaemon::MeasuredDaemon(const std::string &settings, std::uint16_t port)
    : m_settingsFile((std::filesystem::temp_directory_path()
                      / ("zinniadock-unit-" + std::to_string(getpid()) + "-" + std::to_string(port) + ".ini"))
                         .string())
{
    std::ofstream(m_settingsFile) << settings;
    posix_spawn_file_actions_t actions{};
    posix_spawn_file_actions_init(&actions);
    for (const int output : { 1, 2 }) {
        posix_spawn_file_actions_addopen(&actions, output, "/dev/null", O_WRONLY, 0);
    }
    std::array<std::string, 3> words{ ZINNIADOCK_DAEMON, "--settings", m_settingsFile };
    std::array<char *, 4> arguments{ words[0].data(), words[1].data(), words[2].data(), nullptr };
    const int error = posix_spawn(&m_pid, words[0].c_str(), &actions, nullptr, arguments.data(), environ);
    posix_spawn_file_actions_destroy(&actions);
    REQUIRE(error == 0);
    constexpr int maxAttempts = 500;
    int probe = -1;
    for (int i = 0; i < maxAttempts && probe < 0; ++i) {
        std::this_thread::sleep_for(std::chrono::milliseconds(20));
        probe = connectTo(port);
    }
    REQUIRE(probe >= 0);
    ::close(probe);
}

MeasuredDaemon::~MeasuredDaemon()
{
    if (m_pid > 0) {
        ::kill(m_pid, SIGKILL);
        ::waitpid(m_pid, nullptr, 0);
    }
    std::error_code ignored; // the file may be gone
    std::filesystem::remove(m_settingsFile, ignored);
}

bool MeasuredDaemon::isAlive()
{
    int status = 0;
    if (m_pid > 0 && ::waitpid(m_pid, &status, WNOHANG) == m_pid) {
        m_pid = 0;
    }
    return m_pid > 0;
}

std::size_t MeasuredDaemon::peakMemory() const
{
    constexpr std::size_t bytesPerKibibyte = 1024;
    constexpr int equalReadings = 10;
    constexpr int maxReadings = 200;
    std::size_t peak = statusValue("VmHWM:");
    for (int equal = 0, i = 0; equal < equalReadings && i < maxReadings; ++i) {
        std::this_thread::sleep_for(std::chrono::milliseconds(100));
        const std::size_t next = statusValue("VmHWM:");
        equal = next == peak ? equal + 1 : 0;
        peak = next;
    }
    return peak * bytesPerKibibyte;
}

std::size_t MeasuredDaemon::openDescriptors() const
{
    std::size_t count = 0;
    for (const auto &entry : std::filesystem::directory_iterator("/proc/" + std::to_string(m_pid) + "/fd")) {
        static_cast<void>(entry);
        ++count;
    }
    return count;
}

std::size_t MeasuredDaemon::statusValue(const std::string &name) const
{
    std::ifstream file("/proc/" + std::to_string(m_pid) + "/status");
    std::string line;
    while (std::getline(file, line)) {
        if (line.starts_with(name)) {
            return std::stoul(line.substr(name.size()));
        }
    }
    return 0;
}

UnrulyClient::UnrulyClient(std::uint16_t port)
    : m_socket(connectTo(port))
    , m_isUsable(m_socket >= 0)
{
    const timeval timeout{ .tv_sec = 2, .tv_usec = 0 };
    ::setsockopt(m_socket, SOL_SOCKET, SO_SNDTIMEO, &timeout, sizeof timeout);
}

UnrulyClient::~UnrulyClient()
{
    if (m_socket >= 0) {
        ::close(m_socket);
    }
}

bool UnrulyClient::send(const std::string &bytes)
{
    std::size_t sent = 0;
    while (m_isUsable && sent < bytes.size()) {
        const auto count = ::send(m_socket, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
        m_isUsable = count > 0;
        sent += count > 0 ? static_cast<std::size_t>(count) : 0;
    }
    return m_isUsable;
}

const std::string &UnrulyClient::received()
{
    std::array<char, 4096> buffer{};
    for (bool hasMore = true; hasMore;) {
        const auto count = ::recv(m_socket, buffer.data(), buffer.size(), MSG_DONTWAIT);
        hasMore = count > 0;
        m_received.append(buffer.data(), hasMore ? static_cast<std::size_t>(count) : 0);
    }
    return m_received;
}

} // namespace zinniadock::test
