#pragma once

#include <cstddef>
#include <optional>
#include <unordered_map>

#include "zinniadock/process/crashes/crashreport.h"

namespace zinniadock
{

/// Remembers when servers last responded to requests with a trait, for 5 to 10 minutes. The memory is bounded: with
/// very many traits the time is shorter. Has no clock of its own. Not thread-safe.
class ResponseHistory
{
public:
    /// Records a response. Complexity: constant, on average.
    void record(RequestTrait trait, SteadyTime at);

    /// Returns when a server last responded to a request with the trait; nothing if that is not known.
    std::optional<SteadyTime> lastResponse(RequestTrait trait) const;

private:
    using Responses = std::unordered_map<RequestTrait, SteadyTime>;

    Responses m_current;
    Responses m_previous; ///< traits that were recorded before m_currentSince
    SteadyTime m_currentSince;
};

} // namespace zinniadock
