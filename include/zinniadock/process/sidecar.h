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
#include "zinniadock/process/admission.h"
#include "zinniadock/process/settings.h"
#include "zinniadock/process/sidecarlinks.h"
#include "zinniadock/process/timeline.h"
#include "zinniadock/request/generationrunner.h"
#include "zinniadock/request/sidecarsession.h"
#include "zinniadock/version/version.h"

namespace zinniadock
{

/// Counts of a sidecar, for its status page.
struct SidecarStatus
{
    LoadReport load;
    std::uint64_t incarnation = 0;
    std::uint64_t offers = 0;
    std::uint64_t refusals = 0;
    std::uint64_t resumed = 0;
    std::uint64_t adopted = 0; ///< taken up from the engine after a restart of this process
    std::uint64_t tombstones = 0;
    std::uint64_t rejectedFrames = 0;
    std::size_t sessions = 0;
};

/// The process beside one backend server: the only way to it, and the gate before it.
class Sidecar
{
public:
    Sidecar(DaemonSection daemon, SidecarSection settings);
    ~Sidecar();

    Sidecar(const Sidecar &) = delete;
    Sidecar &operator=(const Sidecar &) = delete;

    /// Starts to listen for entries.
    std::error_code start();

    /// Returns the port that entries connect to.
    std::uint16_t port() const;

    /// Refuses new requests from now on, and tells every entry.
    void drain();

    /// Waits until every request has ended and its answer was acknowledged; false after \p timeout.
    bool waitIdle(std::chrono::milliseconds timeout);

    /// Stops at once; requests that still run are left on the engine, for a successor to take up.
    void stop();

    SidecarStatus status() const;
    std::uint64_t revision() const;
    Timeline &timeline();

private:
    using SessionPointer = std::shared_ptr<SidecarSession>;
    using Clock = std::chrono::steady_clock;

    void received(LinkId link, const std::string &frame);
    void closed(LinkId link);
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
    std::optional<Failure> refusalOf(const Offer &offer) const;
    void offerGeneration(const SessionPointer &session, LinkId link);
    void resumeUnknown(LinkId link, const Resume &message);
    void refuse(LinkId link, const GenerationKey &key, const Failure &failure);
    void pushConfiguration(LinkId link, std::uint64_t theirRevision);

    void startWorker(const SessionPointer &session, std::function<void()> work);
    GenerationCallbacks generationHooks();
    void runCall(const SessionPointer &session);
    void endGeneration(const SessionPointer &session, LinkMessage message, bool whole);
    bool suspectRuns() const;
    void admitWaiting();

    void housekeep();
    void endWithdrawn();
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

    mutable std::mutex m_mutex; ///< guards everything down to the counters
    std::condition_variable m_wake;
    Admission m_admission;
    std::unordered_map<GenerationKey, SessionPointer> m_sessions;
    std::unordered_set<GenerationKey> m_queued; ///< offered to the gate and not yet admitted
    std::unordered_map<GenerationKey, Clock::time_point> m_tombstones;
    std::uint32_t m_runningCalls = 0;
    bool m_draining = false;
    bool m_stopping = false;
    bool m_backendAlive = true;
    std::uint64_t m_engineIncarnation = 0;
    std::deque<CrashNotice> m_crashes; ///< the newest, for entries that link later
    SidecarStatus m_counters;

    std::string m_servedVersion; ///< of the model, by the configuration in force
    SidecarLinks m_links;
    GenerationRunner m_runner;
    std::unique_ptr<Poco::ThreadPool> m_workers;
    std::thread m_housekeeper;
    std::thread m_watcher;
};

} // namespace zinniadock
