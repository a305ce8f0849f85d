#include "zinniadock/process/placing/enginetiers.h"

#include <algorithm>
#include <cmath>
#include <tuple>
#include <vector>

#include "zinniadock/process/placing/placement.h"
#include "zinniadock/process/placing/routing.h"

namespace zinniadock
{

namespace
{

/// Share of the target latency that the unread prompts of an engine may take before the engine ranks last. The rest is
/// for the own prompt, for slow periods and for prompts of other entries that no report shows yet.
constexpr double maxUnreadShare = 0.25;

/// Target latency that is assumed if the route states none.
constexpr std::chrono::milliseconds defaultTargetLatency{ 1200 };

/// Limits of the share of the engines that are for short outputs, so that either kind of generation has some.
constexpr double minShortPart = 0.2;
constexpr double maxShortPart = 0.8;

bool hasManyUnreadTokens(const TrackedServer &server, std::chrono::milliseconds targetLatency)
{
    const auto target = targetLatency.count() > 0 ? targetLatency : defaultTargetLatency;
    const double limit = maxUnreadShare * promptTokensPerMillisecond * static_cast<double>(target.count());
    return waitingPromptTokens(server) > limit;
}

} // namespace

EngineTiers::EngineTiers(const ServerDirectory &directory, const std::string &pool, const StreamNeed &need)
    : m_need(need)
    , m_speed(directory, pool)
    , m_hasEffect(m_speed.isUneven(need.gapBound))
{
    if (m_hasEffect) {
        divide(directory, pool);
    }
}

// Engines that keep the bound at no time come first in the part for short outputs. The others are ordered by a hash of
// the ID, so that an engine that comes or goes moves at most one other engine to the other part.
void EngineTiers::divide(const ServerDirectory &directory, const std::string &pool)
{
    std::vector<std::tuple<bool, std::uint64_t, std::string>> engines;
    for (const auto &[id, server] : directory.servers()) {
        if (server.record.pool != pool || !server.acceptsWork()) {
            continue;
        }
        const GapClass gapClass = m_speed.classify(server.load, m_need.gapBound);
        if (gapClass != GapClass::Always) {
            engines.emplace_back(gapClass == GapClass::WithoutPrompts, stableHash(id), id);
        }
    }
    std::sort(engines.begin(), engines.end());
    const double share = std::clamp(m_need.shortShare, minShortPart, maxShortPart);
    const auto count = static_cast<std::size_t>(std::ceil(share * static_cast<double>(engines.size())));
    for (std::size_t i = 0; i < count; ++i) {
        m_forShortOutputs.insert(std::get<std::string>(engines[i]));
    }
}

bool EngineTiers::hasEffect() const
{
    return m_hasEffect;
}

int EngineTiers::rank(const std::string &id, const TrackedServer &server) const
{
    constexpr int lastRank = 2;
    if (!m_hasEffect) {
        return 0;
    }
    if (hasManyUnreadTokens(server, m_need.targetLatency)) {
        return lastRank;
    }
    const GapClass gapClass = m_speed.classify(server.load, m_need.gapBound);
    if (m_need.isLong) {
        return gapClass == GapClass::Always ? 0 : isForShortOutputs(id) ? lastRank : 1;
    }
    return isForShortOutputs(id) ? 0 : gapClass == GapClass::Always ? 1 : lastRank;
}

bool EngineTiers::keepsBound(const std::string &id, const TrackedServer &server) const
{
    const GapClass gapClass = m_speed.classify(server.load, m_need.gapBound);
    const bool readsPrompts = isForShortOutputs(id) || waitingPromptTokens(server) > 0;
    return gapClass == GapClass::Always || (gapClass == GapClass::WithoutPrompts && !readsPrompts);
}

bool EngineTiers::isForShortOutputs(const std::string &id) const
{
    return m_forShortOutputs.contains(id);
}

const PoolSpeed &EngineTiers::speed() const
{
    return m_speed;
}

} // namespace zinniadock
