#pragma once

#include <map>
#include <string>
#include <vector>

#include "zinniadock/version/configuration.h"

namespace zinniadock
{

/// The sections of a canonical text, by heading.
using ObjectTexts = std::map<std::string, std::string>;

/// Splits a canonical text into one section for each object.
ObjectTexts splitObjects(const std::string &canonicalText);

/// An object that differs between two configurations.
struct ObjectChange
{
    std::string heading;
    std::string before; ///< section before the change; empty for a new object
    std::string after; ///< section after the change; empty for a removed object
};

/// Returns the objects that differ: first the changed and removed ones, then the new ones, each sorted by heading.
/// Complexity: linear.
std::vector<ObjectChange> diffObjects(const ObjectTexts &before, const ObjectTexts &after);

/// Changes to single objects. Other objects stay unchanged.
struct ChangeSet
{
    ObjectTexts replaced; ///< sections of new or changed objects, by heading
    std::vector<std::string> removed; ///< headings of removed objects
};

/// Applies a change set to \p base and returns the text of the result.
std::string applyChanges(const ObjectTexts &base, const ChangeSet &change);

/// Returns the objects of a change set that were changed between \p base and \p current in another way than by the
/// change set.
/// \param base  configuration for which the change set was made
/// \param current  configuration to which the change set will be applied
std::vector<ObjectChange> findConflicts(const ChangeSet &change, const ObjectTexts &base, const ObjectTexts &current);

} // namespace zinniadock
