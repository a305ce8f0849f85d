#pragma once

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <map>
#include <memory>
#include <mutex>
#include <random>
#include <string>
#include <vector>

#include <nlohmann/json_fwd.hpp>

#include "functionserver.h"
#include "history.h"

namespace zinniadock::standin
{

struct StoreStandinSettings
{
    std::uint16_t port = 0;
    std::uint64_t seed = 1;
    std::string history;
};

/// Faults of the store that can be changed while the store runs.
struct StoreFaults
{
    bool down = false; ///< closes the connection of each request without executing it, and ends watches
    std::chrono::milliseconds delay{ 0 }; ///< delay before each call is executed
    double responseLossRate = 0; ///< fraction of writes that take effect and get no response
};

/// In-memory key-value store with the JSON gateway of the etcd v3 API: range, put, txn, lease and watch.
///
/// A range, a deletion and a watch cover a single key.
class StoreStandin
{
public:
    explicit StoreStandin(const StoreStandinSettings &settings);
    ~StoreStandin();

    StoreStandin(const StoreStandin &) = delete;
    StoreStandin &operator=(const StoreStandin &) = delete;

    std::uint16_t port() const;
    void setFaults(const StoreFaults &faults);

    /// Returns the number of calls received. A watch counts as one call; `/control` is not counted.
    std::uint64_t calls() const;

    void stop();

private:
    struct Value
    {
        std::string key; ///< base64, as all keys in this class
        std::string value;
        std::int64_t createRevision = 0;
        std::int64_t modRevision = 0;
        std::int64_t version = 0;
        std::int64_t lease = 0;
    };

    struct Change
    {
        std::int64_t revision = 0;
        bool erased = false;
        Value value;
    };

    void handle(HTTPServerRequest &request, HTTPServerResponse &response);
    void control(HTTPServerRequest &request, HTTPServerResponse &response);
    void watch(HTTPServerRequest &request, const std::string &body, HTTPServerResponse &response);
    nlohmann::json execute(const std::string &path, const nlohmann::json &body);
    nlohmann::json range(const nlohmann::json &body) const;
    nlohmann::json executeTransaction(const nlohmann::json &body);
    nlohmann::json executeOperation(const nlohmann::json &operation, bool &wrote);
    bool compare(const nlohmann::json &comparison) const;
    void put(const nlohmann::json &body);
    bool erase(const nlohmann::json &body);
    nlohmann::json grantLease(const nlohmann::json &body);

    /// Deletes the keys of expired leases. Runs before each call other than a watch.
    void expireLeases();
    nlohmann::json header() const;

    History m_history;
    mutable std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<std::string, Value> m_values;
    std::vector<Change> m_changes;
    std::map<std::int64_t, std::chrono::steady_clock::time_point> m_leases;
    std::int64_t m_revision = 1;
    std::int64_t m_lastLease = 0;
    StoreFaults m_faults;
    std::mt19937_64 m_random;
    bool m_stopping = false;
    std::atomic<std::uint64_t> m_calls{ 0 };
    std::unique_ptr<LoopbackHttpServer> m_server;
};

} // namespace zinniadock::standin
