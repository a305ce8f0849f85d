#pragma once

#include "zinniadock/connection/httpclient.h"
#include "zinniadock/process/sidecarmessages.h"

namespace zinniadock
{

/// Moves a run from an engine to the first target that takes it: a copy while the run goes on, then the rest with the
/// run stopped. With little time left there is only the second copy.
/// \param timeLeft  until the source leaves
/// \param sidecarPort  where the sidecars of the targets are asked to admit the run
Awaitable<MoveResult> moveRun(ConnectionPool &pool, Endpoint source, MoveOrder order,
                              std::chrono::milliseconds timeLeft, std::uint16_t sidecarPort);

} // namespace zinniadock
