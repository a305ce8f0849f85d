#include "zinniadock/connection/callerbudget.h"

#include <algorithm>
#include <utility>

namespace zinniadock
{

namespace
{

/// A body that arrives more slowly than minPeriodBytes in each period is abandoned. The rate is so low that many
/// clients that share a slow link reach it.
constexpr std::chrono::milliseconds progressPeriod{ 15000 };
constexpr std::size_t minPeriodBytes = 16384;

/// If the budget is used up, a request without progress for this time is abandoned before any other.
constexpr std::chrono::milliseconds standstillTime{ 1000 };

constexpr std::chrono::milliseconds logInterval{ 10000 };

std::size_t indexOf(RefusalCause cause)
{
    return static_cast<std::size_t>(cause);
}

} // namespace

std::string_view toString(RefusalCause cause)
{
    constexpr std::array<std::string_view, refusalCauseCount> names{ "memory", "stalled", "framing", "connections" };
    return names.at(indexOf(cause));
}

std::size_t residentBytes(const std::string &body)
{
    constexpr std::size_t mappedBytes = 131072; // strings of this capacity are mapped each
    return body.capacity() < mappedBytes ? body.capacity() : body.size();
}

BodyProgress::BodyProgress(std::chrono::steady_clock::time_point startedAt)
    : m_lastProgress(startedAt)
    , m_periodStart(startedAt)
{
}

void BodyProgress::record(std::size_t bytes, std::chrono::steady_clock::time_point now)
{
    m_lastProgress = now;
    m_periodBytes += bytes;
}

bool BodyProgress::isTooSlow(std::chrono::steady_clock::time_point now)
{
    if (now - m_lastProgress >= progressPeriod) {
        return true;
    }
    if (now - m_periodStart < progressPeriod) {
        return false;
    }
    const bool isBelowRate = m_periodBytes < minPeriodBytes;
    m_periodStart = now;
    m_periodBytes = 0;
    return isBelowRate;
}

std::chrono::steady_clock::time_point BodyProgress::nextCheck() const
{
    return std::min(m_lastProgress, m_periodStart) + progressPeriod;
}

CallerBudget::CallerBudget(BudgetLimits limits, RefusalLogger logger)
    : m_limits(limits)
    , m_logger(std::move(logger))
{
}

std::size_t CallerBudget::heldBytes() const
{
    const std::lock_guard lock(m_mutex);
    return m_heldBytes;
}

std::uint64_t CallerBudget::refusals(RefusalCause cause) const
{
    const std::lock_guard lock(m_mutex);
    return m_refusals.at(indexOf(cause)).total;
}

void CallerBudget::recordRefusal(RefusalCause cause, std::chrono::steady_clock::time_point now)
{
    std::uint64_t count = 0;
    {
        const std::lock_guard lock(m_mutex);
        RefusalCount &refusals = m_refusals.at(indexOf(cause));
        ++refusals.total;
        ++refusals.sinceLogLine;
        if (!refusals.lastLogLine || now - *refusals.lastLogLine >= logInterval) {
            refusals.lastLogLine = now;
            count = std::exchange(refusals.sinceLogLine, 0);
        }
    }
    if (count > 0 && m_logger) {
        m_logger(cause, count);
    }
}

bool CallerBudget::abandonForConnection()
{
    const std::lock_guard lock(m_mutex);
    BudgetShare *victim = longestStandstill(std::chrono::steady_clock::time_point::max());
    if (victim) {
        abandon(*victim, RefusalCause::Connections);
    }
    return victim != nullptr;
}

bool CallerBudget::hold(BudgetShare &share, std::size_t bytes, std::chrono::steady_clock::time_point now)
{
    const std::lock_guard lock(m_mutex);
    if (!share.m_isListed) {
        share.m_number = ++m_lastNumber;
        share.m_lastProgress = now;
        share.m_isServed = false;
        share.m_isListed = true;
        share.m_position = m_shares.size();
        m_shares.push_back(&share);
    }
    while (bytes > share.m_bytes && !fits(share, bytes)) {
        BudgetShare *victim = longestStandstill(now - standstillTime);
        if (!victim) {
            victim = newestLarge();
            const bool isNewest = victim && bytes > smallRequestBytes && share.m_number > victim->m_number;
            victim = isNewest ? nullptr : victim;
        }
        if (!victim || victim == &share) {
            return false;
        }
        abandon(*victim, RefusalCause::Memory);
    }
    m_heldBytes += bytes - share.m_bytes;
    share.m_bytes = bytes;
    return true;
}

void CallerBudget::recordProgress(BudgetShare &share, std::chrono::steady_clock::time_point now)
{
    const std::lock_guard lock(m_mutex);
    share.m_lastProgress = now;
}

void CallerBudget::startService(BudgetShare &share)
{
    const std::lock_guard lock(m_mutex);
    share.m_isServed = true;
}

void CallerBudget::release(BudgetShare &share)
{
    const std::lock_guard lock(m_mutex);
    remove(share);
}

bool CallerBudget::fits(const BudgetShare &share, std::size_t bytes) const
{
    const std::size_t limit
        = bytes <= smallRequestBytes ? m_limits.totalBytes : m_limits.totalBytes - m_limits.reservedBytes;
    return m_heldBytes - share.m_bytes + bytes <= limit;
}

BudgetShare *CallerBudget::longestStandstill(std::chrono::steady_clock::time_point latest) const
{
    BudgetShare *found = nullptr;
    for (BudgetShare *share : m_shares) {
        const bool isCandidate = !share->m_isServed && share->m_lastProgress <= latest;
        if (isCandidate && (!found || share->m_lastProgress < found->m_lastProgress)) {
            found = share;
        }
    }
    return found;
}

BudgetShare *CallerBudget::newestLarge() const
{
    BudgetShare *found = nullptr;
    for (BudgetShare *share : m_shares) {
        const bool isCandidate = !share->m_isServed && share->m_bytes > smallRequestBytes;
        if (isCandidate && (!found || share->m_number > found->m_number)) {
            found = share;
        }
    }
    return found;
}

void CallerBudget::abandon(BudgetShare &share, RefusalCause cause)
{
    remove(share);
    share.m_abandon(cause);
}

void CallerBudget::remove(BudgetShare &share)
{
    m_heldBytes -= share.m_bytes;
    share.m_bytes = 0;
    if (share.m_isListed) {
        BudgetShare *last = m_shares.back();
        m_shares[share.m_position] = last;
        last->m_position = share.m_position;
        m_shares.pop_back();
        share.m_isListed = false;
    }
}

BudgetShare::BudgetShare(std::shared_ptr<CallerBudget> budget, std::function<void(RefusalCause)> abandon)
    : m_budget(std::move(budget))
    , m_abandon(std::move(abandon))
{
}

BudgetShare::~BudgetShare()
{
    release();
}

bool BudgetShare::hold(std::size_t bytes, std::chrono::steady_clock::time_point now)
{
    return m_budget->hold(*this, bytes, now);
}

void BudgetShare::recordProgress(std::chrono::steady_clock::time_point now)
{
    m_budget->recordProgress(*this, now);
}

void BudgetShare::startService()
{
    m_budget->startService(*this);
}

void BudgetShare::release()
{
    m_budget->release(*this);
}

CallerBudget &BudgetShare::budget()
{
    return *m_budget;
}

} // namespace zinniadock
