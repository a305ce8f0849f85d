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

/// Injects faults into a fleet from outside, in series and overlapping, by a seed.
class FaultPlan
{
public:
    FaultPlan(SoakFleet &fleet, SoakChecker &checker, std::uint64_t seed);

    /// Begins another fault, if its target is free.
    void injectOne();

    /// Ends what is due: thaws, restarts, heals.
    void settle();

    /// Ends every fault, and starts what was stopped.
    void healAll();

    /// Returns how often each kind was injected.
    const std::map<std::string, std::size_t> &counts() const;

private:
    using Time = std::chrono::steady_clock::time_point;

    struct Due
    {
        Time at;
        std::function<bool()> action; ///< false while it has to be tried again
    };

    bool take(const std::string &kind, const std::string &target);
    void after(std::chrono::milliseconds delay, const std::string &target, std::function<void()> action);
    std::chrono::milliseconds span(int least, int most);
    void killDaemon(const std::string &kind, Daemon &daemon, const std::string &target);
    void freezeDaemon(const std::string &kind, Daemon &daemon, const std::string &target);
    void stopEntry(std::size_t index);
    void reloadEntry(std::size_t index);
    void engineLeaves(std::size_t index);
    void engineCrashes(std::size_t index);
    void replaceEngine(std::size_t index);
    void troubleRelay(const std::string &kind, standin::LinkRelay &relay, const std::string &target);
    void troubleStore();
    void troubleShop(std::size_t index);

    SoakFleet &m_fleet;
    SoakChecker &m_checker;
    std::mt19937_64 m_random;
    std::vector<Due> m_due;
    std::map<std::string, bool> m_taken;
    std::map<std::string, std::size_t> m_counts;
    bool m_healing = false;
    Time m_lastCut; ///< last fault that may cut requests which are in progress
};

} // namespace zinniadock::soak
