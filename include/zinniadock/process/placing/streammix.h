#pragma once

#include <chrono>
#include <cstdint>
#include <optional>

#include "zinniadock/process/servers/serverdirectory.h"

namespace zinniadock
{

/// What a generation needs of the gaps at its engine, for its placement among engines of different speed.
struct StreamNeed
{
    bool isLong = false; ///< a stream with a bound on gaps and enough events to be late because of one
    /// Bound on gaps of the long streams of the pool.
    std::chrono::milliseconds gapBound{ 0 };
    std::chrono::milliseconds targetLatency{ 0 }; ///< for the first event of the generation
    double shortShare = 0; ///< share of the prompt tokens of the pool that belong to other generations, from 0 to 1
};

/// Prompt tokens of the generations that an entry has recently got for one pool, for long streams with a bound on gaps
/// and for others. Has no clock.
class StreamMix
{
public:
    /// \param maxGap  bound of the route on gaps; 0 for none
    static bool isLongStream(std::chrono::milliseconds maxGap, std::uint32_t expectedEvents);

    /// Records a long stream.
    void recordLong(std::uint32_t promptTokens, std::chrono::milliseconds maxGap, SteadyTime now);

    /// Records another generation.
    void recordShort(std::uint32_t promptTokens, SteadyTime now);

    /// Returns the need of a generation. Nothing if there were no long streams recently.
    std::optional<StreamNeed> need(bool isLong, std::chrono::milliseconds targetLatency, SteadyTime now) const;

private:
    void decay(SteadyTime now);

    double m_longTokens = 0; ///< exponentially decayed sums
    double m_shortTokens = 0;
    SteadyTime m_decayedAt;
    std::optional<SteadyTime> m_lastLongAt;
    std::chrono::milliseconds m_gapBound{ 0 }; ///< of the last long stream
};

} // namespace zinniadock
