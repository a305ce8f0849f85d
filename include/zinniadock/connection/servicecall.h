#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <variant>

#include "zinniadock/connection/enginestream.h"
#include "zinniadock/connection/linkmessage.h"

namespace zinniadock
{

/// Gets a function that ends a call before its response: it closes the connection to the service. The function may be
/// called by any thread, also after the call has ended.
using CallAbortSetter = std::function<void(std::function<void()> abort)>;

/// Sends one call to a plain service and waits for the response. A response that was broken off is a Failure.
/// The verdict of a Failure is NotRun only if the service cannot have received the call.
/// \param setAbort  called once before the call is sent
std::variant<ServiceResponse, Failure> callService(const Endpoint &service, const Offer &offer,
                                                   BackendTimeouts timeouts, const CallAbortSetter &setAbort);

/// Returns whether a plain service accepts TCP connections.
bool isServiceReachable(const Endpoint &service, BackendTimeouts timeouts);

} // namespace zinniadock
