#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "zinniadock/connection/wireform.h"

namespace zinniadock
{

/// The changes of keys with one prefix between two revisions of the store, or a snapshot of these keys.
struct StoreChanges
{
    bool isSnapshot = false; ///< \c items has all existing keys; a key that is not in \c items does not exist
    std::int64_t revision = 0; ///< the changes are complete up to this revision of the store; 0 if nothing is known
    std::vector<wire::StoreItem> items;
};

/// A copy of the keys with one prefix, updated from the store or from other instances in any order.
///
/// The sources may be stale by different amounts. For each key the mirror keeps the value with the highest revision, so
/// a stale source can't revert a key to an earlier value.
class StoreMirror
{
public:
    /// Applies changes and returns those that changed the mirror, including deletions that follow from a snapshot.
    /// Complexity: linear in the changes, for a snapshot also linear in the keys of the mirror.
    std::vector<wire::StoreItem> apply(const StoreChanges &changes);

    /// Returns the changes after a revision, or a snapshot if the mirror no longer has all of these changes.
    StoreChanges changesAfter(std::int64_t revision) const;

    /// Returns the revision up to which all changes are known; 0 before the first snapshot.
    std::int64_t revision() const;

    /// Returns the keys that exist.
    std::vector<wire::StoreItem> items() const;

private:
    void compactDeletions();

    std::map<std::string, wire::StoreItem> m_items; ///< by key; a deleted key has no value
    std::int64_t m_revision = 0;
    std::int64_t m_compactedRevision = 0; ///< deletions up to this revision may be unknown
    std::size_t m_deletionCount = 0;
};

} // namespace zinniadock
