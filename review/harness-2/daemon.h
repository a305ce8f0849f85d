#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include <sys/types.h>

namespace zinniadock::review
{

/// Ports of the daemons, below the ephemeral port range of the system.
constexpr std::uint16_t callerPort = 18840;
constexpr std::uint16_t peerPort = 18841;
constexpr std::uint16_t metricsPort = 18842;
constexpr std::uint16_t readyPort = 18843;
constexpr std::uint16_t sidecarPort = 18850;

/// Returns a loopback address that depends on the process id, so that concurrent cases use different addresses.
/// \param role  third octet of the address
std::string addressOf(int role, std::size_t index);

std::string endpointOf(const std::string &address, std::uint16_t port);

/// Returns the settings of an entry, as deploy/entry.ini gives them for the machines of agreste-trilho.
std::string entrySettings(const std::string &name, const std::string &address, const std::string &store,
                          const std::string &seeds);

/// Returns the settings of a sidecar, as deploy/sidecar.ini gives them.
std::string sidecarSettings(const std::string &name, const std::string &address, const std::string &engine,
                            const std::string &pool, const std::string &seeds);

/// Memory of an entry's machine in agreste-trilho, in MB.
constexpr int entryMemoryMb = 110;

/// A zinniadockd process.
class Daemon
{
public:
    /// \param pathPrefix  of its settings file and its log
    Daemon(std::string program, std::string pathPrefix, const std::string &settings);
    ~Daemon();

    Daemon(const Daemon &) = delete;
    Daemon &operator=(const Daemon &) = delete;

    void start();
    void sendSignal(int number) const;

    /// Kills the process and waits for its end.
    void kill();

    /// Returns whether the process runs. Collects its exit code when it has ended.
    bool isRunning();

    /// Returns the exit code of a process that has ended, 128 plus the signal if one has ended it.
    std::optional<int> exitCode() const;

    /// Returns the resident memory that the process has allocated, in MB; 0 if it does not run.
    double allocatedMb() const;

private:
    const std::string m_program;
    const std::string m_pathPrefix;
    pid_t m_pid = 0;
    std::optional<int> m_exitCode;
};

} // namespace zinniadock::review
