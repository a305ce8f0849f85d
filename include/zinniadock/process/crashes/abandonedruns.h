#pragma once

#include <chrono>
#include <cstddef>
#include <deque>
#include <string>
#include <vector>

#include "zinniadock/process/crashes/crashreport.h"

namespace zinniadock
{

/// A run whose connection this entry has closed before a whole response arrived: the caller left, the attempt was given
/// up, the stream was moved, or the process stops. The server may have gone on with it.
struct AbandonedRun
{
    ServerRecord server;
    EndedRun run; ///< its duration is computed when the server ends
    SteadyTime sentAt;
    SteadyTime abandonedAt;
    bool needsCheck = true; ///< whether takeDueChecks() will return the server
};

/// Remembers abandoned runs for some seconds. A server that ends soon after one may have crashed on it. The memory is
/// bounded. Has no network, clock or thread of its own. Not thread-safe.
class AbandonedRuns
{
public:
    /// Records a run. The oldest runs are forgotten if there are too many.
    void record(AbandonedRun run);

    /// Records that a server has responded to something: it did not crash on the runs that were abandoned long enough
    /// before.
    void recordAlive(const std::string &server, SteadyTime now);

    /// Returns the last record of a server that has abandoned runs; null if there is none.
    const ServerRecord *findServer(const std::string &server) const;

    /// Returns the servers to check, once for each run: they have not responded since the run would have ended them.
    std::vector<ServerRecord> takeDueChecks(SteadyTime now);

    /// Returns whether takeDueChecks() will return a server later.
    bool needsChecks() const;

    /// Shortens the time until a server is checked, since the process ends soon.
    void hasten();

    /// Removes and returns the runs that may have been running when a server ended.
    /// \param seenAt  when the end of the server was found out
    std::vector<EndedRun> take(const std::string &server, SteadyTime seenAt);

private:
    void forgetOld(SteadyTime now);

    std::deque<AbandonedRun> m_runs; ///< by the time at which they were abandoned
    bool m_isHastened = false; ///< hasten() was called
};

} // namespace zinniadock
