#pragma once

#include <cstdint>
#include <string>
#include <variant>

#include "zinniadock/connection/enginestream.h"
#include "zinniadock/connection/linkmessage.h"

namespace zinniadock
{

/// Sends one call to a plain service and waits for the whole answer.
/// A Failure is NotRun only where the service can't have seen the call.
std::variant<Reply, Failure> callService(const Endpoint &service, const Offer &offer, BackendTimeouts timeouts);

/// Says whether a plain service accepts connections.
bool isServiceReachable(const Endpoint &service, BackendTimeouts timeouts);

} // namespace zinniadock
