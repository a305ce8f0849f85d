#pragma once

#include <cstddef>
#include <string>
#include <vector>

namespace zinniadock
{

/// An entry of the fleet, as it has registered itself.
struct EntryMember
{
    std::string peer; ///< where it listens for other entries
    double capacity = 1; ///< share of a processor that it has
};

/// Up to so many entries each one reads the store for itself.
constexpr std::size_t maxSmallFleetSize = 8;

/// Returns how many entries of a fleet read the store for all. \pre entries > 0
std::size_t readerCount(std::size_t entries);

/// Returns the peers in the order in which they are to read: those with most capacity first, then by a hash, so that
/// each entry that knows the same members gets the same order without asking.
std::vector<std::string> readerRanking(std::vector<EntryMember> members);

/// Says whether an entry is among those that read for all.
bool isReader(const std::string &peer, const std::vector<EntryMember> &members);

/// Returns whom an entry is to follow, best first: the readers, in an order of its own (rendezvous hashing), so that
/// followers are spread over them, then the others in the order in which they would become readers.
std::vector<std::string> sourceRanking(const std::string &peer, const std::vector<EntryMember> &members);

} // namespace zinniadock
