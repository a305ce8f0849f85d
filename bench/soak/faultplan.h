#pragma once

#include <chrono>
#include <functional>
#include <map>
#include <random>
#include <string>
#include <vector>

#include "soakfleet.h"

namespace zinniadock::soak
{

/// Injects faults into a fleet from outside its processes. The faults are drawn from a seeded random generator. A
/// target has at most one active fault; faults of different targets may overlap. Not thread-safe.
class FaultPlan
{
public:
    FaultPlan(SoakFleet &fleet, SoakChecker &checker, std::uint64_t seed);

    /// Draws the next fault at random and starts it, unless its target already has an active fault.
    void injectFault();

    /// Runs the pending actions that are due: resumes or restarts processes, and ends faults of relays and stand-ins.
    void runDueActions();

    /// Ends every active fault and restarts every stopped process; blocks until no action is pending.
    void endAllFaults();

    /// Returns the number of injected faults by kind.
    const std::map<std::string, std::size_t> &counts() const;

private:
    using Time = std::chrono::steady_clock::time_point;

    struct PendingAction
    {
        Time dueTime;
        std::function<bool()> run; ///< returns false if the action has to be retried
    };

    /// Marks the target as faulty and counts the fault; returns false if the target already has an active fault.
    bool beginFault(const std::string &kind, const std::string &target);

    /// Schedules an action that ends the fault of a target. After the action the target can get another fault.
    void endFaultAfter(std::chrono::milliseconds delay, const std::string &target, std::function<void()> action);
    std::chrono::milliseconds randomDuration(int minMilliseconds, int maxMilliseconds);
    void killDaemon(const std::string &kind, DaemonProcess &daemon, const std::string &target);
    void freezeDaemon(const std::string &kind, DaemonProcess &daemon, const std::string &target);
    void slowDaemon(const std::string &kind, DaemonProcess &daemon, const std::string &target);
    void stopEntry(std::size_t index);
    void reloadEntry(std::size_t index);
    void drainEngine(std::size_t index);
    void crashEngine(std::size_t index);
    void replaceEngine(std::size_t index);
    void injectRelayFault(const std::string &kind, standin::LinkRelay &relay, const std::string &target);
    void injectStoreFault();
    void silenceConfiguration(std::size_t index);
    void turnAwayEntry(std::size_t index);
    void killAllEntries();
    void changeConfiguration();
    void injectShopFault(std::size_t index);
    void removeShop(std::size_t index);
    void injectEngineError(std::size_t index);
    void injectSecondResponses(std::size_t index);

    SoakFleet &m_fleet;
    SoakChecker &m_checker;
    std::mt19937_64 m_random;
    std::vector<PendingAction> m_pendingActions;
    std::map<std::string, bool> m_hasActiveFault; ///< by target
    std::map<std::string, std::size_t> m_counts; ///< by kind of fault
    bool m_isEndingAllFaults = false;
    Time m_lastStoreFault; ///< start of the last fault that may keep a change of the store from an entry
    Time m_lastDisruptiveFault; ///< start of the last fault that may abort in-flight requests
};

} // namespace zinniadock::soak
