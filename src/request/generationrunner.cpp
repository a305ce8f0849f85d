#include "zinniadock/request/generationrunner.h"

#include <utility>

#include "zinniadock/process/observing/log.h"

namespace zinniadock
{

namespace
{

using SessionPointer = std::shared_ptr<SidecarSession>;
using Clock = std::chrono::steady_clock;

constexpr Log log{ "engine" };

constexpr std::chrono::milliseconds reopenPause{ 100 };
constexpr int maxReopenAttempts = 5;

} // namespace

Failed failedMessage(const GenerationKey &key, const Failure &failure)
{
    return Failed{ .request = key.request,
                   .generation = key.generation,
                   .error = failure.code.value(),
                   .verdict = failure.verdict,
                   .message = failure.message,
                   .retryAfter = failure.retryAfter,
                   .crashId = failure.crash };
}

GenerationRunner::GenerationRunner(Endpoint engine, BackendTimeouts timeouts, GenerationCallbacks callbacks,
                                   Timeline &timeline)
    : m_engine(std::move(engine))
    , m_timeouts(timeouts)
    , m_callbacks(std::move(callbacks))
    , m_timeline(timeline)
{
}

void GenerationRunner::run(const SessionPointer &session)
{
    const auto begin = Clock::now();
    m_timeline.record(EventKind::Admitted, generationContent(session->key()));
    auto stream = std::make_shared<EngineStream>(m_engine, m_timeouts, session->key());
    session->setAbort([stream] {
        stream->abort();
    });
    std::optional<Failure> failure = session->isCancelled()
        ? Failure{ .code = RequestError::Cancelled,
                   .verdict = Verdict::NotRun,
                   .message = "cancelled before the request was sent to the engine" }
        : stream->open(session->offer().path, session->offer().body);
    if (failure && failure->verdict == Verdict::NotRun) {
        m_callbacks.onEnded(session, failedMessage(session->key(), *failure), false);
        return;
    }
    if (failure && !reopenStream(session, stream)) {
        m_callbacks.onEnded(session, failedMessage(session->key(), *failure), false);
        return;
    }
    session->recordStart(std::chrono::duration_cast<std::chrono::milliseconds>(Clock::now() - begin));
    streamTokens(session, stream);
}

void GenerationRunner::resume(const SessionPointer &session)
{
    std::shared_ptr<EngineStream> stream;
    if (!reopenStream(session, stream)) {
        cancelOnEngine(m_engine, session->key(), m_timeouts);
        m_callbacks.onEnded(session,
                            failedMessage(session->key(),
                                          Failure{ .code = RequestError::EngineLost,
                                                   .verdict = session->next() > 0 ? Verdict::Ran : Verdict::MayHaveRun,
                                                   .message = "the engine's stream could not be reopened" }),
                            false);
        return;
    }
    m_callbacks.onAdopted(session);
    m_timeline.record(EventKind::Adopted,
                      generationContent(session->key(), "at token " + std::to_string(session->next())));
    log.info("resumed generation " + session->key().text() + " at token " + std::to_string(session->next()));
    session->recordStart(std::chrono::milliseconds(0));
    streamTokens(session, stream);
}

void GenerationRunner::streamTokens(const SessionPointer &session, const std::shared_ptr<EngineStream> &firstStream)
{
    std::shared_ptr<EngineStream> stream = firstStream;
    const GenerationKey key = session->key();
    while (true) {
        EngineEvent event = stream->next();
        if (session->isCancelled()) {
            break;
        }
        if (const auto *token = std::get_if<EngineToken>(&event)) {
            if (token->sequence != session->next()) {
                continue;
            }
            m_callbacks.onToken(key);
            if (!session->append(token->text)) {
                break;
            }
        } else if (const auto *end = std::get_if<EngineEnd>(&event)) {
            m_callbacks.onEnded(session,
                                Finished{ .request = key.request,
                                          .generation = key.generation,
                                          .tokens = session->next(),
                                          .reason = end->reason },
                                true);
            return;
        } else if (reopenStream(session, stream)) {
            m_timeline.record(EventKind::StreamReopened, generationContent(key, std::get<Failure>(event).message));
        } else {
            Failure failure = std::get<Failure>(event);
            failure.verdict
                = strongerVerdict(failure.verdict, session->next() > 0 ? Verdict::Ran : Verdict::MayHaveRun);
            m_callbacks.onEnded(session, failedMessage(key, failure), false);
            return;
        }
    }
    if (!m_callbacks.isStopping()) {
        cancelOnEngine(m_engine, key, m_timeouts);
    }
    m_callbacks.onEnded(
        session,
        failedMessage(key, Failure{ .code = RequestError::Cancelled, .verdict = Verdict::Ran, .message = "cancelled" }),
        false);
}

// Reopens the stream at the next token. The engine keeps a generation for some time after its connection broke. Returns
// false after maxReopenAttempts failures, or earlier if the engine does not know the generation, the session is
// cancelled or the process is stopping.
bool GenerationRunner::reopenStream(const SessionPointer &session, std::shared_ptr<EngineStream> &stream)
{
    for (int attempt = 0; attempt < maxReopenAttempts; ++attempt) {
        auto reopened = std::make_shared<EngineStream>(m_engine, m_timeouts, session->key());
        session->setAbort([reopened] {
            reopened->abort();
        });
        const std::optional<Failure> failure = reopened->reopen(session->next());
        if (!failure) {
            stream = reopened;
            return true;
        }
        if (failure->code == RequestError::UnknownRequest || session->isCancelled()
            || !m_callbacks.waitFor(reopenPause)) {
            return false;
        }
    }
    return false;
}

} // namespace zinniadock
