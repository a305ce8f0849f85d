#include "zinniadock/request/generationforward.h"

#include <algorithm>
#include <array>

#include "zinniadock/request/engineprobe.h"

namespace zinniadock
{

namespace
{

constexpr std::chrono::milliseconds connectTimeout{ 500 };
constexpr std::chrono::milliseconds freshness{ 1500 };
constexpr std::chrono::milliseconds assumedIdleLimit{ 3000 };
constexpr std::chrono::milliseconds placeInterval{ 40 };
constexpr std::size_t mostPlainBytes = 8U << 20U;

/// A reservation is used at once; its lifetime covers the way to the engine and the reading of the prompt.
constexpr std::chrono::milliseconds reservationTime{ 1000 };
constexpr std::chrono::milliseconds reservationTimeout{ 400 };

/// Share of the target latency that a generation may wait for room at the entry; the rest is for reading the prompt.
constexpr double waitShare = 0.5;

/// An engine whose sidecar has been silent for so long is asked itself.
constexpr std::chrono::milliseconds sidecarSilence{ 1500 };
constexpr std::chrono::milliseconds admissionTimeout{ 200 };

constexpr std::size_t mostAskedInRound = 4;
constexpr std::size_t probesPerRound = 4;

/// Share of the longest wait for room after which a generation takes what memory is left.
constexpr double lateShare = 0.5;

/// Output that is expected where the caller gives no estimate, as a share of the longest.
constexpr double expectedShare = 0.5;

/// Times that engines may refuse one generation before it is refused.
constexpr std::uint32_t mostRefusals = 3;

/// Time that a generation takes for its prompt and for each token of its output, on a busy engine.
constexpr std::chrono::milliseconds promptTime{ 1200 };
constexpr std::chrono::milliseconds tokenTime{ 12 };

constexpr std::chrono::milliseconds leastRetryAfter{ 400 };
constexpr std::chrono::milliseconds retryAfterSpread{ 800 };

} // namespace

// The longer a generation waits, the more it puts up with.
const std::array<GenerationForward::AdmissionRound, 3> GenerationForward::firstRounds{
    { { .usable = 0.88, .mostWaitingTokens = 1500 },
      { .usable = 0.88, .mostWaitingTokens = 4500 },
      { .usable = 0.88, .mostWaitingTokens = 9000 } }
};
const GenerationForward::AdmissionRound GenerationForward::lateRound{ .usable = 0.9, .mostWaitingTokens = 16000 };

GenerationForward::GenerationForward(std::shared_ptr<ForwardScope> scope)
    : m_scope(std::move(scope))
    , m_services(m_scope->services)
    , m_moveChanged(m_services.context)
{
    const wire::CallerFields &fields = m_scope->fields;
    double output = expectedShare * fields.maxOutputTokens;
    if (fields.outputHint.value_or(0) > 0 && fields.maxOutputTokens > 0) {
        HintedLength &length = m_services.lengths[m_scope->route->name];
        length.asked(*fields.outputHint);
        output = length.expect(*fields.outputHint, fields.maxOutputTokens);
    }
    m_expectedTokens = fields.promptTokens + static_cast<std::uint32_t>(output);
}

GenerationForward::~GenerationForward()
{
    detach();
}

PlacementNeed GenerationForward::need() const
{
    return { .pool = m_scope->poolName,
             .promptTokens = m_scope->fields.promptTokens,
             .expectedTokens = m_expectedTokens,
             .choices = choicesFor(m_services.directory.servers().size(), m_services.entries()),
             .dataCentre = m_services.settings.daemon.dataCentre };
}

Awaitable<void> GenerationForward::run()
{
    StretchEnd stretch = StretchEnd::Refused;
    if (outlastsProcess()) {
        m_reason = "the entry is stopping";
        co_await end(stretch);
        co_return;
    }
    m_reason = "no engine has room";
    while (stretch == StretchEnd::Refused && m_refusedBy.size() < mostRefusals) {
        const std::optional<Place> chosen = co_await place();
        const auto now = std::chrono::steady_clock::now();
        const bool repeats = m_scope->tries > 0;
        if (!chosen || (repeats && !m_services.retries(m_scope->poolName).takeRepeat(m_services.entries(), now))) {
            break;
        }
        wire::ServerFields fields = m_scope->serverFields(chosen->server);
        fields.reservation = chosen->reservation;
        stretch = co_await runStretch(fields);
        if (stretch == StretchEnd::Refused) {
            m_refusedBy.insert(chosen->server);
        }
    }
    while (stretch == StretchEnd::Broken && m_scope->wanted() && m_moveState != MoveState::None) {
        stretch = co_await continueElsewhere();
    }
    co_await end(stretch);
}

// The longest output counts, since the estimate of a caller is often far off and a planned stop must cut nothing.
bool GenerationForward::outlastsProcess() const
{
    const std::int64_t output = m_scope->fields.maxOutputTokens;
    const auto latestEnd = std::chrono::steady_clock::now() + promptTime + output * tokenTime;
    return m_services.stopsAt && latestEnd > *m_services.stopsAt;
}

// Entries choose by reports that are a little old, and all of them see the same engine empty. The sidecar beside it has
// the last word. At first only engines with few prompts to read are taken, then ever busier ones.
Awaitable<std::optional<GenerationForward::Place>> GenerationForward::place()
{
    const auto waitFor
        = std::chrono::duration_cast<std::chrono::milliseconds>(waitShare * m_scope->route->targetLatency);
    const Draw draw = [this] {
        return m_services.draw();
    };
    std::size_t round = 0;
    std::set<std::string> passedOver = m_refusedBy;
    co_await probeForRound(passedOver);
    while (m_scope->wanted()) {
        const auto now = std::chrono::steady_clock::now();
        const std::optional<std::string> server = choose(passedOver, now, draw);
        const std::size_t asked = passedOver.size() - m_refusedBy.size();
        if (server && asked < mostAskedInRound) {
            const bool isLate = m_scope->age() > lateShare * waitFor;
            AdmissionRound limits = isLate ? lateRound : firstRounds.at(std::min(round, firstRounds.size() - 1));
            limits.mostWaitingTokens -= coldTokens(*m_services.directory.find(*server), now);
            std::optional<Place> reserved;
            if (limits.mostWaitingTokens >= 0) {
                reserved = co_await reserve(*server, limits);
            }
            if (reserved) {
                logPlaced(*reserved);
                co_return reserved;
            }
            passedOver.insert(*server);
            continue;
        }
        if (m_scope->age() > waitFor) {
            break;
        }
        ++round;
        passedOver = m_refusedBy;
        const bool busierOnesAreLeft = server && round < firstRounds.size();
        co_await probeForRound(passedOver);
        if (!busierOnesAreLeft) {
            m_services.counts.waited += m_waited ? 0 : 1;
            m_waited = true;
            co_await m_services.roomChanged.wait(placeInterval);
        }
    }
    co_return std::nullopt;
}

Awaitable<void> GenerationForward::probeForRound(std::set<std::string> passedOver)
{
    if (probesEngines(m_services)) {
        co_await probeEngines(m_services, need(), std::move(passedOver), probesPerRound);
    }
}

// Engines whose load is known go first; others only if none of those has room, as they may be anything.
std::optional<std::string> GenerationForward::choose(const std::set<std::string> &passedOver, SteadyTime now,
                                                     const Draw &draw) const
{
    PlacementNeed wanted = need();
    const EngineCapacity &limits = *m_scope->pool.engine;
    if (probesEngines(m_services)) {
        wanted.choices = 0;
        wanted.loadWithin = probedLoadAge;
        if (auto server = placeGeneration(m_services.directory, wanted, limits, passedOver, now, draw)) {
            return server;
        }
        wanted = need();
    }
    return placeGeneration(m_services.directory, wanted, limits, passedOver, now, draw);
}

AdmissionQuery GenerationForward::admissionQuery() const
{
    const EngineCapacity &limits = *m_scope->pool.engine;
    AdmissionQuery query;
    query.request = m_scope->fields.requestId;
    query.promptTokens = m_scope->fields.promptTokens;
    query.expectedTokens = m_expectedTokens;
    query.mostTokens = m_scope->fields.promptTokens + m_scope->fields.maxOutputTokens;
    query.slots = limits.slots;
    query.reservation = std::min(limits.longestReservation, reservationTime);
    return query;
}

Awaitable<std::optional<GenerationForward::Place>> GenerationForward::reserve(std::string server, AdmissionRound limits)
{
    const TrackedServer *tracked = m_services.directory.find(server);
    const auto now = std::chrono::steady_clock::now();
    const bool isHeard = now - tracked->loadAt.value_or(tracked->listedAt) < sidecarSilence;
    return isHeard ? askSidecar(std::move(server), limits) : askEngine(std::move(server));
}

Awaitable<std::optional<GenerationForward::Place>> GenerationForward::askSidecar(std::string server,
                                                                                 AdmissionRound limits)
{
    const std::string address = m_services.directory.find(server)->record.address.address;
    AdmissionQuery query = admissionQuery();
    query.usable = limits.usable;
    query.mostWaitingTokens = static_cast<std::uint32_t>(limits.mostWaitingTokens);
    HttpRequest request(http::verb::post, admissionTarget, 11);
    request.body() = encode(query);
    request.prepare_payload();
    const Endpoint sidecar{ address, m_services.settings.forwarding.sidecarPort() };
    const CallResult result = co_await call(m_services.pool, sidecar, request, admissionTimeout);
    const auto answer = result.succeeded() ? decodeAdmissionAnswer(result.body) : std::nullopt;
    if (!answer) {
        co_return co_await askEngine(std::move(server));
    }
    m_services.directory.corrected(server, answer->committedTokens, answer->waitingTokens);
    if (!answer->admitted) {
        ++m_services.counts.reservationsRefused;
        co_return std::nullopt;
    }
    co_return Place{ .server = server, .reservation = answer->reservation };
}

// Without its sidecar an engine is asked for a reservation, which succeeds only while there is room.
Awaitable<std::optional<GenerationForward::Place>> GenerationForward::askEngine(std::string server)
{
    const TrackedServer *tracked = m_services.directory.find(server);
    if (!tracked) {
        co_return std::nullopt;
    }
    const std::chrono::milliseconds lifetime = std::min(m_scope->pool.engine->longestReservation, reservationTime);
    if (lifetime.count() == 0) {
        co_return Place{ .server = server, .reservation = "" };
    }
    const double tokens = neededTokens(m_scope->fields.promptTokens, m_expectedTokens);
    const Endpoint engine = tracked->record.address;
    const HttpRequest request = wire::reserveRequest(static_cast<std::uint32_t>(tokens), lifetime);
    const CallResult result = co_await call(m_services.pool, engine, request, reservationTimeout);
    const auto now = std::chrono::steady_clock::now();
    if (result.error) {
        m_services.directory.unreachable(server, now);
        co_return std::nullopt;
    }
    m_scope->noteAnswer(server, wire::answerFields(result.head));
    if (!result.succeeded()) {
        ++m_services.counts.reservationsRefused;
        m_services.directory.full(server, now);
        co_return std::nullopt;
    }
    co_return Place{ .server = server, .reservation = wire::parseReservation(result.body) };
}

void GenerationForward::logPlaced(const Place &chosen) const
{
    const TrackedServer *server = m_services.directory.find(chosen.server);
    if (!server) {
        return;
    }
    const auto age = std::chrono::steady_clock::now() - server->loadAt.value_or(SteadyTime());
    logEvent("request", "placed",
             { { "id", m_scope->fields.requestId },
               { "server", chosen.server },
               { "prompt_tokens", m_scope->fields.promptTokens },
               { "output_hint", m_scope->fields.outputHint.value_or(0) },
               { "most_output", m_scope->fields.maxOutputTokens },
               { "need_tokens", neededTokens(m_scope->fields.promptTokens, m_expectedTokens) },
               { "used_tokens", server->load.usedTokens },
               { "committed_tokens", committedTokens(*server) },
               { "waiting_prompt_tokens", waitingPromptTokens(*server) },
               { "total_tokens", server->load.totalTokens },
               { "load_age_ms", std::chrono::duration_cast<std::chrono::milliseconds>(age) },
               { "reservation", chosen.reservation },
               { "waited_ms", m_scope->age() } });
}

void GenerationForward::attach(const std::string &server)
{
    detach();
    m_server = server;
    m_scope->server = server;
    m_leaving = false;
    m_assignment = m_services.directory.assign(server,
                                               { .request = m_scope->fields.requestId,
                                                 .promptTokens = m_scope->fields.promptTokens,
                                                 .expectedTokens = m_expectedTokens,
                                                 .since = std::chrono::steady_clock::now() });
    m_services.generations[server].insert(this);
}

void GenerationForward::detach()
{
    if (m_server.empty()) {
        return;
    }
    m_services.directory.release(m_server, m_assignment);
    const auto found = m_services.generations.find(m_server);
    found->second.erase(this);
    if (found->second.empty()) {
        m_services.generations.erase(found);
    }
    m_server.clear();
    m_services.roomChanged.notify();
}

Awaitable<GenerationForward::StretchEnd> GenerationForward::runStretch(wire::ServerFields fields)
{
    const std::string server = fields.server;
    const TrackedServer *tracked = m_services.directory.find(server);
    if (!tracked) {
        co_return StretchEnd::Refused;
    }
    const Endpoint address = tracked->record.address;
    attach(server);
    ++m_scope->tries;
    m_splitter.reset();
    fields.lastEvent = m_lastEvent ? std::to_string(*m_lastEvent) : "";
    const HttpRequest request = wire::serverRequest(m_scope->request, fields);
    const auto exchange = std::make_shared<HttpExchange>(m_services.pool, address, freshness);
    m_scope->setExchange(exchange);
    wire::AnswerFields answer;
    IoError error = co_await exchange->send(request, connectTimeout);
    if (!error) {
        error = co_await readOwnHead(*exchange, m_scope->fields.requestId, answer);
    }
    if (error) {
        m_reason = "no answer: " + error.message();
        co_return endWithoutAnswer(*exchange);
    }
    m_scope->noteAnswer(server, answer);
    StretchEnd ended = StretchEnd::Broken;
    const bool streams = exchange->head().result() == http::status::ok && answer.isSigned && answer.isEventStream;
    if (streams) {
        ended = co_await relayEvents(*exchange);
    } else {
        m_reason = "status " + std::to_string(exchange->head().result_int());
        HttpAnswer plain(callerHead(exchange->head()));
        error = co_await exchange->readRest(plain.body(), mostPlainBytes);
        if (answer.isOfAnotherServer) {
            m_services.directory.replaced(server);
        }
        if (answer.notRun) {
            ended = StretchEnd::Refused;
        } else if (!error && answer.isSigned) {
            m_plainAnswer = std::move(plain);
            ended = StretchEnd::Answered;
        }
    }
    if (exchange->whole() && !answer.closes) {
        exchange->keepConnection(answer.idleLimit.value_or(assumedIdleLimit));
    }
    co_return ended;
}

// However soon a server breaks off, it may have begun to run the request: only one that never got it has not.
GenerationForward::StretchEnd GenerationForward::endWithoutAnswer(const HttpExchange &exchange)
{
    if (m_scope->connection->callerLeft()) {
        return StretchEnd::CallerLeft;
    }
    if (m_scope->timedOut) {
        return StretchEnd::Broken;
    }
    m_services.directory.unreachable(m_server, std::chrono::steady_clock::now());
    const bool notRun = exchange.sendState() == SendState::NotSent;
    logEvent("request", "try failed",
             { { "id", m_scope->fields.requestId },
               { "server", m_server },
               { "try", m_scope->tries },
               { "not_run", notRun ? 1 : 0 },
               { "reason", m_reason } });
    return notRun ? StretchEnd::Refused : StretchEnd::Broken;
}

Awaitable<GenerationForward::StretchEnd> GenerationForward::relayEvents(HttpExchange &exchange)
{
    const AnswerHead head = callerHead(exchange.head());
    while (!exchange.whole()) {
        std::string bytes;
        const IoError error = co_await exchange.readSome(bytes);
        const std::vector<StreamEvent> events = m_splitter.push(bytes);
        const bool passed = co_await passOn(events, head);
        if (!passed || m_scope->connection->callerLeft()) {
            co_return StretchEnd::CallerLeft;
        }
        if (error) {
            m_reason = "the stream broke: " + error.message();
            co_return StretchEnd::Broken;
        }
        if (m_splitter.overflowed()) {
            m_reason = "the stream is no stream of events";
            exchange.abort();
            co_return StretchEnd::Broken;
        }
    }
    co_return StretchEnd::Whole;
}

Awaitable<bool> GenerationForward::passOn(const std::vector<StreamEvent> &events, const AnswerHead &head)
{
    std::string piece;
    for (const StreamEvent &event : events) {
        if (event.id && m_lastEvent && *event.id <= *m_lastEvent) {
            continue;
        }
        piece += event.bytes;
        m_lastEvent = event.id ? event.id : m_lastEvent;
        ++m_events;
    }
    if (piece.empty()) {
        co_return true;
    }
    noteEvents();
    if (!m_headSent) {
        m_headSent = true;
        const IoError error = co_await m_scope->connection->startStream(head);
        if (error) {
            co_return false;
        }
    }
    const IoError error = co_await m_scope->connection->writePiece(piece);
    co_return !error;
}

void GenerationForward::noteEvents()
{
    const auto now = std::chrono::steady_clock::now();
    if (!m_headSent) {
        m_firstEventAfter = m_scope->age();
        m_services.metrics.firstToken.record(m_firstEventAfter);
    } else {
        const auto gap = std::chrono::duration_cast<std::chrono::microseconds>(now - m_lastEventAt);
        m_longestGap = std::max(m_longestGap, gap);
        const bool isLate = m_scope->route->longestGap.count() > 0 && gap > m_scope->route->longestGap;
        m_services.counts.lateGaps += isLate ? 1 : 0;
    }
    m_lastEventAt = now;
    m_services.directory.started(m_server, m_assignment);
    if (m_leaving && m_moveState == MoveState::None) {
        serverLeaves();
    }
}

Awaitable<void> GenerationForward::end(StretchEnd stretch)
{
    const auto self = shared_from_this();
    detach();
    if (m_scope->connection->callerLeft() || stretch == StretchEnd::CallerLeft) {
        ++m_services.metrics.cancelled;
        m_scope->logEnd("cancelled", "the caller left", Verdict::MayHaveRun);
        m_scope->connection->abort();
        co_return;
    }
    switch (stretch) {
    case StretchEnd::Whole:
        ++m_services.metrics.completed;
        m_services.metrics.maxStall.record(m_longestGap);
        learnLength();
        m_services.metrics.tokens += m_events;
        m_scope->logEnd("answered", streamSummary(), Verdict::Ran);
        if (m_headSent) {
            co_await m_scope->connection->endStream();
        } else {
            co_await m_scope->connection->answer(m_scope->failure("the stream was empty"));
        }
        break;
    case StretchEnd::Answered:
        ++m_services.metrics.completed;
        m_scope->logEnd("answered", m_reason, Verdict::Ran);
        co_await m_scope->connection->answer(std::move(*m_plainAnswer));
        break;
    case StretchEnd::Refused:
        co_await refuse();
        break;
    default:
        ++m_services.metrics.failed;
        ++m_services.counts.brokenStreams;
        m_scope->logEnd("failed", m_reason + ", " + streamSummary(), Verdict::MayHaveRun);
        if (m_headSent) {
            m_scope->connection->abort();
        } else {
            co_await m_scope->connection->answer(m_scope->failure(m_reason));
        }
        break;
    }
}

void GenerationForward::learnLength()
{
    const std::uint32_t hint = m_scope->fields.outputHint.value_or(0);
    if (hint > 0 && m_events > 0) {
        const auto tokens = static_cast<double>(m_events * m_scope->pool.engine->tokensPerEvent);
        m_services.lengths[m_scope->route->name].ended(hint, tokens);
    }
}

std::string GenerationForward::streamSummary() const
{
    const auto gap = std::chrono::duration_cast<std::chrono::milliseconds>(m_longestGap);
    return "events " + std::to_string(m_events) + ", moves " + std::to_string(m_moves) + ", first event after "
        + std::to_string(m_firstEventAfter.count()) + " ms, longest gap " + std::to_string(gap.count()) + " ms";
}

Awaitable<void> GenerationForward::refuse()
{
    ++m_services.metrics.refused;
    m_scope->logEnd("refused", m_reason, Verdict::NotRun);
    const auto spread = std::chrono::duration_cast<std::chrono::milliseconds>(m_services.draw() * retryAfterSpread);
    const auto retryAfter = m_scope->comeBackAfter(leastRetryAfter + spread);
    co_await m_scope->connection->answer(m_scope->refusal(m_reason, retryAfter));
}

} // namespace zinniadock
