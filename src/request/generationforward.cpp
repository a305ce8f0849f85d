#include "zinniadock/request/generationforward.h"

#include <algorithm>

#include "zinniadock/connection/strayresponse.h"

namespace zinniadock
{

namespace
{

constexpr std::chrono::milliseconds connectTimeout{ 500 };
constexpr std::chrono::milliseconds maxIdle{ 1500 };
constexpr std::chrono::milliseconds defaultIdleLimit{ 3000 };
constexpr std::size_t maxPlainResponseBytes = 8U << 20U;

/// Expected output as a share of the maximum output, if the caller gives no estimate.
constexpr double defaultOutputShare = 0.5;

/// ID of the first event of a stream whose events are numbered.
constexpr std::uint64_t firstEventId = 1;

/// Number of engines that may refuse a generation before the entry refuses it.
constexpr std::uint32_t maxRefusals = 3;

/// Assumed time for the prompt and for each output token of a generation on an engine under load, if the route states
/// no target latency or no maximum gap.
constexpr std::chrono::milliseconds promptTime{ 1200 };
constexpr std::chrono::milliseconds tokenTime{ 12 };

} // namespace

GenerationForwarder::GenerationForwarder(std::shared_ptr<ForwardContext> context)
    : m_context(std::move(context))
    , m_services(m_context->services)
    , m_pace(m_services.paces[m_context->poolName])
    , m_promptBudget(m_services.promptBudgets[m_context->poolName])
    , m_placementQueue(m_services.placementQueues[m_context->poolName])
    , m_moveChanged(m_services.context)
{
    const wire::CallerFields &fields = m_context->fields;
    double output = defaultOutputShare * fields.maxOutputTokens;
    if (fields.outputHint.value_or(0) > 0 && fields.maxOutputTokens > 0) {
        HintedLengthModel &length = m_services.outputLengths[m_context->route->name];
        length.recordHint(*fields.outputHint);
        output = length.expectedLength(*fields.outputHint, fields.maxOutputTokens);
    }
    m_expectedTokens = fields.promptTokens + static_cast<std::uint32_t>(output);
    m_promptBudget.recordArrival({ .priority = m_context->priority,
                                   .tokens = fields.promptTokens,
                                   .targetLatency = m_context->route->targetLatency },
                                 m_context->arrived);
}

GenerationForwarder::~GenerationForwarder()
{
    detach();
}

Awaitable<void> GenerationForwarder::run()
{
    SegmentEnd segmentEnd = SegmentEnd::Refused;
    if (checkQuarantine()) {
        co_await finish(segmentEnd);
        co_return;
    }
    recordStreamMix();
    m_reason = "no engine has free capacity";
    while (segmentEnd == SegmentEnd::Refused && m_refusedBy.size() < maxRefusals) {
        const std::optional<EnginePlacement> chosen = co_await findPlacement();
        const auto now = std::chrono::steady_clock::now();
        const bool isRetry = m_context->attempts > 0;
        if (!chosen || checkQuarantine() || !m_context->maySend()
            || (isRetry && !m_services.retryWindow(m_context->poolName).takeRetry(m_services.entryCount(), now))) {
            returnUnusedPermit();
            if (chosen) {
                releaseReservation(*chosen);
            }
            break;
        }
        wire::ServerFields fields = m_context->serverFields(chosen->server);
        fields.reservation = chosen->reservation;
        segmentEnd = co_await runSegment(fields, StreamAttempt::Placement);
        returnUnusedPermit();
        if (segmentEnd == SegmentEnd::Refused) {
            m_refusedBy.insert(chosen->server);
        }
    }
    while (mayContinue(segmentEnd)) {
        segmentEnd = co_await continueAfterMove(segmentEnd);
    }
    if (segmentEnd == SegmentEnd::Unconfirmed && m_mayHaveStopped) {
        m_reason = "the engine may have stopped the generation for a move, and stated no end of the stream";
        segmentEnd = SegmentEnd::Broken;
    }
    co_await finish(segmentEnd);
}

// Returns whether the generation must not be sent to an engine.
bool GenerationForwarder::checkQuarantine()
{
    m_quarantine = m_context->findQuarantine();
    if (m_quarantine) {
        m_reason = toText(*m_quarantine);
    }
    return m_quarantine.has_value();
}

// Returns whether the process is stopping and may end before the generation. Assumes the maximum output, since callers'
// estimates are often wrong, and the slowest pace of the pool, since a planned stop must not cut off a generation. The
// generation ends at its deadline at the latest.
bool GenerationForwarder::mayOutliveProcess() const
{
    if (!m_services.stop.isStopping()) {
        return false;
    }
    const auto now = std::chrono::steady_clock::now();
    const std::uint32_t tokensPerEvent = std::max(m_context->pool.engine->tokensPerEvent, 1U);
    const std::uint32_t events = (m_context->fields.maxOutputTokens + tokensPerEvent - 1) / tokensPerEvent;
    recordWaitingGenerations();
    const SteadyTime latestEnd = now + m_pace.longestTime(events, assumedSpeed(), now);
    return !m_services.stop.mayTake(std::min(latestEnd, m_context->deadline));
}

bool GenerationForwarder::refusesBecauseOfStop()
{
    const bool refuses = mayOutliveProcess();
    if (refuses) {
        ++m_services.counters.stopRefusals;
        m_reason = "the entry is stopping";
    }
    return refuses;
}

// Returns the slowest speed at which the route's streams count as on time.
GenerationSpeed GenerationForwarder::assumedSpeed() const
{
    const ForwardRoute &route = *m_context->route;
    const std::chrono::milliseconds eventTime = m_context->pool.engine->tokensPerEvent * tokenTime;
    return { .firstEvent = std::max(route.targetLatency, promptTime),
             .eventInterval = route.maxGap.count() > 0 ? route.maxGap : eventTime };
}

// Records how long the generations of the pool that have no event yet have waited so far.
void GenerationForwarder::recordWaitingGenerations() const
{
    const auto now = std::chrono::steady_clock::now();
    for (const auto &[server, generations] : m_services.activeGenerations) {
        for (const GenerationForwarder *generation : generations) {
            if (!generation->m_headSent && generation->m_context->poolName == m_context->poolName) {
                m_pace.recordFirstEvent(generation->m_context->age(), now);
            }
        }
    }
}

// Returns the expected time until the end of the generation, at the pace of its events so far.
std::chrono::milliseconds GenerationForwarder::expectedTimeLeft() const
{
    const double tokensPerEvent = std::max(m_context->pool.engine->tokensPerEvent, 1U);
    const double output = m_expectedTokens - m_context->fields.promptTokens;
    const double eventsLeft = std::max(output / tokensPerEvent - static_cast<double>(m_eventCount), 0.0);
    const bool hasPace = m_eventCount > m_firstEventCount;
    const std::chrono::duration<double, std::milli> eventTime = hasPace
        ? std::chrono::duration<double, std::milli>(m_lastEventAt - m_firstEventAt)
            / static_cast<double>(m_eventCount - m_firstEventCount)
        : std::chrono::duration<double, std::milli>(tokensPerEvent * tokenTime);
    const std::chrono::milliseconds firstEvent = m_headSent ? std::chrono::milliseconds(0) : promptTime;
    return firstEvent + std::chrono::duration_cast<std::chrono::milliseconds>(eventsLeft * eventTime);
}

// The memory of a generation that leaves a draining engine or an evacuated data centre is not free afterwards.
ExpectedEnds GenerationForwarder::expectedEnds() const
{
    ExpectedEnds ends;
    for (const auto &[server, generations] : m_services.activeGenerations) {
        for (const GenerationForwarder *generation : generations) {
            if (generation->m_context->poolName == m_context->poolName && !generation->shouldLeaveServer()) {
                ends.push_back(generation->expectedTimeLeft());
            }
        }
    }
    return ends;
}

bool GenerationForwarder::mayWaitingHelp(PlacementQueue::Ticket ticket, std::chrono::milliseconds maxWait) const
{
    const std::size_t ahead = m_placementQueue.waitingAhead(ticket);
    return ahead == 0 || zinniadock::mayWaitingHelp(expectedEnds(), ahead, maxWait);
}

// Returns when the client of a refused generation should come back for free capacity.
std::chrono::milliseconds GenerationForwarder::refusalDelay()
{
    std::size_t ahead = 0;
    for (const auto &[priority, count] : m_placementQueue.waitingByPriority()) {
        ahead += priority <= m_context->priority ? count : 0;
    }
    return m_services.retryAdvice[m_context->poolName].retryAfter(
        expectedEnds(), ahead, m_context->priority, std::chrono::steady_clock::now(), m_services.randomFraction());
}

void GenerationForwarder::attach(const std::string &server)
{
    detach();
    m_server = server;
    m_context->server = server;
    m_engineDraining = false;
    m_assignment = m_services.directory.assign(server,
                                               { .request = m_context->fields.requestId,
                                                 .promptTokens = m_context->fields.promptTokens,
                                                 .expectedTokens = m_expectedTokens,
                                                 .assignedAt = std::chrono::steady_clock::now() });
    m_services.activeGenerations[server].insert(this);
}

void GenerationForwarder::detach()
{
    if (m_server.empty()) {
        return;
    }
    m_services.directory.release(m_server, m_assignment);
    const auto found = m_services.activeGenerations.find(m_server);
    found->second.erase(this);
    if (found->second.empty()) {
        m_services.activeGenerations.erase(found);
    }
    m_server.clear();
    m_services.capacityChanged.notify();
}

Awaitable<GenerationForwarder::SegmentEnd> GenerationForwarder::runSegment(wire::ServerFields fields,
                                                                           StreamAttempt attempt)
{
    const std::string server = fields.server;
    const TrackedServer *tracked = m_services.directory.find(server);
    if (!tracked) {
        co_return SegmentEnd::Refused;
    }
    if (tracked->isEvacuated) {
        m_reason = "the data centre " + tracked->record.dataCentre + " is evacuated";
        co_return SegmentEnd::Refused;
    }
    const ServerRecord record = tracked->record;
    attach(server);
    m_mayHaveStopped = false;
    m_streamError = {};
    ++m_context->attempts;
    recordSent(record, fields.copy ? SendReason::Move : SendReason::FirstAttempt);
    m_splitter.reset();
    fields.lastEventId = m_lastEventId ? std::to_string(*m_lastEventId) : "";
    const HttpRequest request = wire::serverRequest(m_context->request, fields);
    const auto exchange = m_context->startExchange(record.address, maxIdle);
    const auto sentAt = std::chrono::steady_clock::now();
    wire::ResponseFields responseFields;
    m_context->place = RequestPlace::Connection;
    IoError error = co_await exchange->send(request, connectTimeout);
    m_context->place = RequestPlace::Server;
    if (!error) {
        error = co_await readMatchingHead(*exchange, m_context->fields.requestId, responseFields);
    }
    if (error) {
        m_reason = "no response: " + error.message();
        if (exchange->sendState() == SendState::NotSent) {
            m_context->recordRefusedConnection(server, error);
            if (!m_context->isActive()) {
                m_services.serverLimiter.undoSent(record, std::chrono::steady_clock::now());
                releaseReservation({ .server = server, .reservation = fields.reservation });
            }
        } else if (!m_lastEventId) {
            co_await m_context->recordUnansweredRun(record, sentAt, error);
        }
        co_return handleMissingResponse(*exchange, attempt);
    }
    m_context->updateServerState(server, responseFields);
    SegmentEnd segmentEnd = SegmentEnd::Broken;
    const bool isStream
        = exchange->head().result() == http::status::ok && responseFields.isSigned && responseFields.isEventStream;
    if (isStream) {
        segmentEnd = co_await relayEvents(*exchange);
        logStreamEnd(*exchange);
        if (segmentEnd != SegmentEnd::Complete && m_eventCount == 0) {
            co_await m_context->recordUnansweredRun(record, sentAt, unansweredError(segmentEnd));
        }
    } else {
        segmentEnd = co_await readPlainResponse(*exchange, responseFields, attempt);
    }
    // A refusal has no ID, so that a second copy of it could not be told from the response to a later request.
    if (exchange->isComplete() && !responseFields.closesConnection && !responseFields.requestId.empty()) {
        exchange->releaseConnection(responseFields.idleTimeout.value_or(defaultIdleLimit));
    }
    co_return segmentEnd;
}

// Returns why a stream ended before its first event.
IoError GenerationForwarder::unansweredError(SegmentEnd segmentEnd) const
{
    if (m_streamError) {
        return m_streamError;
    }
    return segmentEnd == SegmentEnd::CallerDisconnected ? IoError(asio::error::operation_aborted)
                                                        : IoError(asio::error::connection_reset);
}

Awaitable<GenerationForwarder::SegmentEnd> GenerationForwarder::readPlainResponse(HttpExchange &exchange,
                                                                                  const wire::ResponseFields &fields,
                                                                                  StreamAttempt attempt)
{
    m_reason = "status " + std::to_string(exchange.head().result_int());
    HttpResponse plain(makeCallerHead(exchange.head()));
    const IoError error = co_await exchange.readRest(plain.body(), maxPlainResponseBytes);
    const std::string size = std::to_string(plain.body().size()) + " bytes";
    m_context->logResponseEnd(exchange, exchange.end(), size, error);
    if (fields.isMisdirected) {
        m_services.directory.markReplaced(m_server);
    }
    const bool isUsable = !error && fields.isSigned && !containsStrayResponse(exchange.framing(), plain.body());
    const StreamReply reply = fields.notRun ? StreamReply::Refusal
        : isUsable                          ? StreamReply::WholeResponse
                                            : StreamReply::Unusable;
    switch (nextStep(callerResponse(), reply, attempt)) {
    case StreamStep::TryNext:
        co_return SegmentEnd::Refused;
    case StreamStep::ForwardResponse:
        m_plainResponse = std::move(plain);
        m_plainResponseEnd = exchange.end();
        co_return SegmentEnd::PlainResponse;
    case StreamStep::ForwardEvents:
    case StreamStep::Fail:
        break;
    }
    if (attempt != StreamAttempt::Placement) {
        recordFailedContinuation();
    }
    co_return SegmentEnd::Broken;
}

CallerResponse GenerationForwarder::callerResponse() const
{
    return m_headSent ? CallerResponse::HeadSent : CallerResponse::NotBegun;
}

void GenerationForwarder::recordFailedContinuation()
{
    ++m_services.counters.failedContinuations;
    logEvent("move", "continuation failed",
             { { "id", m_context->fields.requestId },
               { "server", m_server },
               { "events", m_eventCount },
               { "reason", m_reason } });
}

// A server may have begun to run the request however soon the connection broke. Only a request that was not sent is
// proven not to have run.
GenerationForwarder::SegmentEnd GenerationForwarder::handleMissingResponse(const HttpExchange &exchange,
                                                                           StreamAttempt attempt)
{
    if (m_context->connection->hasCallerDisconnected()) {
        return SegmentEnd::CallerDisconnected;
    }
    if (!m_context->isActive()) {
        return SegmentEnd::Broken;
    }
    m_services.directory.recordConnectionFailure(m_server, std::chrono::steady_clock::now());
    const bool notRun = exchange.sendState() == SendState::NotSent;
    logEvent("request", "try failed",
             { { "id", m_context->fields.requestId },
               { "server", m_server },
               { "try", m_context->attempts },
               { "not_run", notRun ? 1 : 0 },
               { "reason", m_reason } });
    const StreamReply reply = notRun ? StreamReply::Refusal : StreamReply::Unusable;
    if (nextStep(callerResponse(), reply, attempt) == StreamStep::TryNext) {
        return SegmentEnd::Refused;
    }
    if (attempt != StreamAttempt::Placement) {
        recordFailedContinuation();
    }
    return SegmentEnd::Broken;
}

Awaitable<GenerationForwarder::SegmentEnd> GenerationForwarder::relayEvents(HttpExchange &exchange)
{
    const ResponseHead head = makeCallerHead(exchange.head());
    bool isFirstEvent = true;
    m_context->place = RequestPlace::Stream;
    while (!exchange.isComplete()) {
        std::string bytes;
        const IoError error = co_await exchange.readSome(bytes);
        std::vector<StreamEvent> events = m_splitter.push(bytes);
        const auto foreign = std::find_if(events.begin(), events.end(), [](const StreamEvent &event) {
            return containsResponseHead(event.bytes);
        });
        const bool hasForeignBytes = foreign != events.end();
        events.erase(foreign, events.end());
        const auto first = std::find_if_not(events.begin(), events.end(), isComment);
        if (isFirstEvent && first != events.end() && !isContinuedBy(*first)) {
            m_reason = "the stream does not continue after event " + std::to_string(m_lastEventId.value_or(0));
            recordFailedContinuation();
            exchange.abort();
            co_return SegmentEnd::Broken;
        }
        isFirstEvent = isFirstEvent && first == events.end();
        const bool forwarded = co_await forwardEvents(events, head, exchange.framing());
        if (!forwarded || m_context->connection->hasCallerDisconnected()) {
            co_return SegmentEnd::CallerDisconnected;
        }
        if (error) {
            m_streamError = error;
            m_reason = "reading the stream: " + error.message();
            co_return SegmentEnd::Broken;
        }
        if (hasForeignBytes) {
            m_reason = "the stream has the head of another response after " + std::to_string(m_eventCount) + " events";
            exchange.abort();
            co_return SegmentEnd::Broken;
        }
        if (m_splitter.isOversized()) {
            m_reason = "an event of the stream is larger than " + std::to_string(maxStreamEventBytes) + " bytes";
            exchange.abort();
            co_return SegmentEnd::Broken;
        }
    }
    co_return judgeSegment(exchange);
}

// Returns whether an event may follow what the caller has. The first event of the first engine always may.
bool GenerationForwarder::isContinuedBy(const StreamEvent &event) const
{
    const bool isConsecutive = m_areIdsConsecutive && (m_eventCount > 1 || m_lastEventId == firstEventId);
    const bool isContinued
        = callerResponse() == CallerResponse::NotBegun || isContinuation(m_lastEventId, event.id, isConsecutive);
    const StreamReply reply = isContinued ? StreamReply::Events : StreamReply::OtherEvents;
    return nextStep(callerResponse(), reply, StreamAttempt::Placement) == StreamStep::ForwardEvents;
}

StreamPlace GenerationForwarder::placeInStream() const
{
    return zinniadock::placeInStream(m_eventCount, m_splitter.incompleteEvent().size());
}

void GenerationForwarder::logStreamEnd(const HttpExchange &exchange) const
{
    if (m_context->connection->hasCallerDisconnected()) {
        return;
    }
    const std::string moving = m_moveState == MoveState::None ? "" : ", during a move";
    m_context->logResponseEnd(exchange, judgeStream(exchange.end(), placeInStream()),
                              std::string(toString(placeInStream())) + moving, m_streamError);
}

GenerationForwarder::SegmentEnd GenerationForwarder::judgeSegment(const HttpExchange &exchange)
{
    const StreamPlace place = placeInStream();
    const ResponseEnd end = judgeStream(exchange.end(), place);
    if (end == ResponseEnd::BrokenOff) {
        m_streamError = make_error_code(boost::system::errc::connection_reset);
        m_reason = "the stream ended " + std::string(toString(place)) + ", after " + std::to_string(m_eventCount)
            + " events";
        return SegmentEnd::Broken;
    }
    return end == ResponseEnd::Complete ? SegmentEnd::Complete : SegmentEnd::Unconfirmed;
}

// The caller's response has the framing of the first engine's response, so that it never states an end that the engine
// did not state.
Awaitable<bool> GenerationForwarder::forwardEvents(const std::vector<StreamEvent> &events, const ResponseHead &head,
                                                   BodyFraming framing)
{
    std::string piece;
    for (const StreamEvent &event : events) {
        if (event.id && m_lastEventId && *event.id <= *m_lastEventId) {
            continue;
        }
        piece += event.bytes;
        if (event.id) {
            m_areIdsConsecutive = m_areIdsConsecutive && (!m_lastEventId || *event.id == *m_lastEventId + 1);
            m_lastEventId = event.id;
        }
        ++m_eventCount;
    }
    if (piece.empty()) {
        co_return true;
    }
    recordEvents();
    if (!m_headSent) {
        m_headSent = true;
        m_callerFraming = framing;
        const IoError error = co_await m_context->connection->startStream(head, framing);
        if (error) {
            co_return false;
        }
    }
    const IoError error = co_await m_context->connection->writePiece(piece);
    co_return !error;
}

void GenerationForwarder::recordEvents()
{
    const auto now = std::chrono::steady_clock::now();
    if (!m_headSent) {
        m_context->recordResponse();
        m_firstEventDelay = m_context->age();
        m_services.metrics.firstToken.record(m_firstEventDelay);
        m_firstEventAt = now;
        m_firstEventCount = m_eventCount;
        m_pace.recordFirstEvent(m_firstEventDelay, now);
    } else {
        const auto gap = std::chrono::duration_cast<std::chrono::microseconds>(now - m_lastEventAt);
        m_maxEventGap = std::max(m_maxEventGap, gap);
        const bool isLate = m_context->route->maxGap.count() > 0 && gap > m_context->route->maxGap;
        m_services.counters.lateGaps += isLate ? 1 : 0;
        const auto sinceFirst = std::chrono::duration_cast<std::chrono::microseconds>(now - m_firstEventAt);
        const auto intervals
            = static_cast<std::int64_t>(std::max(m_eventCount - m_firstEventCount, std::uint64_t{ 1 }));
        m_pace.recordEventInterval(sinceFirst / intervals, now);
    }
    m_lastEventAt = now;
    m_services.directory.markStarted(m_server, m_assignment);
    if (m_moveState == MoveState::None && shouldLeaveServer()) {
        leaveServer();
    }
    moveForGaps();
}

Awaitable<void> GenerationForwarder::finish(SegmentEnd segmentEnd)
{
    const auto self = shared_from_this();
    detach();
    releaseUnusedCopy();
    if (m_context->hasEndedEarly()) {
        m_reason = "the entry has stopped: " + m_reason;
    }
    if (m_context->connection->hasCallerDisconnected() || segmentEnd == SegmentEnd::CallerDisconnected) {
        ++m_services.metrics.cancelled;
        m_context->logOutcome("cancelled", "the caller disconnected", Verdict::MayHaveRun);
        m_context->connection->abort();
        co_return;
    }
    switch (segmentEnd) {
    case SegmentEnd::Complete:
    case SegmentEnd::Unconfirmed:
        co_await finishStream(segmentEnd);
        break;
    case SegmentEnd::PlainResponse:
        ++m_services.metrics.completed;
        m_context->logOutcome("answered", m_reason, Verdict::Ran);
        co_await m_context->connection->respond(std::move(*m_plainResponse), callerFraming(m_plainResponseEnd));
        break;
    case SegmentEnd::Refused:
        co_await sendRefusal();
        break;
    default:
        co_await finishBroken();
        break;
    }
}

// A response in chunks can't end without stating that it is complete. If the last engine of a moved stream stated no
// end, such a response is broken off after the last event.
Awaitable<void> GenerationForwarder::finishStream(SegmentEnd segmentEnd)
{
    const bool isConfirmed = segmentEnd == SegmentEnd::Complete;
    if (!isConfirmed && m_callerFraming != BodyFraming::Connection) {
        m_reason = "the engine stated no end of the stream";
        co_await finishBroken();
        co_return;
    }
    ++m_services.metrics.completed;
    m_services.metrics.maxStall.record(m_maxEventGap);
    m_services.metrics.tokens += m_eventCount;
    if (isConfirmed) {
        recordOutputLength();
    }
    m_context->logOutcome("answered", streamSummary() + (isConfirmed ? "" : ", no stated end"), Verdict::Ran);
    if (m_headSent) {
        co_await m_context->connection->endStream();
    } else {
        co_await m_context->connection->respond(m_context->makeFailure("the stream had no events"));
    }
}

Awaitable<void> GenerationForwarder::finishBroken()
{
    ++m_services.metrics.failed;
    ++m_services.counters.brokenStreams;
    m_context->logOutcome("failed", m_reason + ", " + streamSummary(), Verdict::MayHaveRun);
    if (m_headSent) {
        m_context->connection->abort();
    } else {
        co_await m_context->connection->respond(m_context->makeFailure(m_reason));
    }
}

void GenerationForwarder::recordOutputLength()
{
    const std::uint32_t hint = m_context->fields.outputHint.value_or(0);
    if (hint > 0 && m_eventCount > 0) {
        const auto tokens = static_cast<double>(m_eventCount * m_context->pool.engine->tokensPerEvent);
        m_services.outputLengths[m_context->route->name].recordOutput(hint, tokens);
    }
}

std::string GenerationForwarder::streamSummary() const
{
    const auto gap = std::chrono::duration_cast<std::chrono::milliseconds>(m_maxEventGap);
    return "events " + std::to_string(m_eventCount) + ", moves " + std::to_string(m_moveCount) + ", first event after "
        + std::to_string(m_firstEventDelay.count()) + " ms, longest gap " + std::to_string(gap.count()) + " ms";
}

Awaitable<void> GenerationForwarder::sendRefusal()
{
    ++m_services.metrics.refused;
    m_context->logOutcome("refused", m_reason, Verdict::NotRun);
    m_services.counters.quarantinedRequests += m_quarantine ? 1 : 0;
    const auto retryAfter = m_quarantine ? m_quarantine->timeLeft : m_context->retryDelay(refusalDelay(), m_isLimited);
    co_await m_context->connection->respond(m_context->makeRefusal(m_reason, retryAfter));
}

} // namespace zinniadock
