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

/// Asks one entry, at an IP:port, on a connection that is kept while it works, and returns what came.
Outcome ask(const std::string &entry, const std::string &id, RequestKind kind);

/// Callers that ask entries one request after another, on connections that they keep open.
class SoakCallers
{
public:
    SoakCallers(std::vector<std::string> entries, std::size_t callers, std::uint64_t seed);
    ~SoakCallers();

    SoakCallers(const SoakCallers &) = delete;
    SoakCallers &operator=(const SoakCallers &) = delete;

    /// Lets each caller end its request, and hands all outcomes over.
    void finish(SoakChecker &checker);

private:
    void work(std::size_t caller, std::uint64_t seed);

    const std::vector<std::string> m_entries; ///< IP:port
    std::atomic<bool> m_stopping{ false };
    std::mutex m_mutex;
    std::vector<Outcome> m_outcomes;
    std::vector<std::thread> m_threads;
};

} // namespace zinniadock::soak
