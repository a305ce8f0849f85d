#pragma once

#include <chrono>
#include <cstddef>
#include <vector>

namespace zinniadock::test
{

/// Length of the windows in which the requests to a server with a limit are counted.
constexpr std::chrono::seconds requestWindow{ 4 };

/// Time after the first response with a limit from which its bound holds.
constexpr std::chrono::milliseconds limitReactionTime{ 500 };

/// Returns the max number of requests in any window of requestWindow: one and a half times what a limit in requests per
/// second allows, and five more.
constexpr std::size_t maxRequestsInWindow(double limit)
{
    return static_cast<std::size_t>(1.5 * static_cast<double>(requestWindow.count()) * limit) + 5;
}

/// Returns the max number of \p times in any window of requestWindow, of those that are not before \p from.
/// \pre times are sorted
std::size_t busiestWindow(std::vector<std::chrono::steady_clock::time_point> times,
                          std::chrono::steady_clock::time_point from);

} // namespace zinniadock::test
