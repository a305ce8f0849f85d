#pragma once

#include <set>
#include <string>

#include "zinniadock/process/forwardingservices.h"
#include "zinniadock/process/links/sidecarmessages.h"

namespace zinniadock
{

/// Records a sidecar's load report of its engine. Notifies the generations on the engine if the engine is draining.
void applyLoadReport(ForwardingServices &services, const std::string &server, const EngineLoadReport &report);

/// Returns whether this entry queries the load of engines for each request, because there are too many engines to
/// subscribe to the reports of each.
bool usesLoadProbing(const ForwardingServices &services);

/// Maximum age of a probed load that is reused for further requests.
constexpr std::chrono::milliseconds maxProbedLoadAge{ 350 };

/// Queries the sidecars of some engines for their load in parallel, and waits until all have responded or the probe
/// timeout has passed.
/// \param excluded  servers that are not probed
/// \param count  number of engines to probe
Awaitable<void> probeEngines(ForwardingServices &services, PlacementRequest need, std::set<std::string> excluded,
                             std::size_t count);

} // namespace zinniadock
