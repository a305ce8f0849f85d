#include "zinniadock/process/servers/backendwatch.h"

#include "zinniadock/connection/servicecall.h"
#include "zinniadock/process/observing/log.h"

namespace zinniadock
{

namespace
{

using Clock = std::chrono::steady_clock;

constexpr Log log{ "backend" };

constexpr std::chrono::milliseconds probeInterval{ 200 };

// Probes that take longer are recorded in the timeline.
constexpr std::chrono::milliseconds slowProbeThreshold{ 500 };

} // namespace

BackendWatch::BackendWatch(const std::string &kind, Endpoint backend, BackendTimeouts timeouts,
                           BackendWatchCallbacks callbacks, Timeline &timeline)
    : m_isEngine(kind == "engine")
    , m_backend(std::move(backend))
    , m_timeouts(timeouts)
    , m_callbacks(std::move(callbacks))
    , m_timeline(timeline)
{
}

void BackendWatch::run()
{
    bool wasAlive = true;
    do {
        const bool alive = probe();
        if (alive != wasAlive) {
            wasAlive = alive;
            alive ? log.info("the backend server responds") : log.warning("the backend server does not respond");
            m_timeline.record(alive ? EventKind::BackendUp : EventKind::BackendDown);
            m_callbacks.onReachabilityChanged(alive);
        }
    } while (m_callbacks.waitFor(probeInterval));
}

bool BackendWatch::probe()
{
    const auto begin = Clock::now();
    const bool alive = m_isEngine ? probeEngine() : isServiceReachable(m_backend, m_timeouts);
    const auto duration = std::chrono::duration_cast<std::chrono::milliseconds>(Clock::now() - begin);
    if (duration > slowProbeThreshold) {
        m_timeline.record(EventKind::BackendSlow, { .detail = formatMilliseconds(duration) });
    }
    return alive;
}

bool BackendWatch::probeEngine()
{
    const auto report = readEngineReport(m_backend, m_timeouts);
    if (!report) {
        return false;
    }
    if (m_incarnation != 0 && m_incarnation != report->incarnation) {
        m_timeline.record(EventKind::BackendRestarted);
    }
    m_incarnation = report->incarnation;
    m_callbacks.onReport(*report);
    return true;
}

} // namespace zinniadock
