#include "zinniadock/process/servers/evacuations.h"

namespace zinniadock
{

namespace
{

bool isBefore(const StorePosition &left, const StorePosition &right)
{
    return left.era != right.era ? left.era < right.era : left.revision < right.revision;
}

} // namespace

std::vector<EvacuationChange> Evacuations::applyStore(const std::vector<Evacuation> &listed,
                                                      const StorePosition &position, SteadyTime now)
{
    if (position.revision == 0 || isBefore(position, m_storePosition)) {
        return {};
    }
    m_storePosition = position;
    m_stated.clear();
    for (const Evacuation &evacuation : listed) {
        m_stated[evacuation.dataCentre] = evacuation.position;
    }
    return update(now);
}

std::vector<EvacuationChange> Evacuations::learn(const std::vector<Evacuation> &reported, SteadyTime now)
{
    for (const Evacuation &evacuation : reported) {
        StorePosition &known = m_learned[evacuation.dataCentre];
        known = isBefore(known, evacuation.position) ? evacuation.position : known;
    }
    return update(now);
}

// An evacuation that was reported at or before the known position of the store, and that the store does not list, has
// been withdrawn.
std::vector<EvacuationChange> Evacuations::update(SteadyTime now)
{
    std::erase_if(m_learned, [this](const auto &learned) {
        return !isBefore(m_storePosition, learned.second);
    });
    std::map<std::string, StorePosition> current = m_learned;
    current.insert(m_stated.begin(), m_stated.end());
    std::vector<EvacuationChange> changes;
    std::erase_if(m_all, [this, &current, &changes](const auto &known) {
        const bool hasEnded = !current.contains(known.first);
        if (hasEnded) {
            changes.push_back({ known.first, false, m_storePosition.revision });
        }
        return hasEnded;
    });
    for (const auto &[dataCentre, position] : current) {
        const auto [known, isNew] = m_all.try_emplace(dataCentre, State{ .position = position, .startedAt = now });
        known->second.position = position;
        if (isNew) {
            changes.push_back({ dataCentre, true, position.revision });
        }
    }
    return changes;
}

bool Evacuations::hasUnconfirmed() const
{
    return !m_learned.empty();
}

const std::map<std::string, Evacuations::State> &Evacuations::all() const
{
    return m_all;
}

std::vector<Evacuation> Evacuations::list() const
{
    std::vector<Evacuation> list;
    for (const auto &[dataCentre, state] : m_all) {
        list.push_back({ .dataCentre = dataCentre, .position = state.position });
    }
    return list;
}

} // namespace zinniadock
