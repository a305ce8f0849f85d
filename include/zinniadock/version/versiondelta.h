#pragma once

#include <cstdint>
#include <memory>
#include <string>

#include "zinniadock/version/changeset.h"
#include "zinniadock/version/version.h"

namespace zinniadock
{

/// Writes a change set as text: a line `-heading` for each removed object, then the new and changed objects.
std::string formatDelta(const ChangeSet &change);

/// Reads the result of formatDelta().
ChangeSet parseDelta(const std::string &text);

/// Returns the delta between two canonical texts. Complexity: linear in both.
std::string computeDelta(const std::string &before, const std::string &after);

/// Builds the successor of a version from its delta; nothing if the result does not have the digest, or has mistakes.
std::shared_ptr<const Version> makeNextVersion(const Version &base, std::uint64_t revision, const std::string &digest,
                                               const std::string &delta);

} // namespace zinniadock
