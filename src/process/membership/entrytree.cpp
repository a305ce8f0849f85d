#include "zinniadock/process/membership/entrytree.h"

#include <algorithm>

#include "zinniadock/process/placing/routing.h"

namespace zinniadock
{

namespace
{

/// An entry registers again within 22 s after the store has returned.
constexpr std::chrono::milliseconds memberRetention{ 30000 };

constexpr std::chrono::milliseconds unreachableTime{ 2000 };

/// Max number of earlier entries that are tried as a parent. An entry that is cut off from all others is then the root
/// of its subtree after this many reports.
constexpr std::size_t maxParentCandidates = 6;

} // namespace

void EntryTree::update(const std::string &self, const std::set<std::string> &peers, std::size_t minSize, SteadyTime now)
{
    m_minSize = minSize;
    std::erase_if(m_unreachableUntil, [now](const auto &peer) {
        return peer.second <= now;
    });
    const std::size_t expired = std::erase_if(m_removedAt, [now](const auto &member) {
        return now - member.second > memberRetention;
    });
    if (expired == 0 && self == m_self && peers == m_listed) {
        return;
    }
    m_self = self;
    for (const std::string &peer : m_listed) {
        if (!peers.contains(peer)) {
            m_removedAt[peer] = now;
        }
    }
    for (const std::string &peer : peers) {
        m_removedAt.erase(peer);
    }
    m_listed = peers;
    sortMembers();
}

void EntryTree::sortMembers()
{
    std::set<std::string> members = m_listed;
    members.insert(m_self);
    for (const auto &[peer, removedAt] : m_removedAt) {
        members.insert(peer);
    }
    m_order.assign(members.begin(), members.end());
    std::sort(m_order.begin(), m_order.end(), [](const std::string &left, const std::string &right) {
        const std::uint64_t leftHash = stableHash(left);
        const std::uint64_t rightHash = stableHash(right);
        return leftHash != rightHash ? leftHash < rightHash : left < right;
    });
    m_position = static_cast<std::size_t>(std::find(m_order.begin(), m_order.end(), m_self) - m_order.begin());
}

const std::string &EntryTree::self() const
{
    return m_self;
}

std::size_t EntryTree::size() const
{
    return std::max(m_order.size(), m_minSize);
}

std::optional<std::string> EntryTree::parent(SteadyTime now) const
{
    std::vector<std::size_t> candidates;
    for (std::size_t ancestor = m_position; ancestor > 0;) {
        ancestor = (ancestor - 1) / maxChildren;
        candidates.push_back(ancestor);
    }
    for (std::size_t other = 0; other < m_position && candidates.size() < maxParentCandidates; ++other) {
        if (std::find(candidates.begin(), candidates.end(), other) == candidates.end()) {
            candidates.push_back(other);
        }
    }
    const auto found = std::find_if(candidates.begin(), candidates.end(), [this, now](std::size_t candidate) {
        return isReachable(m_order[candidate], now);
    });
    return found == candidates.end() ? std::nullopt : std::optional(m_order[*found]);
}

std::vector<std::string> EntryTree::children() const
{
    std::vector<std::string> children;
    const std::size_t first = m_position * maxChildren + 1;
    for (std::size_t child = first; child < std::min(first + maxChildren, m_order.size()); ++child) {
        children.push_back(m_order[child]);
    }
    return children;
}

std::vector<std::string> EntryTree::reachableChildren(SteadyTime now) const
{
    std::vector<std::string> children;
    appendReachableChildren(m_position, now, children);
    return children;
}

void EntryTree::appendReachableChildren(std::size_t position, SteadyTime now, std::vector<std::string> &children) const
{
    const std::size_t first = position * maxChildren + 1;
    for (std::size_t child = first; child < std::min(first + maxChildren, m_order.size()); ++child) {
        if (isReachable(m_order[child], now)) {
            children.push_back(m_order[child]);
        } else {
            appendReachableChildren(child, now, children);
        }
    }
}

void EntryTree::recordSuccess(const std::string &peer)
{
    m_unreachableUntil.erase(peer);
    m_attachedTo = peer;
}

void EntryTree::recordUnreachable(const std::string &peer, SteadyTime now)
{
    m_unreachableUntil[peer] = now + unreachableTime;
}

void EntryTree::recordFailure(const std::string &peer, SteadyTime now)
{
    recordUnreachable(peer, now);
    m_attachedTo.clear();
}

bool EntryTree::isAttached() const
{
    return !m_attachedTo.empty();
}

bool EntryTree::isAttachedTo(const std::string &peer) const
{
    return !m_attachedTo.empty() && m_attachedTo == peer;
}

void EntryTree::detach()
{
    m_attachedTo.clear();
}

bool EntryTree::isReachable(const std::string &peer, SteadyTime now) const
{
    const auto found = m_unreachableUntil.find(peer);
    return found == m_unreachableUntil.end() || found->second <= now;
}

} // namespace zinniadock
