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

/// A daemon as a process of its own, with its settings file and its log.
class Daemon
{
public:
    /// \param program  path of zinniadockd
    /// \param file  of its settings, without the suffix; its log lies beside it
    Daemon(std::string program, std::string file);
    ~Daemon();

    Daemon(const Daemon &) = delete;
    Daemon &operator=(const Daemon &) = delete;

    void writeSettings(const std::string &text);
    void start();
    void signal(int number) const;

    /// Kills the process and waits for it.
    void kill();

    /// Returns the exit code once the process has ended; nothing while it runs.
    std::optional<int> ended();

    bool runs() const;

    /// Names the life of the process: another start is another one.
    std::string life() const;

private:
    const std::string m_program;
    const std::string m_file;
    pid_t m_pid = 0;
    int m_starts = 0;
};

/// An engine with the relay before it and the sidecar beside it.
struct Engine
{
    std::string id;
    std::unique_ptr<standin::PlatformServer> server;
    std::unique_ptr<standin::LinkRelay> relay; ///< between the entries and the engine
    std::unique_ptr<Daemon> sidecar;
};

/// An entry with the relay between it and the store.
struct Entry
{
    std::unique_ptr<Daemon> daemon;
    std::unique_ptr<standin::LinkRelay> storeRelay;
    std::string address;
    std::uint16_t port = 0; ///< of callers
    std::uint16_t metricsPort = 0;
};

/// The whole deployment on loopback: entries and sidecars are processes, the rest are stand-ins in this one.
class SoakFleet
{
public:
    SoakFleet(std::string program, std::string directory, std::size_t entryCount, std::size_t engineCount);

    /// Starts another incarnation of an engine, with its sidecar, and lists it.
    void startEngine(std::size_t index);

    /// Ends an engine, and keeps what it ran for the checker.
    void endEngine(std::size_t index, SoakChecker &checker);

    /// Writes the settings of an entry; some values change from one time to the next.
    void writeEntrySettings(std::size_t index);

    /// Writes a new version of the configuration.
    void changeConfiguration();

    /// Ends everything, and hands all that ran to the checker.
    void finish(SoakChecker &checker);

    standin::PlatformStore store;
    std::vector<Engine> engines;
    std::vector<Entry> entries;
    std::vector<std::unique_ptr<standin::PlatformServer>> shops; ///< servers of a plain service
    std::uint64_t version = 0;

private:
    void handOver(standin::PlatformServer &server, SoakChecker &checker);

    const std::string m_program;
    const std::string m_directory;
    int m_incarnations = 0;
    int m_settingsWritten = 0;
};

} // namespace zinniadock::soak
