#include "zinniadock/request/generationforward.h"

#include <algorithm>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include "zinniadock/request/engineprobe.h"

namespace zinniadock
{

namespace
{

/// Maximum time until a waiting generation checks whether it may query engines.
constexpr std::chrono::milliseconds turnCheckInterval{ 20 };

/// Lifetime of a reservation. A reservation is used immediately, so it only has to last for the transmission of
/// the request and the processing of the prompt.
constexpr std::chrono::milliseconds reservationLifetime{ 1000 };
constexpr std::chrono::milliseconds reservationTimeout{ 400 };

constexpr std::chrono::milliseconds admissionTimeout{ 200 };

constexpr std::size_t maxEnginesPerRound = 4;
constexpr std::size_t probesPerRound = 4;

/// Maximum number of reasons of refusals that are counted separately. A sidecar of another version may send any.
constexpr std::size_t maxRefusalReasons = 16;

/// Share of an engine's memory that generations may fill. The rest is for longer outputs than expected.
constexpr double maxMemoryShare = 0.88;
constexpr double lateMemoryShare = 0.9;

/// Share of an engine's memory that the forecast of its sidecar may reach, which has margins for longer outputs.
constexpr double maxForecastShare = 0.95;
constexpr double minForecastShare = 0.01;

/// Place of a generation in the queue of its pool.
class QueuePlace
{
public:
    QueuePlace(PlacementQueue &queue, const WaitingGeneration &generation)
        : m_queue(queue)
        , m_ticket(queue.enter(generation))
    {
    }

    ~QueuePlace()
    {
        m_queue.leave(m_ticket);
    }

    QueuePlace(const QueuePlace &) = delete;
    QueuePlace &operator=(const QueuePlace &) = delete;

