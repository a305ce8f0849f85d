#include "zinniadock/process/sidecar.h"

#include <algorithm>
#include <functional>

#include <Poco/Exception.h>
#include <Poco/Runnable.h>

#include "zinniadock/connection/servicecall.h"
#include "zinniadock/process/log.h"
#include "zinniadock/process/pausewatch.h"
#include "zinniadock/process/routing.h"
#include "zinniadock/version/versiondelta.h"

namespace zinniadock
{

namespace
{

constexpr Log log{ "sidecar" };

constexpr std::chrono::milliseconds housekeepingInterval{ 20 };
constexpr std::chrono::milliseconds pollInterval{ 200 };

// Longer waits than this are told in the time line.
constexpr std::chrono::milliseconds longPoll{ 500 };
constexpr std::chrono::milliseconds idleReportInterval{ 5000 };
constexpr std::chrono::milliseconds answerLinger{ 30000 };

// While draining, an answer without a link is kept so long as an entry may need to open a new one.
constexpr std::chrono::milliseconds answerLingerInDrain{ 5000 };
constexpr std::chrono::milliseconds tombstoneLife{ std::chrono::minutes(10) };
constexpr double expectedTokensAtStart = 400;
constexpr std::uint32_t blocksUntilReported = 1U << 20U;
constexpr std::uint32_t spareWorkers = 16;
constexpr std::size_t crashesKept = 256;
constexpr std::chrono::milliseconds retryAfterDown{ 1000 };

// Runs a function once on a pooled thread, and owns itself until then.
class Task final : public Poco::Runnable
{
public:
    explicit Task(std::function<void()> work)
        : m_work(std::move(work))
    {
    }

    void run() override
    {
        const std::unique_ptr<Task> self(this);
        m_work();
    }

private:
    std::function<void()> m_work;
};

bool isAnswer(const LinkMessage &message)
{
    return std::holds_alternative<Started>(message) || std::holds_alternative<Finished>(message)
        || std::holds_alternative<Reply>(message) || std::holds_alternative<Failed>(message);
}

// An engine that can't be reached again after its stream broke has crashed with the request on it.
bool isCrash(const Failed &failed)
{
    return failed.error == static_cast<std::int32_t>(RequestError::EngineLost) && failed.verdict != Verdict::NotRun;
}

template <typename Message>
GenerationKey keyOf(const Message &message)
{
    return GenerationKey{ .request = message.request, .generation = message.generation };
}

} // namespace

Sidecar::Sidecar(DaemonSection daemon, SidecarSection settings)
    : m_daemon(std::move(daemon))
    , m_settings(std::move(settings))
    , m_timeouts{ .connect = m_settings.connectTimeout, .silence = m_settings.silenceTimeout }
    , m_incarnation(randomNumber())
    , m_admission(EngineLimits{ .totalBlocks = blocksUntilReported,
                                .maxRunning = m_settings.maxRunning,
                                .maxWaiting = m_settings.maxWaiting },
                  expectedTokensAtStart)
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
    m_transport = std::make_unique<LinkTransport>(LinkHandlers{ .opened = [](LinkId) {},
                                                                .closed =
                                                                    [this](LinkId link) {
                                                                        closed(link);
                                                                    },
                                                                .received =
                                                                    [this](LinkId link, const std::string &frame) {
                                                                        received(link, frame);
                                                                    } });
    if (const std::error_code error = m_transport->listen(m_settings.listen.address, m_settings.listen.port)) {
        return error;
    }
    m_housekeeper = std::thread([this] {
        housekeep();
    });
    m_poller = std::thread([this] {
        pollBackend();
    });
    log.info("listens for entries on port " + std::to_string(port()));
    m_timeline.record(EventKind::ProcessStarted);
    return {};
}

