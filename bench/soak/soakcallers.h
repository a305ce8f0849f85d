#pragma once

#include <atomic>
#include <cstdint>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "soakchecker.h"

namespace zinniadock::soak
{

/// Sends one request to an entry on a new connection and returns its outcome.
/// \param entry  IP:port of the entry
Outcome sendSingleRequest(const std::string &entry, const std::string &id, RequestKind kind);

/// Caller threads. Each sends its requests one after another to one entry over a persistent connection, and opens a new
/// connection after a failure or when the entry closes the connection.
class SoakCallers
{
public:
    SoakCallers(std::vector<std::string> entries, std::size_t callerCount, std::uint64_t seed);
    ~SoakCallers();

    SoakCallers(const SoakCallers &) = delete;
    SoakCallers &operator=(const SoakCallers &) = delete;

    /// Stops all callers after their current request and passes all outcomes to the checker.
    void finish(SoakChecker &checker);

private:
    void runCaller(std::size_t caller, std::uint64_t seed);

    const std::vector<std::string> m_entries; ///< IP:port
    std::atomic<bool> m_stopping{ false };
    std::mutex m_mutex;
    std::vector<Outcome> m_outcomes;
    std::vector<std::thread> m_threads;
};

} // namespace zinniadock::soak
