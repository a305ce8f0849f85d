#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "zinniadock/connection/httpclient.h"
#include "zinniadock/connection/wireform.h"

namespace zinniadock
{

/// What a prefix watch tells its owner, on the network thread.
struct PrefixEvents
{
    std::function<void(const std::vector<wire::StoreItem> &)> replaced; ///< all keys, after a whole read
    std::function<void(const wire::StoreItem &)> changed;
    std::function<void(bool answers)> reachable; ///< the store has begun or ceased to answer
};

/// Returns the time to leave between an answer and the next call.
using PauseSource = std::function<std::chrono::milliseconds()>;

/// Follows all keys under one prefix of the store with one waiting call at a time.
class PrefixWatch : public std::enable_shared_from_this<PrefixWatch>
{
public:
    /// \param pause  between an answer and the next call, so that changes close together cost one call
    PrefixWatch(ConnectionPool &pool, Endpoint store, std::string prefix, PauseSource pause, PrefixEvents events);

    void start();
    void stop();

    /// Returns when the store last answered; nothing before the first answer.
    std::optional<std::chrono::steady_clock::time_point> answeredAt() const;

    /// Returns the number of calls made.
    std::uint64_t calls() const;

private:
    Awaitable<void> run();
    Awaitable<bool> readAll();
    Awaitable<bool> waitForChanges();
    void setReachable(bool reachable, const CallResult &result);
    std::chrono::milliseconds nextBackoff();

    ConnectionPool &m_pool;
    const Endpoint m_store;
    const std::string m_prefix;
    const PauseSource m_pause;
    const PrefixEvents m_events;
    std::optional<std::chrono::steady_clock::time_point> m_answeredAt;
    std::int64_t m_revision = 0; ///< 0 before the first whole read
    std::uint32_t m_failures = 0;
    std::uint64_t m_calls = 0;
    std::optional<bool> m_reachable; ///< nothing before the first call
    bool m_stopped = false;
};

} // namespace zinniadock
