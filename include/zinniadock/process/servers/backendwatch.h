#pragma once

#include <chrono>
#include <functional>
#include <string>

#include "zinniadock/connection/enginestream.h"
#include "zinniadock/process/observing/timeline.h"

namespace zinniadock
{

/// Callbacks from a BackendWatch to its sidecar.
struct BackendWatchCallbacks
{
    /// Called after each load report of an engine.
    std::function<void(const EngineReport &)> onReport;

    /// Called when the backend server becomes reachable or unreachable.
    std::function<void(bool alive)> onReachabilityChanged;

    /// Waits for the duration; returns false once the process stops.
    std::function<bool(std::chrono::milliseconds)> waitFor;
};

/// Probes periodically whether a backend server responds. If the server is an engine, each probe reads its load report.
class BackendWatch
{
public:
    /// \param kind  `engine` or `service`
    BackendWatch(const std::string &kind, Endpoint backend, BackendTimeouts timeouts, BackendWatchCallbacks callbacks,
                 Timeline &timeline);

    /// Probes until the process stops. Blocks the calling thread.
    void run();

private:
    bool probe();
    bool probeEngine();

    const bool m_isEngine;
    const Endpoint m_backend;
    const BackendTimeouts m_timeouts;
    const BackendWatchCallbacks m_callbacks;
    Timeline &m_timeline;
    std::uint64_t m_incarnation = 0; ///< incarnation of the engine; 0 until known
};

} // namespace zinniadock
