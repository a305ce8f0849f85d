#include "faultplan.h"

#include <algorithm>
#include <array>
#include <csignal>
#include <memory>

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

/// Bound for the use of a server after its removal, and the time that a request may take to reach it.
constexpr std::chrono::milliseconds drainWithin{ 2000 };
constexpr std::chrono::milliseconds drainSlack{ 300 };

/// Bound for a change of the configuration, and the time to see it in the metrics of an entry.
constexpr std::chrono::milliseconds configurationWithin{ 2000 };
constexpr std::chrono::milliseconds configurationSlack{ 400 };

/// A slow process runs for slowRunTime after each slowStopTime.
constexpr std::chrono::milliseconds slowStopTime{ 200 };
constexpr std::chrono::milliseconds slowRunTime{ 40 };

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
    // Cut and silent connections to the store, while new ones work, must not delay what the store has acknowledged.
    const bool isStoreFault = kind.starts_with("store") && kind != "store_cut" && kind != "store_open_silent";
    if (isStoreFault || kind == "freeze_entry") {
        m_lastStoreFault = std::chrono::steady_clock::now();
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

// The process runs only for a part of the time, as on a machine with little processor time. This is no excuse for a
// change that is late.
void FaultPlan::slowDaemon(const std::string &kind, DaemonProcess &daemon, const std::string &target)
{
    if (!daemon.isRunning() || !beginFault(kind, target)) {
        return;
    }
    const auto startedAt = std::chrono::steady_clock::now();
    const auto endsAt = startedAt + randomDuration(1000, 4000);
    const auto isStopped = std::make_shared<bool>(false);
    const auto nextTurn = std::make_shared<Time>(startedAt);
    m_pendingActions.push_back({ startedAt, [this, &daemon, target, endsAt, isStopped, nextTurn] {
                                    const auto now = std::chrono::steady_clock::now();
                                    const bool hasEnded = m_isEndingAllFaults || now >= endsAt;
                                    if (hasEnded) {
                                        daemon.sendSignal(SIGCONT);
                                        m_hasActiveFault[target] = false;
                                    } else if (now >= *nextTurn) {
                                        *isStopped = !*isStopped;
                                        daemon.sendSignal(*isStopped ? SIGSTOP : SIGCONT);
                                        *nextTurn = now + (*isStopped ? slowStopTime : slowRunTime);
                                    }
                                    return hasEnded;
                                } });
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
    constexpr std::array<const char *, 6> relayFaults{
        "silent_to_server", "silent_to_client", "silent_both", "slow", "cut", "open_silent"
    };
    const std::size_t fault = m_random() % relayFaults.size();
    if (!beginFault(kind + "_" + relayFaults.at(fault), target)) {
        return;
    }
    if (fault < 3) {
        relay.setBlockedDirections({ .toServer = fault != 1, .toClient = fault != 0 });
    } else if (fault == 3) {
        relay.setDelay(randomDuration(20, 150));
    } else if (fault == 4) {
        relay.cut();
    } else {
        relay.silenceOpenConnections();
    }
    endFaultAfter(randomDuration(200, 3000), target, [&relay] {
        relay.setBlockedDirections({});
        relay.setDelay(std::chrono::milliseconds(0));
    });
}

void FaultPlan::injectStoreFault()
{
    const auto choice = m_random() % 4;
    if (choice == 0) {
        if (beginFault("store_compacts", "store")) {
            m_fleet.store.compact();
            m_hasActiveFault["store"] = false;
        }
    } else if (choice == 1) {
        if (beginFault("store_loses_answers", "store")) {
            m_fleet.store.setUnresponsive(true);
            endFaultAfter(randomDuration(50, 1500), "store", [this] {
                m_fleet.store.setUnresponsive(false);
            });
        }
    } else if (beginFault("store_down", "store")) {
        m_fleet.store.setDown(true);
        endFaultAfter(randomDuration(300, 4000), "store", [this] {
            m_fleet.store.setDown(false);
        });
    }
}

// The store answers an entry except for the configuration, which other entries must tell it in time.
void FaultPlan::silenceConfiguration(std::size_t index)
{
    const std::string target = "configuration-silent";
    if (!beginFault("configuration_silent", target)) {
        return;
    }
    standin::StoreAddress &address = *m_fleet.entries[index].storeAddress;
    address.setFault(standin::AddressFault{ .prefix = "op/" });
    endFaultAfter(randomDuration(1000, 5000), target, [&address] {
        address.setFault(std::nullopt);
    });
}

// The store turns one entry away and serves the others, which must tell it of changes in time.
void FaultPlan::turnAwayEntry(std::size_t index)
{
    const std::string target = "turned-away";
    if (!beginFault("entry_turned_away", target)) {
        return;
    }
    standin::StoreAddress &address = *m_fleet.entries[index].storeAddress;
    address.setFault(standin::AddressFault{ .prefix = "", .status = 503 });
    m_fleet.entries[index].storeRelay->cut();
    endFaultAfter(randomDuration(1000, 5000), target, [&address] {
        address.setFault(std::nullopt);
    });
}

void FaultPlan::killAllEntries()
{
    for (std::size_t i = 0; i < m_fleet.entries.size(); ++i) {
        killDaemon("kill_all_entries", *m_fleet.entries[i].daemon, "entry-" + std::to_string(i));
    }
}

// Each entry that runs all the while must have a version within configurationWithin, unless a fault may have kept it
// from several entries.
void FaultPlan::changeConfiguration()
{
    ++m_counts["configuration"];
    m_fleet.publishConfiguration();
    const auto publishedAt = std::chrono::steady_clock::now();
    const std::uint64_t version = m_fleet.configurationVersion;
    std::vector<std::string> incarnations;
    for (const Entry &entry : m_fleet.entries) {
        incarnations.push_back(entry.daemon->isRunning() ? entry.daemon->incarnation() : "");
    }
    m_pendingActions.push_back(
        { publishedAt + configurationWithin + configurationSlack, [this, publishedAt, version, incarnations] {
             const bool isExcused = m_lastStoreFault + minFaultFreeTime > publishedAt || m_isEndingAllFaults;
             for (std::size_t i = 0; i < m_fleet.entries.size() && !isExcused; ++i) {
                 const Entry &entry = m_fleet.entries[i];
                 const bool hasFault = m_hasActiveFault["entry-" + std::to_string(i)];
                 const std::uint64_t reported = reportedVersion(entry);
                 if (!hasFault && incarnations[i] == entry.daemon->incarnation() && reported > 0
                     && reported < version) {
                     m_checker.addViolation(incarnations[i] + ": version " + std::to_string(version)
                                            + " was not in force in time, but version " + std::to_string(reported));
                 }
             }
             return true;
         } });
}

// Entries must not use a server later than drainWithin after the store has acknowledged its removal. The stand-in of
// the store is down, or does not answer, during other faults, and a frozen entry can't learn of the removal.
void FaultPlan::removeShop(std::size_t index)
{
    const std::string target = "shop-" + std::to_string(index);
    if (!beginFault("shop_removed", target)) {
        return;
    }
    standin::PlatformServer &server = *m_fleet.shopServers[index];
    m_fleet.store.remove("servers/" + server.id());
    const auto removedAt = std::chrono::steady_clock::now();
    const auto countedRuns = std::make_shared<std::optional<std::size_t>>();
    m_pendingActions.push_back({ removedAt + drainWithin + drainSlack, [&server, countedRuns] {
                                    *countedRuns = server.startedRequests().size();
                                    return true;
                                } });
    endFaultAfter(drainWithin + drainSlack + randomDuration(500, 1500), target,
                  [this, &server, countedRuns, removedAt] {
                      const bool isExcused = m_lastStoreFault + minFaultFreeTime > removedAt || m_isEndingAllFaults;
                      if (!isExcused && *countedRuns && server.startedRequests().size() > **countedRuns) {
                          m_checker.addViolation(server.id() + ": got requests too long after its removal");
                      }
                      m_fleet.store.put("servers/" + server.id(), server.record("shop"));
                  });
}

void FaultPlan::injectEngineError(std::size_t index)
{
    const std::string target = "engine-error-" + std::to_string(index);
    const bool hasCrashed = !m_fleet.engines[index].server;
    if (hasCrashed || !beginFault("engine_errs", target)) {
        return;
    }
    const std::string head = "X-Request-Id: {id}\r\nX-Server-Signature: s\r\nContent-Length: 2\r\n\r\n{}";
    // Each reply leaves open whether the request ran, since the stand-in counts it as a run.
    const std::array<std::string, 4> replies{ "HTTP/1.1 500 Internal Server Error\r\n" + head,
                                              "HTTP/1.1 504 Gateway Timeout\r\n" + head,
                                              "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 2\r\n\r\n{}",
                                              "no response\r\n\r\n" };
    const std::string engine = m_fleet.engines[index].id;
    m_fleet.engines[index].server->setScriptedResponse({ .parts = { replies.at(m_random() % replies.size()) } });
    endFaultAfter(randomDuration(200, 1500), target, [this, index, engine] {
        if (m_fleet.engines[index].id == engine && m_fleet.engines[index].server) {
            m_fleet.engines[index].server->clearScriptedResponse();
        }
    });
}

void FaultPlan::injectSecondResponses(std::size_t index)
{
    const std::string target = "second-" + std::to_string(index);
    if (!beginFault("second_responses", target)) {
        return;
    }
    m_fleet.shopServers[index]->setSecondResponse(randomDuration(0, 30));
    endFaultAfter(randomDuration(500, 3000), target, [this, index] {
        m_fleet.shopServers[index]->setSecondResponse(std::nullopt);
    });
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
    constexpr std::uint64_t faultKinds = 22; // the cases below and the default
    switch (m_random() % faultKinds) {
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
    case 13:
        return removeShop(0);
    case 14:
        return injectEngineError(engine);
    case 15:
        return injectSecondResponses(m_random() % m_fleet.shopServers.size());
    case 16:
        for (std::size_t each = 0; each < m_fleet.entries.size() && m_random() % 3 == 0; ++each) {
            stopEntry(each);
        }
        return;
    case 17:
        return silenceConfiguration(entry);
    case 18:
        return slowDaemon("slow_entry", *m_fleet.entries[entry].daemon, entryName);
    case 19:
        return turnAwayEntry(entry);
    case 20:
        return killAllEntries();
    default:
        return changeConfiguration();
    }
}

} // namespace zinniadock::soak
