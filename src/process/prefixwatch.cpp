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

// Short, so that a connection which has gone silent is noticed while a configuration may still come into force in time.
constexpr std::chrono::milliseconds watchWait{ 3000 };
constexpr std::chrono::milliseconds answerSlack{ 800 };
constexpr std::chrono::milliseconds readTimeout{ 1500 };

// While the store is lost, so that a call which a silent store swallowed does not hide its return.
constexpr std::chrono::milliseconds probeWait{ 200 };
constexpr std::chrono::milliseconds probeTimeout{ 700 };

constexpr std::chrono::milliseconds firstBackoff{ 60 };
constexpr std::chrono::milliseconds longestBackoff{ 600 };

double jitter()
{
    thread_local std::minstd_rand engine(std::random_device{}());
    return std::uniform_real_distribution<>(0.7, 1.3)(engine);
}

} // namespace

PrefixWatch::PrefixWatch(ConnectionPool &pool, Endpoint store, std::string prefix, PauseSource pause,
                         PrefixEvents events)
    : m_pool(pool)
    , m_store(std::move(store))
    , m_prefix(std::move(prefix))
    , m_pause(std::move(pause))
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
        bool done = false;
        if (m_revision == 0) {
            done = co_await readAll();
        } else {
            done = co_await waitForChanges();
        }
        const std::chrono::milliseconds pause = done ? m_pause() : nextBackoff();
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
    m_revision = revision;
    m_events.replaced(all);
    co_return true;
}

Awaitable<bool> PrefixWatch::waitForChanges()
{
    ++m_calls;
    const std::chrono::milliseconds wait = m_reachable.value_or(true) ? watchWait : probeWait;
    const std::chrono::milliseconds timeout = m_reachable.value_or(true) ? watchWait + answerSlack : probeTimeout;
    const std::string target = wire::watchTarget(m_prefix, m_revision, wait);
    const CallResult result = co_await call(m_pool, m_store, makeGet(target), timeout);
    if (!result.error && wire::isCompacted(static_cast<http::status>(result.status))) {
        logEvent("store", "history lost", { { "prefix", m_prefix }, { "revision", m_revision } });
        m_revision = 0;
        co_return true;
    }
    const auto changes = result.succeeded() ? wire::parseItems(result.body) : std::nullopt;
    setReachable(changes.has_value(), result);
    if (!changes) {
        co_return false;
    }
    for (const wire::StoreItem &item : changes->items) {
        m_events.changed(item);
    }
    m_revision = std::max(m_revision, changes->revision);
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
               { "revision", m_revision },
               { "status", result.status },
               { "reason", result.error.message() } });
    m_events.reachable(reachable);
}

std::chrono::milliseconds PrefixWatch::nextBackoff()
{
    const std::chrono::milliseconds plain = firstBackoff * (1U << std::min(m_failures, 5U));
    const auto bounded = std::min(plain, longestBackoff);
    return std::chrono::milliseconds(static_cast<std::int64_t>(static_cast<double>(bounded.count()) * jitter()));
}

} // namespace zinniadock
