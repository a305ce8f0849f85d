#pragma once

#include <chrono>

namespace zinniadock
{

/// Returns freed memory to the system, at most once in 100 ms. The memory of small bodies is scattered between that of
/// connections and otherwise stays resident, in addition to the bodies that follow. Thread-safe.
void returnFreeMemory(std::chrono::steady_clock::time_point now);

} // namespace zinniadock
