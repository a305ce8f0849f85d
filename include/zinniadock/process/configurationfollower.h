#pragma once

#include <atomic>
#include <chrono>
#include <functional>
#include <mutex>
#include <random>
#include <string>
#include <thread>

#include <condition_variable>

#include "zinniadock/process/log.h"
#include "zinniadock/process/publisher.h"
#include "zinniadock/process/store.h"
#include "zinniadock/process/timeline.h"
#include "zinniadock/request/requestid.h"
#include "zinniadock/version/version.h"
#include "zinniadock/version/versiondelta.h"

namespace zinniadock
{

/// Keeps a VersionHolder at the newest accepted configuration, on a thread of its own.
template <Store StoreType>
class ConfigurationFollower
{
public:
    /// \param installed  called after each new version came into force
    /// \param idle  called between watches, at least every \c watchDuration
    ConfigurationFollower(StoreType &store, std::string prefix, VersionHolder &holder, Timeline &timeline,
                          std::function<void()> installed, std::function<void()> idle)
        : m_store(store)
        , m_prefix(std::move(prefix))
        , m_holder(holder)
        , m_timeline(timeline)
        , m_installed(std::move(installed))
        , m_idle(std::move(idle))
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
            m_stopping = true;
        }
        m_changed.notify_all();
        m_store.interruptWatches();
        if (m_thread.joinable()) {
            m_thread.join();
        }
    }

    /// Says whether the store answered the last call.
    bool storeAnswers() const
    {
        return m_storeAnswers;
    }

    /// Returns how many times a whole text was read, and not only a delta.
    std::uint64_t wholeReads() const
    {
        return m_wholeReads;
    }

private:
    // A watch that went silent for good hides changes until it is opened anew from the last revision seen, so its
    // duration is well within the bound on the spread of a change.
    static constexpr std::chrono::milliseconds watchDuration{ 4000 };
    static constexpr std::chrono::milliseconds firstPause{ 100 };
    static constexpr std::chrono::milliseconds longestPause{ 5000 };

    void run()
    {
        std::chrono::milliseconds pause = firstPause;
        std::minstd_rand random(static_cast<std::minstd_rand::result_type>(randomNumber()));
        while (!stopping()) {
            const bool answered = followOnce();
            if (stopping()) {
                break;
            }
            if (answered != m_storeAnswers) {
                m_storeAnswers = answered;
                m_timeline.record(answered ? EventKind::StoreUp : EventKind::StoreDown);
                if (answered) {
                    log.info("the store answers again");
                } else {
                    log.warning("the store does not answer; the present configuration stays in force");
                }
            }
            m_idle();
            if (answered) {
                pause = firstPause;
                continue;
            }
            // The jitter spreads the calls of a whole fleet after an outage.
            std::uniform_int_distribution<std::int64_t> jitter(pause.count() / 2, pause.count());
            waitFor(std::chrono::milliseconds(jitter(random)));
            pause = std::min(pause * 2, longestPause);
        }
    }

    // Reads the head, then watches it until something changes or a quiet duration ends.
    bool followOnce()
    {
        if (m_readNeeded) {
            const StoreRead found = m_store.read(headKey(m_prefix));
            if (found.status != StoreStatus::Done) {
                return false;
            }
            if (found.value && !adopt(found.value->value)) {
                return false;
            }
            m_seenRevision = std::max(m_seenRevision, found.storeRevision);
            m_readNeeded = false;
        }
        const StoreStatus status
            = m_store.watch(headKey(m_prefix), m_seenRevision, watchDuration, [this](const StoreValue &value) {
                  if (!adopt(value.value)) {
                      m_readNeeded = true;
                      return false;
                  }
                  m_seenRevision = value.modRevision;
                  return !stopping();
              });
        m_readNeeded = m_readNeeded || status != StoreStatus::Done;
        return status == StoreStatus::Done;
    }

    bool adopt(const std::string &headText)
    {
        const auto head = decodeHead(headText);
        if (!head) {
            log.error("the configuration head in the store is malformed");
            return true;
        }
        if (head->revision <= m_holder.revision()) {
            return true;
        }
        std::shared_ptr<const Version> version = fromDelta(*head);
        if (!version) {
            const auto text = readPublishedText(m_store, textKey(m_prefix, head->digest), head->digest);
            if (!text) {
                return false;
            }
            ++m_wholeReads;
            version = makeVersion(head->revision, head->digest, *text);
        }
        if (!version) {
            log.error("configuration revision " + std::to_string(head->revision)
                      + " does not match its digest or its rules");
            return true;
        }
        if (m_holder.install(version)) {
            log.info("configuration revision " + std::to_string(head->revision) + " is in force");
            m_installed();
        }
        return true;
    }

    // The head carries what changed, so a follower that has the revision before reads nothing more.
    std::shared_ptr<const Version> fromDelta(const ConfigurationHead &head) const
    {
        const auto current = m_holder.current();
        const bool fits = current && !head.delta.empty() && current->digest == head.parent
            && current->revision + 1 == head.revision;
        return fits ? makeNextVersion(*current, head.revision, head.digest, head.delta) : nullptr;
    }

    bool stopping() const
    {
        const std::lock_guard lock(m_mutex);
        return m_stopping;
    }

    void waitFor(std::chrono::milliseconds duration)
    {
        std::unique_lock lock(m_mutex);
        m_changed.wait_for(lock, duration, [this] {
            return m_stopping;
        });
    }

    static constexpr Log log{ "config" };

    StoreType &m_store;
    std::string m_prefix;
    VersionHolder &m_holder;
    Timeline &m_timeline;
    std::function<void()> m_installed;
    std::function<void()> m_idle;
    mutable std::mutex m_mutex;
    std::condition_variable m_changed;
    bool m_stopping = false;
    bool m_readNeeded = true;
    std::atomic<bool> m_storeAnswers{ true };
    std::atomic<std::uint64_t> m_wholeReads{ 0 };
    std::int64_t m_seenRevision = 0;
    std::thread m_thread;
};

} // namespace zinniadock
