#pragma once

#include <string>
#include <vector>

#include "zinniadock/process/store/publisher.h"
#include "zinniadock/version/changeset.h"
#include "zinniadock/version/versiondelta.h"

namespace zinniadock
{

/// The result of an operator's change.
struct EditOutcome
{
    PublishOutcome publish;
    std::vector<ObjectChange> changes; ///< objects that the new revision changes
    std::vector<ObjectChange> conflicts; ///< objects that another operator changed first
    Problems problems; ///< errors in the resulting configuration; if there are any, nothing was published
};

/// Applies operators' changes to the newest configuration, and handles concurrent changes of other operators.
template <Store StoreType>
class ConfigurationEditor
{
public:
    ConfigurationEditor(StoreType &store, const std::string &prefix,
                        std::chrono::milliseconds retryDelay = Publisher<StoreType>::defaultRetryDelay)
        : m_publisher(store, prefix, retryDelay)
    {
    }

    /// Replaces the whole configuration. Returns a conflict if another change is accepted first.
    EditOutcome replace(const std::string &newText, const std::string &changeId, const std::string &author)
    {
        EditOutcome outcome;
        const HeadRead base = m_publisher.readHead();
        std::string baseText;
        if (!readBaseText(base, baseText)) {
            return outcome;
        }
        const std::string text = checkAndFormat(newText, outcome);
        if (!outcome.problems.empty()) {
            return outcome;
        }
        outcome.changes = diffObjects(splitObjects(baseText), splitObjects(text));
        outcome.publish = m_publisher.publish(text, computeDelta(baseText, text), base, changeId, author);
        return outcome;
    }

    /// Applies a change set. If another operator's change is accepted first, the change set is applied again to the
    /// resulting configuration; if both changed the same object differently, the result is a conflict.
    EditOutcome applyChangeSet(const ChangeSet &changeSet, const std::string &changeId, const std::string &author)
    {
        EditOutcome outcome;
        ObjectTexts previousObjects;
        for (int attempt = 0; attempt < maxAttempts; ++attempt) {
            const HeadRead base = m_publisher.readHead();
            std::string baseText;
            if (!readBaseText(base, baseText)) {
                return outcome;
            }
            const ObjectTexts objects = splitObjects(baseText);
            if (attempt > 0) {
                outcome.conflicts = findConflicts(changeSet, previousObjects, objects);
                if (!outcome.conflicts.empty()) {
                    outcome.publish.result = PublishResult::Conflict;
                    return outcome;
                }
            }
            previousObjects = objects;
            const std::string text = checkAndFormat(applyChanges(objects, changeSet), outcome);
            if (!outcome.problems.empty()) {
                return outcome;
            }
            outcome.changes = diffObjects(objects, splitObjects(text));
            outcome.publish = m_publisher.publish(text, computeDelta(baseText, text), base, changeId, author);
            if (outcome.publish.result != PublishResult::Conflict) {
                return outcome;
            }
        }
        return outcome;
    }

    Publisher<StoreType> &publisher()
    {
        return m_publisher;
    }

private:
    static constexpr int maxAttempts = 200;

    bool readBaseText(const HeadRead &base, std::string &text)
    {
        if (base.status != StoreStatus::Done) {
            return false;
        }
        if (!base.head) {
            return true;
        }
        const auto found = m_publisher.readText(base.head->digest);
        if (found) {
            text = *found;
        }
        return found.has_value();
    }

    static std::string checkAndFormat(const std::string &text, EditOutcome &outcome)
    {
        const Configuration configuration = parseConfiguration(text, "resulting configuration", outcome.problems);
        if (outcome.problems.empty()) {
            checkConfiguration(configuration, "resulting configuration", outcome.problems);
        }
        return formatConfiguration(configuration);
    }

    Publisher<StoreType> m_publisher;
};

} // namespace zinniadock
