#pragma once

namespace zinniadock
{

/// Exit codes of the daemon and the command-line tool.
enum class ExitCode {
    Done = 0,
    Failed = 1, ///< the action was refused or failed
    Usage = 2, ///< the command line is wrong
    BadInput = 3, ///< a settings or configuration file has mistakes
    Conflict = 4, ///< another operator's change was accepted first
    Unavailable = 5, ///< nothing was changed, since the other side does not answer
    Unknown = 6, ///< the other side does not answer, and the change may have been accepted
    DrainTimeout = 7, ///< a planned stop reached its time limit with requests in flight
};

} // namespace zinniadock
