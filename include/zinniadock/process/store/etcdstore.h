#pragma once

#include <atomic>
#include <chrono>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include <Poco/Net/HTTPClientSession.h>

#include "zinniadock/detail/fieldtable.h"
#include "zinniadock/process/store/store.h"

namespace zinniadock
{

/// Client of the JSON over HTTP form of the etcd v3 API. Thread-safe; each call uses one connection exclusively.
class EtcdStore
{
public:
    EtcdStore(Endpoint endpoint, std::chrono::milliseconds timeout);

    StoreRead read(const std::string &key);

    /// Writes \p value with \p lease if the key is at \p modRevision. Without a lease (0), the value does not expire.
    StoreStatus compareAndSwap(const std::string &key, std::int64_t modRevision, const std::string &value,
                               LeaseId lease);

    /// Erases the key if it is at \p modRevision.
    StoreStatus compareAndErase(const std::string &key, std::int64_t modRevision);

    /// Grants a lease that expires after \p retention. Returns nothing if the store does not respond.
    std::optional<LeaseId> grantLease(std::chrono::milliseconds retention);

    /// Reports the changes of a key after a store revision. Ends when \p onChange returns false, or when nothing
    /// arrives for \p duration. Returns Done in these cases, and Unavailable if the watch fails or ends earlier.
    StoreStatus watch(const std::string &key, std::int64_t afterRevision, std::chrono::milliseconds duration,
                      const std::function<bool(const StoreValue &)> &onChange);

    /// Ends all present and future watches immediately. Called when the process stops.
    void interruptWatches();

    /// Returns the number of calls made. A watch counts as one call.
    std::uint64_t calls() const;

private:
    struct Response
    {
        StoreStatus status = StoreStatus::Unavailable;
        std::string body;
    };

    // Registers the session of a watch during its lifetime, so that interruptWatches() can shut it down.
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

    Response call(const std::string &path, const std::string &body);
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
