#pragma once

#include <set>
#include <string>

#include "zinniadock/process/placing/poolspeed.h"
#include "zinniadock/process/placing/streammix.h"

namespace zinniadock
{

/// Ranks the engines of a pool for a generation by the gaps that are likely there, if the engines differ in speed.
///
/// The engines that do not keep the bound of the long streams also while they read prompts are divided into a part for
/// short outputs and a part for long streams. The division depends only on the server IDs, the load reports and the
/// share of short outputs, so that entries with similar traffic agree on it without messages.
class EngineTiers
{
public:
    /// Complexity: linear in the servers, and n log n in the engines that do not keep the bound.
    EngineTiers(const ServerDirectory &directory, const std::string &pool, const StreamNeed &need);

    /// Returns whether the engines differ. Otherwise all engines have the same rank.
    bool hasEffect() const;

    /// Returns the rank of an engine for a new generation. A lower one is better. Engines with many unread prompt
    /// tokens rank last.
    int rank(const std::string &id, const TrackedServer &server) const;

    /// Returns whether an engine keeps the bound for a long stream that already runs, with the prompts that are likely
    /// to be read there.
    bool keepsBound(const std::string &id, const TrackedServer &server) const;

    /// Returns whether an engine belongs to the part for short outputs.
    bool isForShortOutputs(const std::string &id) const;

    const PoolSpeed &speed() const;

private:
    void divide(const ServerDirectory &directory, const std::string &pool);

    StreamNeed m_need;
    PoolSpeed m_speed;
    bool m_hasEffect = false;
    std::set<std::string> m_forShortOutputs;
};

} // namespace zinniadock
