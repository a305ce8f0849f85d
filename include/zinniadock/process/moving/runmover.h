#pragma once

#include <functional>

#include "zinniadock/connection/httpclient.h"
#include "zinniadock/process/links/sidecarmessages.h"

namespace zinniadock
{

/// Returns whether a move is still wanted. Checked before each order that is sent for it.
using MoveCondition = std::function<bool()>;

/// Moves a generation from an engine to the first target that admits it. A first copy is made while the generation
/// continues, and a final copy of the rest while the generation is stopped. With little time left, only the final copy
/// is made.
/// \param timeLeft  time until the source shuts down
/// \param sidecarPort  port of the sidecars of the targets, which decide on the admission of the generation
/// \param mayContinue  if it does not hold any more, nothing more is sent but the order that frees the first copy
Awaitable<MoveResult> moveGeneration(ConnectionPool &pool, Endpoint source, MoveOrder order,
                                     std::chrono::milliseconds timeLeft, std::uint16_t sidecarPort,
                                     MoveCondition mayContinue);

/// Returns an upper estimate of the time that moveGeneration() takes, unless other copies use the same links.
std::chrono::milliseconds longestMoveTime(const MoveOrder &order);

/// Frees the copy of a stopped generation that no engine continues, at both ends.
Awaitable<void> releaseCopy(ConnectionPool &pool, wire::KvCacheCopy copy);

} // namespace zinniadock
