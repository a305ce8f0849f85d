#pragma once

#include <chrono>
#include <concepts>

#include "zinniadock/connection/asynctypes.h"

namespace zinniadock
{

/// A role of a process that can be stopped without cutting its requests.
template <typename Role>
concept StoppableRole = requires(Role role, const Role constRole, std::chrono::milliseconds timeLimit)
{
    role.drain(timeLimit); // from now on takes only work that ends within timeLimit
    role.closeIdleConnections();
    role.stopAccepting(); // takes no new connections
    role.endRequests(); // responds to the requests in progress that have no response yet
    {
        role.handOver()
        } -> std::same_as<Awaitable<void>>; // gives other processes what is lost with this one
    {
        constRole.isIdle()
        } -> std::convertible_to<bool>; // whether no request is in progress
};

/// Times of a graceful stop, from its begin.
struct StopTiming
{
    std::chrono::milliseconds lameDuck{ 0 }; ///< minimum time for which the role keeps serving
    std::chrono::milliseconds limit{ 0 }; ///< when requests in progress are ended
};

/// Stops a role. Keeps serving for StopTiming::lameDuck, since callers keep connecting until the platform has detected
/// that the process is not ready. Then closes idle connections, waits for the requests in progress, takes no new
/// connections and hands over. Returns whether some requests had to be ended at StopTiming::limit.
template <StoppableRole Role>
Awaitable<bool> stopGracefully(Role &role, StopTiming timing)
{
    constexpr std::chrono::milliseconds pollInterval{ 50 };
    constexpr std::chrono::milliseconds maxResponseTime{ 300 }; // for the responses to requests that are ended

    const auto startTime = std::chrono::steady_clock::now();
    const auto elapsed = [startTime] {
        return std::chrono::steady_clock::now() - startTime;
    };
    role.drain(timing.limit);
    do {
        co_await sleepFor(pollInterval);
        if (elapsed() > timing.lameDuck) {
            role.closeIdleConnections();
        }
    } while (elapsed() < timing.limit && (elapsed() < timing.lameDuck || !role.isIdle()));
    role.stopAccepting();
    if (role.isIdle()) {
        co_await role.handOver();
    }
    // A connection that was accepted before may have brought a request during the hand-over.
    const bool handsOverAgain = !role.isIdle();
    while (!role.isIdle() && elapsed() < timing.limit) {
        role.closeIdleConnections();
        co_await sleepFor(pollInterval);
    }
    const bool endsRequests = !role.isIdle();
    if (endsRequests) {
        role.endRequests();
        while (!role.isIdle() && elapsed() < timing.limit + maxResponseTime) {
            co_await sleepFor(pollInterval);
        }
    }
    if (handsOverAgain) {
        co_await role.handOver();
    }
    co_return endsRequests;
}

} // namespace zinniadock
