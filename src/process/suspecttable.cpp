#include "zinniadock/process/suspecttable.h"

namespace zinniadock
{

void SuspectTable::recordCrash(std::uint64_t fingerprint, std::uint64_t crash, Time now)
{
    const std::lock_guard lock(m_mutex);
    if (m_suspects.size() >= maxSuspects) {
        std::erase_if(m_suspects, [now](const auto &entry) {
            return now - entry.second.lastCrash > retention;
        });
    }
    if (m_suspects.size() >= maxSuspects && !m_suspects.contains(fingerprint)) {
        return;
    }
    Suspect &suspect = m_suspects[fingerprint];
    if (now - suspect.lastCrash > retention) {
        suspect.crashes.clear();
    }
    suspect.crashes.insert(crash);
    suspect.lastCrash = now;
}

std::size_t SuspectTable::crashCount(std::uint64_t fingerprint, Time now) const
{
    const std::lock_guard lock(m_mutex);
    const auto position = m_suspects.find(fingerprint);
    const bool known = position != m_suspects.end() && now - position->second.lastCrash <= retention;
    return known ? position->second.crashes.size() : 0;
}

} // namespace zinniadock
