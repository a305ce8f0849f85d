#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "zinniadock/connection/httpclient.h"
#include "zinniadock/connection/wireform.h"
#include "zinniadock/process/storemirror.h"

namespace zinniadock
{

/// What a prefix watch tells its owner, on the network thread.
struct PrefixWatchCallbacks
{
    std::function<void(const StoreChanges &)> onChanges; ///< also without any change, as the store has answered
    std::function<void(bool answers)> onReachabilityChanged; ///< the store has begun or ceased to answer
};

/// How a prefix watch calls the store.
struct WatchTiming
{
    std::chrono::milliseconds callInterval{
        0
    }; ///< between an answer and the next call, so that close changes cost one call
    std::chrono::milliseconds maxWait{ 3000 }; ///< longest wait of the store for a change
    std::chrono::milliseconds maxBackoff{ 600 }; ///< between two calls while the store does not answer
};

/// Returns the rhythm in force; nothing while the watch is to rest.
using WatchTimingSource = std::function<std::optional<WatchTiming>()>;

/// Follows all keys under one prefix of the store with one waiting call at a time, from where a mirror has got to.
class PrefixWatch : public std::enable_shared_from_this<PrefixWatch>
{
public:
    /// \param mirror  holds what is known of the prefix; outlives the watch
    PrefixWatch(ConnectionPool &pool, Endpoint store, std::string prefix, const StoreMirror &mirror,
                WatchTimingSource rhythm, PrefixWatchCallbacks events);

    void start();
    void stop();

    /// Returns when the store last answered; nothing before the first answer.
    std::optional<std::chrono::steady_clock::time_point> answeredAt() const;

    /// Returns the number of calls made.
    std::uint64_t calls() const;

private:
    Awaitable<void> run();
    Awaitable<bool> readAll();
    Awaitable<bool> waitForChanges(std::chrono::milliseconds longestWait);
    void setReachable(bool reachable, const CallResult &result);
    std::chrono::milliseconds nextBackoff(std::chrono::milliseconds longest) const;

    ConnectionPool &m_pool;
    const Endpoint m_store;
    const std::string m_prefix;
    const StoreMirror &m_mirror;
    const WatchTimingSource m_rhythm;
    const PrefixWatchCallbacks m_events;
    std::optional<std::chrono::steady_clock::time_point> m_answeredAt;
    bool m_historyLost = false; ///< the store has dropped the history after what the mirror holds
    std::uint32_t m_failures = 0;
    std::uint64_t m_calls = 0;
    std::optional<bool> m_reachable; ///< nothing before the first call
    bool m_stopped = false;
};

} // namespace zinniadock
