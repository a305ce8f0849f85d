#pragma once

#include <cmath>

#include "zinniadock/process/placing/poolspeed.h"
#include "zinniadock/version/routetable.h"

namespace zinniadock::test
{

constexpr std::chrono::milliseconds streamBound{ 180 };
constexpr SteadyTime testNow{ std::chrono::hours(1) };
const EngineCapacity speedLimits{ .slots = 24, .memoryTokens = 27000, .tokensPerEvent = 4, .supportsMoves = true };

/// Returns the load of an engine whose event times are multiples of those of an engine of common speed: 33 ms alone and
/// 60 ms beside a prompt, 2.5 times longer in slow periods.
inline EngineLoad loadOfSpeed(double eventTimeFactor, double slowdown = 2.5)
{
    const auto eventTime = [eventTimeFactor, slowdown](double milliseconds) {
        const double microseconds = std::round(milliseconds * eventTimeFactor * 1000);
        return EventTime{ .typical = std::chrono::microseconds(std::llround(microseconds)),
                          .high = std::chrono::microseconds(std::llround(slowdown * microseconds)) };
    };
    EngineLoad load;
    load.totalTokens = 27000;
    load.startTimeMs = 1000;
    load.committedTokens = 0;
    load.waitingTokens = 0;
    load.eventTimes = { .alone = eventTime(33), .besidePrompt = eventTime(60) };
    return load;
}

inline std::string engineName(int number)
{
    return "engine-" + std::to_string(number);
}

/// Adds engines to a directory, numbered from the number of engines that it has.
inline void addEngines(ServerDirectory &directory, int count, const EngineLoad &load)
{
    const int first = static_cast<int>(directory.servers().size());
    for (int i = first; i < first + count; ++i) {
        directory.addOrUpdate({ .id = engineName(i),
                                .pool = "engines",
                                .address = { .address = "10.0.1." + std::to_string(i), .port = 80 },
                                .dataCentre = "north",
                                .slots = 24,
                                .startTimeMs = 1000 },
                              testNow);
        directory.updateLoad(engineName(i), load, testNow);
    }
}

} // namespace zinniadock::test
