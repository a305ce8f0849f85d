#pragma once

#include <chrono>
#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "zinniadock/process/servers/serverdirectory.h"

namespace zinniadock
{

/// Arranges the entries of a fleet as a tree, along which they share what they know. Each entry computes the tree from
/// the list of entries alone, and knows which peers respond to it.
///
/// The entries are sorted by a hash. The entry at position p has its parent at position (p - 1) / \c maxChildren. An
/// entry whose parent does not respond uses the next earlier ancestor, then any other entry before it. So a parent is
/// always earlier than its children, and entries that know the same list form no cycle. Not thread-safe.
class EntryTree
{
public:
    /// Sets the listed entries. An entry that is no longer listed stays in the tree for \c memberRetention, since its
    /// registration may only have expired during an outage of the store.
    /// \param self  peer address of this entry, which need not be listed
    /// \param minSize  min number of entries to assume, also if fewer are listed
    void update(const std::string &self, const std::set<std::string> &peers, std::size_t minSize, SteadyTime now);

    /// Returns the peer address of this entry.
    const std::string &self() const;

    /// Returns the number of entries, including this one.
    std::size_t size() const;

    /// Returns the entry to report to; nothing for the root, and while no earlier entry responds.
    std::optional<std::string> parent(SteadyTime now) const;

    /// Returns the entries whose parent is this entry as long as all entries respond.
    std::vector<std::string> children() const;

    /// Returns the children, with the children of each one that does not respond in its place.
    std::vector<std::string> reachableChildren(SteadyTime now) const;

    /// Returns whether a peer is not known to be unreachable.
    bool isReachable(const std::string &peer, SteadyTime now) const;

    void recordSuccess(const std::string &peer);

    /// Records that a peer did not respond. It is not used for \c unreachableTime.
    void recordUnreachable(const std::string &peer, SteadyTime now);

    /// Records that the parent did not respond. This entry is no longer attached to it.
    void recordFailure(const std::string &peer, SteadyTime now);

    /// Returns whether the last report got a reply. An entry that is not attached is the root of its own subtree.
    bool isAttached() const;

    /// Returns whether the last report was sent to this peer and got a reply.
    bool isAttachedTo(const std::string &peer) const;

    /// Makes this entry the root of its own subtree until the next recordSuccess().
    void detach();

private:
    void appendReachableChildren(std::size_t position, SteadyTime now, std::vector<std::string> &children) const;
    void sortMembers();

    std::string m_self;
    std::set<std::string> m_listed;
    std::map<std::string, SteadyTime> m_removedAt; ///< when entries that are no longer listed were last listed, by peer
    std::vector<std::string> m_order; ///< the entries of the tree
    std::size_t m_position = 0; ///< of this entry in the order
    std::size_t m_minSize = 1;
    std::map<std::string, SteadyTime> m_unreachableUntil;
    std::string m_attachedTo; ///< empty if not attached
};

/// Max number of children of an entry. It bounds the messages that one entry exchanges.
constexpr std::size_t maxChildren = 4;

/// An entry that has not reported for this time is no longer counted as a child.
constexpr std::chrono::milliseconds childReportTimeout{ 3000 };

} // namespace zinniadock
