#include "zinniadock/process/hybridclock.h"

#include <algorithm>

namespace zinniadock
{

namespace
{

constexpr std::uint64_t countsPerMicrosecond = 4096;

} // namespace

HybridTime HybridTime::fromWallTime(std::chrono::system_clock::time_point time)
{
    const auto sinceEpoch = std::chrono::duration_cast<std::chrono::microseconds>(time.time_since_epoch());
    const auto microseconds = std::max<std::chrono::microseconds::rep>(0, sinceEpoch.count());
    return HybridTime{ static_cast<std::uint64_t>(microseconds) * countsPerMicrosecond };
}

std::chrono::system_clock::time_point HybridTime::wallTime() const
{
    return std::chrono::system_clock::time_point(std::chrono::microseconds(value / countsPerMicrosecond));
}

HybridTime HybridClock::now()
{
    const std::uint64_t wallTime = physicalTime();
    std::uint64_t last = m_last.load();
    while (true) {
        const std::uint64_t next = std::max(last + 1, wallTime);
        if (m_last.compare_exchange_weak(last, next)) {
            return HybridTime{ next };
        }
    }
}

void HybridClock::observe(HybridTime time)
{
    constexpr auto maxAheadTicks
        = static_cast<std::uint64_t>(std::chrono::microseconds(maxAhead).count()) * countsPerMicrosecond;
    if (time.value > physicalTime() + maxAheadTicks) {
        return;
    }
    std::uint64_t last = m_last.load();
    while (last < time.value && !m_last.compare_exchange_weak(last, time.value)) { }
}

void HybridClock::setOffset(std::chrono::milliseconds offset)
{
    m_offset = offset.count();
}

std::uint64_t HybridClock::physicalTime() const
{
    return HybridTime::fromWallTime(std::chrono::system_clock::now() + std::chrono::milliseconds(m_offset.load()))
        .value;
}

} // namespace zinniadock
