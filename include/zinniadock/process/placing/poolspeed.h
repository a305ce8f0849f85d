#pragma once

#include <chrono>
#include <optional>
#include <string>
#include <vector>

#include "zinniadock/process/servers/serverdirectory.h"

namespace zinniadock
{

/// When an engine keeps a bound on the gaps between the events of a stream.
enum class GapClass {
    Always, ///< also while it reads prompts
    WithoutPrompts, ///< only while it reads no prompt
    Never,
};

/// Estimates the longest likely gaps between events at the engines of one pool from their measured event times.
///
/// An engine of unknown speed counts as the median of its pool. Has no clock; valid while the load reports are the
/// same.
class PoolSpeed
{
public:
    /// Complexity: linear in the servers.
    PoolSpeed(const ServerDirectory &directory, const std::string &pool);

    /// Returns whether the engines differ noticeably in speed, so that some of those with a known speed keep the bound
    /// also while they read prompts, and others don't. False without enough reports.
    bool isUneven(std::chrono::milliseconds bound) const;

    /// Returns when an engine keeps the bound. \pre isUneven()
    GapClass classify(const EngineLoad &load, std::chrono::milliseconds bound) const;

    /// Returns the longest likely gap in a slow period of the engine. Nothing if the pool has too few reports.
    std::optional<std::chrono::microseconds> longestGap(const EngineLoad &load, bool readsPrompts) const;

    /// Returns the number of engines that keep the bound also while they read prompts. An engine counts as not keeping
    /// it if the pool has too few reports.
    std::size_t keepingEngines(std::chrono::milliseconds bound) const;

private:
    double relativeEventTime(const EventTimes &times) const;
    bool keepsBound(const EngineLoad &load, bool readsPrompts, std::chrono::milliseconds bound) const;

    std::vector<const EngineLoad *> m_loads; ///< of the engines that are not draining
    double m_aloneMedian = 0; ///< median of the typical event times, in microseconds; 0 if unknown
    double m_besidePromptMedian = 0;
    double m_slowdownMedian = 1; ///< median of the high event times relative to the typical ones
    bool m_differs = false;
};

} // namespace zinniadock
