#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

#include "zinniadock/detail/fieldtable.h"
#include "zinniadock/version/inidocument.h"

namespace zinniadock
{

/// `[daemon]`: settings of every process.
struct DaemonSection
{
    std::string role; ///< `entry` or `sidecar`
    std::string interface = "completions"; ///< `completions`, or `forwarding` behind the platform's own interface
    std::string instance;
    std::string dataCentre;
    std::string logLevel = "info";
    Endpoint admin; ///< listen address of the admin interface
    double memoryMb = 0; ///< memory of the instance in MiB; 0 if it is not known
    std::uint32_t maxDescriptors = 0; ///< 0 for the limit that the system states
    std::string adminKeyDigest; ///< SHA-256; if empty, the admin interface requires no key
};

/// `[store]`: the platform's key-value service.
struct StoreSection
{
    Endpoint endpoint;
    std::string prefix = "zinniadock";
    std::chrono::milliseconds timeout{ 1000 };
    std::chrono::milliseconds claimRetention{ std::chrono::hours(72) };
};

/// `[entry]`: an instance that callers connect to.
struct EntrySection
{
    Endpoint listen;
    std::vector<Endpoint> peers; ///< sidecars that supply the configuration while the store is down
    std::uint32_t maxConnections = 4096;
    double callerMemoryMb = 0; ///< maximum memory for what callers send, in MiB; 0 for a part of the instance
    std::uint32_t maxBodyBytes = 2U << 20U;
    std::chrono::milliseconds readTimeout{ 15000 }; ///< limit for receiving a complete request
    std::chrono::milliseconds lameDuck{ 0 }; ///< how long an entry still accepts requests after a stop was requested
    std::chrono::milliseconds drainTimeout{ std::chrono::minutes(30) };
};

/// `[sidecar]`: the process beside one backend server.
struct SidecarSection
{
    std::string server; ///< name of the [server] object
    std::string kind; ///< `engine` or `service`
    Endpoint listen;
    Endpoint backend;
    std::uint32_t maxRunning = 256;
    std::uint32_t maxWaiting = 512;
    std::chrono::milliseconds connectTimeout{ 1000 };
    std::chrono::milliseconds silenceTimeout{ 30000 };
    std::chrono::milliseconds orphanTimeout{ 5000 }; ///< how long a generation runs without a link to its entry
    std::chrono::milliseconds drainTimeout{ std::chrono::minutes(30) };
};

/// `[forwarding]`: additional settings of a process with the interface `forwarding`.
struct ForwardingSection
{
    Endpoint ready; ///< listen address for readiness checks of the platform
    Endpoint peer; ///< listen address for store queries of other entries and announcements of sidecars
    std::vector<Endpoint> seeds; ///< `peer` addresses of some entries
    std::string pool; ///< pool of the engine beside a sidecar
    std::uint32_t port = 0; ///< port on which every sidecar listens, at the IP address of its backend server
    double retryRatio = 0.2; ///< retries per request, over all entries
    double retrySlack = 20; ///< retries beyond the ratio, over all entries
    double retryWindowSeconds = 10;
    /// A server that the store marks as draining gets no new requests after this time.
    std::chrono::milliseconds drainWithin{ 2000 };
    /// An accepted configuration is in force after this time.
    std::chrono::milliseconds configurationWithin{ 2000 };
    /// The servers of an evacuated data centre get no requests after this time.
    std::chrono::milliseconds evacuationWithin{ 5000 };
    double capacity = 1; ///< number of processors of this instance; fractions are allowed
    double stopWithinSeconds = 8; ///< time from the request to stop until the platform kills the process
    std::uint32_t gapPlacement = 1; ///< whether the placement considers the speed of engines; 0 or 1
    std::uint32_t gapMoves = 0; ///< whether streams are moved to engines that keep the bound on gaps; 0 or 1

    std::uint16_t sidecarPort() const
    {
        return static_cast<std::uint16_t>(port);
    }

    std::chrono::milliseconds retryWindow() const
    {
        return std::chrono::milliseconds(static_cast<std::int64_t>(retryWindowSeconds * 1000));
    }

    std::chrono::milliseconds stopWithin() const
    {
        return std::chrono::milliseconds(static_cast<std::int64_t>(stopWithinSeconds * 1000));
    }
};

/// Settings of one process, parsed from its INI file.
struct Settings
{
    DaemonSection daemon;
    StoreSection store;
    EntrySection entry;
    SidecarSection sidecar;
    ForwardingSection forwarding;
};

/// Parses and checks the settings of a process; appends every error to \p problems.
Settings parseSettings(const std::string &text, const std::string &file, Problems &problems);

/// Returns the reference documentation of all settings sections as Markdown.
std::string settingsReference();

} // namespace zinniadock
