#pragma once

#include <chrono>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <random>
#include <string>

#include "zinniadock/process/store/store.h"

namespace zinniadock::test
{

/// An in-memory store that can be unavailable and can lose writes or their responses. Thread-safe.
class FakeStore
{
public:
    explicit FakeStore(std::uint64_t seed = 1)
        : m_random(seed)
    {
    }

    /// Share of calls that fail as Unavailable without an effect.
    double unavailableRate = 0;
    /// Share of writes that take effect but return Unknown, as if the response was lost.
    double lostAfterWriteRate = 0;
    /// Share of writes that have no effect and return Unknown, as if the request was lost.
    double lostBeforeWriteRate = 0;

    /// Called in each successful write, under the store's lock and so in the order in which the writes take effect.
    std::function<void(const std::string &key, const std::string &value)> onWrite;

    /// Called before each write, outside the store's lock.
    std::function<void(const std::string &key)> beforeWrite;

    StoreRead read(const std::string &key)
    {
        const std::lock_guard lock(m_mutex);
        ++m_calls;
        if (occurs(unavailableRate)) {
            return {};
        }
        const auto position = m_values.find(key);
        StoreRead result{ .status = StoreStatus::Done, .value = {}, .storeRevision = m_revision };
        if (position != m_values.end()) {
            result.value = position->second;
        }
        return result;
    }

    StoreStatus compareAndSwap(const std::string &key, std::int64_t modRevision, const std::string &value,
                               LeaseId /*lease*/)
    {
        return write(key, modRevision, &value);
    }

    StoreStatus compareAndErase(const std::string &key, std::int64_t modRevision)
    {
        return write(key, modRevision, nullptr);
    }

    std::optional<LeaseId> grantLease(std::chrono::milliseconds /*retention*/)
    {
        const std::lock_guard lock(m_mutex);
        ++m_calls;
        return occurs(unavailableRate) ? std::nullopt : std::optional<LeaseId>(1);
    }

    StoreStatus watch(const std::string & /*key*/, std::int64_t /*after*/, std::chrono::milliseconds /*duration*/,
                      const std::function<bool(const StoreValue &)> & /*changed*/)
    {
        return StoreStatus::Done;
    }

    void interruptWatches()
    {
    }

    std::uint64_t calls() const
    {
        const std::lock_guard lock(m_mutex);
        return m_calls;
    }

private:
    bool occurs(double share)
    {
        return share > 0 && std::uniform_real_distribution<double>()(m_random) < share;
    }

    StoreStatus write(const std::string &key, std::int64_t modRevision, const std::string *value)
    {
        if (beforeWrite) {
            beforeWrite(key);
        }
        const std::lock_guard lock(m_mutex);
        ++m_calls;
        if (occurs(unavailableRate)) {
            return StoreStatus::Unavailable;
        }
        if (occurs(lostBeforeWriteRate)) {
            return StoreStatus::Unknown;
        }
        const auto position = m_values.find(key);
        const std::int64_t currentRevision = position == m_values.end() ? absentKey : position->second.modRevision;
        const bool matches = currentRevision == modRevision;
        if (matches) {
            ++m_revision;
            if (value != nullptr) {
                m_values[key] = StoreValue{ .value = *value, .modRevision = m_revision };
            } else {
                m_values.erase(key);
            }
            if (onWrite) {
                onWrite(key, value == nullptr ? "" : *value);
            }
        }
        if (occurs(lostAfterWriteRate)) {
            return StoreStatus::Unknown;
        }
        return matches ? StoreStatus::Done : StoreStatus::Conflict;
    }

    mutable std::mutex m_mutex;
    std::mt19937_64 m_random;
    std::map<std::string, StoreValue> m_values;
    std::int64_t m_revision = 0;
    std::uint64_t m_calls = 0;
};

static_assert(Store<FakeStore>);

} // namespace zinniadock::test
