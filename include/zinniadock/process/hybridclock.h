#pragma once

#include <atomic>
#include <chrono>
#include <compare>
#include <cstdint>

namespace zinniadock
{

/// A time of the hybrid logical clock: microseconds since the epoch, times 4096, plus a counter of events within the
/// same microsecond.
struct HybridTime
{
    std::uint64_t value = 0;

    // clang-tidy mistakes the 0 in a rewritten comparison for a null pointer.
    auto operator<=>(const HybridTime &) const = default; // NOLINT(modernize-use-nullptr)

    /// Returns the time with counter 0 in the microsecond of a wall-clock time.
    static HybridTime fromWallTime(std::chrono::system_clock::time_point time);

    std::chrono::system_clock::time_point wallTime() const;
};

/// Hybrid logical clock that orders events of several processes: now() returns a later time than every time that
/// observe() has accepted, regardless of differences between the wall clocks. Thread-safe.
class HybridClock
{
public:
    /// Returns a time later than every time that was returned or observed before. Complexity: constant.
    HybridTime now();

    /// Advances the clock to the time that a message carried. Ignores a time more than \c maxAhead ahead of the wall
    /// clock, so that one process with a wrong wall clock can't advance the clocks of all others.
    void observe(HybridTime time);

    /// Sets the offset that is added to the wall clock; tests use it to simulate a clock step.
    void setOffset(std::chrono::milliseconds offset);

private:
    static constexpr std::chrono::hours maxAhead{ 1 };

    std::uint64_t physicalTime() const;

    std::atomic<std::uint64_t> m_last{ 0 };
    std::atomic<std::chrono::milliseconds::rep> m_offset{ 0 };
};

} // namespace zinniadock
