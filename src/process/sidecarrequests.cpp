// The part of class Sidecar that receives requests from entries and runs them.

#include "zinniadock/process/sidecar.h"

#include <algorithm>
#include <functional>

#include <Poco/Exception.h>
#include <Poco/Runnable.h>

#include "zinniadock/connection/servicecall.h"
#include "zinniadock/process/observing/log.h"
#include "zinniadock/process/placing/routing.h"

namespace zinniadock
{

namespace
{

constexpr Log log{ "sidecar" };

constexpr std::size_t maxCrashNotices = 256;
constexpr std::chrono::milliseconds retryAfterDown{ 1000 };

// Runs a function once on a thread of the pool, and deletes itself afterwards.
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

// Returns whether a failure is counted as an engine crash: the stream of a running request broke, and the engine could
// not be reached again.
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

void Sidecar::handle(LinkId link, Offer &message)
{
    const GenerationKey key = keyOf(message);
    std::optional<Failure> refusal;
    SessionPointer session;
    SessionPointer existing;
    {
        const std::lock_guard lock(m_mutex);
        ++m_counters.offers;
        const auto position = m_sessions.find(key);
        if (position != m_sessions.end()) {
            existing = position->second;
        } else if (!(refusal = refusalReason(message))) {
            session = newSession(std::move(message), link, 0);
            m_sessions[key] = session;
            m_runningCalls += session->offer().kind == RequestKind::Call ? 1 : 0;
        }
        m_counters.refusals += refusal ? 1 : 0;
    }
    if (existing) {
        existing->attach(link, 0);
    } else if (refusal) {
        refuse(link, key, *refusal);
    } else if (session->offer().kind == RequestKind::Call) {
        startWorker(session, [this, session] {
            runCall(session);
        });
    } else {
        submitForAdmission(session, link);
    }
}

Sidecar::SessionPointer Sidecar::newSession(Offer offer, LinkId link, SequenceNumber from)
{
    return std::make_shared<SidecarSession>(std::move(offer), link, from,
                                            [this](LinkId to, const LinkMessage &message) {
                                                m_links.send(to, message);
                                            });
}

// Returns why an offer is refused before admission is considered; nothing if the offer is acceptable.
std::optional<Failure> Sidecar::refusalReason(const Offer &offer) const
{
    const auto notRun = [](RequestError code, const std::string &message, std::chrono::milliseconds retryAfter) {
        return Failure{ .code = code, .verdict = Verdict::NotRun, .message = message, .retryAfter = retryAfter };
    };
    if (m_tombstones.contains(keyOf(offer))) {
        return notRun(RequestError::UnknownRequest, "the request was recorded as refused before it arrived", {});
    }
    if (m_draining) {
        return notRun(RequestError::Draining, "the backend server is draining", {});
    }
    if (!m_backendAlive) {
        return notRun(RequestError::EngineLost, "the backend server is down", retryAfterDown);
    }
    if (offer.isSuspect && isSuspectRunning()) {
        return notRun(RequestError::QueueFull,
                      "another request that is suspected of crashing engines already runs on this server",
                      retryAfterDown);
    }
    if (offer.kind == RequestKind::Call && m_runningCalls >= m_settings.maxRunning) {
        return notRun(RequestError::QueueFull,
                      "the service is at its limit of " + std::to_string(m_settings.maxRunning) + " concurrent calls",
                      retryAfterDown);
    }
    return std::nullopt;
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
                            .message = "the stream cannot resume at token " + std::to_string(message.next)
                                + ", which is not buffered" });
        }
        return;
    }
    resumeUnknownRequest(link, message);
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
        wasQueued = m_queued.erase(session->key()) > 0;
        if (wasQueued) {
            m_admission.finish(session->key(), false, Clock::now());
        }
    }
    if (wasQueued) {
        session->recordEnd(failedMessage(session->key(),
                                         Failure{ .code = RequestError::Cancelled,
                                                  .verdict = Verdict::NotRun,
                                                  .message = "the request was cancelled while it was queued" }));
    }
}

void Sidecar::handle(LinkId /*link*/, Ack &message)
{
    if (const SessionPointer session = find(keyOf(message))) {
        session->acknowledge(message.next, message.isFinal);
    }
}

