#pragma once

#include <chrono>
#include <functional>
#include <string>

#include "zinniadock/connection/enginestream.h"
#include "zinniadock/process/timeline.h"

namespace zinniadock
{

/// What a watch tells its sidecar.
struct BackendWatchCallbacks
{
    std::function<void(const EngineReport &)> onReport; ///< after each load report of an engine
    std::function<void(bool alive)> onReachabilityChanged; ///< when the backend server began or ceased to answer
    std::function<bool(std::chrono::milliseconds)> waitFor; ///< waits; false once the process stops
};

/// Asks a backend server again and again whether it answers, and an engine for its load.
class BackendWatch
{
public:
    /// \param kind  `engine` or `service`
    BackendWatch(const std::string &kind, Endpoint backend, BackendTimeouts timeouts, BackendWatchCallbacks hooks,
                 Timeline &timeline);

    /// Asks until the process stops; on a thread of the caller.
    void run();

private:
    bool ask();
    bool askEngine();

    const bool m_isEngine;
    const Endpoint m_backend;
    const BackendTimeouts m_timeouts;
    const BackendWatchCallbacks m_hooks;
    Timeline &m_timeline;
    std::uint64_t m_incarnation = 0; ///< of the engine; 0 until known
};

} // namespace zinniadock
