#include "zinniadock/version/changeset.h"

#include <algorithm>
#include <sstream>

namespace zinniadock
{

namespace
{

std::string findText(const ObjectTexts &objects, const std::string &heading)
{
    const auto position = objects.find(heading);
    return position == objects.end() ? std::string() : position->second;
}

} // namespace

ObjectTexts splitObjects(const std::string &canonicalText)
{
    ObjectTexts objects;
    std::istringstream lines(canonicalText);
    std::string heading;
    for (std::string line; std::getline(lines, line);) {
        if (line.starts_with('[')) {
            heading = line.substr(1, line.find(']') - 1);
            objects[heading] = line + "\n";
        } else if (!line.empty() && !heading.empty()) {
            objects[heading] += line + "\n";
        }
    }
    return objects;
}

std::vector<ObjectChange> diffObjects(const ObjectTexts &before, const ObjectTexts &after)
{
    std::vector<ObjectChange> changes;
    for (const auto &[heading, text] : before) {
        const std::string newText = findText(after, heading);
        if (newText != text) {
            changes.push_back({ heading, text, newText });
        }
    }
    for (const auto &[heading, text] : after) {
        if (!before.contains(heading)) {
            changes.push_back({ heading, "", text });
        }
    }
    return changes;
}

std::string applyChanges(const ObjectTexts &base, const ChangeSet &change)
{
    ObjectTexts result = base;
    for (const auto &[heading, text] : change.replaced) {
        result[heading] = text;
    }
    for (const std::string &heading : change.removed) {
        result.erase(heading);
    }
    std::string text;
    for (const auto &[heading, object] : result) {
        text += object + "\n";
    }
    return text;
}

std::vector<ObjectChange> findConflicts(const ChangeSet &change, const ObjectTexts &base, const ObjectTexts &current)
{
    std::vector<ObjectChange> result;
    for (const ObjectChange &other : diffObjects(base, current)) {
        const bool isInChangeSet = change.replaced.contains(other.heading)
            || std::find(change.removed.begin(), change.removed.end(), other.heading) != change.removed.end();
        const bool hasSameResult = findText(change.replaced, other.heading) == other.after;
        if (isInChangeSet && !hasSameResult) {
            result.push_back(other);
        }
    }
    return result;
}

} // namespace zinniadock
