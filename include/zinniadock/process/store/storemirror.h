#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "zinniadock/connection/wireform.h"

namespace zinniadock
{

/// A point in the history of the store. A position of a later era is later, whatever its revision: the store has come
/// back from a copy of itself and gives revisions out again.
struct StorePosition
{
    wire::StoreEra era = 0;
    std::int64_t revision = 0; ///< 0 if nothing is known

    auto operator<=>(const StorePosition &) const = default;
};

/// The changes of keys with one prefix between two revisions of the store, or a snapshot of these keys.
struct StoreChanges
{
    bool isSnapshot = false; ///< \c items has all existing keys; a key that is not in \c items does not exist
    wire::StoreEra era = 0; ///< era of all revisions
    std::int64_t revision = 0; ///< the changes are complete up to this revision of the store; 0 if nothing is known
    std::vector<wire::StoreItem> items;
};

/// Replaces each value that is longer than a limit by an empty one. A record has at most some hundred bytes, and all
/// values of a mirror must fit into one response to another entry.
/// \param maxBytes  longest value that is kept
void clearLongValues(StoreChanges &changes, std::size_t maxBytes);

/// A copy of the keys with one prefix, updated from the store or from other instances in any order.
///
/// The sources may be stale by different amounts. For each key the mirror keeps the value with the highest revision of
/// the latest era, so a stale source can't revert a key to an earlier value. A snapshot of a later era replaces the
/// whole content, since nothing that was read before has to exist in it.
class StoreMirror
{
public:
    /// Applies changes and returns those that changed the mirror, including deletions that follow from a snapshot. Does
    /// nothing for changes of an earlier era, and for changes of a later era that are no snapshot.
    /// Complexity: linear in the changes, for a snapshot also linear in the keys of the mirror.
    std::vector<wire::StoreItem> apply(const StoreChanges &changes);

    /// Returns the changes after a position, or a snapshot if the mirror does not have all of these changes. Returns
    /// no items for a position of a later era.
    StoreChanges changesAfter(const StorePosition &known) const;

    /// Returns the position up to which all changes are known; revision 0 before the first snapshot.
    StorePosition position() const;

    /// Returns the keys that exist.
    std::vector<wire::StoreItem> items() const;

    /// Returns an existing key; nothing if it does not exist.
    std::optional<wire::StoreItem> find(const std::string &key) const;

    /// Returns whether a key was written after the mirror first read the era. Any other key may have been written
    /// before the store went back.
    bool isWrittenInEra(const wire::StoreItem &item) const;

private:
    std::vector<wire::StoreItem> replaceBy(const StoreChanges &snapshot);
    std::vector<wire::StoreItem> merge(const StoreChanges &changes);
    std::vector<wire::StoreItem> missingIn(const StoreChanges &snapshot) const;
    bool applyItem(const wire::StoreItem &item);
    void compactDeletions();

    std::map<std::string, wire::StoreItem> m_items; ///< by key; a deleted key has no value
    StorePosition m_position;
    std::int64_t m_firstRevisionOfEra = 0;
    std::int64_t m_compactedRevision = 0; ///< deletions up to this revision may be unknown
    std::size_t m_deletionCount = 0;
};

} // namespace zinniadock
