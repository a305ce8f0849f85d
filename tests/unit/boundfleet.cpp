#include "boundfleet.h"

#include <algorithm>
#include <thread>

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include "fleet.h"
#include "zinniadock/process/store/readerchoice.h"

namespace zinniadock::test
{

namespace
{

using std::chrono::milliseconds;

/// Time until all entries have recovered from a fault.
constexpr milliseconds recoveryTime{ 8000 };

constexpr const char *configurationPrefix = "op/";

/// Address on which the entries listen for each other. Clients have the address 127.0.0.1, so that none of them takes
/// the port of an entry that ends and starts again.
constexpr const char *peerAddress = "127.0.1.1";

constexpr milliseconds boundOfSmallFleet{ 2000 };
constexpr milliseconds boundOfLargeFleet{ 3000 };

} // namespace

BoundFleet::BoundFleet(std::size_t size)
    : bound(size > maxSmallFleetSize ? boundOfLargeFleet : boundOfSmallFleet)
{
    store.put("servers/s1", server.record("shop"));
    store.put("op/config", configuration(m_version));
    for (std::size_t i = 0; i < size; ++i) {
        storeAddresses.push_back(std::make_unique<standin::StoreAddress>(store));
        links.push_back(std::make_unique<standin::LinkRelay>(
            standin::LinkRelaySettings{ .server = "127.0.0.1:" + std::to_string(storeAddresses.back()->port()) }));
        addEntry(links.back()->port());
    }
    REQUIRE(eventually([&] {
        return isCalm();
    }));
}

Settings BoundFleet::settingsFor(std::size_t index, std::uint16_t storePort)
{
    constexpr std::size_t seedCount = 3;
    std::vector<Endpoint> seeds;
    for (std::size_t i = 0; i < entries.size() && seeds.size() < seedCount; ++i) {
        if (i != index) {
            seeds.push_back({ peerAddress, (*entries[i])->peerPort() });
        }
    }
    Settings settings = entrySettings(storePort, 1, seeds);
    settings.forwarding.peer = { peerAddress, 0 };
    settings.forwarding.configurationWithin = bound;
    settings.forwarding.drainWithin = bound;
    settings.forwarding.capacity = index < readers() ? 0.5 : 0.09;
    return settings;
}

void BoundFleet::addEntry(std::uint16_t storePort)
{
    const Settings settings = settingsFor(entries.size(), storePort);
    entries.push_back(std::make_unique<RoleThread<ForwardingEntry>>(settings));
}

void BoundFleet::restart(std::size_t index)
{
    entries[index].reset();
    entries[index] = std::make_unique<RoleThread<ForwardingEntry>>(settingsFor(index, links[index]->port()));
}

void BoundFleet::restartAll()
{
    std::vector<Settings> settings;
    for (std::size_t i = 0; i < entries.size(); ++i) {
        settings.push_back(settingsFor(i, links[i]->port()));
        settings.back().forwarding.peer.port = (*entries[i])->peerPort();
    }
    for (auto &entry : entries) {
        entry.reset();
    }
    for (std::size_t i = 0; i < entries.size(); ++i) {
        entries[i] = std::make_unique<RoleThread<ForwardingEntry>>(settings[i]);
    }
}

std::size_t BoundFleet::readers() const
{
    return readerCount(std::max<std::size_t>(storeAddresses.size(), 1));
}

bool BoundFleet::isCalm()
{
    double reading = 0;
    for (const auto &entry : entries) {
        if (metric(*entry, "zinniadock_known_entries") != static_cast<double>(entries.size())
            || metric(*entry, "zinniadock_configuration_version") != m_version
            || metric(*entry, "zinniadock_store_fresh") != 1) {
            return false;
        }
        reading += metric(*entry, "zinniadock_store_reader");
    }
    return reading == static_cast<double>(readerCount(entries.size()));
}

void BoundFleet::waitUntilCalm()
{
    REQUIRE(eventually(
        [&] {
            return isCalm();
        },
        recoveryTime));
}

void BoundFleet::setFault(std::size_t first, std::size_t count, const std::optional<standin::AddressFault> &fault)
{
    for (std::size_t i = first; i < std::min(first + count, storeAddresses.size()); ++i) {
        storeAddresses[i]->setFault(fault);
    }
}

void BoundFleet::silenceConfigurationWatches()
{
    const std::size_t silent = entries.size() > maxSmallFleetSize ? readers() : entries.size() - 1;
    setFault(0, silent, standin::AddressFault{ .prefix = configurationPrefix });
    std::this_thread::sleep_for(bound);
}

void BoundFleet::publish(std::size_t size)
{
    auto document = nlohmann::json::parse(configuration(++m_version));
    document["note"] = std::string(size, 'n');
    store.put("op/config", document.dump());
    publishedAt = std::chrono::steady_clock::now();
}

milliseconds BoundFleet::timeLeft() const
{
    const auto elapsed = std::chrono::steady_clock::now() - publishedAt;
    return bound - std::chrono::duration_cast<milliseconds>(elapsed);
}

bool BoundFleet::isInForceWithinBound(std::size_t first)
{
    return eventually(
        [&] {
            return std::all_of(entries.begin() + static_cast<std::ptrdiff_t>(first), entries.end(),
                               [&](const auto &entry) {
                                   return metric(*entry, "zinniadock_configuration_version") == m_version;
                               });
        },
        timeLeft());
}

int BoundFleet::version() const
{
    return m_version;
}

void freeze(RoleThread<ForwardingEntry> &entry, milliseconds duration)
{
    entry.post([duration] {
        std::this_thread::sleep_for(duration);
    });
}

BusyLoop::BusyLoop(RoleThread<ForwardingEntry> &entry, milliseconds turn)
{
    runTurn(entry, m_state, turn);
}

BusyLoop::~BusyLoop()
{
    m_state->isRunning = false;
}

std::uint64_t BusyLoop::version() const
{
    return m_state->version;
}

void BusyLoop::runTurn(RoleThread<ForwardingEntry> &entry, const std::shared_ptr<State> &state, milliseconds turn)
{
    entry.post([&entry, state, turn] {
        state->version = entry->configurationVersion();
        std::this_thread::sleep_for(turn);
        if (state->isRunning) {
            runTurn(entry, state, turn);
        }
    });
}

} // namespace zinniadock::test
