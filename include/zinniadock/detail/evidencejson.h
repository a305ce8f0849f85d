#pragma once

#include <nlohmann/json.hpp>

#include "zinniadock/process/crashes/sharedsuspects.h"

namespace zinniadock::detail
{

/// Returns the form of evidence in messages between entries. Times in it are ages at \p now.
nlohmann::json toJson(const CrashEvidence &evidence, SteadyTime now);

/// Returns the evidence in a message. Throws nlohmann::json::exception for a missing field or a field of the wrong
/// type. \param now  time of arrival, to which the ages in the message refer
CrashEvidence evidenceFromJson(const nlohmann::json &value, SteadyTime now);

} // namespace zinniadock::detail
