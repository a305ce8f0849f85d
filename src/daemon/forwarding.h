#pragma once

#include <string>

#include "zinniadock/process/exitcode.h"
#include "zinniadock/process/settings.h"

namespace zinniadock
{

/// Runs an entry or a sidecar behind the platform's own interface until it is asked to stop.
/// \param file  where the settings are read again when they change
ExitCode runForwarding(const Settings &settings, const std::string &file);

} // namespace zinniadock
