#include "zinniadock/process/backendwatch.h"

#include "zinniadock/connection/servicecall.h"
#include "zinniadock/process/log.h"

namespace zinniadock
{

namespace
{

using Clock = std::chrono::steady_clock;

constexpr Log log{ "backend" };

constexpr std::chrono::milliseconds interval{ 200 };

// Longer waits than this are told in the time line.
constexpr std::chrono::milliseconds longWait{ 500 };

} // namespace

BackendWatch::BackendWatch(const std::string &kind, Endpoint backend, BackendTimeouts timeouts, BackendHooks hooks,
                           Timeline &timeline)
    : m_isEngine(kind == "engine")
    , m_backend(std::move(backend))
    , m_timeouts(timeouts)
    , m_hooks(std::move(hooks))
    , m_timeline(timeline)
{
}

void BackendWatch::run()
{
    bool wasAlive = true;
    do {
        const bool alive = ask();
        if (alive != wasAlive) {
            wasAlive = alive;
            alive ? log.info("the backend server answers") : log.warning("the backend server does not answer");
            m_timeline.record(alive ? EventKind::BackendUp : EventKind::BackendDown);
            m_hooks.changed(alive);
        }
    } while (m_hooks.pause(interval));
}

bool BackendWatch::ask()
{
    const auto begin = Clock::now();
    const bool alive = m_isEngine ? askEngine() : serviceAnswers(m_backend, m_timeouts);
    const auto took = std::chrono::duration_cast<std::chrono::milliseconds>(Clock::now() - begin);
    if (took > longWait) {
        m_timeline.record(EventKind::BackendSlow, { .detail = formatMilliseconds(took) });
    }
    return alive;
}

bool BackendWatch::askEngine()
{
    const auto report = readEngineReport(m_backend, m_timeouts);
    if (!report) {
        return false;
    }
    if (m_incarnation != 0 && m_incarnation != report->incarnation) {
        m_timeline.record(EventKind::BackendRestarted);
    }
    m_incarnation = report->incarnation;
    m_hooks.reported(*report);
    return true;
}

} // namespace zinniadock
