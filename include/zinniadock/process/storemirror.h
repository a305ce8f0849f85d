#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "zinniadock/connection/wireform.h"

namespace zinniadock
{

/// Changes under one prefix of the store, complete from one revision to another.
struct StoreChanges
{
    bool isSnapshot = false; ///< all keys there are, so that a key which is not among them does not exist
    std::int64_t revision = 0; ///< complete up to this revision of the store; 0 for nothing at all
    std::vector<wire::StoreItem> items;
};

/// What an instance knows of the keys under one prefix, from the store or from other instances, in any order.
///
/// Answers the pattern of many sources that are behind one another: of each key the highest revision counts, so that
/// what is known never goes back, whoever tells it.
class StoreMirror
{
public:
    /// Takes changes and returns those that were news. Complexity: linear in the changes, and in the keys for a whole
    /// listing.
    std::vector<wire::StoreItem> apply(const StoreChanges &changes);

    /// Returns what came after a revision; the whole listing where that is not known any more.
    StoreChanges changesAfter(std::int64_t revision) const;

    /// Returns the revision up to which all changes are known; 0 before the first whole listing.
    std::int64_t revision() const;

    /// Returns the keys that exist.
    std::vector<wire::StoreItem> items() const;

private:
    void compactDeletions();

    std::map<std::string, wire::StoreItem> m_items; ///< deleted keys as well, without a value
    std::int64_t m_revision = 0;
    std::int64_t m_compactedRevision = 0; ///< deletions up to this revision are not known any more
    std::size_t m_deletionCount = 0;
};

} // namespace zinniadock
