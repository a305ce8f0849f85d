#include "zinniadock/process/moving/runmover.h"

namespace zinniadock
{

namespace
{

constexpr std::chrono::milliseconds callTimeout{ 2500 };
constexpr std::chrono::milliseconds conflictRetryDelay{ 15 };
constexpr std::chrono::milliseconds admissionTimeout{ 150 };

// Time that the final copy and its transfer to the target need after the first copy. If less time would be left after
// the first copy, only the final copy is made.
constexpr std::chrono::milliseconds finalCopyTime{ 60 };

/// Factor by which a copy between two data centres takes longer than inside one.
constexpr int remoteCopyFactor = 2;

constexpr unsigned statusNotRunning = 404;
constexpr unsigned statusInProgress = 409;

constexpr const char *withdrawnReason = "the order was withdrawn";

/// Orders a copy, unless the order for the move was withdrawn meanwhile.
Awaitable<CallResult> copyGeneration(ConnectionPool &pool, Endpoint source, std::string request, Endpoint target,
                                     bool isFinal, MoveCondition mayContinue)
{
    CallOptions options{ .timeout = callTimeout, .sendCondition = mayContinue };
    CallResult result = co_await call(pool, source, wire::moveRequest(request, target, isFinal), options);
    if (!result.error && result.status == statusInProgress) {
        co_await sleepFor(conflictRetryDelay);
        result = co_await call(pool, source, wire::moveRequest(request, target, isFinal), options);
    }
    co_return result;
}

/// Returns whether the sidecar of a target admits the generation. A sidecar that does not respond counts as admitting,
/// since the engine makes the final decision.
Awaitable<bool> isAdmitted(ConnectionPool &pool, Endpoint target, const AdmissionQuery &query,
                           std::uint16_t sidecarPort, std::string &reason)
{
    const HttpRequest request = makePost(admissionTarget, encode(query));
    const Endpoint sidecar{ target.address, sidecarPort };
    const CallResult result = co_await call(pool, sidecar, request, admissionTimeout);
    const auto response = result.succeeded() ? decodeAdmissionResponse(result.body) : std::nullopt;
    if (response && !response->admitted) {
        reason = "the sidecar at " + sidecar.text() + " refused admission: " + response->reason;
    }
    co_return !response || response->admitted;
}

/// Returns whether a final copy, which stops the generation, may have stopped it without returning the copy's name. The
/// source engine stops the generation before it responds, unless it does not run it or has another copy in progress.
bool mayHaveStopped(const CallResult &finalCopy)
{
    if (finalCopy.error && finalCopy.sendState == SendState::NotSent) {
        return false;
    }
    return finalCopy.error || (finalCopy.status != statusNotRunning && finalCopy.status != statusInProgress);
}

std::string describe(const CallResult &result)
{
    if (result.error) {
        return result.error.message();
    }
    return result.status == statusNotRunning
        ? "the generation is not running at the source engine"
        : "the source engine refused the copy with status " + std::to_string(result.status);
}

} // namespace

std::chrono::milliseconds longestMoveTime(const MoveOrder &order)
{
    const auto targets = static_cast<int>(order.targets.size());
    return targets * admissionTimeout + remoteCopyFactor * order.estimatedCopyTime + finalCopyTime;
}

Awaitable<void> releaseCopy(ConnectionPool &pool, wire::KvCacheCopy copy)
{
    co_await call(pool, copy.holder, wire::deleteCopyRequest(copy.name),
                  { .timeout = callTimeout, .usesNewConnection = true });
}

Awaitable<MoveResult> moveGeneration(ConnectionPool &pool, Endpoint source, MoveOrder order,
                                     std::chrono::milliseconds timeLeft, std::uint16_t sidecarPort,
                                     MoveCondition mayContinue)
{
    // The responses to the orders have no ID. On a connection of its own, a move can't get a late second response to
    // the order for another generation.
    ConnectionPool orders(pool.context());
    MoveResult result;
    for (std::size_t i = 0; i < order.targets.size(); ++i) {
        if (!mayContinue()) {
            result.reason = withdrawnReason;
            co_return result;
        }
        const Endpoint target = order.targets[i];
        AdmissionQuery query = order.admission;
        query.cold = i < order.cold.size() ? order.cold[i] : ColdState();
        const bool admitted = co_await isAdmitted(pool, target, query, sidecarPort, result.reason);
        if (!admitted) {
            continue;
        }
        std::string firstCopy;
        if (timeLeft > order.estimatedCopyTime + finalCopyTime) {
            const CallResult first = co_await copyGeneration(orders, source, order.request, target, false, mayContinue);
            result.reason = describe(first);
            if (first.error || first.status == statusNotRunning) {
                co_return result;
            }
            if (!first.succeeded()) {
                continue;
            }
            firstCopy = wire::parseCopyId(first.body);
        }
        const CallResult last = co_await copyGeneration(orders, source, order.request, target, true, mayContinue);
        const std::string copy = wire::parseCopyId(last.body);
        result.reason = last.succeeded() ? "" : mayContinue() ? describe(last) : withdrawnReason;
        result.stopped = !last.error && !copy.empty();
        result.mayHaveStopped = !result.stopped && mayHaveStopped(last);
        if (result.stopped) {
            result.copy = wire::KvCacheCopy{ source, copy };
        }
        if (last.succeeded()) {
            result.target = target;
        } else if (!result.stopped && !firstCopy.empty()) {
            co_await call(orders, source, wire::deleteCopyRequest(firstCopy), callTimeout);
        }
        co_return result;
    }
    co_return result;
}

} // namespace zinniadock
