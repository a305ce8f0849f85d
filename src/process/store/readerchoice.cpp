#include "zinniadock/process/store/readerchoice.h"

#include <algorithm>
#include <cstdint>
#include <string_view>

namespace zinniadock
{

namespace
{

/// Readers beyond the number that the load requires, since each follower queries two readers.
constexpr std::size_t spareReaders = 1;
constexpr std::size_t entriesPerReader = 64;

/// Computes an FNV-1a hash with a final mix that differs from stableHash(). Unlike std::hash, it gives the same result
/// in each version of the program, so that entries of different versions agree on the readers.
std::uint64_t rankingHash(std::string_view text)
{
    std::uint64_t hash = 14695981039346656037ULL;
    for (const char each : text) {
        hash = (hash ^ static_cast<unsigned char>(each)) * 1099511628211ULL;
    }
    hash ^= hash >> 33U;
    hash *= 0xff51afd7ed558ccdULL;
    return hash ^ (hash >> 33U);
}

} // namespace

std::size_t readerCount(std::size_t entries)
{
    if (entries <= maxSmallFleetSize) {
        return entries;
    }
    return spareReaders + (entries + entriesPerReader - 1) / entriesPerReader;
}

std::vector<std::string> readerRanking(std::vector<EntryMember> members)
{
    std::sort(members.begin(), members.end(), [](const EntryMember &left, const EntryMember &right) {
        if (left.capacity != right.capacity) {
            return left.capacity > right.capacity;
        }
        const std::uint64_t leftHash = rankingHash(left.peer);
        const std::uint64_t rightHash = rankingHash(right.peer);
        return leftHash != rightHash ? leftHash < rightHash : left.peer < right.peer;
    });
    std::vector<std::string> order;
    for (EntryMember &member : members) {
        order.push_back(std::move(member.peer));
    }
    return order;
}

std::size_t readerRank(const std::string &peer, const std::vector<EntryMember> &members)
{
    const std::vector<std::string> order = readerRanking(members);
    return static_cast<std::size_t>(std::find(order.begin(), order.end(), peer) - order.begin());
}

bool isReader(const std::string &peer, const std::vector<EntryMember> &members)
{
    const bool isMember = std::any_of(members.begin(), members.end(), [&peer](const EntryMember &member) {
        return member.peer == peer;
    });
    return isMember && readerRank(peer, members) < readerCount(members.size());
}

std::vector<std::string> sourceRanking(const std::string &peer, const std::vector<EntryMember> &members)
{
    std::vector<std::string> order = readerRanking(members);
    const std::size_t readers = std::min(readerCount(std::max<std::size_t>(order.size(), 1)), order.size());
    std::sort(order.begin(), order.begin() + static_cast<std::ptrdiff_t>(readers),
              [&peer](const std::string &left, const std::string &right) {
                  return rankingHash(peer + ' ' + left) < rankingHash(peer + ' ' + right);
              });
    std::erase(order, peer);
    return order;
}

} // namespace zinniadock
