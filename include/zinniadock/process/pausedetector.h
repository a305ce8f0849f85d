#pragma once

#include <chrono>
#include <optional>

namespace zinniadock
{

/// A time in which a process did not run: it was frozen or suspended, or its event loop was busy.
struct ProcessPause
{
    std::chrono::milliseconds duration{ 0 };
    std::chrono::milliseconds uncounted{ 0 }; ///< part of the duration that the steady clock did not count
};

/// Time of the system since its start.
struct SystemTime
{
    std::chrono::nanoseconds steady{ 0 }; ///< does not count the time for which the instance was suspended
    std::chrono::nanoseconds boot{ 0 }; ///< counts it
};

/// Returns the current time of the system.
SystemTime currentSystemTime();

/// Detects from the times at which the event loop runs that the process did not run in between. No clock of its own.
class PauseDetector
{
public:
    /// Records that the event loop runs. Returns the pause that has just ended; nothing if there was none, or if it was
    /// short.
    std::optional<ProcessPause> observe(const SystemTime &now);

private:
    std::optional<SystemTime> m_last;
};

} // namespace zinniadock
