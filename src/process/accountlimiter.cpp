#include "zinniadock/process/accountlimiter.h"

#include <algorithm>
#include <cmath>

namespace zinniadock
{

namespace
{

// Seconds of its rate that an idle account may use at once.
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
    const double most = std::max(1.0, rate * burstSeconds);
    if (!state.known) {
        state = State{ .tokens = most, .refilled = now, .active = 0, .known = true };
    }
    const double elapsed = std::chrono::duration<double>(now - state.refilled).count();
    state.tokens = std::min(most, state.tokens + elapsed * rate);
    state.refilled = now;
    const std::uint32_t concurrency = std::max(1U, (account.concurrency + m_entries - 1) / m_entries);
    if (state.active >= concurrency) {
        return Failure{ .code = RequestError::ConcurrencyLimited,
                        .verdict = Verdict::NotRun,
                        .message = "the client account has reached its limit of requests at one time",
                        .retryAfter = concurrencyRetryAfter };
    }
    if (state.tokens < 1) {
        const auto wait
            = std::chrono::milliseconds(static_cast<std::int64_t>(std::ceil((1 - state.tokens) / rate * 1000)));
        return Failure{ .code = RequestError::RateLimited,
                        .verdict = Verdict::NotRun,
                        .message = "the client account has reached its rate of requests",
                        .retryAfter = wait };
    }
    state.tokens -= 1;
    ++state.active;
    return std::nullopt;
}

void AccountLimiter::release(const std::string &name)
{
    const std::lock_guard lock(m_mutex);
    State &state = m_states[name];
    state.active -= state.active > 0 ? 1 : 0;
}

void RetryBudget::recordRequest(double ratio)
{
    const std::lock_guard lock(m_mutex);
    m_saved = std::min(mostSaved, m_saved + ratio);
}

bool RetryBudget::takeRetry()
{
    const std::lock_guard lock(m_mutex);
    if (m_saved < 1) {
        return false;
    }
    m_saved -= 1;
    return true;
}

} // namespace zinniadock
