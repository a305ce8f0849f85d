#pragma once

#include <chrono>
#include <cstdint>
#include <string>

namespace zinniadock::load
{

/// CPU time and memory use of a process, as the kernel reports them in /proc.
struct ProcessUsage
{
    std::chrono::microseconds cpuTime{ 0 }; ///< user and system time
    std::uint64_t residentBytes = 0;
};

/// Reads the resource usage of a process. All values are 0 if the process does not exist.
ProcessUsage readUsage(int pid);

/// A process whose resource usage is measured over a run.
struct WatchedProcess
{
    std::string name;
    int pid = 0;
    ProcessUsage initialUsage; ///< resource usage at the start of the run
};

} // namespace zinniadock::load
