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

wire::StoreEra PrefixWatch::era() const
{
    return m_era;
}

std::uint64_t PrefixWatch::calls() const
{
    return m_calls;
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
        bool hasSucceeded = false;
        if (m_mirror.revision() == 0 || m_isHistoryCompacted) {
            hasSucceeded = co_await readSnapshot();
        } else {
            hasSucceeded = co_await waitForChanges(timing->maxWait);
        }
        const std::chrono::milliseconds pause = hasSucceeded ? timing->callInterval : nextBackoff(timing->maxBackoff);
        if (pause.count() > 0) {
            co_await sleepFor(pause);
        }
    }
}

Awaitable<bool> PrefixWatch::readSnapshot()
{
    std::vector<wire::StoreItem> all;
    std::int64_t revision = 0;
    bool hasMore = true;
    while (hasMore) {
        const std::string after = all.empty() ? "" : all.back().key;
        ++m_calls;
        const std::chrono::milliseconds timeout = m_reachable.value_or(true) ? readTimeout : probeTimeout;
        const CallResult result = co_await call(m_pool, m_store, makeGet(wire::rangeTarget(m_prefix, after)), timeout);
        observeEra(result);
        const auto page = result.succeeded() ? wire::parseItems(result.body) : std::nullopt;
        setReachable(page.has_value(), result);
        if (!page) {
            co_return false;
        }
        // The pages may be of different revisions. The revision of the first page is kept, so that the next watch
        // repeats all later changes.
        revision = revision == 0 ? page->revision : revision;
        all.insert(all.end(), page->items.begin(), page->items.end());
        hasMore = page->hasMore && !page->items.empty();
    }
    m_isHistoryCompacted = false;
    m_callbacks.onChanges({ .isSnapshot = true, .revision = revision, .items = std::move(all) });
    co_return true;
}

Awaitable<bool> PrefixWatch::waitForChanges(std::chrono::milliseconds maxWait)
{
    ++m_calls;
    const bool reachable = m_reachable.value_or(true);
    const std::chrono::milliseconds wait = reachable ? maxWait : probeMaxWait;
    const std::chrono::milliseconds timeout = reachable ? maxWait + responseMargin : probeTimeout;
    const std::string target = wire::watchTarget(m_prefix, m_mirror.revision(), wait);
    const CallResult result = co_await call(m_pool, m_store, makeGet(target), timeout);
    observeEra(result);
    if (!result.error && wire::isCompacted(static_cast<http::status>(result.status))) {
        logEvent("store", "history compacted", { { "prefix", m_prefix }, { "revision", m_mirror.revision() } });
        m_isHistoryCompacted = true;
        co_return true;
    }
    auto changes = result.succeeded() ? wire::parseItems(result.body) : std::nullopt;
    setReachable(changes.has_value(), result);
    if (!changes) {
        co_return false;
    }
    m_callbacks.onChanges({ .isSnapshot = false, .revision = changes->revision, .items = std::move(changes->items) });
    co_return true;
}

void PrefixWatch::observeEra(const CallResult &result)
{
    const wire::StoreEra era = result.error ? 0 : wire::parseStoreEra(result.head);
    if (era <= m_era) {
        return;
    }
    if (m_era > 0) {
        logEvent("store", "came back from a copy",
                 { { "prefix", m_prefix },
                   { "era", era },
                   { "previous_era", m_era },
                   { "revision", m_mirror.revision() } });
    }
    m_era = era;
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
               { "revision", m_mirror.revision() },
               { "status", result.status },
               { "reason", result.error.message() } });
    m_callbacks.onReachabilityChanged(reachable);
}

std::chrono::milliseconds PrefixWatch::nextBackoff(std::chrono::milliseconds maxBackoff) const
{
    const std::chrono::milliseconds exponential = initialBackoff * (1U << std::min(m_failures, 6U));
    const auto bounded = std::min(exponential, maxBackoff);
    return std::chrono::milliseconds(static_cast<std::int64_t>(static_cast<double>(bounded.count()) * jitter()));
}

} // namespace zinniadock
