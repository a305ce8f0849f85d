#include "zinniadock/process/servers/departedservers.h"

#include <algorithm>

namespace zinniadock
{

namespace
{

/// A store is not expected to come back from a copy that is older than this.
constexpr std::chrono::minutes retention{ 30 };

/// Maximum number of departures that are kept. It bounds the memory.
constexpr std::size_t maxDepartures = 10000;

/// Returns whether two start times may be of the same incarnation.
bool maySameIncarnation(std::int64_t one, std::int64_t other)
{
    return one == other || one == 0 || other == 0;
}

} // namespace

void DepartedServers::recordDraining(const ServerRecord &record, wire::StoreEra era, SteadyTime now)
{
    departureOf(record, era, now).isDraining = true;
}

void DepartedServers::recordGone(const ServerRecord &record, wire::StoreEra era, SteadyTime now)
{
    departureOf(record, era, now).isGone = true;
}

void DepartedServers::recordListed(const ServerRecord &record)
{
    const auto found = m_entries.find(record.id);
    if (found != m_entries.end()) {
        found->second.departure.isGone = false;
    }
}

// Returns the departure of the incarnation of a record. Replaces the departure of an earlier incarnation.
Departure &DepartedServers::departureOf(const ServerRecord &record, wire::StoreEra era, SteadyTime now)
{
    Entry &entry = m_entries[record.id];
    Departure &departure = entry.departure;
    if (departure.server.empty() || !maySameIncarnation(departure.startTimeMs, record.startTimeMs)) {
        departure = Departure{ .server = record.id };
    }
    departure.startTimeMs = std::max(departure.startTimeMs, record.startTimeMs);
    departure.sequence = std::max(departure.sequence, record.sequence);
    departure.era = std::max(departure.era, era);
    entry.seenAt = now;
    return departure;
}

bool DepartedServers::merge(const Departure &departure, SteadyTime now)
{
    Entry &entry = m_entries[departure.server];
    Departure merged = entry.departure;
    const bool isLater = departure.startTimeMs > merged.startTimeMs && merged.startTimeMs > 0;
    if (merged.server.empty() || isLater) {
        merged = departure;
    } else if (maySameIncarnation(departure.startTimeMs, merged.startTimeMs)) {
        merged.startTimeMs = std::max(merged.startTimeMs, departure.startTimeMs);
        merged.sequence = std::max(merged.sequence, departure.sequence);
        merged.isDraining = merged.isDraining || departure.isDraining;
        merged.isGone = merged.isGone || departure.isGone;
        merged.era = std::max(merged.era, departure.era);
    }
    if (merged == entry.departure) {
        return false;
    }
    entry = { std::move(merged), now };
    return true;
}

ListedAs DepartedServers::judge(const ServerRecord &record, const RecordOrigin &origin) const
{
    const auto found = m_entries.find(record.id);
    if (found == m_entries.end()) {
        return ListedAs::Listed;
    }
    const Departure &departure = found->second.departure;
    const bool isEarlier = record.startTimeMs > 0 && record.startTimeMs < departure.startTimeMs;
    if (!isEarlier && !maySameIncarnation(record.startTimeMs, departure.startTimeMs)) {
        return ListedAs::Listed;
    }
    const bool isFromSameEra = origin.era <= departure.era;
    const bool isLater = isFromSameEra || origin.isWrittenInEra || record.sequence > departure.sequence;
    if (departure.isGone && (isEarlier || !isLater)) {
        return ListedAs::Gone;
    }
    return departure.isDraining ? ListedAs::Draining : ListedAs::Listed;
}

std::vector<Departure> DepartedServers::latest(std::size_t max) const
{
    std::vector<const Entry *> entries;
    for (const auto &[id, entry] : m_entries) {
        entries.push_back(&entry);
    }
    std::sort(entries.begin(), entries.end(), [](const Entry *left, const Entry *right) {
        return left->seenAt > right->seenAt;
    });
    std::vector<Departure> departures;
    for (std::size_t i = 0; i < std::min(max, entries.size()); ++i) {
        departures.push_back(entries[i]->departure);
    }
    return departures;
}

void DepartedServers::prune(SteadyTime now)
{
    std::erase_if(m_entries, [now](const auto &entry) {
        return now - entry.second.seenAt > retention;
    });
    while (m_entries.size() > maxDepartures) {
        m_entries.erase(std::min_element(m_entries.begin(), m_entries.end(), [](const auto &left, const auto &right) {
            return left.second.seenAt < right.second.seenAt;
        }));
    }
}

} // namespace zinniadock