std::uint16_t Sidecar::port() const
{
    return m_transport->port();
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
        session->end(failedMessage(session->key(),
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
    if (m_transport) {
        m_transport->stop();
    }
    for (const SessionPointer &session : sessions) {
        session->cancel();
    }
    m_workers->joinAll();
    for (std::thread *thread : { &m_housekeeper, &m_poller }) {
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
        m_transport->drop(link);
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
    std::string peer;
    {
        const std::lock_guard lock(m_mutex);
        if (const auto node = m_links.extract(link)) {
            peer = node.mapped();
        }
        for (const auto &[key, session] : m_sessions) {
            sessions.push_back(session);
        }
    }
    if (!peer.empty()) {
        m_timeline.record(EventKind::LinkDown, { .subject = peer });
    }
    for (const SessionPointer &session : sessions) {
        session->detach(link);
    }
}

void Sidecar::handle(LinkId link, Hello &message)
{
    std::deque<CrashNotice> crashes;
    {
        const std::lock_guard lock(m_mutex);
        m_links[link] = message.instance;
        crashes = m_crashes;
    }
    m_timeline.record(EventKind::LinkUp, { .subject = message.instance });
    {
        const std::lock_guard lock(m_owedMutex);
        m_reportOwed.insert(link);
    }
    send(link,
         Hello{ .instance = m_settings.server,
                .dataCentre = m_daemon.dataCentre,
                .incarnation = m_incarnation,
                .revision = m_version.revision() });
    for (const CrashNotice &crash : crashes) {
        send(link, crash);
    }
    pushConfiguration(link, message.revision);
}

void Sidecar::handle(LinkId link, Offer &message)
{
    const GenerationKey key = keyOf(message);
    Failure failure;
    SessionPointer session;
    SessionPointer known;
    {
        const std::lock_guard lock(m_mutex);
        ++m_counters.offers;
        const auto position = m_sessions.find(key);
        if (position != m_sessions.end()) {
            known = position->second;
        } else if (m_tombstones.contains(key)) {
            failure = { .code = RequestError::UnknownRequest,
                        .verdict = Verdict::NotRun,
                        .message = "the request was recorded as refused before it arrived" };
        } else if (m_draining) {
            failure = { .code = RequestError::Draining,
                        .verdict = Verdict::NotRun,
                        .message = "the backend server is leaving" };
        } else if (!m_backendAlive) {
            failure = { .code = RequestError::EngineLost,
                        .verdict = Verdict::NotRun,
                        .message = "the backend server is down",
                        .retryAfter = retryAfterDown };
        } else if (message.suspect && suspectRuns()) {
            failure = { .code = RequestError::QueueFull,
                        .verdict = Verdict::NotRun,
                        .message = "another request that was in a crash runs here alone",
                        .retryAfter = retryAfterDown };
        } else if (message.kind == RequestKind::Call && m_runningCalls >= m_settings.maxRunning) {
            failure = { .code = RequestError::QueueFull,
                        .verdict = Verdict::NotRun,
                        .message = "the service runs as many calls as it may",
                        .retryAfter = retryAfterDown };
        } else {
            session = std::make_shared<SidecarSession>(std::move(message), link, 0,
                                                       [this](LinkId to, const LinkMessage &content) {
                                                           send(to, content);
                                                       });
            m_sessions[key] = session;
            m_runningCalls += session->offer().kind == RequestKind::Call ? 1 : 0;
        }
        m_counters.refusals += failure.code ? 1 : 0;
    }
    if (known) {
        known->attach(link, 0);
    } else if (failure.code) {
        refuse(link, key, failure);
    } else if (session->offer().kind == RequestKind::Call) {
        startWorker(session, [this, session] {
            runCall(session);
        });
    } else {
        offerGeneration(session, link);
    }
}

void Sidecar::handle(LinkId link, Resume &message)
{
    const GenerationKey key = keyOf(message);
    if (const SessionPointer session = find(key)) {
        {
            const std::lock_guard lock(m_mutex);
            ++m_counters.resumed;
        }
        if (!session->attach(link, message.next)) {
            refuse(link, key,
                   Failure{ .code = RequestError::LinkLost,
                            .verdict = Verdict::Ran,
                            .message = "the tokens asked for were already released" });
        }
        return;
    }
    resumeUnknown(link, message);
}

void Sidecar::handle(LinkId /*link*/, Cancel &message)
{
    const SessionPointer session = find(keyOf(message));
    if (!session) {
        return;
    }
    session->cancel();
    bool wasQueued = false;
    {
        const std::lock_guard lock(m_mutex);
        wasQueued = m_queuedSince.erase(session->key()) > 0;
        if (wasQueued) {
            m_admission.ended(session->key(), false, Clock::now());
        }
    }
    if (wasQueued) {
        session->end(failedMessage(session->key(),
                                   Failure{ .code = RequestError::Cancelled,
                                            .verdict = Verdict::NotRun,
                                            .message = "cancelled while it waited" }));
    }
}

void Sidecar::handle(LinkId /*link*/, Ack &message)
{
    if (const SessionPointer session = find(keyOf(message))) {
        session->acknowledge(message.next, message.final);
    }
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
        m_transport->drop(link);
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
        send(link, ConfigurationRequest{ .revision = revision });
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
        limits.longestWait = version->policy().longestWait;
        m_admission.setLimits(limits);
    }
    reportLoad(true);
}

void Sidecar::handle(LinkId link, Ping &message)
{
    send(link, Pong{ .number = message.number });
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

void Sidecar::offerGeneration(const SessionPointer &session, LinkId link)
{
    AdmissionDecision decision;
    {
        const std::lock_guard lock(m_mutex);
        decision = m_admission.offer(admissionRequest(session->offer()), Clock::now());
        if (decision.outcome == AdmissionOutcome::Queued) {
            m_queuedSince[session->key()] = Clock::now();
        } else if (decision.outcome == AdmissionOutcome::Refused) {
            m_sessions.erase(session->key());
            ++m_counters.refusals;
        }
    }
    switch (decision.outcome) {
    case AdmissionOutcome::Admitted:
        startWorker(session, [this, session] {
            m_runner.run(session);
        });
        break;
    case AdmissionOutcome::Queued:
        m_timeline.record(EventKind::Queued,
                          { .request = session->key().request,
                            .generation = session->key().generation,
                            .detail = decision.explanation });
        break;
    case AdmissionOutcome::Refused:
        log.info("refused request " + session->key().text() + ": " + decision.explanation);
        refuse(link, session->key(),
               Failure{ .code = decision.reason,
                        .verdict = Verdict::NotRun,
                        .message = decision.explanation,
                        .retryAfter = decision.retryAfter });
        break;
    }
}

// A request that this process has never seen is recorded as refused, so that an offer still on its way is refused when
// it arrives. That proves "not run" only for an offer made to this incarnation; for an earlier one the engine is asked.
void Sidecar::resumeUnknown(LinkId link, const Resume &message)
{
    const GenerationKey key = keyOf(message);
    {
        const std::lock_guard lock(m_mutex);
        m_tombstones[key] = Clock::now();
        ++m_counters.tombstones;
    }
    if (message.offeredTo == m_incarnation) {
        refuse(link, key,
               Failure{ .code = RequestError::UnknownRequest,
                        .verdict = Verdict::NotRun,
                        .message = "the request never reached the backend server" });
        return;
    }
    if (message.kind == RequestKind::Call) {
        refuse(link, key,
               Failure{ .code = RequestError::LinkLost,
                        .verdict = Verdict::MayHaveRun,
                        .message = "the sidecar restarted while the call ran" });
        return;
    }
    Offer offer{ .request = message.request,
                 .generation = message.generation,
                 .kind = message.kind,
                 .account = message.account,
                 .route = message.route,
                 .promptTokens = message.promptTokens,
                 .maxTokens = message.maxTokens };
    auto session = std::make_shared<SidecarSession>(std::move(offer), link, message.next,
                                                    [this](LinkId to, const LinkMessage &content) {
                                                        send(to, content);
                                                    });
    {
        const std::lock_guard lock(m_mutex);
        m_sessions[key] = session;
    }
    startWorker(session, [this, session] {
        m_runner.resume(session);
    });
}

void Sidecar::refuse(LinkId link, const GenerationKey &key, const Failure &failure)
{
    m_timeline.record(failure.verdict == Verdict::NotRun ? EventKind::Refused : EventKind::Failed,
                      { .request = key.request, .generation = key.generation, .detail = failure.message });
    send(link, failedMessage(key, failure));
}

void Sidecar::send(LinkId link, const LinkMessage &message)
{
    if (!isFrequent(message)) {
        m_transport->send(link, encode(ClockStamp{ .time = m_timeline.clock().now().value }));
    }
    m_transport->send(link, encode(message));
    if (isAnswer(message)) {
        const std::lock_guard lock(m_owedMutex);
        m_reportOwed.insert(link);
    }
}

void Sidecar::pushConfiguration(LinkId link, std::uint64_t theirRevision)
{
    const auto version = m_version.current();
    if (version && version->revision > theirRevision) {
        send(link,
             ConfigurationPush{ .revision = version->revision, .digest = version->digest, .text = version->text });
    }
}

void Sidecar::startWorker(const SessionPointer &session, std::function<void()> work)
{
    auto task = std::make_unique<Task>(std::move(work));
    try {
        m_workers->start(*task);
        static_cast<void>(task.release());
    } catch (const Poco::NoThreadAvailableException &) {
        endGeneration(
            session,
            failedMessage(
                session->key(),
                Failure{ .code = RequestError::QueueFull, .verdict = Verdict::NotRun, .message = "no worker is free" }),
            false);
    }
}

GenerationHooks Sidecar::generationHooks()
{
    GenerationHooks hooks;
    hooks.emitted = [this](const GenerationKey &key) {
        const std::lock_guard lock(m_mutex);
        m_admission.emitted(key);
    };
    hooks.adopted = [this](const SessionPointer &session) {
        const std::lock_guard lock(m_mutex);
        ++m_counters.adopted;
        m_admission.adopt(admissionRequest(session->offer()), static_cast<std::uint32_t>(session->next()));
    };
    hooks.ended = [this](const SessionPointer &session, LinkMessage message, bool whole) {
        endGeneration(session, std::move(message), whole);
    };
    hooks.pause = [this](std::chrono::milliseconds duration) {
        return waitUnlessStopping(duration);
    };
    hooks.stopping = [this] {
        const std::lock_guard lock(m_mutex);
        return m_stopping;
    };
    return hooks;
}

void Sidecar::runCall(const SessionPointer &session)
{
    const GenerationKey key = session->key();
    m_timeline.record(EventKind::Admitted, { .request = key.request, .generation = key.generation });
    std::variant<Reply, Failure> result = callService(m_settings.backend, session->offer(), m_timeouts);
    {
        const std::lock_guard lock(m_mutex);
        --m_runningCalls;
    }
    if (auto *reply = std::get_if<Reply>(&result)) {
        session->end(std::move(*reply));
    } else {
        session->end(failedMessage(session->key(), std::get<Failure>(result)));
    }
}

void Sidecar::endGeneration(const SessionPointer &session, LinkMessage message, bool whole)
{
    std::vector<LinkId> links;
    CrashNotice notice{ .fingerprint = session->offer().fingerprint };
    {
        const std::lock_guard lock(m_mutex);
        m_admission.ended(session->key(), whole, Clock::now());
        if (auto *failed = std::get_if<Failed>(&message); failed != nullptr && isCrash(*failed)) {
            notice.crash = stableHash(m_settings.server + "/" + std::to_string(m_engineIncarnation));
            failed->crash = notice.crash;
            m_crashes.push_back(notice);
            if (m_crashes.size() > crashesKept) {
                m_crashes.pop_front();
            }
            for (const auto &[link, instance] : m_links) {
                links.push_back(link);
            }
        }
    }
    if (notice.crash != 0) {
        m_timeline.record(EventKind::EngineCrash, { .request = session->key().request });
    }
    for (const LinkId link : links) {
        send(link, notice);
    }
    session->end(std::move(message));
    admitWaiting();
}

bool Sidecar::suspectRuns() const
{
    return std::any_of(m_sessions.begin(), m_sessions.end(), [](const auto &entry) {
        return entry.second->offer().suspect && !entry.second->ended();
    });
}

void Sidecar::admitWaiting()
{
    std::vector<SessionPointer> ready;
    {
        const std::lock_guard lock(m_mutex);
        for (const GenerationKey &key : m_admission.admitReady()) {
            m_queuedSince.erase(key);
            ready.push_back(m_sessions.at(key));
        }
    }
    for (const SessionPointer &session : ready) {
        startWorker(session, [this, session] {
            m_runner.run(session);
        });
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
    std::vector<std::pair<SessionPointer, Withdrawal>> ended;
    {
        const std::lock_guard lock(m_mutex);
        for (const Withdrawal &withdrawal : m_admission.withdraw(Clock::now())) {
            m_queuedSince.erase(withdrawal.key);
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
        m_timeline.record(
            EventKind::Withdrawn,
            { .request = session->key().request, .generation = session->key().generation, .detail = failure.message });
        session->end(failedMessage(session->key(), failure));
    }
}

void Sidecar::reapSessions()
{
    const auto now = Clock::now();
    std::vector<SessionPointer> orphans;
    {
        const std::lock_guard lock(m_mutex);
        std::erase_if(m_sessions, [&](const auto &entry) {
            return entry.second->finished(now, m_draining ? answerLingerInDrain : answerLinger);
        });
        std::erase_if(m_tombstones, [&](const auto &entry) {
            return now - entry.second > tombstoneLife;
        });
        for (const auto &[key, session] : m_sessions) {
            if (session->offer().kind == RequestKind::Generation && session->orphaned(now, m_settings.orphanTimeout)) {
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
    std::set<LinkId> links;
    {
        const std::lock_guard lock(m_owedMutex);
        links.swap(m_reportOwed);
    }
    LoadReport report;
    {
        const std::lock_guard lock(m_mutex);
        report = loadReport();
        if (toAll) {
            for (const auto &[link, instance] : m_links) {
                links.insert(link);
            }
        }
    }
    for (const LinkId link : links) {
        send(link, report);
    }
}

void Sidecar::pollBackend()
{
    const bool isEngine = m_settings.kind == "engine";
    do {
        const auto begin = Clock::now();
        const bool alive = isEngine ? pollEngine() : serviceAnswers(m_settings.backend, m_timeouts);
        const auto took = std::chrono::duration_cast<std::chrono::milliseconds>(Clock::now() - begin);
        if (took > longPoll) {
            m_timeline.record(EventKind::BackendSlow, { .detail = durationText(took) });
        }
        bool changed = false;
        {
            const std::lock_guard lock(m_mutex);
            changed = alive != m_backendAlive;
            m_backendAlive = alive;
        }
        if (changed) {
            alive ? log.info("the backend server answers") : log.warning("the backend server does not answer");
            m_timeline.record(alive ? EventKind::BackendUp : EventKind::BackendDown);
            reportLoad(true);
        }
    } while (waitUnlessStopping(pollInterval));
}

bool Sidecar::pollEngine()
{
    const auto report = readEngineReport(m_settings.backend, m_timeouts);
    if (!report) {
        return false;
    }
    bool restarted = false;
    {
        const std::lock_guard lock(m_mutex);
        restarted = m_engineIncarnation != 0 && m_engineIncarnation != report->incarnation;
        m_engineIncarnation = report->incarnation;
        m_admission.engineReport(report->usedBlocks, report->totalBlocks, report->preemptions, Clock::now());
    }
    if (restarted) {
        m_timeline.record(EventKind::BackendRestarted);
    }
    return true;
}

AdmissionRequest Sidecar::admissionRequest(const Offer &offer) const
{
    return AdmissionRequest{ .key = keyOf(offer),
                             .account = offer.account,
                             .route = offer.route,
                             .version = versionOfServer(),
                             .promptTokens = offer.promptTokens,
                             .maxTokens = offer.maxTokens,
                             .priority = offer.priority,
                             .share = offer.share,
                             .deadline = Clock::now() + offer.timeLeft };
}

std::string Sidecar::versionOfServer() const
{
    const auto version = m_version.current();
    if (!version) {
        return {};
    }
    for (const auto &[name, pool] : version->configuration.pools) {
        if (std::find(pool.servers.begin(), pool.servers.end(), m_settings.server) != pool.servers.end()) {
            return pool.version;
        }
    }
    return {};
}

LoadReport Sidecar::loadReport() const
{
    LoadReport report;
    report.running = m_admission.runningCount() + m_runningCalls;
    report.waiting = m_admission.waitingCount();
    report.usedBlocks = m_admission.committedBlocks();
    report.totalBlocks = static_cast<std::uint32_t>(m_admission.usableBlocks());
    report.entries = static_cast<std::uint32_t>(m_links.size());
    report.expectedWait = m_admission.expectedWait();
    report.draining = m_draining;
    report.backendAlive = m_backendAlive;
    report.revision = m_version.revision();
    report.preemptions = m_admission.preemptions();
    return report;
}

Sidecar::SessionPointer Sidecar::find(const GenerationKey &key) const
{
    const std::lock_guard lock(m_mutex);
    const auto position = m_sessions.find(key);
    return position == m_sessions.end() ? nullptr : position->second;
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
