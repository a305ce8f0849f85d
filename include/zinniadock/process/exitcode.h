#pragma once

namespace zinniadock
{

/// Exit codes of the daemon and the command-line tool.
enum class ExitCode {
    Done = 0,
    Failed = 1, ///< the operation was refused or failed
    Usage = 2, ///< the command line is wrong
    BadInput = 3, ///< a settings or configuration file has errors
    Conflict = 4, ///< another operator's change was accepted first
    Unavailable = 5, ///< the remote process did not respond, and nothing was changed
    Unknown = 6, ///< the remote process did not respond, and the change may have been accepted
    DrainTimeout = 7, ///< a graceful stop reached its time limit with requests in flight
};

} // namespace zinniadock
