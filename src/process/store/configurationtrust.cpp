#include "zinniadock/process/store/configurationtrust.h"

#include <algorithm>

namespace zinniadock
{

namespace
{

/// Time for which a query to another entry counts. In this time an entry queries several others, also while most of
/// them do not respond.
constexpr std::chrono::milliseconds queryLifetime{ 6000 };

/// Number of other entries whose overdue copies show that the store is away for all entries. The store may turn away a
/// part of the entries, so that one or two of them show nothing in a large fleet.
constexpr std::size_t sufficientWitnesses = 3;

} // namespace

std::string_view toString(ConfigurationTrust trust)
{
    switch (trust) {
    case ConfigurationTrust::Current:
        return "current";
    case ConfigurationTrust::Unconfirmed:
        return "unconfirmed";
    case ConfigurationTrust::Overdue:
        break;
    }
    return "overdue";
}

bool isOverdue(const std::optional<std::chrono::milliseconds> &age, std::chrono::milliseconds bound)
{
    return !age || *age > bound;
}

void ConfigurationJudge::recordResponse(const std::string &peer, bool hasOverdueCopy, Time now)
{
    if (hasOverdueCopy) {
        m_queries[peer] = { .endedAt = now, .hasOverdueCopy = true };
    } else {
        m_queries.erase(peer);
    }
}

void ConfigurationJudge::recordNoResponse(const std::string &peer, Time now)
{
    m_queries[peer] = { .endedAt = now, .hasOverdueCopy = false };
}

// In a small fleet, or if most entries do not run, there are not enough witnesses. Then all that respond must agree,
// and all must have been asked. An entry that no other one answers may have been cut off alone.
ConfigurationTrust ConfigurationJudge::judge(const std::optional<std::chrono::milliseconds> &age,
                                             std::chrono::milliseconds bound, std::size_t otherEntries, Time now) const
{
    if (!isOverdue(age, bound)) {
        return ConfigurationTrust::Current;
    }
    if (otherEntries == 0) {
        return ConfigurationTrust::Unconfirmed;
    }
    std::size_t witnesses = 0;
    std::size_t asked = 0;
    for (const auto &[peer, query] : m_queries) {
        const bool counts = now - query.endedAt <= queryLifetime;
        asked += counts ? 1 : 0;
        witnesses += counts && query.hasOverdueCopy ? 1 : 0;
    }
    const bool isWitnessed = witnesses >= sufficientWitnesses || (witnesses > 0 && asked >= otherEntries);
    return isWitnessed ? ConfigurationTrust::Unconfirmed : ConfigurationTrust::Overdue;
}

} // namespace zinniadock
