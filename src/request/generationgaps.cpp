#include "zinniadock/request/generationforward.h"

#include "zinniadock/process/placing/enginetiers.h"
#include "zinniadock/request/engineprobe.h"

namespace zinniadock
{

namespace
{

/// Interval at which a running long stream checks whether another engine keeps its bound on gaps and its own does not.
constexpr std::chrono::milliseconds gapCheckInterval{ 500 };

/// A stream with fewer expected events left is not moved, since the move itself causes a gap.
constexpr std::uint32_t minEventsLeft = 20;

constexpr std::size_t maxGapTargets = 3;

} // namespace

std::uint32_t GenerationForwarder::expectedEvents() const
{
    const std::uint32_t tokensPerEvent = std::max(m_context->pool.engine->tokensPerEvent, 1U);
    return (m_expectedTokens - m_context->fields.promptTokens) / tokensPerEvent;
}

void GenerationForwarder::recordStreamMix() const
{
    StreamMix &mix = m_services.streamMixes[m_context->poolName];
    const std::chrono::milliseconds maxGap = m_context->route->maxGap;
    const auto now = std::chrono::steady_clock::now();
    if (StreamMix::isLongStream(maxGap, expectedEvents())) {
        mix.recordLong(m_context->fields.promptTokens, maxGap, now);
    } else {
        mix.recordShort(m_context->fields.promptTokens, now);
    }
}

std::optional<StreamNeed> GenerationForwarder::streamNeed() const
{
    const auto mix = m_services.streamMixes.find(m_context->poolName);
    if (mix == m_services.streamMixes.end() || m_services.settings.forwarding.gapPlacement == 0) {
        return std::nullopt;
    }
    const ForwardRoute &route = *m_context->route;
    const bool isLong = StreamMix::isLongStream(route.maxGap, expectedEvents());
    auto need = mix->second.need(isLong, route.targetLatency, std::chrono::steady_clock::now());
    if (need && isLong) {
        need->gapBound = route.maxGap;
    }
    return need;
}

void GenerationForwarder::logGapForecast(const TrackedServer &server) const
{
    const auto need = streamNeed();
    if (!need || !need->isLong) {
        return;
    }
    const EngineTiers tiers(m_services.directory, m_context->poolName, *need);
    if (!tiers.hasEffect()) {
        return;
    }
    const auto inMilliseconds = [&tiers, &server](bool readsPrompts) {
        const auto gap = tiers.speed().longestGap(server.load, readsPrompts);
        return std::chrono::duration_cast<std::chrono::milliseconds>(gap.value_or(std::chrono::microseconds(0)));
    };
    logEvent("request", "gap forecast",
             { { "id", m_context->fields.requestId },
               { "server", server.record.id },
               { "gap_bound_ms", need->gapBound },
               { "gap_ms", inMilliseconds(false) },
               { "prompt_gap_ms", inMilliseconds(true) },
               { "rank", tiers.rank(server.record.id, server) },
               { "short_part", tiers.isForShortOutputs(server.record.id) ? 1 : 0 },
               { "short_share", need->shortShare } });
}

// Starts a move of a long stream whose engine may exceed the bound on gaps with the prompts that are read there, for
// example because only the prompt of the stream found room at it.
void GenerationForwarder::moveForGaps()
{
    const auto now = std::chrono::steady_clock::now();
    const bool isPossible = !m_hasMovedForGaps && m_moveState == MoveState::None && !m_engineDraining
        && m_context->pool.engine->supportsMoves && m_services.settings.forwarding.gapMoves > 0;
    if (!isPossible || now < m_nextGapCheckAt || m_eventCount + minEventsLeft > expectedEvents()) {
        return;
    }
    m_nextGapCheckAt = now + gapCheckInterval;
    const TrackedServer *source = m_services.directory.find(m_server);
    if (!source || source->isDraining() || gapMoveTargets(*source).empty()) {
        return;
    }
    m_hasMovedForGaps = true;
    ++m_services.counters.gapMoves;
    startMove(MoveCause::Gaps);
}

std::vector<std::string> GenerationForwarder::gapMoveTargets(const TrackedServer &source) const
{
    PlacementRequest request = placementRequest();
    request.dataCentre = source.record.dataCentre;
    request.maxLoadAge = usesLoadProbing(m_services) ? std::optional(maxProbedLoadAge) : std::nullopt;
    const RandomSource draw = [this] {
        return m_services.randomFraction();
    };
    return keepingTargets(m_services.directory, request, *m_context->pool.engine, source.record.id, maxGapTargets,
                          std::chrono::steady_clock::now(), draw);
}

} // namespace zinniadock
