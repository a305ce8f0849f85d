#pragma once

#include <chrono>
#include <cstdint>
#include <deque>

#include "zinniadock/process/servers/serverdirectory.h"

namespace zinniadock
{

/// What an entry knows of the cold time of an engine.
struct ColdState
{
    double perSecond = 0; ///< requests per second that the engine tolerates while it is cold; 0 if not stated
    std::chrono::milliseconds left{ 0 }; ///< time for which the engine stays cold; 0 if it is not cold
    std::uint64_t sequence = 0; ///< of the record from which the entry knows it; 0 if not stated
};

/// Bounds the work that the sidecar of a cold engine admits, over all entries. Has no network, clock or thread.
class ColdAdmission
{
public:
    /// Applies what an entry states. A record with a higher sequence number replaces what is known; of several
    /// statements by one record the longest time counts.
    void learn(const ColdState &state, SteadyTime now);

    /// Applies what the engine itself states.
    void observe(std::chrono::milliseconds left, SteadyTime now);

    /// Returns whether the engine is cold and limits its requests.
    bool isCold(SteadyTime now) const;

    /// Returns whether the engine may get another request now.
    bool mayAdmit(SteadyTime now) const;

    /// Records that a request is admitted, also while the engine is not cold: it may become cold at any moment.
    void recordAdmitted(SteadyTime now);

    /// Forgets what is known of an engine, which has restarted.
    void reset();

private:
    double m_perSecond = 0;
    std::uint64_t m_sequence = 0;
    SteadyTime m_until;
    std::deque<SteadyTime> m_admitted; ///< times of the last admissions
};

} // namespace zinniadock
