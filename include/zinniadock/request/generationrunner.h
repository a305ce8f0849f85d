#pragma once

#include <chrono>
#include <functional>
#include <memory>

#include "zinniadock/connection/enginestream.h"
#include "zinniadock/process/timeline.h"
#include "zinniadock/request/sidecarsession.h"

namespace zinniadock
{

/// What a generation runner tells its sidecar.
struct GenerationCallbacks
{
    std::function<void(const GenerationKey &)> onToken; ///< before each token is sent on
    std::function<void(const std::shared_ptr<SidecarSession> &)> onAdopted; ///< found on the engine after a restart
    /// The generation has ended; \c whole says that it ended by itself.
    std::function<void(const std::shared_ptr<SidecarSession> &, LinkMessage message, bool whole)> onEnded;
    std::function<bool(std::chrono::milliseconds)> waitFor; ///< waits; false once the process stops
    std::function<bool()> isStopping;
};

/// Runs generations on one engine, each on a thread of its caller, over breaks of the engine's connections.
class GenerationRunner
{
public:
    GenerationRunner(Endpoint engine, BackendTimeouts timeouts, GenerationCallbacks callbacks, Timeline &timeline);

    /// Sends a new request to the engine and follows it to its end.
    void run(const std::shared_ptr<SidecarSession> &session);

    /// Takes up a generation that the engine may still have, and follows it to its end.
    void resume(const std::shared_ptr<SidecarSession> &session);

private:
    void streamTokens(const std::shared_ptr<SidecarSession> &session, const std::shared_ptr<EngineStream> &firstStream);
    bool reopenStream(const std::shared_ptr<SidecarSession> &session, std::shared_ptr<EngineStream> &stream);

    const Endpoint m_engine;
    const BackendTimeouts m_timeouts;
    const GenerationCallbacks m_callbacks;
    Timeline &m_timeline;
};

/// Returns the message that tells an entry of a failure.
Failed failedMessage(const GenerationKey &key, const Failure &failure);

} // namespace zinniadock
