#pragma once

#include <map>
#include <string>
#include <vector>

#include "zinniadock/version/configuration.h"

namespace zinniadock
{

/// The sections of a canonical text by their headings.
using ObjectTexts = std::map<std::string, std::string>;

/// Splits a canonical text into its objects.
ObjectTexts splitObjects(const std::string &canonicalText);

/// How an object differs between two configurations.
struct ObjectChange
{
    std::string heading;
    std::string before; ///< empty for a new object
    std::string after; ///< empty for a removed one
};

/// Returns the objects that differ, by heading. Complexity: linear.
std::vector<ObjectChange> diffObjects(const ObjectTexts &before, const ObjectTexts &after);

/// Changes to single objects that leave the others as they are.
struct ChangeSet
{
    ObjectTexts replaced; ///< new or changed objects
    std::vector<std::string> removed; ///< headings
};

/// Returns the text of a configuration with a change set applied.
std::string applyChanges(const ObjectTexts &base, const ChangeSet &change);

/// Returns the objects of a change set that another change touched in the meantime.
std::vector<ObjectChange> findConflicts(const ChangeSet &change, const ObjectTexts &seen, const ObjectTexts &now);

} // namespace zinniadock
