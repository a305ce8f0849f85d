#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <mutex>
#include <optional>
#include <string>

#include "zinniadock/request/error.h"
#include "zinniadock/version/configuration.h"

namespace zinniadock
{

/// Enforces the rate and concurrency limits of client accounts at one entry. Each entry enforces its share of the
/// fleet-wide limits.
class AccountLimiter
{
public:
    using Time = std::chrono::steady_clock::time_point;

    /// Sets the number of entry instances that share each limit. \pre entries > 0
    void setEntryCount(std::uint32_t entries);

    /// Admits one request of an account; returns a Failure if a limit is reached. Complexity: logarithmic in the
    /// accounts.
    std::optional<Failure> acquire(const std::string &name, const Account &account, Time now);

    /// Releases the concurrency slot that acquire() took.
    void release(const std::string &name);

private:
    struct State
    {
        double tokens = 0;
        Time refilled;
        std::uint32_t activeRequests = 0;
        bool initialized = false;
    };

    std::mutex m_mutex;
    std::uint32_t m_entries = 1;
    std::map<std::string, State> m_states;
};

/// Limits retries to a share of the requests sent, so that retries don't overload a failing fleet further.
class RetryBudget
{
public:
    /// Records a first attempt, which adds \p ratio retries to the budget, up to \c maxSavedRetries.
    void recordRequest(double ratio);

    /// Consumes one retry of the budget. Returns false if the budget is used up.
    bool takeRetry();

private:
    static constexpr double maxSavedRetries = 20;

    std::mutex m_mutex;
    double m_savedRetries = 5;
};

} // namespace zinniadock
