#include "zinniadock/version/versiondelta.h"

#include <sstream>

namespace zinniadock
{

std::string formatDelta(const ChangeSet &change)
{
    std::string text;
    for (const std::string &heading : change.removed) {
        text += "-" + heading + "\n";
    }
    for (const auto &[heading, object] : change.replaced) {
        text += object;
    }
    return text;
}

ChangeSet parseDelta(const std::string &text)
{
    ChangeSet change{ .replaced = splitObjects(text), .removed = {} };
    std::istringstream lines(text);
    for (std::string line; std::getline(lines, line) && line.starts_with('-');) {
        change.removed.push_back(line.substr(1));
    }
    return change;
}

std::string computeDelta(const std::string &before, const std::string &after)
{
    ChangeSet change;
    for (const ObjectChange &difference : diffObjects(splitObjects(before), splitObjects(after))) {
        if (difference.after.empty()) {
            change.removed.push_back(difference.heading);
        } else {
            change.replaced[difference.heading] = difference.after;
        }
    }
    return formatDelta(change);
}

std::shared_ptr<const Version> makeNextVersion(const Version &base, std::uint64_t revision, const std::string &digest,
                                               const std::string &delta)
{
    // Only the changed objects are parsed. The digest of the complete text proves that the result is the published
    // configuration.
    Problems problems;
    const ChangeSet change = parseDelta(delta);
    const Configuration changed = parseConfiguration(applyChanges({}, { .replaced = change.replaced, .removed = {} }),
                                                     "published configuration", problems);
    if (!problems.empty()) {
        return nullptr;
    }
    Configuration next = updateObjects(base.configuration, changed, change.removed);
    const std::string text = formatConfiguration(next);
    if (sha256(text) != digest) {
        return nullptr;
    }
    return makeVersionFromConfiguration(revision, digest, text, std::move(next),
                                        { .baseRevision = base.revision, .changes = delta });
}

} // namespace zinniadock
