#pragma once

#include <atomic>
#include <condition_variable>
#include <deque>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <system_error>
#include <thread>
#include <unordered_map>
#include <unordered_set>

#include <Poco/ThreadPool.h>

#include "zinniadock/connection/enginestream.h"
#include "zinniadock/connection/linkmessage.h"
#include "zinniadock/process/admission/admission.h"
#include "zinniadock/process/links/sidecarlinks.h"
#include "zinniadock/process/observing/timeline.h"
#include "zinniadock/process/settings.h"
#include "zinniadock/request/generationrunner.h"
#include "zinniadock/request/sidecarsession.h"
#include "zinniadock/version/version.h"

namespace zinniadock
{

/// State and counters of a sidecar for the status page.
struct SidecarStatus
{
    LoadReport load;
    std::uint64_t incarnation = 0;
    std::uint64_t offers = 0; ///< received offers
    std::uint64_t refusals = 0; ///< refused requests, including queued requests that were dropped
    std::uint64_t resumed = 0; ///< Resume messages for requests that have a session
    std::uint64_t adopted = 0; ///< generations found running on the engine after a restart of this process
    std::uint64_t tombstones = 0; ///< unknown requests that were recorded as refused
    std::uint64_t rejectedFrames = 0; ///< malformed frames
    std::size_t sessions = 0; ///< requests that have not ended, or whose response is still kept
};

/// The process beside one backend server. All requests to the server pass through it, and it decides on their
/// admission.
class Sidecar
{
public:
    Sidecar(DaemonSection daemon, SidecarSection settings);
    ~Sidecar();

    Sidecar(const Sidecar &) = delete;
    Sidecar &operator=(const Sidecar &) = delete;

    /// Starts listening for entries.
    std::error_code start();

    /// Returns the port that entries connect to.
    std::uint16_t port() const;

    /// Refuses queued and all further requests, and notifies every entry.
    void drain();

    /// Waits until every request has ended and no response is kept. A response is kept until it is acknowledged, its
    /// request is cancelled, or it expires. Returns false after \p timeout, or if the process stops before.
    bool waitUntilIdle(std::chrono::milliseconds timeout);

    /// Stops immediately. Requests that are still running remain on the engine, and the next sidecar process can adopt
    /// them.
    void stop();

    SidecarStatus status() const;
    std::uint64_t revision() const;
    Timeline &timeline();

private:
    using SessionPointer = std::shared_ptr<SidecarSession>;
    using Clock = std::chrono::steady_clock;

    void onFrameReceived(LinkId link, const std::string &frame);
    void onLinkClosed(LinkId link);
    void handle(LinkId link, Hello &message);
    void handle(LinkId link, Offer &message);
    void handle(LinkId link, Resume &message);
    void handle(LinkId link, Cancel &message);
    void handle(LinkId link, Ack &message);
    void handle(LinkId link, ConfigurationPush &message);
    void handle(LinkId link, ConfigurationDelta &message);
    void handle(LinkId link, Ping &message);
    void handle(LinkId link, ClockStamp &message);
    template <typename Other>
    void handle(LinkId link, Other &message);

    void install(const std::shared_ptr<const Version> &version);
    SessionPointer newSession(Offer offer, LinkId link, SequenceNumber from);
    std::optional<Failure> refusalReason(const Offer &offer) const;
    void submitForAdmission(const SessionPointer &session, LinkId link);
    void resumeUnknownRequest(LinkId link, const Resume &message);
    void refuse(LinkId link, const GenerationKey &key, const Failure &failure);
    void pushConfiguration(LinkId link, std::uint64_t peerRevision);

    void startWorker(const SessionPointer &session, std::function<void()> work);
    GenerationCallbacks generationCallbacks();
    void runCall(const SessionPointer &session);
    void endGeneration(const SessionPointer &session, LinkMessage message, bool isComplete);
    bool isSuspectRunning() const;
    void admitWaiting();

    void runHousekeeping();
    void endDroppedRequests();
    void reapSessions();
    void reportLoad(bool toAll);
    void watchBackend();

    AdmissionRequest admissionRequest(const Offer &offer) const;
    LoadReport loadReport() const;
    SessionPointer find(const GenerationKey &key) const;
    bool waitUnlessStopping(std::chrono::milliseconds duration);

    const DaemonSection m_daemon;
    const SidecarSection m_settings;
    const BackendTimeouts m_timeouts;
    const std::uint64_t m_incarnation;
    VersionHolder m_version;
    Timeline m_timeline;

    mutable std::mutex m_mutex; ///< guards the members from m_admission to m_servedVersion
    std::condition_variable m_wake;
    Admission m_admission;
    std::unordered_map<GenerationKey, SessionPointer> m_sessions;
    std::unordered_set<GenerationKey> m_queued; ///< queued for admission
    std::unordered_map<GenerationKey, Clock::time_point> m_tombstones; ///< requests recorded as refused, and when
    std::uint32_t m_runningCalls = 0;
    bool m_draining = false;
    bool m_stopping = false;
    bool m_backendAlive = true;
    std::uint64_t m_engineIncarnation = 0;
    std::deque<CrashNotice> m_crashNotices; ///< the newest notices, for entries that connect later
    SidecarStatus m_counters;

    std::string m_servedVersion; ///< model version of this server in the current configuration
    SidecarLinks m_links;
    GenerationRunner m_runner;
    std::unique_ptr<Poco::ThreadPool> m_workers;
    std::thread m_housekeepingThread;
    std::thread m_backendWatchThread;
};

} // namespace zinniadock
