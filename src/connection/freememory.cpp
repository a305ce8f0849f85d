#include "zinniadock/connection/freememory.h"

#include <atomic>

#include <malloc.h>

namespace zinniadock
{

void returnFreeMemory(std::chrono::steady_clock::time_point now)
{
    constexpr std::chrono::milliseconds interval{ 100 };
    static std::atomic<std::chrono::steady_clock::time_point> nextTime;
    auto due = nextTime.load();
    if (now >= due && nextTime.compare_exchange_strong(due, now + interval)) {
        ::malloc_trim(0);
    }
}

} // namespace zinniadock
