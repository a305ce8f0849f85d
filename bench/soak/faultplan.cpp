#include "faultplan.h"

#include <algorithm>
#include <array>
#include <csignal>

namespace zinniadock::soak
{

namespace
{

/// Time from the start of an engine's drain until the engine stops.
constexpr std::chrono::milliseconds drainNotice{ 1500 };

/// Time for which the record of a crashed engine remains in the store.
constexpr std::chrono::milliseconds recordLifetimeAfterCrash{ 1000 };

/// A planned stop must not abort requests if no disruptive fault was injected in this period before the stop, nor
/// between the stop and the exit of the daemon.
constexpr std::chrono::milliseconds minFaultFreeTime{ 4000 };

/// Exit code of a daemon that aborted in-flight requests when it stopped.
constexpr int exitCodeCutRequests = 7;

} // namespace

FaultPlan::FaultPlan(SoakFleet &fleet, SoakChecker &checker, std::uint64_t seed)
    : m_fleet(fleet)
    , m_checker(checker)
    , m_random(seed)
{
}

std::chrono::milliseconds FaultPlan::randomDuration(int minMilliseconds, int maxMilliseconds)
{
    return std::chrono::milliseconds(std::uniform_int_distribution<int>(minMilliseconds, maxMilliseconds)(m_random));
}

bool FaultPlan::beginFault(const std::string &kind, const std::string &target)
{
    if (m_hasActiveFault[target]) {
        return false;
    }
    m_hasActiveFault[target] = true;
    ++m_counts[kind];
    if (kind != "stop_entry" && kind != "reload_entry") {
        m_lastDisruptiveFault = std::chrono::steady_clock::now();
    }
    return true;
}

void FaultPlan::endFaultAfter(std::chrono::milliseconds delay, const std::string &target, std::function<void()> action)
{
    m_pendingActions.push_back({ std::chrono::steady_clock::now() + delay, [this, target, action = std::move(action)] {
                                    action();
                                    m_hasActiveFault[target] = false;
                                    return true;
                                } });
}

void FaultPlan::runDueActions()
{
    const auto now = std::chrono::steady_clock::now();
    std::vector<PendingAction> dueActions;
    const auto isDue = [&](const PendingAction &pending) {
        return m_isEndingAllFaults || pending.dueTime <= now;
    };
    std::copy_if(m_pendingActions.begin(), m_pendingActions.end(), std::back_inserter(dueActions), isDue);
    std::erase_if(m_pendingActions, isDue);
    for (PendingAction &pending : dueActions) {
        if (!pending.run()) {
            m_pendingActions.push_back({ now, pending.run });
        }
    }
}

void FaultPlan::endAllFaults()
{
    m_isEndingAllFaults = true;
    while (!m_pendingActions.empty()) {
        runDueActions();
        std::this_thread::sleep_for(std::chrono::milliseconds(20));
    }
}

const std::map<std::string, std::size_t> &FaultPlan::counts() const
{
    return m_counts;
}

void FaultPlan::killDaemon(const std::string &kind, DaemonProcess &daemon, const std::string &target)
{
    if (daemon.isRunning() && beginFault(kind, target)) {
        daemon.kill();
        endFaultAfter(randomDuration(50, 800), target, [&daemon] {
            daemon.start();
        });
    }
}

void FaultPlan::freezeDaemon(const std::string &kind, DaemonProcess &daemon, const std::string &target)
{
    if (daemon.isRunning() && beginFault(kind, target)) {
        daemon.sendSignal(SIGSTOP);
        endFaultAfter(randomDuration(200, 2500), target, [&daemon] {
            daemon.sendSignal(SIGCONT);
        });
    }
}

void FaultPlan::stopEntry(std::size_t index)
{
    const std::string target = "entry-" + std::to_string(index);
    if (!beginFault("stop_entry", target)) {
        return;
    }
    DaemonProcess &daemon = *m_fleet.entries[index].daemon;
    const auto stopTime = std::chrono::steady_clock::now();
    daemon.sendSignal(SIGTERM);
    m_pendingActions.push_back(
        { stopTime, [this, &daemon, target, stopTime] {
             const std::optional<int> code = daemon.takeExitCode();
             if (!code) {
                 return false;
             }
             if (*code == exitCodeCutRequests && m_lastDisruptiveFault + minFaultFreeTime < stopTime) {
                 m_checker.addViolation(daemon.incarnation() + ": a planned stop aborted in-flight requests");
             }
             daemon.start();
             m_hasActiveFault[target] = false;
             return true;
         } });
}

void FaultPlan::reloadEntry(std::size_t index)
{
    const std::string target = "entry-" + std::to_string(index);
    if (beginFault("reload_entry", target)) {
        m_fleet.writeEntrySettings(index);
        if (m_random() % 2 == 0) {
            m_fleet.entries[index].daemon->sendSignal(SIGHUP);
        }
        m_hasActiveFault[target] = false;
    }
}

void FaultPlan::replaceEngine(std::size_t index)
{
    const std::string oldId = m_fleet.engines[index].id;
    m_fleet.stopEngine(index, m_checker);
    m_fleet.engines[index].sidecar->kill();
    m_fleet.startEngine(index);
    m_fleet.store.remove("servers/" + oldId);
}

void FaultPlan::drainEngine(std::size_t index)
{
    const std::string target = "engine-" + std::to_string(index);
    if (beginFault("engine_leaves", target)) {
        m_fleet.engines[index].server->startDraining(drainNotice);
        if (m_random() % 2 == 0) {
            m_fleet.store.remove("servers/" + m_fleet.engines[index].id);
        }
        endFaultAfter(drainNotice, target, [this, index] {
            replaceEngine(index);
        });
    }
}

void FaultPlan::crashEngine(std::size_t index)
{
    const std::string target = "engine-" + std::to_string(index);
    if (beginFault("engine_crashes", target)) {
        m_fleet.stopEngine(index, m_checker);
        endFaultAfter(recordLifetimeAfterCrash, target, [this, index] {
            replaceEngine(index);
        });
    }
}

void FaultPlan::injectRelayFault(const std::string &kind, standin::LinkRelay &relay, const std::string &target)
{
    constexpr std::array<const char *, 5> relayFaults{ "silent_to_server", "silent_to_client", "silent_both", "slow",
                                                       "cut" };
    const std::size_t fault = m_random() % relayFaults.size();
    if (!beginFault(kind + "_" + relayFaults.at(fault), target)) {
        return;
    }
    if (fault < 3) {
        relay.setBlockedDirections({ .toServer = fault != 1, .toClient = fault != 0 });
    } else if (fault == 3) {
        relay.setDelay(randomDuration(20, 150));
    } else {
        relay.cut();
    }
    endFaultAfter(randomDuration(200, 3000), target, [&relay] {
        relay.setBlockedDirections({});
        relay.setDelay(std::chrono::milliseconds(0));
    });
}

void FaultPlan::injectStoreFault()
{
    if (m_random() % 3 == 0) {
        if (beginFault("store_compacts", "store")) {
            m_fleet.store.compact();
            m_hasActiveFault["store"] = false;
        }
    } else if (beginFault("store_down", "store")) {
        m_fleet.store.setDown(true);
        endFaultAfter(randomDuration(300, 4000), "store", [this] {
            m_fleet.store.setDown(false);
        });
    }
}

void FaultPlan::injectShopFault(std::size_t index)
{
    using standin::ServerBehavior;
    constexpr std::array<ServerBehavior, 7> behaviors{
        ServerBehavior::ResponseLost,    ServerBehavior::InternalError,    ServerBehavior::Overloaded,
        ServerBehavior::ForeignResponse, ServerBehavior::MissingSignature, ServerBehavior::ConnectionReset,
        ServerBehavior::TruncatedBody
    };
    const std::string target = "shop-" + std::to_string(index);
    if (beginFault("shop_misbehaves", target)) {
        m_fleet.shopServers[index]->setBehavior(behaviors.at(m_random() % behaviors.size()));
        endFaultAfter(randomDuration(200, 2000), target, [this, index] {
            m_fleet.shopServers[index]->setBehavior(ServerBehavior::Healthy);
        });
    }
}

void FaultPlan::injectFault()
{
    const std::size_t entry = m_random() % m_fleet.entries.size();
    const std::size_t engine = m_random() % m_fleet.engines.size();
    const std::string entryName = "entry-" + std::to_string(entry);
    const std::string engineName = "engine-" + std::to_string(engine);
    // An engine, its sidecar and its relay are replaced together, so they are one target.
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
        return drainEngine(engine);
    case 8:
        return crashEngine(engine);
    case 9:
        return injectRelayFault("engine", *m_fleet.engines[engine].relay, engineName);
    case 10:
        return injectRelayFault("store", *m_fleet.entries[entry].storeRelay, "store-" + std::to_string(entry));
    case 11:
        return injectStoreFault();
    case 12:
        return injectShopFault(m_random() % m_fleet.shopServers.size());
    default:
        ++m_counts["configuration"];
        m_fleet.publishConfiguration();
    }
}

} // namespace zinniadock::soak
