#pragma once

#include <chrono>
#include <functional>
#include <memory>

#include "zinniadock/connection/enginestream.h"
#include "zinniadock/process/observing/timeline.h"
#include "zinniadock/request/sidecarsession.h"

namespace zinniadock
{

/// Functions of the sidecar that a GenerationRunner calls.
struct GenerationCallbacks
{
    std::function<void(const GenerationKey &)> onToken; ///< called before each token is forwarded
    std::function<void(const std::shared_ptr<SidecarSession> &)>
        onAdopted; ///< called after a generation was resumed that the engine still had
    /// Called after the end of a generation. \c completed is true if the engine completed the generation.
    std::function<void(const std::shared_ptr<SidecarSession> &, LinkMessage message, bool completed)> onEnded;
    std::function<bool(std::chrono::milliseconds)> waitFor; ///< waits for a duration; false if the process is stopping
    std::function<bool()> isStopping;
};

/// Runs generations on one engine, each on the thread that calls run() or resume(). Reopens broken connections to the
/// engine.
class GenerationRunner
{
public:
    GenerationRunner(Endpoint engine, BackendTimeouts timeouts, GenerationCallbacks callbacks, Timeline &timeline);

    /// Sends a new request to the engine and forwards its tokens until the generation ends.
    void run(const std::shared_ptr<SidecarSession> &session);

    /// Resumes a generation that the engine may still have, and forwards its tokens until the generation ends.
    void resume(const std::shared_ptr<SidecarSession> &session);

private:
    void streamTokens(const std::shared_ptr<SidecarSession> &session, const std::shared_ptr<EngineStream> &firstStream);
    bool reopenStream(const std::shared_ptr<SidecarSession> &session, std::shared_ptr<EngineStream> &stream);

    const Endpoint m_engine;
    const BackendTimeouts m_timeouts;
    const GenerationCallbacks m_callbacks;
    Timeline &m_timeline;
};

/// Returns the message that reports a failure to an entry.
Failed failedMessage(const GenerationKey &key, const Failure &failure);

} // namespace zinniadock
