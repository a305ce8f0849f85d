#include "zinniadock/process/admission/coldadmission.h"

#include <algorithm>
#include <cmath>

namespace zinniadock
{

namespace
{

/// Lowest limit that is enforced, in requests per second. A lower one would keep an engine from work for minutes.
constexpr double minPerSecond = 0.05;

/// Maximum number of remembered admissions, and of admissions per window.
constexpr std::size_t maxRemembered = 1000;

/// A longer stated cold time is reduced to this.
constexpr std::chrono::minutes maxColdTime{ 60 };

SteadyTime endOf(std::chrono::milliseconds left, SteadyTime now)
{
    return now + std::clamp<std::chrono::milliseconds>(left, std::chrono::milliseconds(0), maxColdTime);
}

} // namespace

void ColdAdmission::learn(const ColdState &state, SteadyTime now)
{
    if (std::isfinite(state.perSecond) && state.perSecond > 0) {
        m_perSecond = std::max(state.perSecond, minPerSecond);
    }
    if (state.sequence > m_sequence) {
        m_sequence = state.sequence;
        m_until = endOf(state.left, now);
    } else if (state.sequence == m_sequence) {
        m_until = std::max(m_until, endOf(state.left, now));
    }
}

void ColdAdmission::observe(std::chrono::milliseconds left, SteadyTime now)
{
    m_until = endOf(left, now);
}

bool ColdAdmission::isCold(SteadyTime now) const
{
    return m_perSecond > 0 && m_until > now;
}

bool ColdAdmission::mayAdmit(SteadyTime now) const
{
    if (!isCold(now)) {
        return true;
    }
    const double allowed = std::clamp(std::floor(m_perSecond), 1.0, double{ maxRemembered });
    const std::chrono::duration<double> window(allowed / m_perSecond);
    const auto recent = std::count_if(m_admitted.begin(), m_admitted.end(), [now, window](SteadyTime at) {
        return now - at < window;
    });
    return static_cast<double>(recent) < allowed;
}

void ColdAdmission::recordAdmitted(SteadyTime now)
{
    m_admitted.push_back(now);
    if (m_admitted.size() > maxRemembered) {
        m_admitted.pop_front();
    }
}

void ColdAdmission::reset()
{
    m_sequence = 0;
    m_until = SteadyTime();
}

} // namespace zinniadock
