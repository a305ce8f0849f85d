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

constexpr std::chrono::milliseconds answerSlack{ 800 };
constexpr std::chrono::milliseconds readTimeout{ 1500 };

// While the store is lost, so that a call which a silent store swallowed does not hide its return.
constexpr std::chrono::milliseconds probeWait{ 200 };
constexpr std::chrono::milliseconds probeTimeout{ 700 };

constexpr std::chrono::milliseconds firstBackoff{ 60 };

/// A watch that rests looks so often whether it is to go on.
constexpr std::chrono::milliseconds restInterval{ 150 };

double jitter()
{
    thread_local std::minstd_rand engine(std::random_device{}());
    return std::uniform_real_distribution<>(0.7, 1.3)(engine);
}

} // namespace

PrefixWatch::PrefixWatch(ConnectionPool &pool, Endpoint store, std::string prefix, const StoreMirror &mirror,
                         RhythmSource rhythm, PrefixEvents events)
    : m_pool(pool)
    , m_store(std::move(store))
    , m_prefix(std::move(prefix))
    , m_mirror(mirror)
    , m_rhythm(std::move(rhythm))
    , m_events(std::move(events))
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

std::optional<std::chrono::steady_clock::time_point> PrefixWatch::answeredAt() const
{
    return m_answeredAt;
}

std::uint64_t PrefixWatch::calls() const
{
    return m_calls;
}

Awaitable<void> PrefixWatch::run()
{
    const auto self = shared_from_this();
    while (!m_stopped) {
        const std::optional<WatchRhythm> rhythm = m_rhythm();
        if (!rhythm) {
            co_await sleepFor(restInterval);
            continue;
        }
        bool done = false;
        if (m_mirror.revision() == 0 || m_historyLost) {
            done = co_await readAll();
        } else {
            done = co_await waitForChanges(rhythm->wait);
        }
        const std::chrono::milliseconds pause = done ? rhythm->pause : nextBackoff(rhythm->longestBackoff);
        if (pause.count() > 0) {
            co_await sleepFor(pause);
        }
    }
}

Awaitable<bool> PrefixWatch::readAll()
{
    std::vector<wire::StoreItem> all;
    std::int64_t revision = 0;
    bool hasMore = true;
    while (hasMore) {
        const std::string after = all.empty() ? "" : all.back().key;
        ++m_calls;
        const std::chrono::milliseconds timeout = m_reachable.value_or(true) ? readTimeout : probeTimeout;
        const CallResult result = co_await call(m_pool, m_store, makeGet(wire::rangeTarget(m_prefix, after)), timeout);
        const auto page = result.succeeded() ? wire::parseItems(result.body) : std::nullopt;
        setReachable(page.has_value(), result);
        if (!page) {
            co_return false;
        }
        // Pages are no snapshot: changes after the first one come again by the watch.
        revision = revision == 0 ? page->revision : revision;
        all.insert(all.end(), page->items.begin(), page->items.end());
        hasMore = page->hasMore && !page->items.empty();
    }
    m_historyLost = false;
    m_events.changed({ .isSnapshot = true, .revision = revision, .items = std::move(all) });
    co_return true;
}

Awaitable<bool> PrefixWatch::waitForChanges(std::chrono::milliseconds longestWait)
{
    ++m_calls;
    const bool reachable = m_reachable.value_or(true);
    const std::chrono::milliseconds wait = reachable ? longestWait : probeWait;
    const std::chrono::milliseconds timeout = reachable ? longestWait + answerSlack : probeTimeout;
    const std::string target = wire::watchTarget(m_prefix, m_mirror.revision(), wait);
    const CallResult result = co_await call(m_pool, m_store, makeGet(target), timeout);
    if (!result.error && wire::isCompacted(static_cast<http::status>(result.status))) {
        logEvent("store", "history lost", { { "prefix", m_prefix }, { "revision", m_mirror.revision() } });
        m_historyLost = true;
        co_return true;
    }
    auto changes = result.succeeded() ? wire::parseItems(result.body) : std::nullopt;
    setReachable(changes.has_value(), result);
    if (!changes) {
        co_return false;
    }
    m_events.changed({ .isSnapshot = false, .revision = changes->revision, .items = std::move(changes->items) });
    co_return true;
}

void PrefixWatch::setReachable(bool reachable, const CallResult &result)
{
    m_failures = reachable ? 0 : m_failures + 1;
    m_answeredAt = reachable ? std::chrono::steady_clock::now() : m_answeredAt;
    if (m_reachable == reachable) {
        return;
    }
    m_reachable = reachable;
    logEvent("store", reachable ? "regained" : "lost",
             { { "prefix", m_prefix },
               { "revision", m_mirror.revision() },
               { "status", result.status },
               { "reason", result.error.message() } });
    m_events.reachable(reachable);
}

std::chrono::milliseconds PrefixWatch::nextBackoff(std::chrono::milliseconds longest) const
{
    const std::chrono::milliseconds plain = firstBackoff * (1U << std::min(m_failures, 6U));
    const auto bounded = std::min(plain, longest);
    return std::chrono::milliseconds(static_cast<std::int64_t>(static_cast<double>(bounded.count()) * jitter()));
}

} // namespace zinniadock
