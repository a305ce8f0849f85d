#pragma once

#include <chrono>
#include <cstdint>
#include <string>

namespace zinniadock::load
{

/// Processor time and memory of a process, as the kernel counts them.
struct ProcessUsage
{
    std::chrono::microseconds cpuTime{ 0 };
    std::uint64_t residentBytes = 0;
};

/// Reads the usage of a process; zeros if it is gone.
ProcessUsage readUsage(int pid);

/// A process that a run watches.
struct WatchedProcess
{
    std::string name;
    int pid = 0;
    ProcessUsage before;
};

} // namespace zinniadock::load
