#include "zinniadock/process/retrywindow.h"

namespace zinniadock
{

namespace
{

// Entries may count windows that begin at other moments and know of an entry too few.
constexpr double safety = 0.6;

} // namespace

RetryWindow::RetryWindow(RetryLimits limits)
    : m_limits(limits)
{
}

void RetryWindow::recordRequest(SteadyTime now)
{
    forgetOld(now);
    m_requests.push_back(now);
}

bool RetryWindow::takeRetry(std::uint32_t entries, SteadyTime now)
{
    forgetOld(now);
    const double requests = static_cast<double>(m_requests.size());
    const double allowed = safety * (m_limits.ratio * requests + m_limits.extraRetries / entries);
    if (static_cast<double>(m_repeats.size()) + 1 > allowed) {
        return false;
    }
    m_repeats.push_back(now);
    return true;
}

void RetryWindow::forgetOld(SteadyTime now)
{
    const auto oldest = now - m_limits.window;
    while (!m_requests.empty() && m_requests.front() < oldest) {
        m_requests.pop_front();
    }
    while (!m_repeats.empty() && m_repeats.front() < oldest) {
        m_repeats.pop_front();
    }
}

} // namespace zinniadock
