#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "zinniadock/connection/asynctypes.h"
#include "zinniadock/process/crashes/abandonedruns.h"
#include "zinniadock/process/crashes/crashreport.h"

namespace zinniadock
{

struct ForwardingServices;

/// When a server is checked on which a run was abandoned.
enum class AbandonedCheck {
    Soon, ///< servers have crashed on the request before
    IfSilent, ///< unless the server responds to another request
    None, ///< servers have responded to such requests; the server is checked for other reasons only
};

/// Determines whether a server has crashed after the connections of requests to it broke, or refused new ones, and
/// reports the requests that were running. A server has crashed if it refuses new connections, unless it had been
/// leaving and ended as planned. A server that is silent, unreachable or accepts connections has not. Used only on the
/// network thread.
class CrashWatch : public std::enable_shared_from_this<CrashWatch>
{
public:
    using Handler = std::function<void(CrashReport)>;

    /// \param handler  gets the report of each crash
    CrashWatch(ForwardingServices &services, Handler handler);

    /// Records that the connection of a request broke before a whole response arrived, and checks the server.
    void recordBrokenRun(const ServerRecord &server, EndedRun run);

    /// Records that this entry has closed the connection of a request before a whole response arrived. The request is
    /// part of the report if the server ends soon.
    void recordAbandonedRun(const ServerRecord &server, EndedRun run, SteadyTime sentAt, AbandonedCheck check);

    /// Records that a server refused a connection or is no longer listed. Checks it if runs on it were abandoned.
    void recordGone(const std::string &server);

    /// Records that a server has responded.
    void recordAlive(const std::string &server);

    /// Checks the servers on which runs were abandoned, if they have not responded since. Called at intervals of some
    /// 100 ms.
    void maintain();

    /// Checks these servers sooner, since the process ends soon.
    void hasten();

    /// Waits until a server that is being checked is found to have crashed or not, for a short time at most. What is
    /// sent next is then decided with this knowledge.
    Awaitable<void> waitForCheck(std::string server);

    /// Returns whether a server is being checked, or will be.
    bool isChecking() const;

    /// Returns the number of crashes that were reported.
    std::uint64_t crashes() const;

    /// Returns the number of abandoned runs in the reports.
    std::uint64_t abandonedCrashRuns() const;

private:
    /// Requests to one server whose connections broke at about the same time.
    struct Suspicion
    {
        ServerRecord server;
        SteadyTime at; ///< when the first connection broke
        std::vector<EndedRun> runs;
    };

    void startCheck(const ServerRecord &server, std::vector<EndedRun> runs, std::chrono::milliseconds delay);
    Awaitable<void> check(std::string server, std::chrono::milliseconds delay);
    bool isLeaving(const std::string &server) const;
    void addAbandonedRuns(Suspicion &suspicion);
    void report(Suspicion suspicion);
    void exclude(const Suspicion &suspicion, const IoError &error);

    ForwardingServices &m_services;
    const Handler m_handler;
    AbandonedRuns m_abandoned;
    std::map<std::string, Suspicion> m_suspicions; ///< servers that are being checked, by ID
    AsyncCondition m_checked; ///< notified when a check has ended
    std::uint64_t m_crashes = 0;
    std::uint64_t m_abandonedCrashRuns = 0;
};

} // namespace zinniadock
