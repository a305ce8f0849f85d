#include "zinniadock/process/limits/accountlimiter.h"

#include <algorithm>
#include <cmath>

#include "zinniadock/detail/fieldtable.h"

namespace zinniadock
{

namespace
{

// Capacity of an account's token bucket, in seconds of the account's request rate. An idle account may send this burst
// at once.
constexpr double burstSeconds = 1;
constexpr std::chrono::milliseconds concurrencyRetryAfter{ 1000 };

} // namespace

void AccountLimiter::setEntryCount(std::uint32_t entries)
{
    const std::lock_guard lock(m_mutex);
    m_entries = std::max(entries, 1U);
}

std::optional<Failure> AccountLimiter::acquire(const std::string &name, const Account &account, Time now)
{
    const std::lock_guard lock(m_mutex);
    State &state = m_states[name];
    const double rate = account.requestsPerSecond / m_entries;
    const double capacity = std::max(1.0, rate * burstSeconds);
    if (!state.initialized) {
        state = State{ .tokens = capacity, .refilled = now, .activeRequests = 0, .initialized = true };
    }
    const double elapsed = std::chrono::duration<double>(now - state.refilled).count();
    state.tokens = std::min(capacity, state.tokens + elapsed * rate);
    state.refilled = now;
    const std::uint32_t concurrency = std::max(1U, (account.maxConcurrentRequests + m_entries - 1) / m_entries);
    if (state.activeRequests >= concurrency) {
        return Failure{ .code = RequestError::ConcurrencyLimited,
                        .verdict = Verdict::NotRun,
                        .message = "client account \"" + name + "\" has reached its limit of "
                            + std::to_string(concurrency) + " concurrent requests at this entry",
                        .retryAfter = concurrencyRetryAfter };
    }
    if (state.tokens < 1) {
        const auto wait
            = std::chrono::milliseconds(static_cast<std::int64_t>(std::ceil((1 - state.tokens) / rate * 1000)));
        return Failure{ .code = RequestError::RateLimited,
                        .verdict = Verdict::NotRun,
                        .message = "client account \"" + name + "\" has reached its limit of "
                            + detail::formatValue(rate) + " requests per second at this entry",
                        .retryAfter = wait };
    }
    state.tokens -= 1;
    ++state.activeRequests;
    return std::nullopt;
}

void AccountLimiter::release(const std::string &name)
{
    const std::lock_guard lock(m_mutex);
    State &state = m_states[name];
    state.activeRequests -= state.activeRequests > 0 ? 1 : 0;
}

void RetryBudget::recordRequest(double ratio)
{
    const std::lock_guard lock(m_mutex);
    m_savedRetries = std::min(maxSavedRetries, m_savedRetries + ratio);
}

bool RetryBudget::takeRetry()
{
    const std::lock_guard lock(m_mutex);
    if (m_savedRetries < 1) {
        return false;
    }
    m_savedRetries -= 1;
    return true;
}

} // namespace zinniadock
