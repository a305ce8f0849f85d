#pragma once

#include <array>
#include <chrono>
#include <cstddef>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace zinniadock
{

/// Chooses the entries through which an entry follows the store. No network, no clock.
class SourceChoice
{
public:
    using Time = std::chrono::steady_clock::time_point;

    /// Number of sources that are followed at a time.
    static constexpr std::size_t slotCount = 2;

    /// Sets the entries that may be followed, best first.
    /// \param readers  number of them, from the first on, that read the store for all entries
    /// \param preceding  number of them, from the first on, that come before this entry in the order of readers
    void setRanking(std::vector<std::string> ranking, std::size_t readers, std::size_t preceding);

    /// Returns the number of entries that may be followed.
    std::size_t size() const;

    /// Chooses the source of a slot; nothing if there is none.
    /// \param isViewFresh  whether the view of this entry is fresh, so that a reader that has failed is tried again
    /// \param draw  returns random numbers in [0, 1)
    std::optional<std::string> choose(std::size_t slot, Time now, bool isViewFresh,
                                      const std::function<double()> &draw);

    /// Leaves a slot without a source.
    void release(std::size_t slot);

    /// Records that a source had a current view.
    void recordUseful(std::size_t slot, const std::string &peer);

    /// Records that a source has failed. It is not chosen before \p until.
    void skip(const std::string &peer, Time until);

    /// Returns whether an entry comes before this one in the order of readers, so that this one may stop reading the
    /// store for it. Two entries never stop for each other.
    bool precedes(const std::string &peer) const;

private:
    bool isPreferred(std::size_t rank, std::size_t slot, bool isViewFresh) const;

    std::vector<std::string> m_ranking;
    std::size_t m_readers = 0;
    std::size_t m_preceding = 0;
    std::map<std::string, Time> m_skippedUntil; ///< of the sources that have failed since they were last useful
    std::array<std::string, slotCount> m_current; ///< empty for none
    std::array<std::string, slotCount> m_useful; ///< the last ones that had a current view; empty for none
};

} // namespace zinniadock
