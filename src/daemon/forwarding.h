#pragma once

#include <string>

#include "zinniadock/process/exitcode.h"
#include "zinniadock/process/settings.h"

namespace zinniadock
{

/// Runs an entry or a sidecar with the interface of the platform until SIGTERM or SIGINT.
/// \param file  settings file; changes of the file are loaded while the process runs
ExitCode runForwarding(const Settings &settings, const std::string &file);

} // namespace zinniadock
