#pragma once

#include <atomic>
#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "forwardingfixture.h"
#include "linkrelay.h"

namespace zinniadock::test
{

/// Entries with an address of the store each, and a plain service. The first entries are the readers.
class BoundFleet
{
public:
    explicit BoundFleet(std::size_t size);

    /// Adds an entry that follows the first entries.
    void addEntry(std::uint16_t storePort);

    /// Ends an entry at once, and starts it again at another address.
    void restart(std::size_t index);

    /// Ends all entries at once, and starts them again at the same addresses for entries.
    void restartAll();

    /// Returns the number of entries that read the store for all others.
    std::size_t readers() const;

    /// Returns whether only the readers read the store, all entries know each other, and have the last version.
    bool isCalm();

    void waitUntilCalm();

    /// Sets a fault of the calls of the entries from \p first on, up to \p count of them.
    void setFault(std::size_t first, std::size_t count, const std::optional<standin::AddressFault> &fault);

    /// Leaves the watch of the configuration without answers at the readers of a large fleet, or at all entries of a
    /// small one but the last, and waits until calls in progress have ended.
    void silenceConfigurationWatches();

    /// Publishes a new version whose text has at least \p size bytes.
    void publish(std::size_t size = 0);

    /// Returns whether the last version is in force at the entries from \p first on within the bound.
    bool isInForceWithinBound(std::size_t first = 0);

    /// Returns the time left of the bound of the last version.
    std::chrono::milliseconds timeLeft() const;

    int version() const;

    const std::chrono::milliseconds bound; ///< of the platform's rules for a fleet of this size
    standin::PlatformStore store;
    standin::PlatformServer server{ "s1" };
    std::vector<std::unique_ptr<standin::StoreAddress>> storeAddresses;
    std::vector<std::unique_ptr<standin::LinkRelay>> links;
    std::vector<std::unique_ptr<RoleThread<ForwardingEntry>>> entries;
    std::chrono::steady_clock::time_point publishedAt;

private:
    Settings settingsFor(std::size_t index, std::uint16_t storePort);

    int m_version = 3;
};

/// Keeps the thread of an entry from running, as a freeze of its process does.
void freeze(RoleThread<ForwardingEntry> &entry, std::chrono::milliseconds duration);

/// Keeps the event loop of an entry busy, as many requests of callers do: each turn takes at least a given time.
class BusyLoop
{
public:
    BusyLoop(RoleThread<ForwardingEntry> &entry, std::chrono::milliseconds turn);
    ~BusyLoop();

    BusyLoop(const BusyLoop &) = delete;
    BusyLoop &operator=(const BusyLoop &) = delete;

    /// Returns the configuration that the entry used in its last turn.
    std::uint64_t version() const;

private:
    struct State
    {
        std::atomic<bool> isRunning{ true };
        std::atomic<std::uint64_t> version{ 0 };
    };

    static void runTurn(RoleThread<ForwardingEntry> &entry, const std::shared_ptr<State> &state,
                        std::chrono::milliseconds turn);

    const std::shared_ptr<State> m_state = std::make_shared<State>();
};

} // namespace zinniadock::test
