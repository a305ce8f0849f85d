#pragma once

#include <set>
#include <string>

#include "zinniadock/process/forwardingservices.h"
#include "zinniadock/process/sidecarmessages.h"

namespace zinniadock
{

/// Takes a sidecar's report of its engine, and tells the runs there if it leaves.
void applyLoadReport(ForwardingServices &services, const std::string &server, const EngineLoadReport &report);

/// Says whether this entry asks engines for their load when it has work, as there are too many to follow each one.
bool usesLoadProbing(const ForwardingServices &services);

/// Age up to which a load that was asked for is used for further requests.
constexpr std::chrono::milliseconds maxProbedLoadAge{ 350 };

/// Asks the sidecars of some engines for their load, all at one time, and waits for the answers for a short time.
/// \param excluded  servers that are not asked
Awaitable<void> probeEngines(ForwardingServices &services, PlacementRequest need, std::set<std::string> excluded,
                             std::size_t count);

} // namespace zinniadock