    PlacementQueue::Ticket ticket() const
    {
        return m_ticket;
    }

private:
    PlacementQueue &m_queue;
    const PlacementQueue::Ticket m_ticket;
};

Awaitable<void> releaseReservationAt(std::shared_ptr<ForwardContext> context, Endpoint engine, std::string reservation)
{
    const HttpRequest request = wire::releaseReservationRequest(reservation);
    co_await call(context->services.controlPool, engine, request, reservationTimeout);
}

} // namespace

PlacementRequest GenerationForwarder::placementRequest() const
{
    return { .pool = m_context->poolName,
             .promptTokens = m_context->fields.promptTokens,
             .expectedTokens = m_expectedTokens,
             .sampleSize = sampleSizeFor(m_services.directory.servers().size(), m_services.entryCount()),
             .dataCentre = m_services.settings.daemon.dataCentre,
             .maxLoadAge = {},
             .maySend = m_context->limitFilter(),
             .stream = streamNeed() };
}

UnplacedPrompt GenerationForwarder::unplacedPrompt() const
{
    return { .priority = m_context->priority,
             .tokens = m_context->fields.promptTokens,
             .targetLatency = m_context->route->targetLatency,
             .age = m_context->age() };
}

GenerationForwarder::AdmissionLimits GenerationForwarder::admissionLimits(const std::string &server, std::size_t round,
                                                                          SteadyTime now) const
{
    const UnplacedPrompt prompt = unplacedPrompt();
    const TrackedServer &tracked = *m_services.directory.find(server);
    const double total = tracked.load.totalTokens > 0 ? tracked.load.totalTokens : m_context->pool.engine->memoryTokens;
    const double reserved = m_placementQueue.moreUrgentTokens(m_context->priority);
    const double reservedShare = total > 0 ? reserved / total : 0;
    const double memoryShare = m_promptBudget.isLate(prompt, now) ? lateMemoryShare : maxMemoryShare;
    return { .maxMemoryShare = std::max(memoryShare - reservedShare, 0.0),
             .maxForecastShare = std::max(maxForecastShare - reservedShare, minForecastShare),
             .maxWaitingTokens = m_promptBudget.maxWaitingTokens(prompt, round, now) - warmUpTokens(tracked, now) };
}

Awaitable<std::optional<GenerationForwarder::EnginePlacement>> GenerationForwarder::findPlacement()
{
    if (refusesBecauseOfStop()) {
        co_return std::nullopt;
    }
    const ForwardRoute &route = *m_context->route;
    const QueuePlace place(m_placementQueue,
                           { .priority = m_context->priority,
                             .account = m_context->account,
                             .due = m_context->arrived + route.targetLatency,
                             .neededTokens = neededTokens(m_context->fields.promptTokens, m_expectedTokens) });
    auto chosen = co_await queryEngines(place.ticket());
    if (chosen) {
        m_placementQueue.recordPlaced(place.ticket(), std::chrono::steady_clock::now());
    }
    m_services.capacityChanged.notify();
    co_return chosen;
}

// The load reports at the entries are slightly stale, and several entries may choose the same idle engine. Therefore
// the engine's sidecar decides on the admission. The first round accepts only engines with few waiting prompt tokens;
// each later round accepts busier engines.
Awaitable<std::optional<GenerationForwarder::EnginePlacement>> GenerationForwarder::queryEngines(
    PlacementQueue::Ticket ticket)
{
    const RandomSource draw = [this] {
        return m_services.randomFraction();
    };
    std::size_t round = 0;
    std::set<std::string> excluded = m_refusedBy;
    m_services.serverLimiter.recordDemand(m_services.directory, m_context->poolName, std::chrono::steady_clock::now());
    co_await waitForTurn(ticket);
    co_await refreshLoads(excluded);
    while (m_context->maySend() && !checkQuarantine()) {
        if (refusesBecauseOfStop()) {
            break;
        }
        if (m_context->isBlockedByEvacuation()) {
            ++m_services.counters.evacuationRefusals;
            m_reason = m_context->evacuationReason();
            break;
        }
        m_context->place = RequestPlace::Limit;
        m_isLimited = co_await m_context->isBlockedByLimit();
        if (!m_context->maySend()) {
            break;
        }
        if (m_isLimited) {
            m_reason = "each engine of pool " + m_context->poolName + " has reached its limit of requests per second";
            break;
        }
        const auto now = std::chrono::steady_clock::now();
        const std::optional<std::string> server = chooseEngine(excluded, now, draw);
        const std::size_t enginesTried = excluded.size() - m_refusedBy.size();
        if (server && enginesTried < maxEnginesPerRound) {
            const AdmissionLimits limits = admissionLimits(*server, round, now);
            std::optional<EnginePlacement> reserved;
            m_context->place = RequestPlace::Reservation;
            if (limits.maxWaitingTokens >= 0) {
                reserved = co_await reserveEngine(*server, limits);
            }
            if (reserved) {
                logPlacement(*reserved, limits);
                co_return reserved;
            }
            excluded.insert(*server);
            continue;
        }
        const UnplacedPrompt prompt = unplacedPrompt();
        if (prompt.age > m_promptBudget.maxWait(prompt, now)) {
            break;
        }
        const double roundLimit = m_promptBudget.maxWaitingTokens(prompt, round, now);
        ++round;
        excluded = m_refusedBy;
        const bool nextRoundAcceptsMore = server && m_promptBudget.maxWaitingTokens(prompt, round, now) > roundLimit;
        if (!nextRoundAcceptsMore) {
            if (!m_hasWaited && !mayWaitingHelp(ticket, m_promptBudget.maxWait(prompt, now))) {
                ++m_services.counters.hopelessGenerations;
                m_reason = "no engine has free capacity, and too many generations wait for it";
                break;
            }
            m_services.counters.waitedGenerations += m_hasWaited ? 0 : 1;
            m_hasWaited = true;
            m_placementQueue.endTry(ticket, std::chrono::steady_clock::now());
            m_services.capacityChanged.notify();
            co_await waitForTurn(ticket);
        }
        co_await refreshLoads(excluded);
    }
    co_return std::nullopt;
}

// A generation that has waited for the maximum time queries engines a last time, whether it is its turn or not.
Awaitable<void> GenerationForwarder::waitForTurn(PlacementQueue::Ticket ticket)
{
    const auto mayTry = [this, ticket] {
        const auto now = std::chrono::steady_clock::now();
        const UnplacedPrompt prompt = unplacedPrompt();
        return m_placementQueue.mayTry(ticket, now) || prompt.age > m_promptBudget.maxWait(prompt, now);
    };
    m_context->place = RequestPlace::Turn;
    while (m_context->isActive() && !mayTry()) {
        co_await m_services.capacityChanged.wait(turnCheckInterval);
    }
    m_placementQueue.beginTry(ticket, std::chrono::steady_clock::now());
}

Awaitable<void> GenerationForwarder::refreshLoads(std::set<std::string> excluded)
{
    if (usesLoadProbing(m_services) && m_context->maySend()) {
        co_await probeEngines(m_services, placementRequest(), std::move(excluded), probesPerRound);
    }
}

// An entry that probes loads prefers engines whose load is at most maxProbedLoadAge old. It chooses another engine only
// if none of these has free capacity, since the load of the other engines is unknown or outdated.
std::optional<std::string> GenerationForwarder::chooseEngine(const std::set<std::string> &excluded, SteadyTime now,
                                                             const RandomSource &draw) const
{
    PlacementRequest need = placementRequest();
    const EngineCapacity &limits = *m_context->pool.engine;
    if (usesLoadProbing(m_services)) {
        need.sampleSize = 0;
        need.maxLoadAge = maxProbedLoadAge;
        if (auto server = placeGeneration(m_services.directory, need, limits, excluded, now, draw)) {
            return server;
        }
        need = placementRequest();
    }
    return placeGeneration(m_services.directory, need, limits, excluded, now, draw);
}

AdmissionQuery GenerationForwarder::admissionQuery() const
{
    const EngineCapacity &limits = *m_context->pool.engine;
    AdmissionQuery query;
    query.request = m_context->fields.requestId;
    query.promptTokens = m_context->fields.promptTokens;
    query.expectedTokens = m_expectedTokens;
    query.maxTokens = m_context->fields.promptTokens + m_context->fields.maxOutputTokens;
    query.slots = limits.slots;
    query.reservationDuration = std::min(limits.maxReservationDuration, reservationLifetime);
    return query;
}

// An engine with a limit or a cold engine gets no reservation, which would be a second request.
std::chrono::milliseconds GenerationForwarder::reservationDuration(const ServerRecord &server) const
{
    const TrackedServer *tracked = m_services.directory.find(server.id);
    const bool isCold
        = m_context->pool.coldRate > 0 && tracked && tracked->coldLeft(std::chrono::steady_clock::now()).count() > 0;
    const bool isLimited = isCold || m_services.serverLimiter.isLimited(server);
    return isLimited ? std::chrono::milliseconds(0)
                     : std::min(m_context->pool.engine->maxReservationDuration, reservationLifetime);
}

// Uses the permit for the request itself before the admission, so that another generation can't use it meanwhile.
Awaitable<std::optional<GenerationForwarder::EnginePlacement>> GenerationForwarder::reserveLimitedEngine(
    std::string server, AdmissionLimits limits)
{
    const ServerRecord record = m_services.directory.find(server)->record;
    recordSent(record, SendReason::FirstAttempt);
    m_permitServer = record;
    auto placement = co_await reserveAtSidecar(server, limits);
    if (!placement) {
        returnUnusedPermit();
    }
    co_return placement;
}

void GenerationForwarder::returnUnusedPermit()
{
    if (m_permitServer) {
        m_services.serverLimiter.undoSent(*m_permitServer, std::chrono::steady_clock::now());
        m_permitServer.reset();
    }
}

void GenerationForwarder::recordSent(const ServerRecord &server, SendReason reason)
{
    if (m_permitServer && m_permitServer->id == server.id) {
        m_permitServer.reset();
        return;
    }
    const bool isRetry = m_context->attempts > 1 && reason == SendReason::FirstAttempt;
    m_services.serverLimiter.recordSent(server, isRetry ? SendReason::Retry : reason, std::chrono::steady_clock::now());
}

Awaitable<std::optional<GenerationForwarder::EnginePlacement>> GenerationForwarder::reserveEngine(
    std::string server, AdmissionLimits limits)
{
    const TrackedServer *tracked = m_services.directory.find(server);
    const auto now = std::chrono::steady_clock::now();
    if (m_services.serverLimiter.isLimited(tracked->record)) {
        return reserveLimitedEngine(std::move(server), limits);
    }
    return hasRecentReport(*tracked, now) ? reserveAtSidecar(std::move(server), limits)
                                          : reserveAtEngine(std::move(server));
}

Awaitable<std::optional<GenerationForwarder::EnginePlacement>> GenerationForwarder::reserveAtSidecar(
    std::string server, AdmissionLimits limits)
{
    const std::string address = m_services.directory.find(server)->record.address.address;
    AdmissionQuery query = admissionQuery();
    query.usableFraction = limits.maxMemoryShare;
    query.forecastFraction = limits.maxForecastShare;
    query.maxWaitingTokens = static_cast<std::uint32_t>(limits.maxWaitingTokens);
    const TrackedServer *tracked = m_services.directory.find(server);
    query.reservationDuration = reservationDuration(tracked->record);
    query.cold = m_services.coldStateOf(*tracked, std::chrono::steady_clock::now());
    const HttpRequest request = makePost(admissionTarget, encode(query));
    const Endpoint sidecar{ address, m_services.settings.forwarding.sidecarPort() };
    const CallResult result
        = co_await call(m_services.pool, sidecar, request, m_context->callOptions(admissionTimeout));
    const auto response = result.succeeded() ? decodeAdmissionResponse(result.body) : std::nullopt;
    if (!response && !m_context->maySend()) {
        co_return std::nullopt;
    }
    if (!response) {
        co_return co_await reserveAtEngine(std::move(server));
    }
    m_services.directory.updateEstimates(server, response->committedTokens, response->waitingTokens);
    if (!response->admitted) {
        ++m_services.counters.refusedReservations;
        recordRefusal(response->reason);
        co_return std::nullopt;
    }
    co_return EnginePlacement{ .server = server, .reservation = response->reservationId };
}

// Without this call the engine holds the reservation for its whole lifetime.
void GenerationForwarder::releaseReservation(const EnginePlacement &placement)
{
    const TrackedServer *tracked = m_services.directory.find(placement.server);
    if (placement.reservation.empty() || !tracked || tracked->isEvacuated) {
        return;
    }
    asio::co_spawn(
        m_services.context,
        [context = m_context, engine = tracked->record.address, reservation = placement.reservation]() {
            return releaseReservationAt(context, engine, reservation);
        },
        asio::detached);
}

void GenerationForwarder::recordRefusal(const std::string &reason)
{
    std::map<std::string, std::uint64_t> &refusals = m_services.refusedAdmissions;
    const bool isLabel = reason.find_first_of("\"\\\n") == std::string::npos;
    const bool isCounted = isLabel && (refusals.contains(reason) || refusals.size() < maxRefusalReasons);
    ++refusals[isCounted ? reason : "other"];
}

// Requests the reservation from the engine itself. The engine grants a reservation only while it has free capacity.
// Used if the sidecar sends no load reports or does not respond.
Awaitable<std::optional<GenerationForwarder::EnginePlacement>> GenerationForwarder::reserveAtEngine(std::string server)
{
    const TrackedServer *tracked = m_services.directory.find(server);
    if (!tracked || tracked->isEvacuated) {
        co_return std::nullopt;
    }
    const auto askedAt = std::chrono::steady_clock::now();
    if (!m_services.hasColdShare(*tracked, m_context->pool, askedAt)) {
        ++m_services.counters.coldRefusals;
        co_return std::nullopt;
    }
    m_services.recordColdSent(tracked->record, m_context->pool, askedAt);
    const std::chrono::milliseconds lifetime = reservationDuration(tracked->record);
    if (lifetime.count() == 0) {
        co_return EnginePlacement{ .server = server, .reservation = "" };
    }
    const double tokens = neededTokens(m_context->fields.promptTokens, m_expectedTokens);
    const Endpoint engine = tracked->record.address;
    const HttpRequest request = wire::reserveRequest(static_cast<std::uint32_t>(tokens), lifetime);
    m_services.serverLimiter.recordSent(tracked->record, SendReason::Control, std::chrono::steady_clock::now());
    const CallResult result
        = co_await call(m_services.controlPool, engine, request, m_context->callOptions(reservationTimeout));
    const auto now = std::chrono::steady_clock::now();
    if (result.error && !m_context->isActive()) {
        co_return std::nullopt;
    }
    if (result.error) {
        m_services.directory.recordConnectionFailure(server, now);
        co_return std::nullopt;
    }
    m_context->updateServerState(server, wire::parseResponseFields(result.head));
    if (!result.succeeded()) {
        ++m_services.counters.refusedReservations;
        m_services.directory.markFull(server, now);
        co_return std::nullopt;
    }
    co_return EnginePlacement{ .server = server, .reservation = wire::parseReservationId(result.body) };
}

void GenerationForwarder::logPlacement(const EnginePlacement &chosen, const AdmissionLimits &limits) const
{
    const TrackedServer *server = m_services.directory.find(chosen.server);
    if (!server) {
        return;
    }
    const auto age = std::chrono::steady_clock::now() - server->loadReceivedAt.value_or(SteadyTime());
    logEvent("request", "placed",
             { { "id", m_context->fields.requestId },
               { "server", chosen.server },
               { "priority", m_context->priority },
               { "prompt_tokens", m_context->fields.promptTokens },
               { "output_hint", m_context->fields.outputHint.value_or(0) },
               { "most_output", m_context->fields.maxOutputTokens },
               { "need_tokens", neededTokens(m_context->fields.promptTokens, m_expectedTokens) },
               { "used_tokens", server->load.usedTokens },
               { "committed_tokens", committedTokens(*server) },
               { "waiting_prompt_tokens", waitingPromptTokens(*server) },
               { "most_waiting_tokens", limits.maxWaitingTokens },
               { "total_tokens", server->load.totalTokens },
               { "load_age_ms", std::chrono::duration_cast<std::chrono::milliseconds>(age) },
               { "reservation", chosen.reservation },
               { "waited_ms", m_context->age() } });
    logGapForecast(*server);
}

} // namespace zinniadock
