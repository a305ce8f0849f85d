#include "zinniadock/process/storemirror.h"

#include <algorithm>

namespace zinniadock
{

namespace
{

/// Maximum number of deletions that are kept for other instances that have not received them yet.
constexpr std::size_t maxRetainedDeletions = 1000;

} // namespace

std::vector<wire::StoreItem> StoreMirror::apply(const StoreChanges &changes)
{
    std::vector<wire::StoreItem> changedItems;
    // Ignores items up to the revision of this mirror. They have been applied before, including deletions that are no
    // longer kept.
    const auto applyItem = [this, &changedItems](const wire::StoreItem &item) {
        if (item.revision <= m_revision) {
            return;
        }
        wire::StoreItem &known = m_items[item.key];
        if (item.revision <= known.revision) {
            return;
        }
        m_deletionCount += known.revision > 0 && !known.value ? -1 : 0;
        m_deletionCount += item.value ? 0 : 1;
        known = item;
        changedItems.push_back(item);
    };
    if (changes.isSnapshot) {
        std::map<std::string, bool> listed;
        for (const wire::StoreItem &item : changes.items) {
            listed[item.key] = true;
        }
        std::vector<std::string> missing;
        for (const auto &[key, item] : m_items) {
            if (item.value && !listed.contains(key)) {
                missing.push_back(key);
            }
        }
        for (const std::string &key : missing) {
            applyItem({ .key = key, .value = {}, .revision = changes.revision });
        }
    }
    for (const wire::StoreItem &item : changes.items) {
        applyItem(item);
    }
    if (changes.isSnapshot && changes.revision > m_revision) {
        m_compactedRevision = changes.revision; // keys that were written and deleted before are not in the snapshot
    }
    m_revision = std::max(m_revision, changes.revision);
    compactDeletions();
    return changedItems;
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

StoreChanges StoreMirror::changesAfter(std::int64_t revision) const
{
    if (revision == 0 || revision < m_compactedRevision) {
        return { .isSnapshot = true, .revision = m_revision, .items = items() };
    }
    StoreChanges changes{ .isSnapshot = false, .revision = m_revision, .items = {} };
    for (const auto &[key, item] : m_items) {
        if (item.revision > revision) {
            changes.items.push_back(item);
        }
    }
    return changes;
}

std::int64_t StoreMirror::revision() const
{
    return m_revision;
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

} // namespace zinniadock
