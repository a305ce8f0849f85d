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

/// Relates the stalls that callers saw to the faults that were injected.
///
/// A stall belongs to the fault that began last before the stall did, if that was under way or over for less than five
/// seconds; else to the first one that began during the stall. Recovery is the part of a stall after its fault's end.
class FaultStalls
{
public:
    /// Takes one event; only `fault` and `answer` matter.
    void add(const nlohmann::json &event);

    /// Adds for each kind of fault how many there were, the median and the longest of the longest stalls of each,
    /// the longest recovery, and the longest stall that met no other fault.
    void report(Figures &figures) const;

    /// Returns a sentence on the longest stall and its cause; empty without stalls.
    std::string longest() const;

private:
    struct Stall
    {
        std::int64_t from = 0; ///< microseconds since the epoch
        std::int64_t until = 0;
    };

    struct Effect
    {
        Microseconds stall{ 0 };
        Microseconds recovery{ 0 };
        Microseconds alone{ 0 }; ///< longest stall that met no other fault
    };

    bool metOthers(const Stall &stall, const InjectedFault &cause) const;
    const InjectedFault *causeOf(const Stall &stall) const;

    std::vector<InjectedFault> m_faults;
    std::vector<Stall> m_stalls;
};

} // namespace zinniadock::load
