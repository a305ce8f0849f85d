#pragma once

#include <atomic>
#include <chrono>
#include <functional>
#include <mutex>
#include <random>
#include <string>
#include <thread>

#include <condition_variable>

#include "zinniadock/process/observing/log.h"
#include "zinniadock/process/observing/timeline.h"
#include "zinniadock/process/store/publisher.h"
#include "zinniadock/process/store/store.h"
#include "zinniadock/request/requestid.h"
#include "zinniadock/version/version.h"
#include "zinniadock/version/versiondelta.h"

namespace zinniadock
{

/// Keeps a VersionHolder at the newest accepted configuration. Runs on its own thread.
template <Store StoreType>
class ConfigurationFollower
{
public:
    /// \param onInstalled  called after each installation of a new version
    /// \param onIdle  called after each watch, and after each failed attempt to read or watch the store. A watch ends
    /// at the latest when nothing has arrived for \c watchDuration. Both functions are called on the thread of the
    /// follower.
    ConfigurationFollower(StoreType &store, std::string prefix, VersionHolder &holder, Timeline &timeline,
                          std::function<void()> onInstalled, std::function<void()> onIdle)
        : m_store(store)
        , m_prefix(std::move(prefix))
        , m_holder(holder)
        , m_timeline(timeline)
        , m_onInstalled(std::move(onInstalled))
        , m_onIdle(std::move(onIdle))
        , m_thread([this] {
            run();
        })
    {
    }

    ~ConfigurationFollower()
    {
        stop();
    }

    ConfigurationFollower(const ConfigurationFollower &) = delete;
    ConfigurationFollower &operator=(const ConfigurationFollower &) = delete;

    void stop()
    {
        {
            const std::lock_guard lock(m_mutex);
            m_isStopping = true;
        }
        m_changed.notify_all();
        m_store.interruptWatches();
        if (m_thread.joinable()) {
            m_thread.join();
        }
    }

    /// Returns whether the last attempt to read and watch the store succeeded.
    bool isStoreReachable() const
    {
        return m_isStoreReachable;
    }

    /// Returns how many times the full text of a configuration was read, because no delta from the current revision was
    /// available.
    std::uint64_t fullTextReads() const
    {
        return m_fullTextReads;
    }

private:
    // A connection can break without an error. Its watch then delivers no changes until it is reopened from the last
    // received revision, so the duration of a watch is well below the limit on the propagation time of a change.
    static constexpr std::chrono::milliseconds watchDuration{ 4000 };
    static constexpr std::chrono::milliseconds initialRetryDelay{ 100 };
    static constexpr std::chrono::milliseconds maxRetryDelay{ 5000 };

    void run()
    {
        std::chrono::milliseconds retryDelay = initialRetryDelay;
        std::minstd_rand random(static_cast<std::minstd_rand::result_type>(randomNumber()));
        while (!isStopping()) {
            const bool isReachable = watchOnce();
            if (isStopping()) {
                break;
            }
            if (isReachable != m_isStoreReachable) {
                m_isStoreReachable = isReachable;
                m_timeline.record(isReachable ? EventKind::StoreUp : EventKind::StoreDown);
                if (isReachable) {
                    log.info("the store responds again");
                } else {
                    log.warning("the store does not respond; the current configuration stays in force");
                }
            }
            m_onIdle();
            if (isReachable) {
                retryDelay = initialRetryDelay;
                continue;
            }
            // The jitter prevents the whole fleet from calling the store at the same time after an outage.
            std::uniform_int_distribution<std::int64_t> jitter(retryDelay.count() / 2, retryDelay.count());
            waitFor(std::chrono::milliseconds(jitter(random)));
            retryDelay = std::min(retryDelay * 2, maxRetryDelay);
        }
    }

    // Reads the head if necessary, then watches it until the watch ends. Returns false if a call failed, or if the text
    // of the head that was read is not available.
    bool watchOnce()
    {
        if (m_isReadNeeded) {
            const StoreRead found = m_store.read(headKey(m_prefix));
            if (found.status != StoreStatus::Done) {
                return false;
            }
            if (found.value && !applyHead(found.value->value)) {
                return false;
            }
            m_seenRevision = std::max(m_seenRevision, found.storeRevision);
            m_isReadNeeded = false;
        }
        const StoreStatus status
            = m_store.watch(headKey(m_prefix), m_seenRevision, watchDuration, [this](const StoreValue &value) {
                  if (!applyHead(value.value)) {
                      m_isReadNeeded = true;
                      return false;
                  }
                  m_seenRevision = value.modRevision;
                  return !isStopping();
              });
        m_isReadNeeded = m_isReadNeeded || status != StoreStatus::Done;
        return status == StoreStatus::Done;
    }

    bool applyHead(const std::string &headText)
    {
        const auto head = decodeHead(headText);
        if (!head) {
            log.error("the configuration head in the store under key " + headKey(m_prefix) + " is malformed");
            return true;
        }
        if (head->revision <= m_holder.revision()) {
            return true;
        }
        std::shared_ptr<const Version> version = makeFromDelta(*head);
        if (!version) {
            const auto text = readPublishedText(m_store, textKey(m_prefix, head->digest), head->digest);
            if (!text) {
                return false;
            }
            ++m_fullTextReads;
            version = makeVersion(head->revision, head->digest, *text);
        }
        if (!version) {
            log.error("configuration revision " + std::to_string(head->revision)
                      + " is not installed: it does not match its digest or violates a rule");
            return true;
        }
        if (m_holder.install(version)) {
            log.info("configuration revision " + std::to_string(head->revision) + " is in force");
            m_onInstalled();
        }
        return true;
    }

    // The head contains the delta from its parent, so a follower that has the parent revision reads nothing else.
    std::shared_ptr<const Version> makeFromDelta(const ConfigurationHead &head) const
    {
        const auto current = m_holder.current();
        const bool applies = current && !head.delta.empty() && current->digest == head.parent
            && current->revision + 1 == head.revision;
        return applies ? makeNextVersion(*current, head.revision, head.digest, head.delta) : nullptr;
    }

    bool isStopping() const
    {
        const std::lock_guard lock(m_mutex);
        return m_isStopping;
    }

    void waitFor(std::chrono::milliseconds duration)
    {
        std::unique_lock lock(m_mutex);
        m_changed.wait_for(lock, duration, [this] {
            return m_isStopping;
        });
    }

    static constexpr Log log{ "config" };

    StoreType &m_store;
    std::string m_prefix;
    VersionHolder &m_holder;
    Timeline &m_timeline;
    std::function<void()> m_onInstalled;
    std::function<void()> m_onIdle;
    mutable std::mutex m_mutex;
    std::condition_variable m_changed;
    bool m_isStopping = false;
    bool m_isReadNeeded = true;
    std::atomic<bool> m_isStoreReachable{ true };
    std::atomic<std::uint64_t> m_fullTextReads{ 0 };
    std::int64_t m_seenRevision = 0;
    std::thread m_thread;
};

} // namespace zinniadock
