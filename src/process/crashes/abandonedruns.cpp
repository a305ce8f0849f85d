#include "zinniadock/process/crashes/abandonedruns.h"

#include <algorithm>

namespace zinniadock
{

namespace
{

/// An entry without work on a server learns of its end from the list of servers, some heartbeats later.
constexpr std::chrono::milliseconds retention{ 5000 };

/// Time in which a server ends on a run after its connection was closed. Most servers drop such a run.
constexpr std::chrono::milliseconds maxTimeToCrash{ 500 };

/// Time after which a server that has not responded since is checked. Most servers respond to another request before.
constexpr std::chrono::milliseconds checkDelay{ 700 };

/// The same while the process ends.
constexpr std::chrono::milliseconds hastenedCheckDelay{ 150 };

constexpr std::size_t maxRuns = 1024;

} // namespace

void AbandonedRuns::record(AbandonedRun run)
{
    forgetOld(run.abandonedAt);
    if (m_runs.size() >= maxRuns) {
        m_runs.pop_front();
    }
    m_runs.push_back(std::move(run));
}

void AbandonedRuns::recordAlive(const std::string &server, SteadyTime now)
{
    std::erase_if(m_runs, [&server, now](const AbandonedRun &each) {
        return each.server.id == server && now - each.abandonedAt > maxTimeToCrash;
    });
}

const ServerRecord *AbandonedRuns::findServer(const std::string &server) const
{
    const auto found = std::find_if(m_runs.rbegin(), m_runs.rend(), [&server](const AbandonedRun &each) {
        return each.server.id == server;
    });
    return found == m_runs.rend() ? nullptr : &found->server;
}

std::vector<ServerRecord> AbandonedRuns::takeDueChecks(SteadyTime now)
{
    const auto delay = m_isHastened ? hastenedCheckDelay : checkDelay;
    std::vector<ServerRecord> due;
    for (AbandonedRun &each : m_runs) {
        if (each.needsCheck && now - each.abandonedAt >= delay) {
            each.needsCheck = false;
            due.push_back(each.server);
        }
    }
    return due;
}

bool AbandonedRuns::needsChecks() const
{
    return std::any_of(m_runs.begin(), m_runs.end(), [](const AbandonedRun &each) {
        return each.needsCheck;
    });
}

void AbandonedRuns::hasten()
{
    m_isHastened = true;
}

std::vector<EndedRun> AbandonedRuns::take(const std::string &server, SteadyTime seenAt)
{
    forgetOld(seenAt);
    std::vector<EndedRun> taken;
    std::erase_if(m_runs, [&server, &taken, seenAt](AbandonedRun &each) {
        if (each.server.id != server) {
            return false;
        }
        const SteadyTime endedAt = std::min(seenAt, each.abandonedAt + maxTimeToCrash);
        each.run.duration = std::chrono::duration_cast<std::chrono::milliseconds>(endedAt - each.sentAt);
        taken.push_back(std::move(each.run));
        return true;
    });
    return taken;
}

void AbandonedRuns::forgetOld(SteadyTime now)
{
    while (!m_runs.empty() && now - m_runs.front().abandonedAt > retention) {
        m_runs.pop_front();
    }
}

} // namespace zinniadock
