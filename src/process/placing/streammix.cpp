#include "zinniadock/process/placing/streammix.h"

#include <cmath>

namespace zinniadock
{

namespace
{

/// A generation with fewer events is unlikely to be late because of a gap: it ends before many prompts are read beside
/// it.
constexpr std::uint32_t minLongEvents = 20;

/// Time constant of the sums. The engines change their part slowly, since running streams stay where they are.
constexpr std::chrono::duration<double> decayTime{ 60 };

/// Without a long stream for this time, no engine is reserved for long streams.
constexpr std::chrono::minutes longStreamRetention{ 2 };

} // namespace

bool StreamMix::isLongStream(std::chrono::milliseconds maxGap, std::uint32_t expectedEvents)
{
    return maxGap.count() > 0 && expectedEvents >= minLongEvents;
}

void StreamMix::decay(SteadyTime now)
{
    const double factor = std::exp(-(now - m_decayedAt) / decayTime);
    m_longTokens *= factor;
    m_shortTokens *= factor;
    m_decayedAt = now;
}

void StreamMix::recordLong(std::uint32_t promptTokens, std::chrono::milliseconds maxGap, SteadyTime now)
{
    decay(now);
    m_longTokens += promptTokens;
    m_gapBound = maxGap;
    m_lastLongAt = now;
}

void StreamMix::recordShort(std::uint32_t promptTokens, SteadyTime now)
{
    decay(now);
    m_shortTokens += promptTokens;
}

std::optional<StreamNeed> StreamMix::need(bool isLong, std::chrono::milliseconds targetLatency, SteadyTime now) const
{
    if (!m_lastLongAt || now - *m_lastLongAt > longStreamRetention) {
        return std::nullopt;
    }
    const double total = m_longTokens + m_shortTokens;
    return StreamNeed{ .isLong = isLong,
                       .gapBound = m_gapBound,
                       .targetLatency = targetLatency,
                       .shortShare = total > 0 ? m_shortTokens / total : 0 };
}

} // namespace zinniadock
