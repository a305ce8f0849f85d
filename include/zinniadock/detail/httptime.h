#pragma once

#include <chrono>

#include <Poco/Timespan.h>

namespace zinniadock::detail
{

/// Converts a duration to the time span type of Poco, the HTTP library.
inline Poco::Timespan toTimespan(std::chrono::milliseconds duration)
{
    return { std::chrono::duration_cast<std::chrono::microseconds>(duration).count() };
}

} // namespace zinniadock::detail
