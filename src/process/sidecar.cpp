#include "zinniadock/process/sidecar.h"

#include "zinniadock/process/admission/pausewatch.h"
#include "zinniadock/process/observing/log.h"
#include "zinniadock/process/servers/backendwatch.h"
#include "zinniadock/version/versiondelta.h"

namespace zinniadock
{

namespace
{

constexpr Log log{ "sidecar" };

constexpr std::chrono::milliseconds housekeepingInterval{ 20 };
constexpr std::chrono::milliseconds idleReportInterval{ 5000 };

// An unacknowledged response without a link is removed after this time.
constexpr std::chrono::milliseconds responseRetention{ 30000 };

// While draining, a response without a link is kept only for the time that an entry may need to reconnect.
constexpr std::chrono::milliseconds responseRetentionWhileDraining{ 5000 };
constexpr std::chrono::milliseconds tombstoneRetention{ std::chrono::minutes(10) };
constexpr double initialExpectedTokens = 400;
constexpr std::uint32_t initialTotalBlocks = 1U << 20U;
constexpr std::uint32_t spareWorkers = 16;

} // namespace

Sidecar::Sidecar(DaemonSection daemon, SidecarSection settings)
    : m_daemon(std::move(daemon))
    , m_settings(std::move(settings))
    , m_timeouts{ .connect = m_settings.connectTimeout, .receive = m_settings.silenceTimeout }
    , m_incarnation(randomNumber())
    , m_admission(EngineLimits{ .totalBlocks = initialTotalBlocks,
                                .maxRunning = m_settings.maxRunning,
                                .maxWaiting = m_settings.maxWaiting },
                  initialExpectedTokens)
    , m_links(LinkHandlers{ .opened = [](LinkId) {},
                            .closed =
                                [this](LinkId link) {
                                    onLinkClosed(link);
                                },
                            .received =
                                [this](LinkId link, const std::string &frame) {
                                    onFrameReceived(link, frame);
                                } },
              m_timeline)
    , m_runner(m_settings.backend, m_timeouts, generationCallbacks(), m_timeline)
    , m_workers(std::make_unique<Poco::ThreadPool>(2, static_cast<int>(m_settings.maxRunning + spareWorkers)))
{
}

Sidecar::~Sidecar()
{
    stop();
}

std::error_code Sidecar::start()
{
    if (const std::error_code error = m_links.listen(m_settings.listen.address, m_settings.listen.port)) {
        return error;
    }
    m_housekeepingThread = std::thread([this] {
        runHousekeeping();
    });
    m_backendWatchThread = std::thread([this] {
        watchBackend();
    });
    log.info("listening for entries on port " + std::to_string(port()));
    m_timeline.record(EventKind::ProcessStarted);
    return {};
}

std::uint16_t Sidecar::port() const
{
    return m_links.port();
}

void Sidecar::drain()
{
    std::vector<SessionPointer> refused;
    {
        const std::lock_guard lock(m_mutex);
        if (m_draining) {
            return;
        }
        m_draining = true;
        for (const GenerationKey &key : m_admission.close()) {
            refused.push_back(m_sessions.at(key));
        }
    }
    log.info("draining: new requests are refused");
    m_timeline.record(EventKind::Draining);
    for (const SessionPointer &session : refused) {
        session->recordEnd(failedMessage(session->key(),
                                         Failure{ .code = RequestError::Draining,
                                                  .verdict = Verdict::NotRun,
                                                  .message = "the backend server is draining" }));
    }
    reportLoad(true);
}

bool Sidecar::waitUntilIdle(std::chrono::milliseconds timeout)
{
    std::unique_lock lock(m_mutex);
    return m_wake.wait_for(lock, timeout, [this] {
        return m_sessions.empty() || m_stopping;
    }) && m_sessions.empty();
}

void Sidecar::stop()
{
    std::vector<SessionPointer> sessions;
    {
        const std::lock_guard lock(m_mutex);
        if (m_stopping) {
            return;
        }
        m_stopping = true;
        for (const auto &[key, session] : m_sessions) {
            sessions.push_back(session);
        }
    }
    m_wake.notify_all();
    m_links.stop();
    for (const SessionPointer &session : sessions) {
        session->cancel();
    }
    m_workers->joinAll();
    for (std::thread *thread : { &m_housekeepingThread, &m_backendWatchThread }) {
        if (thread->joinable()) {
            thread->join();
        }
    }
}

SidecarStatus Sidecar::status() const
{
    const std::lock_guard lock(m_mutex);
    SidecarStatus status = m_counters;
    status.load = loadReport();
    status.incarnation = m_incarnation;
    status.sessions = m_sessions.size();
    return status;
}

Timeline &Sidecar::timeline()
{
    return m_timeline;
}

std::uint64_t Sidecar::revision() const
{
    return m_version.revision();
}

void Sidecar::onFrameReceived(LinkId link, const std::string &frame)
{
    std::optional<std::vector<LinkMessage>> messages = decode(frame);
    if (!messages) {
        log.warning("closed a link: received a malformed frame of " + std::to_string(frame.size()) + " bytes");
        {
            const std::lock_guard lock(m_mutex);
            ++m_counters.rejectedFrames;
        }
        m_links.drop(link);
        return;
    }
    for (LinkMessage &message : *messages) {
        std::visit(
            [this, link](auto &content) {
                handle(link, content);
            },
            message);
    }
}

void Sidecar::onLinkClosed(LinkId link)
{
    std::vector<SessionPointer> sessions;
    {
        const std::lock_guard lock(m_mutex);
        for (const auto &[key, session] : m_sessions) {
            sessions.push_back(session);
        }
    }
    m_links.removeLink(link);
    for (const SessionPointer &session : sessions) {
        session->detach(link);
    }
}

void Sidecar::handle(LinkId link, Hello &message)
{
    std::deque<CrashNotice> crashes;
    {
        const std::lock_guard lock(m_mutex);
        crashes = m_crashNotices;
    }
    m_links.registerLink(link, message.instance);
    m_links.send(link,
                 Hello{ .instance = m_settings.server,
                        .dataCentre = m_daemon.dataCentre,
                        .incarnation = m_incarnation,
                        .revision = m_version.revision() });
    for (const CrashNotice &crash : crashes) {
        m_links.send(link, crash);
    }
    pushConfiguration(link, message.revision);
}

void Sidecar::handle(LinkId link, ConfigurationPush &message)
{
    if (message.revision <= m_version.revision()) {
        return;
    }
    const auto version = makeVersion(message.revision, message.digest, message.text);
    if (!version) {
        log.error("configuration revision " + std::to_string(message.revision)
                  + " from a peer is not installed: it does not match its digest or violates a rule");
        m_links.drop(link);
        return;
    }
    install(version);
}

// A delta does not apply if an earlier delta was lost with its link. The sidecar then requests the full text.
void Sidecar::handle(LinkId link, ConfigurationDelta &message)
{
    const auto current = m_version.current();
    const std::uint64_t revision = current ? current->revision : 0;
    if (message.revision <= revision) {
        return;
    }
    const auto version = current && revision == message.base
        ? makeNextVersion(*current, message.revision, message.digest, message.changes)
        : nullptr;
    if (!version) {
        m_links.send(link, ConfigurationRequest{ .revision = revision });
        return;
    }
    install(version);
}

void Sidecar::install(const std::shared_ptr<const Version> &version)
{
    if (!m_version.install(version)) {
        return;
    }
    log.info("configuration revision " + std::to_string(version->revision) + " is in force");
    m_timeline.record(EventKind::RevisionInForce, { .subject = std::to_string(version->revision) });
    {
        const std::lock_guard lock(m_mutex);
        EngineLimits limits{ .totalBlocks = 0,
                             .maxRunning = m_settings.maxRunning,
                             .maxWaiting = m_settings.maxWaiting };
        limits.memoryRisk = version->policy().memoryRisk();
        limits.maxWait = version->policy().maxWait;
        m_admission.setLimits(limits);
        m_servedVersion = version->versionOfServer(m_settings.server);
    }
    reportLoad(true);
}

void Sidecar::handle(LinkId link, Ping &message)
{
    m_links.send(link, Pong{ .number = message.number });
}

void Sidecar::handle(LinkId /*link*/, ClockStamp &message)
{
    m_timeline.clock().observe(HybridTime{ message.time });
}

// Ignores messages that only entries receive. A peer that sends such a message is faulty or uses a newer protocol.
template <typename Other>
void Sidecar::handle(LinkId /*link*/, Other & /*message*/)
{
}

void Sidecar::pushConfiguration(LinkId link, std::uint64_t peerRevision)
{
    const auto version = m_version.current();
    if (version && version->revision > peerRevision) {
        m_links.send(
            link, ConfigurationPush{ .revision = version->revision, .digest = version->digest, .text = version->text });
    }
}

void Sidecar::runHousekeeping()
{
    auto nextIdleReport = Clock::now();
    PauseDetector pauseDetector;
    while (waitUnlessStopping(housekeepingInterval)) {
        pauseDetector.tick(m_timeline);
        endDroppedRequests();
        admitWaiting();
        reapSessions();
        const bool toAll = Clock::now() >= nextIdleReport;
        nextIdleReport = toAll ? Clock::now() + idleReportInterval : nextIdleReport;
        reportLoad(toAll);
    }
}

void Sidecar::endDroppedRequests()
{
    std::vector<std::pair<SessionPointer, DroppedRequest>> ended;
    {
        const std::lock_guard lock(m_mutex);
        for (const DroppedRequest &dropped : m_admission.takeDropped(Clock::now())) {
            m_queued.erase(dropped.key);
            const auto position = m_sessions.find(dropped.key);
            if (position != m_sessions.end()) {
                ended.emplace_back(position->second, dropped);
                ++m_counters.refusals;
            }
        }
    }
    for (const auto &[session, dropped] : ended) {
        const bool expired = dropped.reason == RequestError::DeadlineExceeded;
        const Failure failure{
            .code = dropped.reason,
            .verdict = Verdict::NotRun,
            .message = expired
                ? "the request was still queued at its deadline or after twice the maximum wait"
                : "displaced from the full queue by a request of higher priority, or of a client account with "
                  "less service or fewer active requests",
            .retryAfter = dropped.retryAfter
        };
        m_timeline.record(EventKind::Withdrawn, generationContent(session->key(), failure.message));
        session->recordEnd(failedMessage(session->key(), failure));
    }
}

void Sidecar::reapSessions()
{
    const auto now = Clock::now();
    std::vector<SessionPointer> orphans;
    {
        const std::lock_guard lock(m_mutex);
        std::erase_if(m_sessions, [&](const auto &entry) {
            return entry.second->isRemovable(now, m_draining ? responseRetentionWhileDraining : responseRetention);
        });
        std::erase_if(m_tombstones, [&](const auto &entry) {
            return now - entry.second > tombstoneRetention;
        });
        for (const auto &[key, session] : m_sessions) {
            if (session->offer().kind == RequestKind::Generation
                && session->isOrphaned(now, m_settings.orphanTimeout)) {
                orphans.push_back(session);
            }
        }
    }
    m_wake.notify_all();
    for (const SessionPointer &session : orphans) {
        Cancel cancel{ .request = session->key().request, .generation = session->key().generation };
        handle(LinkId(), cancel);
    }
}

// Sends a load report on all links if toAll is set. Otherwise sends it only on links that were opened or carried a
// response since the last report. The other links get a report every idleReportInterval and after a change of state.
void Sidecar::reportLoad(bool toAll)
{
    std::set<LinkId> links = m_links.takeLinksOwedReport();
    if (toAll) {
        const std::vector<LinkId> all = m_links.allLinks();
        links.insert(all.begin(), all.end());
    }
    LoadReport report;
    {
        const std::lock_guard lock(m_mutex);
        report = loadReport();
    }
    for (const LinkId link : links) {
        m_links.send(link, report);
    }
}

void Sidecar::watchBackend()
{
    BackendWatchCallbacks callbacks;
    callbacks.onReport = [this](const EngineReport &report) {
        const std::lock_guard lock(m_mutex);
        m_engineIncarnation = report.incarnation;
        m_admission.applyEngineReport(report.usedBlocks, report.totalBlocks, report.preemptions, Clock::now());
    };
    callbacks.onReachabilityChanged = [this](bool alive) {
        {
            const std::lock_guard lock(m_mutex);
            m_backendAlive = alive;
        }
        reportLoad(true);
    };
    callbacks.waitFor = [this](std::chrono::milliseconds duration) {
        return waitUnlessStopping(duration);
    };
    BackendWatch(m_settings.kind, m_settings.backend, m_timeouts, std::move(callbacks), m_timeline).run();
}

LoadReport Sidecar::loadReport() const
{
    LoadReport report;
    report.running = m_admission.runningCount() + m_runningCalls;
    report.waiting = m_admission.waitingCount();
    report.usedBlocks = m_admission.committedBlocks();
    report.totalBlocks = static_cast<std::uint32_t>(m_admission.usableBlocks());
    report.linkedEntries = m_links.linkCount();
    report.expectedWait = m_admission.expectedWait();
    report.draining = m_draining;
    report.backendAlive = m_backendAlive;
    report.revision = m_version.revision();
    report.preemptions = m_admission.preemptions();
    return report;
}

bool Sidecar::waitUnlessStopping(std::chrono::milliseconds duration)
{
    std::unique_lock lock(m_mutex);
    const auto until = Clock::now() + duration;
    while (!m_stopping && Clock::now() < until) {
        m_wake.wait_until(lock, until);
    }
    return !m_stopping;
}

} // namespace zinniadock
