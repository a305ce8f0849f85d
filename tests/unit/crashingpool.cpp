#include "crashingpool.h"

#include "fleet.h"

namespace zinniadock::test
{

using Clock = std::chrono::steady_clock;
using standin::PlatformServer;

CrashingPool::CrashingPool(const std::string &pool, std::size_t servers, std::size_t entryCount,
                           ServerReturn serverReturn, std::chrono::milliseconds crashDelay)
    : m_pool(pool)
    , m_return(serverReturn)
    , m_crashDelay(crashDelay)
    , m_slots(servers)
{
    m_store.put("op/config", configuration(3));
    for (Slot &slot : m_slots) {
        slot.server = makeServer("s" + std::to_string(m_nextId++), 0);
    }
    for (std::size_t i = 0; i < entryCount; ++i) {
        m_entries.push_back(makeEntry());
    }
    m_watcher = std::thread([this] {
        watch();
    });
}

CrashingPool::~CrashingPool()
{
    m_isStopping = true;
    m_watcher.join();
    for (const Slot &slot : m_slots) {
        if (slot.server) {
            slot.server->stop();
        }
    }
}

std::unique_ptr<RoleThread<ForwardingEntry>> CrashingPool::makeEntry()
{
    auto entry = std::make_unique<RoleThread<ForwardingEntry>>(entrySettings(m_store.port(), 1, m_seeds));
    REQUIRE(eventually([&entry] {
        return isReady(*entry);
    }));
    m_seeds.push_back({ "127.0.0.1", (*entry)->peerPort() });
    return entry;
}

std::unique_ptr<PlatformServer> CrashingPool::makeServer(const std::string &id, std::uint16_t port)
{
    auto server = std::make_unique<PlatformServer>(id, "127.0.0.1", port);
    server->setCrashMarker(crashMarker);
    server->setCrashDelay(m_crashDelay);
    server->setStartTime(++m_nextStart);
    m_store.put("servers/" + id, server->record(m_pool));
    return server;
}

std::uint16_t CrashingPool::entryPort(std::size_t entry)
{
    return (*m_entries.at(entry))->port();
}

RoleThread<ForwardingEntry> &CrashingPool::entry(std::size_t index)
{
    return *m_entries.at(index);
}

void CrashingPool::setReturnDelay(std::chrono::milliseconds delay)
{
    m_returnDelay = delay;
}

void CrashingPool::restartEntry(std::size_t index)
{
    m_entries.at(index).reset();
    m_entries.at(index) = makeEntry();
}

void CrashingPool::stopEntry(std::size_t index)
{
    m_entries.at(index)
        ->stop({ .lameDuck = std::chrono::milliseconds(0), .limit = std::chrono::milliseconds(3000) })
        .get();
    restartEntry(index);
}

void CrashingPool::killServers(std::size_t count)
{
    const std::lock_guard lock(m_mutex);
    for (Slot &slot : m_slots) {
        if (count > 0 && slot.server) {
            slot.server->refuseConnections();
            slot.server->stop();
            --count;
        }
    }
}

std::vector<CrashingPool::Time> CrashingPool::crashes()
{
    const std::lock_guard lock(m_mutex);
    return m_crashes;
}

void CrashingPool::watch()
{
    while (!m_isStopping) {
        replaceEnded();
        std::this_thread::sleep_for(std::chrono::milliseconds(1));
    }
}

void CrashingPool::replaceEnded()
{
    const std::lock_guard lock(m_mutex);
    const auto now = Clock::now();
    for (Slot &slot : m_slots) {
        if (slot.server && (slot.server->hasCrashed() || slot.server->isStopped())) {
            if (slot.server->hasCrashed()) {
                m_crashes.push_back(now);
            }
            slot.lastId = slot.server->id();
            slot.lastPort = slot.server->port();
            slot.server->stop();
            slot.server.reset();
            slot.returnsAt = now + m_returnDelay.load();
        } else if (!slot.server && now >= slot.returnsAt) {
            const bool keepsId = m_return == ServerReturn::SameId;
            if (!keepsId) {
                m_store.remove("servers/" + slot.lastId);
            }
            const std::string id = keepsId ? slot.lastId : "s" + std::to_string(m_nextId++);
            slot.server
                = makeServer(id, m_return == ServerReturn::SameAddress ? slot.lastPort : static_cast<std::uint16_t>(0));
        }
    }
}

} // namespace zinniadock::test
