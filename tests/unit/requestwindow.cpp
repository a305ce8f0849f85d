#include "requestwindow.h"

#include <algorithm>

namespace zinniadock::test
{

using Time = std::chrono::steady_clock::time_point;

std::size_t busiestWindow(std::vector<Time> times, Time from)
{
    std::erase_if(times, [from](Time time) {
        return time < from;
    });
    std::size_t busiest = 0;
    std::size_t first = 0;
    for (std::size_t last = 0; last < times.size(); ++last) {
        while (times[last] - times[first] > requestWindow) {
            ++first;
        }
        busiest = std::max(busiest, last - first + 1);
    }
    return busiest;
}

} // namespace zinniadock::test