void Sidecar::submitForAdmission(const SessionPointer &session, LinkId link)
{
    AdmissionDecision decision;
    {
        const std::lock_guard lock(m_mutex);
        decision = m_admission.submit(admissionRequest(session->offer()), Clock::now());
        if (decision.outcome == AdmissionOutcome::Queued) {
            m_queued.insert(session->key());
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
        m_timeline.record(EventKind::Queued, generationContent(session->key(), decision.explanation));
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

// Records an unknown request as refused (a tombstone), so that an offer of it that is still in transit is refused. If
// the offer was made to this incarnation of the sidecar, the request has not run. If it was made to another
// incarnation, the engine is queried for a generation, and a call fails with Verdict::MayHaveRun.
void Sidecar::resumeUnknownRequest(LinkId link, const Resume &message)
{
    const GenerationKey key = keyOf(message);
    {
        const std::lock_guard lock(m_mutex);
        m_tombstones[key] = Clock::now();
        ++m_counters.tombstones;
    }
    if (message.offeredIncarnation == m_incarnation) {
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
    const SessionPointer session = newSession(std::move(offer), link, message.next);
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
                      generationContent(key, failure.message));
    m_links.send(link, failedMessage(key, failure));
}

void Sidecar::startWorker(const SessionPointer &session, std::function<void()> work)
{
    auto task = std::make_unique<Task>(std::move(work));
    try {
        m_workers->start(*task);
        static_cast<void>(task.release());
    } catch (const Poco::NoThreadAvailableException &) {
        endGeneration(session,
                      failedMessage(session->key(),
                                    Failure{ .code = RequestError::QueueFull,
                                             .verdict = Verdict::NotRun,
                                             .message = "no worker thread is free" }),
                      false);
    }
}

GenerationCallbacks Sidecar::generationCallbacks()
{
    GenerationCallbacks callbacks;
    callbacks.onToken = [this](const GenerationKey &key) {
        const std::lock_guard lock(m_mutex);
        m_admission.recordToken(key);
    };
    callbacks.onAdopted = [this](const SessionPointer &session) {
        const std::lock_guard lock(m_mutex);
        ++m_counters.adopted;
        m_admission.adopt(admissionRequest(session->offer()), static_cast<std::uint32_t>(session->next()));
    };
    callbacks.onEnded = [this](const SessionPointer &session, LinkMessage message, bool isComplete) {
        endGeneration(session, std::move(message), isComplete);
    };
    callbacks.waitFor = [this](std::chrono::milliseconds duration) {
        return waitUnlessStopping(duration);
    };
    callbacks.isStopping = [this] {
        const std::lock_guard lock(m_mutex);
        return m_stopping;
    };
    return callbacks;
}

void Sidecar::runCall(const SessionPointer &session)
{
    m_timeline.record(EventKind::Admitted, generationContent(session->key()));
    const CallAbortSetter setAbort = [&session](const std::function<void()> &abort) {
        session->setAbort(abort);
    };
    std::variant<ServiceResponse, Failure> result
        = callService(m_settings.backend, session->offer(), m_timeouts, setAbort);
    {
        const std::lock_guard lock(m_mutex);
        --m_runningCalls;
    }
    if (auto *response = std::get_if<ServiceResponse>(&result)) {
        session->recordEnd(std::move(*response));
    } else {
        session->recordEnd(failedMessage(session->key(), std::get<Failure>(result)));
    }
}

void Sidecar::endGeneration(const SessionPointer &session, LinkMessage message, bool isComplete)
{
    CrashNotice notice{ .fingerprint = session->offer().fingerprint };
    {
        const std::lock_guard lock(m_mutex);
        m_admission.finish(session->key(), isComplete, Clock::now());
        if (auto *failed = std::get_if<Failed>(&message); failed != nullptr && isCrash(*failed)) {
            notice.crashId = stableHash(m_settings.server + "/" + std::to_string(m_engineIncarnation));
            failed->crashId = notice.crashId;
            m_crashNotices.push_back(notice);
            if (m_crashNotices.size() > maxCrashNotices) {
                m_crashNotices.pop_front();
            }
        }
    }
    if (notice.crashId != 0) {
        m_timeline.record(EventKind::EngineCrash, { .request = session->key().request });
    }
    for (const LinkId link : notice.crashId != 0 ? m_links.allLinks() : std::vector<LinkId>()) {
        m_links.send(link, notice);
    }
    session->recordEnd(std::move(message));
    admitWaiting();
}

bool Sidecar::isSuspectRunning() const
{
    return std::any_of(m_sessions.begin(), m_sessions.end(), [](const auto &entry) {
        return entry.second->offer().isSuspect && !entry.second->hasEnded();
    });
}

void Sidecar::admitWaiting()
{
    std::vector<SessionPointer> ready;
    {
        const std::lock_guard lock(m_mutex);
        for (const GenerationKey &key : m_admission.admitReady()) {
            m_queued.erase(key);
            ready.push_back(m_sessions.at(key));
        }
    }
    for (const SessionPointer &session : ready) {
        startWorker(session, [this, session] {
            m_runner.run(session);
        });
    }
}

AdmissionRequest Sidecar::admissionRequest(const Offer &offer) const
{
    return AdmissionRequest{ .key = keyOf(offer),
                             .account = offer.account,
                             .route = offer.route,
                             .version = m_servedVersion,
                             .promptTokens = offer.promptTokens,
                             .maxTokens = offer.maxTokens,
                             .priority = offer.priority,
                             .share = offer.accountWeight,
                             .deadline = Clock::now() + offer.timeLeft };
}

Sidecar::SessionPointer Sidecar::find(const GenerationKey &key) const
{
    const std::lock_guard lock(m_mutex);
    const auto position = m_sessions.find(key);
    return position == m_sessions.end() ? nullptr : position->second;
}

} // namespace zinniadock
