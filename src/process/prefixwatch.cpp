#include "zinniadock/process/prefixwatch.h"

#include <algorithm>
#include <random>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include "zinniadock/process/eventlog.h"

namespace zinniadock
{

namespace
{

constexpr std::chrono::milliseconds responseMargin{ 800 };
constexpr std::chrono::milliseconds readTimeout{ 1500 };

// Maximum wait and timeout of a call while the store is unreachable. They are short, so that a call without a response
// does not delay the detection of the recovery.
constexpr std::chrono::milliseconds probeMaxWait{ 200 };
constexpr std::chrono::milliseconds probeTimeout{ 700 };

constexpr std::chrono::milliseconds initialBackoff{ 60 };

/// Interval at which a suspended watch checks whether to resume.
constexpr std::chrono::milliseconds idleCheckInterval{ 150 };

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

std::optional<std::chrono::steady_clock::time_point> PrefixWatch::lastResponseAt() const
{
    return m_lastResponseAt;
}

std::uint64_t PrefixWatch::calls() const
{
    return m_calls;
}

void PrefixWatch::requireEra(wire::StoreEra era)
{
    m_era = std::max(m_era, era);
    if (m_mirror.position().era < m_era) {
        m_isInterrupted = true;
        m_interrupter->interrupt();
    }
}

Awaitable<void> PrefixWatch::run()
{
    const auto self = shared_from_this();
    while (!m_stopped) {
        const std::optional<WatchTiming> timing = m_timing();
        if (!timing) {
            co_await sleepFor(idleCheckInterval);
            continue;
        }
        m_isInterrupted = false;
        CallOutcome outcome = CallOutcome::Failed;
        if (needsSnapshot()) {
            outcome = co_await readSnapshot();
        } else {
            outcome = co_await waitForChanges(timing->maxWait);
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
    return known.revision == 0 || known.era < m_era || m_isHistoryGone;
}

// A store whose history is gone at once after each snapshot is not asked without a pause.
std::chrono::milliseconds PrefixWatch::pauseAfter(CallOutcome outcome, const WatchTiming &timing)
{
    switch (outcome) {
    case CallOutcome::Applied:
        return timing.callInterval;
    case CallOutcome::HistoryGone:
        ++m_watchesWithoutHistory;
        return m_watchesWithoutHistory == 1 ? std::chrono::milliseconds(0)
                                            : backoff(m_watchesWithoutHistory, timing.maxBackoff);
    case CallOutcome::Interrupted:
        return std::chrono::milliseconds(0);
    case CallOutcome::Failed:
        break;
    }
    return backoff(m_failures, timing.maxBackoff);
}

Awaitable<PrefixWatch::CallOutcome> PrefixWatch::readSnapshot()
{
    StoreChanges snapshot{ .isSnapshot = true, .era = 0, .revision = 0, .items = {} };
    bool hasMore = true;
    while (hasMore) {
        const std::string after = snapshot.items.empty() ? "" : snapshot.items.back().key;
        ++m_calls;
        const std::chrono::milliseconds timeout = m_reachable.value_or(true) ? readTimeout : probeTimeout;
        const CallResult result
            = co_await call(m_pool, m_store, makeGet(wire::rangeTarget(m_prefix, after)), timeout, m_interrupter);
        if (result.error && m_isInterrupted) {
            co_return CallOutcome::Interrupted;
        }
        const wire::StoreEra era = observeEra(result);
        const auto page = result.succeeded() ? wire::parseItems(result.body) : std::nullopt;
        setReachable(page.has_value(), result);
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
    m_isHistoryGone = false;
    m_callbacks.onChanges(snapshot);
    co_return CallOutcome::Applied;
}

Awaitable<PrefixWatch::CallOutcome> PrefixWatch::waitForChanges(std::chrono::milliseconds maxWait)
{
    ++m_calls;
    const bool reachable = m_reachable.value_or(true);
    const std::chrono::milliseconds wait = reachable ? maxWait : probeMaxWait;
    const std::chrono::milliseconds timeout = reachable ? maxWait + responseMargin : probeTimeout;
    const StorePosition known = m_mirror.position();
    const std::string target = wire::watchTarget(m_prefix, known.revision, wait);
    const CallResult result = co_await call(m_pool, m_store, makeGet(target), timeout, m_interrupter);
    if (result.error && m_isInterrupted) {
        co_return CallOutcome::Interrupted;
    }
    const wire::StoreEra era = observeEra(result);
    if (!result.error && (wire::isCompacted(static_cast<http::status>(result.status)) || era > known.era)) {
        logEvent("store", "history compacted",
                 { { "prefix", m_prefix }, { "era", era }, { "revision", known.revision } });
        m_isHistoryGone = true;
        co_return CallOutcome::HistoryGone;
    }
    auto changes = result.succeeded() ? wire::parseItems(result.body) : std::nullopt;
    setReachable(changes.has_value(), result);
    if (!changes || era < m_era) {
        co_return CallOutcome::Failed;
    }
    m_watchesWithoutHistory = 0;
    m_callbacks.onChanges(
        { .isSnapshot = false, .era = era, .revision = changes->revision, .items = std::move(changes->items) });
    co_return CallOutcome::Applied;
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

void PrefixWatch::setReachable(bool reachable, const CallResult &result)
{
    m_failures = reachable ? 0 : m_failures + 1;
    m_lastResponseAt = reachable ? std::chrono::steady_clock::now() : m_lastResponseAt;
    if (m_reachable == reachable) {
        return;
    }
    m_reachable = reachable;
    logEvent("store", reachable ? "regained" : "lost",
             { { "prefix", m_prefix },
               { "revision", m_mirror.position().revision },
               { "status", result.status },
               { "reason", result.error.message() } });
    m_callbacks.onReachabilityChanged(reachable);
}

std::chrono::milliseconds PrefixWatch::backoff(std::uint32_t attempts, std::chrono::milliseconds maxBackoff)
{
    const std::chrono::milliseconds exponential = initialBackoff * (1U << std::min(attempts, 6U));
    const auto bounded = std::min(exponential, maxBackoff);
    return std::chrono::milliseconds(static_cast<std::int64_t>(static_cast<double>(bounded.count()) * jitter()));
}

} // namespace zinniadock
