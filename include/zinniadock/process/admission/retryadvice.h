#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <set>
#include <utility>
#include <vector>

#include "zinniadock/process/servers/serverdirectory.h"

namespace zinniadock
{

/// Expected times until the generations of an entry end, each of which frees the memory for another one. An entry's own
/// generations stand for its part of the capacity of the fleet.
using ExpectedEnds = std::vector<std::chrono::milliseconds>;

/// Returns whether enough generations are expected to end within \p maxWait for one that waits behind \p ahead others.
/// Returns true if too few generations run for an estimate.
bool mayWaitingHelp(const ExpectedEnds &ends, std::size_t ahead, std::chrono::milliseconds maxWait);

/// Determines when the clients of refused generations of one pool come back. Each gets the end of a different running
/// generation, so that it finds the capacity that becomes free then.
class RetryAdvice
{
public:
    /// Returns the retry time of a refused generation.
    /// \param ahead  generations of the same or a higher priority that wait at the entry
    /// \param draw  random number, uniform in [0, 1)
    std::chrono::milliseconds retryAfter(ExpectedEnds ends, std::size_t ahead, std::uint32_t priority, SteadyTime now,
                                         double draw);

private:
    std::set<std::pair<SteadyTime, std::uint32_t>> m_returns; ///< times stated to clients, with their priorities
};

} // namespace zinniadock
