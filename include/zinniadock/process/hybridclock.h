#pragma once

#include <atomic>
#include <chrono>
#include <compare>
#include <cstdint>

namespace zinniadock
{

/// A time of the hybrid logical clock: microseconds since the epoch, times 4096, plus a count of events within them.
struct HybridTime
{
    std::uint64_t value = 0;

    // The linter takes the 0 that a comparison is rewritten with for a pointer.
    auto operator<=>(const HybridTime &) const = default; // NOLINT(modernize-use-nullptr)

    /// Returns the first time of a microsecond.
    static HybridTime fromWallTime(std::chrono::system_clock::time_point time);

    std::chrono::system_clock::time_point wall() const;
};

/// Orders events over processes: a time read after a message was observed is later than the time sent with it, whatever
/// the wall clocks say. Thread-safe.
class HybridClock
{
public:
    /// Returns a time later than all returned or observed before. Complexity: constant.
    HybridTime now();

    /// Takes the time that came with a message. One more than an hour ahead is left out, so that one broken wall clock
    /// can't carry all the others away.
    void observe(HybridTime time);

    /// Shifts the wall clock that this clock reads, as a step of it would.
    void setOffset(std::chrono::milliseconds offset);

private:
    static constexpr std::chrono::hours mostAhead{ 1 };

    std::uint64_t physical() const;

    std::atomic<std::uint64_t> m_last{ 0 };
    std::atomic<std::chrono::milliseconds::rep> m_offset{ 0 };
};

} // namespace zinniadock
