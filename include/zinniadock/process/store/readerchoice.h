#pragma once

#include <cstddef>
#include <string>
#include <vector>

namespace zinniadock
{

/// The registration of an entry of the fleet.
struct EntryMember
{
    std::string peer; ///< address on which the entry listens for other entries
    double capacity = 1; ///< number of processors that the entry may use; may be a fraction
};

/// Maximum number of entries of a fleet in which every entry reads the store itself.
constexpr std::size_t maxSmallFleetSize = 8;

/// Returns how many entries of a fleet of \p entries read the store themselves (the readers). \pre entries > 0
std::size_t readerCount(std::size_t entries);

/// Returns the peers in the order in which they become readers: by descending capacity, then by a hash. Entries that
/// know the same members compute the same order without coordination.
std::vector<std::string> readerRanking(std::vector<EntryMember> members);

/// Returns how many entries come before an entry in the order in which they become readers. \pre the entry is a member
std::size_t readerRank(const std::string &peer, const std::vector<EntryMember> &members);

/// Returns whether an entry is a reader.
bool isReader(const std::string &peer, const std::vector<EntryMember> &members);

/// Returns the peers that an entry may follow, best first: the readers in an order that differs between entries
/// (rendezvous hashing), which distributes the followers over the readers, then the others in the order in which they
/// become readers.
std::vector<std::string> sourceRanking(const std::string &peer, const std::vector<EntryMember> &members);

} // namespace zinniadock
