#pragma once

#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <sys/types.h>

#include "linkrelay.h"
#include "platformstandin.h"
#include "soakchecker.h"

namespace zinniadock::soak
{

/// A daemon that runs as a child process, with its settings file and its log file. The destructor kills the
/// process.
class DaemonProcess
{
public:
    /// \param program  path of zinniadockd
    /// \param pathPrefix  path of the settings file without its suffix .ini; the log file has the suffix .log
    DaemonProcess(std::string program, std::string pathPrefix);
    ~DaemonProcess();

    DaemonProcess(const DaemonProcess &) = delete;
    DaemonProcess &operator=(const DaemonProcess &) = delete;

    void writeSettings(const std::string &text);
    void start();
    void sendSignal(int number) const;

    /// Kills the process with SIGKILL and waits for its end.
    void kill();

    /// Reaps the process if it has ended and returns its exit code, or 128 plus the signal that ended it. Returns no
    /// value while the process runs, and after its exit code has been returned once.
    std::optional<int> takeExitCode();

    /// Returns whether a started process has not been reaped yet.
    bool isRunning() const;

    /// Returns a name of the current process: file name and number of starts. Each start gives a new name.
    std::string incarnation() const;

private:
    const std::string m_program;
    const std::string m_pathPrefix;
    pid_t m_pid = 0;
    int m_startCount = 0;
};

/// An engine with its relay and its sidecar.
struct Engine
{
    std::string id;
    std::unique_ptr<standin::PlatformServer> server;
    std::unique_ptr<standin::LinkRelay> relay; ///< between the entries and the engine
    std::unique_ptr<DaemonProcess> sidecar;
};

/// An entry with its path to the store.
struct Entry
{
    std::unique_ptr<DaemonProcess> daemon;
    std::unique_ptr<standin::StoreAddress> storeAddress;
    std::unique_ptr<standin::LinkRelay> storeRelay; ///< between the entry and its address of the store
    std::string address;
    std::uint16_t port = 0; ///< accepts connections of callers
    std::uint16_t metricsPort = 0;
};

/// Returns the configuration version that an entry reports in its metrics; 0 if the entry does not respond or reports
/// none.
std::uint64_t reportedVersion(const Entry &entry);

/// A complete deployment on the loopback interface. Entries and sidecars run as child processes; the store, engines,
/// relays and shop servers are stand-ins in this process.
class SoakFleet
{
public:
    SoakFleet(std::string program, std::string directory, std::size_t entryCount, std::size_t engineCount);

    /// Starts a new incarnation of an engine under a new id, with its relay and sidecar, and adds its record to the
    /// store.
    void startEngine(std::size_t index);

    /// Stops an engine and its relay, and passes its executions to the checker. The sidecar keeps running.
    void stopEngine(std::size_t index, SoakChecker &checker);

    /// Writes the settings file of an entry. Each call writes another value of retry_slack, so that a reload finds a
    /// change.
    void writeEntrySettings(std::size_t index);

    /// Writes the configuration to the store under the next version.
    void publishConfiguration();

    /// Stops all entries, sidecars, engines and shop servers, and passes all executions to the checker.
    void finish(SoakChecker &checker);

    standin::PlatformStore store;
    std::vector<Engine> engines;
    std::vector<Entry> entries;
    std::vector<std::unique_ptr<standin::PlatformServer>> shopServers; ///< backend servers of a service without engines
    std::uint64_t configurationVersion = 0; ///< version that was published last

private:
    void reportExecutions(standin::PlatformServer &server, SoakChecker &checker);

    const std::string m_program;
    const std::string m_directory;
    int m_engineIncarnations = 0;
    int m_settingsWriteCount = 0;
};

} // namespace zinniadock::soak
