#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "figures.h"
#include "injectedfault.h"

namespace zinniadock::load
{

/// Attributes the stalls that callers observed to the injected faults.
///
/// Candidates for the cause of a stall are the faults that began before the stall or up to 100 ms after its begin, and
/// that were still active or had ended at most five seconds before the stall. The stall is attributed to the candidate
/// that began last. Without a candidate, it is attributed to the first fault that began during the stall. The recovery
/// time of a fault is the part of a stall that lies after the end of the fault.
class StallAttribution
{
public:
    /// Adds one event of the recorded history. Events other than `fault` and `answer` are ignored.
    void add(const nlohmann::json &event);

    /// Adds the results to \p figures: five figures for each kind of fault, and the longest stall without a cause.
    ///
    /// The figures of a kind are the number of its faults, the median and the maximum of the longest stall of each
    /// fault, the longest isolated stall, and the longest recovery time. A stall is isolated if it overlapped no other
    /// fault of the same server and no other fault of an entry.
    void report(Figures &figures) const;

    /// Returns a sentence that describes the longest stall and its cause, or an empty string if there were no stalls.
    std::string describeMaxStall() const;

private:
    struct Stall
    {
        std::int64_t from = 0; ///< microseconds since the epoch
        std::int64_t until = 0;
    };

    struct FaultImpact
    {
        Microseconds maxStall{ 0 };
        Microseconds maxRecovery{ 0 };
        Microseconds maxIsolatedStall{ 0 }; ///< longest stall that overlapped no other related fault
    };

    bool overlapsOtherFault(const Stall &stall, const InjectedFault &cause) const;
    const InjectedFault *findCause(const Stall &stall) const;

    std::vector<InjectedFault> m_faults;
    std::vector<Stall> m_stalls;
};

} // namespace zinniadock::load
