#include "zinniadock/process/limits/retrywindow.h"

namespace zinniadock
{

namespace
{

// Factor on the retries that an entry allows. It keeps the entry below its share of the limit, since the windows of the
// entries may begin at different times, and an entry may underestimate the number of entries.
constexpr double safetyFactor = 0.6;

} // namespace

RetryWindow::RetryWindow(RetryLimits limits)
    : m_limits(limits)
{
}

void RetryWindow::recordRequest(SteadyTime now)
{
    removeExpired(now);
    m_requests.push_back(now);
}

bool RetryWindow::takeRetry(std::uint32_t entries, SteadyTime now)
{
    removeExpired(now);
    const double requests = static_cast<double>(m_requests.size());
    const double allowed = safetyFactor * (m_limits.ratio * requests + m_limits.extraRetries / entries);
    if (static_cast<double>(m_retries.size()) + 1 > allowed) {
        return false;
    }
    m_retries.push_back(now);
    return true;
}

void RetryWindow::removeExpired(SteadyTime now)
{
    const auto oldest = now - m_limits.window;
    while (!m_requests.empty() && m_requests.front() < oldest) {
        m_requests.pop_front();
    }
    while (!m_retries.empty() && m_retries.front() < oldest) {
        m_retries.pop_front();
    }
}

} // namespace zinniadock
