#include "zinniadock/process/sidecar.h"

#include "zinniadock/process/backendwatch.h"
#include "zinniadock/process/log.h"
#include "zinniadock/process/pausewatch.h"
#include "zinniadock/version/versiondelta.h"

namespace zinniadock
{

namespace
{

constexpr Log log{ "sidecar" };

constexpr std::chrono::milliseconds housekeepingInterval{ 20 };
constexpr std::chrono::milliseconds idleReportInterval{ 5000 };
constexpr std::chrono::milliseconds answerLinger{ 30000 };

// While draining, an answer without a link is kept so long as an entry may need to open a new one.
constexpr std::chrono::milliseconds answerLingerInDrain{ 5000 };
constexpr std::chrono::milliseconds tombstoneLife{ std::chrono::minutes(10) };
constexpr double expectedTokensAtStart = 400;
constexpr std::uint32_t blocksUntilReported = 1U << 20U;
constexpr std::uint32_t spareWorkers = 16;

} // namespace

Sidecar::Sidecar(DaemonSection daemon, SidecarSection settings)
    : m_daemon(std::move(daemon))
    , m_settings(std::move(settings))
    , m_timeouts{ .connect = m_settings.connectTimeout, .receive = m_settings.silenceTimeout }
    , m_incarnation(randomNumber())
    , m_admission(EngineLimits{ .totalBlocks = blocksUntilReported,
                                .maxRunning = m_settings.maxRunning,
                                .maxWaiting = m_settings.maxWaiting },
                  expectedTokensAtStart)
    , m_links(LinkHandlers{ .opened = [](LinkId) {},
                            .closed =
                                [this](LinkId link) {
                                    closed(link);
                                },
                            .received =
                                [this](LinkId link, const std::string &frame) {
                                    received(link, frame);
                                } },
              m_timeline)
    , m_runner(m_settings.backend, m_timeouts, generationHooks(), m_timeline)
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
    m_housekeeper = std::thread([this] {
        housekeep();
    });
    m_watcher = std::thread([this] {
        watchBackend();
    });
    log.info("listens for entries on port " + std::to_string(port()));
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
    log.info("drains; new requests are refused");
    m_timeline.record(EventKind::Draining);
    for (const SessionPointer &session : refused) {
        session->recordEnd(failedMessage(session->key(),
                                         Failure{ .code = RequestError::Draining,
                                                  .verdict = Verdict::NotRun,
                                                  .message = "the backend server is leaving" }));
    }
    reportLoad(true);
}

bool Sidecar::waitIdle(std::chrono::milliseconds timeout)
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
    for (std::thread *thread : { &m_housekeeper, &m_watcher }) {
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

void Sidecar::received(LinkId link, const std::string &frame)
{
    std::optional<std::vector<LinkMessage>> messages = decode(frame);
    if (!messages) {
        log.warning("dropped a link that sent a malformed frame of " + std::to_string(frame.size()) + " bytes");
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

void Sidecar::closed(LinkId link)
{
    std::vector<SessionPointer> sessions;
    {
        const std::lock_guard lock(m_mutex);
        for (const auto &[key, session] : m_sessions) {
            sessions.push_back(session);
        }
    }
    m_links.closed(link);
    for (const SessionPointer &session : sessions) {
        session->detach(link);
    }
}

void Sidecar::handle(LinkId link, Hello &message)
{
    std::deque<CrashNotice> crashes;
    {
        const std::lock_guard lock(m_mutex);
        crashes = m_crashes;
    }
    m_links.greeted(link, message.instance);
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
        log.error("a peer sent configuration revision " + std::to_string(message.revision)
                  + " that does not match its digest");
        m_links.drop(link);
        return;
    }
    install(version);
}

// A delta that does not fit, after a message was lost with its link, is answered by asking for the whole text.
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
        limits.maxWait = version->policy().longestWait;
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

// Messages that only entries receive; a peer that sends one is of a later protocol or confused, and does no harm.
template <typename Other>
void Sidecar::handle(LinkId /*link*/, Other & /*message*/)
{
}

void Sidecar::pushConfiguration(LinkId link, std::uint64_t theirRevision)
{
    const auto version = m_version.current();
    if (version && version->revision > theirRevision) {
        m_links.send(
            link, ConfigurationPush{ .revision = version->revision, .digest = version->digest, .text = version->text });
    }
}

void Sidecar::housekeep()
{
    auto nextIdleReport = Clock::now();
    PauseWatch pause;
    while (waitUnlessStopping(housekeepingInterval)) {
        pause.beat(m_timeline);
        endWithdrawn();
        admitWaiting();
        reapSessions();
        const bool toAll = Clock::now() >= nextIdleReport;
        nextIdleReport = toAll ? Clock::now() + idleReportInterval : nextIdleReport;
        reportLoad(toAll);
    }
}

void Sidecar::endWithdrawn()
{
    std::vector<std::pair<SessionPointer, DroppedRequest>> ended;
    {
        const std::lock_guard lock(m_mutex);
        for (const DroppedRequest &withdrawal : m_admission.takeDropped(Clock::now())) {
            m_queued.erase(withdrawal.key);
            const auto position = m_sessions.find(withdrawal.key);
            if (position != m_sessions.end()) {
                ended.emplace_back(position->second, withdrawal);
                ++m_counters.refusals;
            }
        }
    }
    for (const auto &[session, withdrawal] : ended) {
        const bool expired = withdrawal.reason == RequestError::DeadlineExceeded;
        const Failure failure{ .code = withdrawal.reason,
                               .verdict = Verdict::NotRun,
                               .message = expired ? "the deadline passed while the request waited"
                                                  : "a request of a client account that was served less took the place",
                               .retryAfter = withdrawal.retryAfter };
        m_timeline.record(EventKind::Withdrawn, aboutGeneration(session->key(), failure.message));
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
            return entry.second->isRemovable(now, m_draining ? answerLingerInDrain : answerLinger);
        });
        std::erase_if(m_tombstones, [&](const auto &entry) {
            return now - entry.second > tombstoneLife;
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

// Load travels after answers: a link gets a report only when something was answered on it, and now and then when idle.
void Sidecar::reportLoad(bool toAll)
{
    std::set<LinkId> links = m_links.takeOwedReports();
    if (toAll) {
        const std::vector<LinkId> all = m_links.all();
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
    BackendWatchCallbacks hooks;
    hooks.onReport = [this](const EngineReport &report) {
        const std::lock_guard lock(m_mutex);
        m_engineIncarnation = report.incarnation;
        m_admission.applyEngineReport(report.usedBlocks, report.totalBlocks, report.preemptions, Clock::now());
    };
    hooks.onReachabilityChanged = [this](bool alive) {
        {
            const std::lock_guard lock(m_mutex);
            m_backendAlive = alive;
        }
        reportLoad(true);
    };
    hooks.waitFor = [this](std::chrono::milliseconds duration) {
        return waitUnlessStopping(duration);
    };
    BackendWatch(m_settings.kind, m_settings.backend, m_timeouts, std::move(hooks), m_timeline).run();
}

LoadReport Sidecar::loadReport() const
{
    LoadReport report;
    report.running = m_admission.runningCount() + m_runningCalls;
    report.waiting = m_admission.waitingCount();
    report.usedBlocks = m_admission.committedBlocks();
    report.totalBlocks = static_cast<std::uint32_t>(m_admission.usableBlocks());
    report.linkedEntries = m_links.count();
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
