#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "zinniadock/process/servers/serverdirectory.h"
#include "zinniadock/process/store/storemirror.h"

namespace zinniadock
{

/// An evacuation of a data centre: its servers get no new work until it ends.
struct Evacuation
{
    std::string dataCentre;
    StorePosition position; ///< era and revision of the key in the store

    bool operator==(const Evacuation &) const = default;
};

/// A data centre whose evacuation has started or ended.
struct EvacuationChange
{
    std::string dataCentre;
    bool isEvacuated = false;
    std::int64_t revision = 0; ///< of the key if the evacuation has started, of the store if it has ended

    bool operator==(const EvacuationChange &) const = default;
};

/// The data centres that are evacuated, by the keys of the store and by what other entries have reported.
///
/// The store is authoritative: a report of another entry counts only until this entry knows the state of the store at
/// the position of the report or later. Has no network, clock or thread.
class Evacuations
{
public:
    /// State of one evacuation.
    struct State
    {
        StorePosition position;
        SteadyTime startedAt; ///< when this entry learned of it
    };

    /// Applies the state of the store. \p listed are all evacuations in the store at \p position. Does nothing if
    /// the state of the store is not known yet, or if it is older than the last one.
    /// Returns what has changed. Complexity: linear in the evacuations.
    std::vector<EvacuationChange> applyStore(const std::vector<Evacuation> &listed, const StorePosition &position,
                                             SteadyTime now);

    /// Applies what another entry knows. Returns what has changed. Complexity: linear in the evacuations.
    std::vector<EvacuationChange> learn(const std::vector<Evacuation> &reported, SteadyTime now);

    /// Returns whether an evacuation is in force that the known state of the store does not confirm yet.
    bool hasUnconfirmed() const;

    /// Returns the evacuations in force, by data centre.
    const std::map<std::string, State> &all() const;

    /// Returns the evacuations in force in the form that is sent to other entries.
    std::vector<Evacuation> list() const;

private:
    std::vector<EvacuationChange> update(SteadyTime now);

    StorePosition m_storePosition; ///< of the last applied state of the store; revision 0 before the first
    std::map<std::string, StorePosition> m_stated; ///< evacuations in the store
    std::map<std::string, StorePosition> m_learned; ///< reported evacuations that are newer than the state of the store
    std::map<std::string, State> m_all;
};

} // namespace zinniadock
