#pragma once

#include <atomic>
#include <chrono>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include <Poco/Net/HTTPClientSession.h>

#include "zinniadock/detail/fieldtable.h"
#include "zinniadock/process/store.h"

namespace zinniadock
{

/// Speaks the JSON over HTTP form of the etcd v3 protocol. Thread-safe; each call holds one connection.
class EtcdStore
{
public:
    EtcdStore(Endpoint endpoint, std::chrono::milliseconds timeout);

    StoreRead read(const std::string &key);

    /// Writes \p value if the key is at \p modRevision.
    StoreStatus compareAndSwap(const std::string &key, std::int64_t modRevision, const std::string &value,
                               LeaseId lease);

    /// Erases the key if it is at \p modRevision.
    StoreStatus compareAndErase(const std::string &key, std::int64_t modRevision);

    /// Grants a lease that lapses after \p retention; nothing if the store does not answer.
    std::optional<LeaseId> grantLease(std::chrono::milliseconds retention);

    /// Reports changes of a key after a store revision until \p onChange returns false or \p duration without news.
    /// Done at the end of a quiet duration, else Unavailable.
    StoreStatus watch(const std::string &key, std::int64_t afterRevision, std::chrono::milliseconds duration,
                      const std::function<bool(const StoreValue &)> &onChange);

    /// Ends every watch, present and future, at once; for a process that stops.
    void interruptWatches();

    /// Returns the number of calls made, a watch counted as one.
    std::uint64_t calls() const;

private:
    struct Answer
    {
        StoreStatus status = StoreStatus::Unavailable;
        std::string body;
    };

    // Makes a watch known for as long as it waits, so that it can be interrupted.
    class WatchRegistration
    {
    public:
        WatchRegistration(EtcdStore &store, Poco::Net::HTTPClientSession &session);
        ~WatchRegistration();
        WatchRegistration(const WatchRegistration &) = delete;
        WatchRegistration &operator=(const WatchRegistration &) = delete;

    private:
        EtcdStore &m_store;
        Poco::Net::HTTPClientSession &m_session;
    };

    Answer call(const std::string &path, const std::string &body);
    StoreStatus transact(const std::string &key, std::int64_t modRevision, const std::string &operation);
    std::unique_ptr<Poco::Net::HTTPClientSession> acquireSession();
    void releaseSession(std::unique_ptr<Poco::Net::HTTPClientSession> session);

    Endpoint m_endpoint;
    std::chrono::milliseconds m_timeout;
    std::atomic<std::uint64_t> m_calls{ 0 };
    std::mutex m_mutex;
    std::vector<std::unique_ptr<Poco::Net::HTTPClientSession>> m_idleSessions;
    std::vector<Poco::Net::HTTPClientSession *> m_watchSessions;
    bool m_areWatchesInterrupted = false;
};

} // namespace zinniadock
