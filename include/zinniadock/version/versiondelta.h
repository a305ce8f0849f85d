#pragma once

#include <cstdint>
#include <memory>
#include <string>

#include "zinniadock/version/changeset.h"
#include "zinniadock/version/version.h"

namespace zinniadock
{

/// Returns a change set as text: a line `-heading` for each removed object, then the new and the changed objects.
std::string formatDelta(const ChangeSet &change);

/// Parses a text that formatDelta() returned.
ChangeSet parseDelta(const std::string &text);

/// Returns the delta that turns the canonical text \p before into \p after. Complexity: linear in both.
std::string computeDelta(const std::string &before, const std::string &after);

/// Builds the successor of \p base from a delta. Returns null if the resulting text does not have the digest \p digest,
/// or the result has errors.
std::shared_ptr<const Version> makeNextVersion(const Version &base, std::uint64_t revision, const std::string &digest,
                                               const std::string &delta);

} // namespace zinniadock
