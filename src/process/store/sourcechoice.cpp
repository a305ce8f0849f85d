#include "zinniadock/process/store/sourcechoice.h"

#include <algorithm>

namespace zinniadock
{

void SourceChoice::setRanking(std::vector<std::string> ranking, std::size_t readers, std::size_t preceding)
{
    m_ranking = std::move(ranking);
    m_readers = std::min(readers, m_ranking.size());
    m_preceding = std::min(preceding, m_ranking.size());
}

std::size_t SourceChoice::size() const
{
    return m_ranking.size();
}

// Prefers a reader, if it has not failed or if the view is fresh enough to try it again, and then keeps a source that
// responds usefully. Otherwise chooses an entry at random that was not asked yet, and then the one that failed the
// longest time ago. While the store responds to few entries only, each of them is thus found by all others, and
// different entries ask different ones at the same time.
std::optional<std::string> SourceChoice::choose(std::size_t slot, Time now, bool isViewFresh,
                                                const std::function<double()> &draw)
{
    std::vector<std::string> untried;
    std::optional<std::string> chosen;
    Time oldestEnd = now;
    for (std::size_t rank = 0; rank < m_ranking.size(); ++rank) {
        const std::string &peer = m_ranking[rank];
        const auto skipped = m_skippedUntil.find(peer);
        const bool hasFailed = skipped != m_skippedUntil.end();
        const bool isOther = peer == m_current.at(slotCount - 1 - slot);
        if (isOther || (hasFailed && skipped->second > now)) {
            continue;
        }
        if (isPreferred(rank, slot, isViewFresh)) {
            untried.clear();
            chosen = peer;
            break;
        }
        if (!hasFailed) {
            untried.push_back(peer);
        } else if (skipped->second <= oldestEnd) {
            oldestEnd = skipped->second;
            chosen = peer;
        }
    }
    if (!untried.empty()) {
        chosen = untried[static_cast<std::size_t>(draw() * static_cast<double>(untried.size()))];
    }
    m_current.at(slot) = chosen.value_or("");
    return chosen;
}

bool SourceChoice::isPreferred(std::size_t rank, std::size_t slot, bool isViewFresh) const
{
    const std::string &peer = m_ranking[rank];
    const bool isAvailableReader = rank < m_readers && (isViewFresh || !m_skippedUntil.contains(peer));
    return isAvailableReader || peer == m_current.at(slot) || peer == m_useful.at(slot);
}

void SourceChoice::release(std::size_t slot)
{
    m_current.at(slot).clear();
}

void SourceChoice::recordUseful(std::size_t slot, const std::string &peer)
{
    m_skippedUntil.erase(peer);
    m_useful.at(slot) = peer;
}

void SourceChoice::skip(const std::string &peer, Time until)
{
    m_skippedUntil[peer] = until;
}

bool SourceChoice::precedes(const std::string &peer) const
{
    const auto end = m_ranking.begin() + static_cast<std::ptrdiff_t>(m_preceding);
    return std::find(m_ranking.begin(), end, peer) != end;
}

} // namespace zinniadock
