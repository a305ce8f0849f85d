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

/// Holds the rate and concurrency limits of client accounts at one entry, as its share of the fleet's.
class AccountLimiter
{
public:
    using Time = std::chrono::steady_clock::time_point;

    /// Sets the number of entries that share each limit. \pre entries > 0
    void setEntryCount(std::uint32_t entries);

    /// Takes one request of an account; a Failure where a limit is reached. Complexity: logarithmic in the accounts.
    std::optional<Failure> acquire(const std::string &name, const Account &account, Time now);

    /// Gives back the concurrency that enter() took.
    void release(const std::string &name);

private:
    struct State
    {
        double tokens = 0;
        Time refilled;
        std::uint32_t active = 0;
        bool known = false;
    };

    std::mutex m_mutex;
    std::uint32_t m_entries = 1;
    std::map<std::string, State> m_states;
};

/// Allows retries in proportion to the requests sent, so that a failing fleet is not loaded further by them.
class RetryBudget
{
public:
    /// Counts a first attempt; \p ratio is the number of retries that it allows.
    void recordRequest(double ratio);

    /// Takes one retry; false if the budget is used up.
    bool takeRetry();

private:
    static constexpr double mostSaved = 20;

    std::mutex m_mutex;
    double m_saved = 5;
};

} // namespace zinniadock
