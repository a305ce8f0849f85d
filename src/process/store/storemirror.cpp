#include "zinniadock/process/store/storemirror.h"

#include <algorithm>
#include <set>

namespace zinniadock
{

namespace
{

/// Maximum number of deletions that are kept for other instances that have not received them yet.
constexpr std::size_t maxRetainedDeletions = 1000;

} // namespace

void clearLongValues(StoreChanges &changes, std::size_t maxBytes)
{
    for (wire::StoreItem &item : changes.items) {
        if (item.value && item.value->size() > maxBytes) {
            item.value->clear();
            item.value->shrink_to_fit();
        }
    }
}

std::vector<wire::StoreItem> StoreMirror::apply(const StoreChanges &changes)
{
    if (changes.era < m_position.era) {
        return {};
    }
    if (changes.era == m_position.era) {
        return merge(changes);
    }
    return changes.isSnapshot ? replaceBy(changes) : std::vector<wire::StoreItem>();
}

// Returns only the keys whose existence or value differs, since most keys were written before the copy was made.
std::vector<wire::StoreItem> StoreMirror::replaceBy(const StoreChanges &snapshot)
{
    std::vector<wire::StoreItem> changedItems = missingIn(snapshot);
    std::map<std::string, wire::StoreItem> replaced;
    for (const wire::StoreItem &item : snapshot.items) {
        const auto known = m_items.find(item.key);
        if (known == m_items.end() || known->second.value != item.value) {
            changedItems.push_back(item);
        }
        replaced[item.key] = item;
    }
    m_items = std::move(replaced);
    m_position = { snapshot.era, snapshot.revision };
    m_firstRevisionOfEra = snapshot.revision;
    m_compactedRevision = snapshot.revision;
    m_deletionCount = 0;
    return changedItems;
}

std::vector<wire::StoreItem> StoreMirror::merge(const StoreChanges &changes)
{
    std::vector<wire::StoreItem> candidates;
    if (changes.isSnapshot) {
        candidates = missingIn(changes);
    }
    candidates.insert(candidates.end(), changes.items.begin(), changes.items.end());
    std::erase_if(candidates, [this](const wire::StoreItem &item) {
        return !applyItem(item);
    });
    if (changes.isSnapshot && changes.revision > m_position.revision) {
        m_compactedRevision = changes.revision; // keys that were written and deleted before are not in the snapshot
    }
    m_firstRevisionOfEra = m_firstRevisionOfEra == 0 ? changes.revision : m_firstRevisionOfEra;
    m_position.revision = std::max(m_position.revision, changes.revision);
    compactDeletions();
    return candidates;
}

// Returns the deletions of the keys that exist in this mirror and not in a snapshot.
std::vector<wire::StoreItem> StoreMirror::missingIn(const StoreChanges &snapshot) const
{
    std::set<std::string> listed;
    for (const wire::StoreItem &item : snapshot.items) {
        listed.insert(item.key);
    }
    std::vector<wire::StoreItem> deletions;
    for (const auto &[key, item] : m_items) {
        if (item.value && !listed.contains(key)) {
            deletions.push_back({ .key = key, .value = {}, .revision = snapshot.revision });
        }
    }
    return deletions;
}

// Ignores items up to the revision of this mirror. They have been applied before, including deletions that are no
// longer kept.
bool StoreMirror::applyItem(const wire::StoreItem &item)
{
    if (item.revision <= m_position.revision) {
        return false;
    }
    wire::StoreItem &known = m_items[item.key];
    if (item.revision <= known.revision) {
        return false;
    }
    m_deletionCount += known.revision > 0 && !known.value ? -1 : 0;
    m_deletionCount += item.value ? 0 : 1;
    known = item;
    return true;
}

// Drops the older half of the deletions if there are more than maxRetainedDeletions.
void StoreMirror::compactDeletions()
{
    if (m_deletionCount <= maxRetainedDeletions) {
        return;
    }
    std::vector<std::int64_t> revisions;
    for (const auto &[key, item] : m_items) {
        if (!item.value) {
            revisions.push_back(item.revision);
        }
    }
    const auto middle = revisions.begin() + static_cast<std::ptrdiff_t>(revisions.size() / 2);
    std::nth_element(revisions.begin(), middle, revisions.end());
    m_compactedRevision = std::max(m_compactedRevision, *middle);
    m_deletionCount -= std::erase_if(m_items, [this](const auto &entry) {
        return !entry.second.value && entry.second.revision <= m_compactedRevision;
    });
}

StoreChanges StoreMirror::changesAfter(const StorePosition &known) const
{
    StoreChanges changes{ .isSnapshot = false, .era = m_position.era, .revision = m_position.revision, .items = {} };
    if (known.era > m_position.era) {
        return changes;
    }
    if (known.era < m_position.era || known.revision == 0 || known.revision < m_compactedRevision) {
        changes.isSnapshot = true;
        changes.items = items();
        return changes;
    }
    for (const auto &[key, item] : m_items) {
        if (item.revision > known.revision) {
            changes.items.push_back(item);
        }
    }
    return changes;
}

StorePosition StoreMirror::position() const
{
    return m_position;
}

std::vector<wire::StoreItem> StoreMirror::items() const
{
    std::vector<wire::StoreItem> existing;
    for (const auto &[key, item] : m_items) {
        if (item.value) {
            existing.push_back(item);
        }
    }
    return existing;
}

std::optional<wire::StoreItem> StoreMirror::find(const std::string &key) const
{
    const auto found = m_items.find(key);
    return found == m_items.end() || !found->second.value ? std::nullopt : std::optional(found->second);
}

bool StoreMirror::isWrittenInEra(const wire::StoreItem &item) const
{
    return item.revision > m_firstRevisionOfEra;
}

} // namespace zinniadock
