#include "zinniadock/process/crashes/crashreport.h"

#include <array>
#include <cinttypes>
#include <cstdio>

namespace zinniadock
{

namespace
{

/// Entries see the crash of one server at most this far apart.
constexpr std::chrono::milliseconds sameCrashTolerance{ 1000 };

/// The same for one incarnation, which crashes once. A message may be read late, for example after a freeze, so that
/// the crash seems to be later than it was.
constexpr std::chrono::seconds sameIncarnationTolerance{ 10 };

} // namespace

bool isSameCrash(const ServerCrash &left, const ServerCrash &right)
{
    if (left.server != right.server) {
        return false;
    }
    const auto apart = std::chrono::abs(left.at - right.at);
    if (left.serverStartTimeMs == 0 || right.serverStartTimeMs == 0) {
        return apart <= sameCrashTolerance;
    }
    return left.serverStartTimeMs == right.serverStartTimeMs && apart <= sameIncarnationTolerance;
}

std::string toText(RequestTrait trait)
{
    std::array<char, 17> text{};
    std::snprintf(text.data(), text.size(), "%016" PRIx64, trait);
    return text.data();
}

} // namespace zinniadock
