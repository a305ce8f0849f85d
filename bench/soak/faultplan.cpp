#include "faultplan.h"

#include <algorithm>
#include <array>
#include <csignal>

namespace zinniadock::soak
{

namespace
{

/// Notice that a leaving engine gives, and the time that its record stays after a crash.
constexpr std::chrono::milliseconds notice{ 1500 };
constexpr std::chrono::milliseconds recordStays{ 1000 };

/// A planned stop has to cut nothing if no other fault came so long before it.
constexpr std::chrono::milliseconds calmBefore{ 4000 };

constexpr int exitCutRequests = 7;

} // namespace

FaultPlan::FaultPlan(SoakFleet &fleet, SoakChecker &checker, std::uint64_t seed)
    : m_fleet(fleet)
    , m_checker(checker)
    , m_random(seed)
{
}

std::chrono::milliseconds FaultPlan::span(int least, int most)
{
    return std::chrono::milliseconds(std::uniform_int_distribution<int>(least, most)(m_random));
}

// A target has one fault at a time; different targets overlap.
bool FaultPlan::take(const std::string &kind, const std::string &target)
{
    if (m_taken[target]) {
        return false;
    }
    m_taken[target] = true;
    ++m_counts[kind];
    if (kind != "stop_entry" && kind != "reload_entry") {
        m_lastCut = std::chrono::steady_clock::now();
    }
    return true;
}

void FaultPlan::after(std::chrono::milliseconds delay, const std::string &target, std::function<void()> action)
{
    m_due.push_back({ std::chrono::steady_clock::now() + delay, [this, target, action = std::move(action)] {
                         action();
                         m_taken[target] = false;
                         return true;
                     } });
}

void FaultPlan::settle()
{
    const auto now = std::chrono::steady_clock::now();
    std::vector<Due> due;
    const auto isDue = [&](const Due &each) {
        return m_healing || each.at <= now;
    };
    std::copy_if(m_due.begin(), m_due.end(), std::back_inserter(due), isDue);
    std::erase_if(m_due, isDue);
    for (Due &each : due) {
        if (!each.action()) {
            m_due.push_back({ now, each.action });
        }
    }
}

void FaultPlan::healAll()
{
    m_healing = true;
    while (!m_due.empty()) {
        settle();
        std::this_thread::sleep_for(std::chrono::milliseconds(20));
    }
}

const std::map<std::string, std::size_t> &FaultPlan::counts() const
{
    return m_counts;
}

void FaultPlan::killDaemon(const std::string &kind, Daemon &daemon, const std::string &target)
{
    if (daemon.runs() && take(kind, target)) {
        daemon.kill();
        after(span(50, 800), target, [&daemon] {
            daemon.start();
        });
    }
}

void FaultPlan::freezeDaemon(const std::string &kind, Daemon &daemon, const std::string &target)
{
    if (daemon.runs() && take(kind, target)) {
        daemon.signal(SIGSTOP);
        after(span(200, 2500), target, [&daemon] {
            daemon.signal(SIGCONT);
        });
    }
}

void FaultPlan::stopEntry(std::size_t index)
{
    const std::string target = "entry-" + std::to_string(index);
    if (!take("stop_entry", target)) {
        return;
    }
    Daemon &daemon = *m_fleet.entries[index].daemon;
    const auto began = std::chrono::steady_clock::now();
    daemon.signal(SIGTERM);
    m_due.push_back({ began, [this, &daemon, target, began] {
                         const std::optional<int> code = daemon.ended();
                         if (!code) {
                             return false;
                         }
                         if (*code == exitCutRequests && m_lastCut + calmBefore < began) {
                             m_checker.violation(daemon.life() + ": a planned stop cut requests");
                         }
                         daemon.start();
                         m_taken[target] = false;
                         return true;
                     } });
}

void FaultPlan::reloadEntry(std::size_t index)
{
    const std::string target = "entry-" + std::to_string(index);
    if (take("reload_entry", target)) {
        m_fleet.writeEntrySettings(index);
        if (m_random() % 2 == 0) {
            m_fleet.entries[index].daemon->signal(SIGHUP);
        }
        m_taken[target] = false;
    }
}

void FaultPlan::replaceEngine(std::size_t index)
{
    const std::string old = m_fleet.engines[index].id;
    m_fleet.endEngine(index, m_checker);
    m_fleet.engines[index].sidecar->kill();
    m_fleet.startEngine(index);
    m_fleet.store.remove("servers/" + old);
}

void FaultPlan::engineLeaves(std::size_t index)
{
    const std::string target = "engine-" + std::to_string(index);
    if (take("engine_leaves", target)) {
        m_fleet.engines[index].server->startDraining(notice);
        if (m_random() % 2 == 0) {
            m_fleet.store.remove("servers/" + m_fleet.engines[index].id);
        }
        after(notice, target, [this, index] {
            replaceEngine(index);
        });
    }
}

void FaultPlan::engineCrashes(std::size_t index)
{
    const std::string target = "engine-" + std::to_string(index);
    if (take("engine_crashes", target)) {
        m_fleet.endEngine(index, m_checker);
        after(recordStays, target, [this, index] {
            replaceEngine(index);
        });
    }
}

void FaultPlan::troubleRelay(const std::string &kind, standin::LinkRelay &relay, const std::string &target)
{
    constexpr std::array<const char *, 5> ways{ "silent_to_server", "silent_to_client", "silent_both", "slow", "cut" };
    const std::size_t way = m_random() % ways.size();
    if (!take(kind + "_" + ways.at(way), target)) {
        return;
    }
    if (way < 3) {
        relay.setBlockedDirections({ .toServer = way != 1, .toClient = way != 0 });
    } else if (way == 3) {
        relay.setDelay(span(20, 150));
    } else {
        relay.cut();
    }
    after(span(200, 3000), target, [&relay] {
        relay.setBlockedDirections({});
        relay.setDelay(std::chrono::milliseconds(0));
    });
}

void FaultPlan::troubleStore()
{
    if (m_random() % 3 == 0) {
        if (take("store_compacts", "store")) {
            m_fleet.store.compact();
            m_taken["store"] = false;
        }
    } else if (take("store_down", "store")) {
        m_fleet.store.setDown(true);
        after(span(300, 4000), "store", [this] {
            m_fleet.store.setDown(false);
        });
    }
}

void FaultPlan::troubleShop(std::size_t index)
{
    using standin::ServerBehavior;
    constexpr std::array<ServerBehavior, 7> moods{ ServerBehavior::ResponseLost,     ServerBehavior::InternalError,
                                                   ServerBehavior::Overloaded,       ServerBehavior::ForeignResponse,
                                                   ServerBehavior::MissingSignature, ServerBehavior::ConnectionReset,
                                                   ServerBehavior::TruncatedBody };
    const std::string target = "shop-" + std::to_string(index);
    if (take("shop_misbehaves", target)) {
        m_fleet.shops[index]->setBehavior(moods.at(m_random() % moods.size()));
        after(span(200, 2000), target, [this, index] {
            m_fleet.shops[index]->setBehavior(ServerBehavior::Healthy);
        });
    }
}

void FaultPlan::injectOne()
{
    const std::size_t entry = m_random() % m_fleet.entries.size();
    const std::size_t engine = m_random() % m_fleet.engines.size();
    const std::string entryName = "entry-" + std::to_string(entry);
    const std::string engineName = "engine-" + std::to_string(engine);
    // The sidecar and the relay of an engine go with its incarnation, so that they count as one target.
    switch (m_random() % 14) {
    case 0:
        return killDaemon("kill_entry", *m_fleet.entries[entry].daemon, entryName);
    case 1:
        return freezeDaemon("freeze_entry", *m_fleet.entries[entry].daemon, entryName);
    case 2:
        return stopEntry(entry);
    case 3:
        return reloadEntry(entry);
    case 4:
        return killDaemon("kill_sidecar", *m_fleet.engines[engine].sidecar, engineName);
    case 5:
        return freezeDaemon("freeze_sidecar", *m_fleet.engines[engine].sidecar, engineName);
    case 6:
    case 7:
        return engineLeaves(engine);
    case 8:
        return engineCrashes(engine);
    case 9:
        return troubleRelay("engine", *m_fleet.engines[engine].relay, engineName);
    case 10:
        return troubleRelay("store", *m_fleet.entries[entry].storeRelay, "store-" + std::to_string(entry));
    case 11:
        return troubleStore();
    case 12:
        return troubleShop(m_random() % m_fleet.shops.size());
    default:
        ++m_counts["configuration"];
        m_fleet.changeConfiguration();
    }
}

} // namespace zinniadock::soak
