#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "zinniadock/connection/httpclient.h"
#include "zinniadock/connection/wireform.h"
#include "zinniadock/process/store/storecontact.h"
#include "zinniadock/process/store/storemirror.h"

namespace zinniadock
{

/// Callbacks of a prefix watch, called on the network thread.
struct PrefixWatchCallbacks
{
    /// Called after each valid response, even without changes, with the latest time at which the store had certainly
    /// no further changes.
    std::function<void(StoreChanges, SteadyTime confirmedAt)> onChanges;
    /// Called after each call, before its response is applied.
    std::function<void(StoreCallEnd end, bool onNewConnection)> onCallEnded;
    std::function<void(wire::StoreEra)> onEra; ///< called with the era of each response that states one
};

/// Timing of the calls that a prefix watch makes to the store.
struct WatchTiming
{
    /// Delay between a response and the next call. Changes during the delay arrive together in the next response.
    std::chrono::milliseconds callInterval{ 0 };
    std::chrono::milliseconds maxWait{ 3000 }; ///< maximum time that the store waits for a change
    /// Time within which a change must arrive, also on a connection that has become silent.
    std::chrono::milliseconds bound{ 4000 };
    /// Maximum delay between calls while the store does not respond, before jitter.
    std::chrono::milliseconds maxBackoff{ 600 };
};

/// Returns the timing of the next call to the store; nothing while the watch must not call the store.
using WatchTimingSource = std::function<std::optional<WatchTiming>()>;

/// Follows all keys under one prefix of the store by long polling with one call at a time, from the revision of a
/// mirror.
class PrefixWatch : public std::enable_shared_from_this<PrefixWatch>
{
public:
    /// \param mirror  holds the known keys of the prefix; must outlive the watch
    PrefixWatch(ConnectionPool &pool, Endpoint store, std::string prefix, const StoreMirror &mirror,
                WatchTimingSource timing, PrefixWatchCallbacks callbacks);

    void start();
    void stop();

    /// Reads the whole prefix again if the mirror has an earlier era. Ends a waiting call in this case, since the store
    /// may never respond to it.
    void requireEra(wire::StoreEra era);

    /// Makes the next call on a new connection, and ends a call that waits on a kept one. To be called after a time in
    /// which the process did not run: a response may be as old as that time, and a kept connection may be dead.
    /// \param uncounted  part of that time that the steady clock did not count
    void checkNow(std::chrono::milliseconds uncounted);

    /// Returns the number of calls made.
    std::uint64_t calls() const;

private:
    /// How a call to the store ended.
    enum class CallOutcome {
        Applied, ///< the response was applied to the mirror
        NeedsSnapshot, ///< the changes after the mirror's position are gone, or larger than a response that is read
        Interrupted, ///< requireEra() or checkNow() ended the call
        Failed,
    };

    Awaitable<void> run();
    Awaitable<CallOutcome> readSnapshot();
    Awaitable<CallOutcome> waitForChanges(const WatchTiming &timing);
    void interrupt();
    bool needsSnapshot() const;
    CallOptions optionsOfCall(std::chrono::milliseconds timeout) const;
    std::chrono::milliseconds marginOfCall() const;
    void recordCall(const CallResult &result, bool isValid, std::chrono::milliseconds wait, SteadyTime startedAt);
    wire::StoreEra observeEra(const CallResult &result);
    CallOutcome requireSnapshot(const std::string &reason, wire::StoreEra era);
    SteadyTime confirmationTime(SteadyTime startedAt, SteadyTime latest) const;
    std::chrono::milliseconds pauseAfter(CallOutcome outcome, const WatchTiming &timing);
    static std::chrono::milliseconds backoff(std::uint32_t attempts, std::chrono::milliseconds maxBackoff);

    ConnectionPool &m_pool;
    const Endpoint m_store;
    const std::string m_prefix;
    const StoreMirror &m_mirror;
    const WatchTimingSource m_timing;
    const PrefixWatchCallbacks m_callbacks;
    const std::shared_ptr<CallInterrupter> m_interrupter = std::make_shared<CallInterrupter>();
    bool m_needsSnapshot = false; ///< the changes after the mirror's position can't be read
    bool m_isInterrupted = false;
    bool m_hasPaused = false; ///< the process did not run for some time since the call in progress began
    std::chrono::milliseconds m_uncountedPause{ 0 }; ///< part of that time that the steady clock did not count
    wire::StoreEra m_era = 0; ///< latest era of the store that is known
    std::uint32_t m_failures = 0; ///< calls that failed since the last valid response
    bool m_isChecking = false; ///< the next call shows on a new connection whether the store serves
    bool m_isSuspended = false; ///< the watch does not call the store
    std::uint32_t m_unreadableWatches = 0; ///< since the last watch whose changes could be read
    std::uint64_t m_calls = 0;
    std::chrono::milliseconds m_responseTime{ 0 }; ///< of the last response, without the time that the store waited
    bool m_stopped = false;
};

} // namespace zinniadock
