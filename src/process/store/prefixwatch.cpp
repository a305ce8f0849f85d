#include "zinniadock/process/store/prefixwatch.h"

#include <algorithm>
#include <random>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include "zinniadock/process/observing/eventlog.h"
#include "zinniadock/process/store/changebudget.h"

namespace zinniadock
{

namespace
{

constexpr std::chrono::milliseconds readTimeout{ 1500 };

// Delay of the first call after a failed one, wait of such a call, and margins of the first and of later ones. The wait
// is short, so that the call soon shows whether the store serves. The first margin allows for a slow store. The later
// one is short, so that a call without a response does not delay the detection of the store's return.
constexpr std::chrono::milliseconds firstCheckDelay{ 70 };
constexpr std::chrono::milliseconds checkWait{ 50 };
constexpr std::chrono::milliseconds firstCheckMargin{ 1000 };
constexpr std::chrono::milliseconds laterCheckMargin{ 500 };

/// Failures of a watch that are logged until it is answered again: of the call and of its first check.
constexpr std::uint32_t maxLoggedFailures = 2;

constexpr std::chrono::milliseconds initialBackoff{ 60 };

/// Returns how a call ended.
/// \param isValid  whether it has a valid response
StoreCallEnd endOf(const CallResult &result, bool isValid)
{
    if (isValid) {
        return StoreCallEnd::Answered;
    }
    if (result.sendState == SendState::NotSent) {
        return StoreCallEnd::NotConnected;
    }
    if (result.hasTimedOut) {
        return StoreCallEnd::Silent;
    }
    if (result.error) {
        return StoreCallEnd::Cut;
    }
    const bool isThrottled = static_cast<http::status>(result.status) == http::status::too_many_requests;
    return isThrottled ? StoreCallEnd::Throttled : StoreCallEnd::Rejected;
}

double jitter()
{
    thread_local std::minstd_rand engine(std::random_device{}());
    return std::uniform_real_distribution<>(0.7, 1.3)(engine);
}

} // namespace

PrefixWatch::PrefixWatch(ConnectionPool &pool, Endpoint store, std::string prefix, const StoreMirror &mirror,
                         WatchTimingSource timing, PrefixWatchCallbacks callbacks)
    : m_pool(pool)
    , m_store(std::move(store))
    , m_prefix(std::move(prefix))
    , m_mirror(mirror)
    , m_timing(std::move(timing))
    , m_callbacks(std::move(callbacks))
{
}

void PrefixWatch::start()
{
    const auto self = shared_from_this();
    asio::co_spawn(
        m_pool.context(),
        [self]() {
            return self->run();
        },
        asio::detached);
}

void PrefixWatch::stop()
{
    m_stopped = true;
}

std::uint64_t PrefixWatch::calls() const
{
    return m_calls;
}

void PrefixWatch::requireEra(wire::StoreEra era)
{
    m_era = std::max(m_era, era);
    if (m_mirror.position().era < m_era) {
        interrupt();
    }
}

void PrefixWatch::checkNow(std::chrono::milliseconds uncounted)
{
    m_isChecking = true;
    m_hasPaused = true;
    m_uncountedPause += uncounted;
    m_isInterrupted = m_interrupter->interruptIfSilent() || m_isInterrupted;
}

void PrefixWatch::interrupt()
{
    m_isInterrupted = true;
    m_interrupter->interrupt();
}

Awaitable<void> PrefixWatch::run()
{
    const auto self = shared_from_this();
    while (!m_stopped) {
        const std::optional<WatchTiming> timing = m_timing();
        if (!timing) {
            m_isSuspended = true;
            co_await sleepFor(resumeInterval);
            continue;
        }
        // The kept connections may have died while the watch was suspended.
        m_isChecking = m_isChecking || (m_isSuspended && m_mirror.position().revision > 0);
        m_isSuspended = false;
        m_isInterrupted = false;
        m_hasPaused = false;
        m_uncountedPause = std::chrono::milliseconds(0);
        CallOutcome outcome = CallOutcome::Failed;
        if (needsSnapshot()) {
            outcome = co_await readSnapshot();
        } else {
            outcome = co_await waitForChanges(*timing);
        }
        const std::chrono::milliseconds pause = pauseAfter(outcome, *timing);
        if (pause.count() > 0) {
            co_await sleepFor(pause);
        }
    }
}

bool PrefixWatch::needsSnapshot() const
{
    const StorePosition known = m_mirror.position();
    return known.revision == 0 || known.era < m_era || m_needsSnapshot;
}

// A store whose changes can't be read after a snapshot either is not asked without a pause.
std::chrono::milliseconds PrefixWatch::pauseAfter(CallOutcome outcome, const WatchTiming &timing)
{
    switch (outcome) {
    case CallOutcome::Applied:
        return timing.callInterval;
    case CallOutcome::NeedsSnapshot:
        ++m_unreadableWatches;
        return m_unreadableWatches == 1 ? std::chrono::milliseconds(0)
                                        : backoff(m_unreadableWatches, timing.maxBackoff);
    case CallOutcome::Interrupted:
        return std::chrono::milliseconds(0);
    case CallOutcome::Failed:
        break;
    }
    return m_isChecking && m_failures == 1 ? firstCheckDelay : backoff(m_failures, timing.maxBackoff);
}

Awaitable<PrefixWatch::CallOutcome> PrefixWatch::readSnapshot()
{
    StoreChanges snapshot{ .isSnapshot = true, .era = 0, .revision = 0, .items = {} };
    const auto confirmedAt = std::chrono::steady_clock::now();
    bool hasMore = true;
    while (hasMore) {
        const std::string after = snapshot.items.empty() ? "" : snapshot.items.back().key;
        ++m_calls;
        const auto startedAt = std::chrono::steady_clock::now();
        const CallOptions options = optionsOfCall(m_isChecking ? marginOfCall() : readTimeout);
        const CallResult result = co_await call(m_pool, m_store, makeGet(wire::rangeTarget(m_prefix, after)), options);
        if (result.error && m_isInterrupted) {
            co_return CallOutcome::Interrupted;
        }
        const wire::StoreEra era = observeEra(result);
        const auto page = result.succeeded() ? wire::parseItems(result.body) : std::nullopt;
        recordCall(result, page.has_value(), std::chrono::milliseconds(0), startedAt);
        // Pages of two eras are no snapshot, and neither is a response that was under way when the store went back.
        const bool isFirst = snapshot.revision == 0;
        if (!page || era < m_era || (!isFirst && era != snapshot.era)) {
            co_return CallOutcome::Failed;
        }
        // The pages may be of different revisions. The revision of the first page is kept, so that the next watch
        // repeats all later changes.
        snapshot.revision = isFirst ? page->revision : snapshot.revision;
        snapshot.era = era;
        snapshot.items.insert(snapshot.items.end(), page->items.begin(), page->items.end());
        hasMore = page->hasMore && !page->items.empty();
    }
    m_needsSnapshot = false;
    m_callbacks.onChanges(snapshot, confirmationTime(confirmedAt, confirmedAt));
    co_return CallOutcome::Applied;
}

// Returns the latest time at which the store had certainly no further changes than those of the response to a call.
// A response that was under way while the process did not run may be as old as the call.
// \param latest  that time if the process ran all the while
SteadyTime PrefixWatch::confirmationTime(SteadyTime startedAt, SteadyTime latest) const
{
    return m_hasPaused ? startedAt - m_uncountedPause : latest;
}

// A response without changes shows that the store had none during its whole wait. The head of any other response has
// arrived in the turn of the event loop that reads it, unless the process did not run meanwhile.
Awaitable<PrefixWatch::CallOutcome> PrefixWatch::waitForChanges(const WatchTiming &timing)
{
    ++m_calls;
    const std::chrono::milliseconds maxWait
        = std::min(timing.maxWait, watchWaitFor(timing.bound, timing.callInterval, m_responseTime));
    const std::chrono::milliseconds wait = m_isChecking ? std::min(checkWait, maxWait) : maxWait;
    const StorePosition known = m_mirror.position();
    const HttpRequest request = makeGet(wire::watchTarget(m_prefix, known.revision, wait));
    const auto startedAt = std::chrono::steady_clock::now();
    const CallOptions options = optionsOfCall(wait + marginOfCall());
    const CallResult result = co_await call(m_pool, m_store, request, options);
    if (result.error && m_isInterrupted) {
        co_return CallOutcome::Interrupted;
    }
    const wire::StoreEra era = observeEra(result);
    if (!result.error && (wire::isCompacted(static_cast<http::status>(result.status)) || era > known.era)) {
        recordCall(result, true, wait, startedAt);
        co_return requireSnapshot("history compacted", era);
    }
    auto changes = result.succeeded() ? wire::parseItems(result.body) : std::nullopt;
    const bool isTooLarge = result.error == http::make_error_code(http::error::body_limit);
    const bool isUnreadable = result.succeeded() && !changes;
    recordCall(result, changes.has_value() || isTooLarge, wait, startedAt);
    if (isTooLarge || isUnreadable) {
        co_return requireSnapshot(isTooLarge ? "changes too large" : "changes unreadable", era);
    }
    if (!changes || era < m_era) {
        co_return CallOutcome::Failed;
    }
    m_unreadableWatches = 0;
    const SteadyTime readAt = result.headReadAt.value_or(startedAt);
    const SteadyTime latest = changes->items.empty() ? std::min(readAt, startedAt + wait) : readAt;
    const SteadyTime confirmedAt = confirmationTime(startedAt, latest);
    m_callbacks.onChanges(
        { .isSnapshot = false, .era = era, .revision = changes->revision, .items = std::move(changes->items) },
        confirmedAt);
    co_return CallOutcome::Applied;
}

// The next watch would get the same response. The store returns a snapshot in pages of a limited size, and the last
// value of each key only.
PrefixWatch::CallOutcome PrefixWatch::requireSnapshot(const std::string &reason, wire::StoreEra era)
{
    logEvent("store", reason, { { "prefix", m_prefix }, { "era", era }, { "revision", m_mirror.position().revision } });
    m_needsSnapshot = true;
    return CallOutcome::NeedsSnapshot;
}

// Returns the era of a response, or the latest known one if the response states none.
wire::StoreEra PrefixWatch::observeEra(const CallResult &result)
{
    const wire::StoreEra era = result.error ? 0 : wire::parseStoreEra(result.head);
    if (era == 0) {
        return m_era;
    }
    m_era = std::max(m_era, era);
    m_callbacks.onEra(era);
    return era;
}

CallOptions PrefixWatch::optionsOfCall(std::chrono::milliseconds timeout) const
{
    return { .timeout = timeout, .usesNewConnection = m_isChecking, .interrupter = m_interrupter };
}

std::chrono::milliseconds PrefixWatch::marginOfCall() const
{
    if (!m_isChecking) {
        return responseMargin(m_responseTime);
    }
    return m_failures == 1 ? firstCheckMargin : laterCheckMargin;
}

void PrefixWatch::recordCall(const CallResult &result, bool isValid, std::chrono::milliseconds wait,
                             SteadyTime startedAt)
{
    const auto now = std::chrono::steady_clock::now();
    const StoreCallEnd end = endOf(result, isValid);
    const auto duration = std::chrono::duration_cast<std::chrono::milliseconds>(now - startedAt);
    m_isChecking = m_hasPaused || (end != StoreCallEnd::Answered && end != StoreCallEnd::Throttled);
    if (end == StoreCallEnd::Answered) {
        m_failures = 0;
        m_responseTime = std::max(duration - wait, m_responseTime - m_responseTime / 4);
    } else if (++m_failures <= maxLoggedFailures) {
        logEvent("store", "call failed",
                 { { "prefix", m_prefix },
                   { "end", toString(end) },
                   { "new_connection", result.isConnectionReused ? 0 : 1 },
                   { "failures", m_failures },
                   { "status", result.status },
                   { "waited_ms", duration },
                   { "response_begun", result.hasResponseBegun ? 1 : 0 },
                   { "reason", result.error.message() } });
    }
    m_callbacks.onCallEnded(end, !result.isConnectionReused);
}

std::chrono::milliseconds PrefixWatch::backoff(std::uint32_t attempts, std::chrono::milliseconds maxBackoff)
{
    const std::chrono::milliseconds exponential = initialBackoff * (1U << std::min(attempts, 6U));
    const auto bounded = std::min(exponential, maxBackoff);
    return std::chrono::milliseconds(static_cast<std::int64_t>(static_cast<double>(bounded.count()) * jitter()));
}

} // namespace zinniadock
