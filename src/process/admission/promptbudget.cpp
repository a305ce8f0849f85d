#include "zinniadock/process/admission/promptbudget.h"

#include <algorithm>
#include <array>

#include "zinniadock/process/placing/placement.h"

namespace zinniadock
{

namespace
{

using Milliseconds = std::chrono::duration<double, std::milli>;

/// Share of the time until the first event is due that is planned for reading. The rest covers engines that read more
/// slowly, and the transmission of request and event.
constexpr double readTimeShare = 0.75;

/// Limits of the first rounds of queries, in tokens; each later round uses the last one.
constexpr std::array<double, 3> roundLimits{ 1500, 4500, 9000 };

/// Limit on each engine for a generation that has waited for long, in tokens.
constexpr double lateLimit = 16000;

/// Priorities of which a generation has arrived within this time compete. It is longer than the time between two
/// urgent generations at one of many entries.
constexpr std::chrono::milliseconds recentArrival{ 5000 };

/// Weight of a new arrival in the mean of its priority.
constexpr double arrivalWeight = 0.125;

/// Share of its target latency during which a generation leaves room for more urgent ones on each engine.
constexpr double yieldShare = 0.4;

/// Share of the target latency that a generation may wait at the entry, without and with competing priorities. In
/// competition it may wait longer, as far as an engine without unread prompts still reads its prompt in time.
constexpr double waitShare = 0.5;
constexpr double contestedWaitShare = 0.75;

/// Share of the maximum wait after which lateLimit applies.
constexpr double lateWaitShare = 0.5;

std::chrono::milliseconds share(double part, std::chrono::milliseconds duration)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(part * duration);
}

} // namespace

double tokensUntilDue(const UnplacedPrompt &prompt)
{
    const Milliseconds left = prompt.targetLatency - prompt.age;
    return readTimeShare * promptTokensPerMillisecond * left.count() - prompt.tokens;
}

void PromptBudget::recordArrival(const UnplacedPrompt &prompt, SteadyTime now)
{
    if (prompt.targetLatency.count() <= 0) {
        return;
    }
    const double tokens = tokensUntilDue(prompt);
    const auto [found, isFirst] = m_arrivals.try_emplace(prompt.priority, Arrivals{ now, tokens });
    Arrivals &arrivals = found->second;
    if (now - arrivals.last > recentArrival) {
        arrivals.tokensUntilDue = tokens;
    }
    arrivals.tokensUntilDue += arrivalWeight * (tokens - arrivals.tokensUntilDue);
    arrivals.last = now;
}

// Of several more urgent priorities, the one that leaves the least room counts.
const PromptBudget::Arrivals *PromptBudget::moreUrgentArrivals(std::uint32_t priority, SteadyTime now) const
{
    const Arrivals *strictest = nullptr;
    for (const auto &[other, arrivals] : m_arrivals) {
        const bool competes = other < priority && now - arrivals.last <= recentArrival;
        if (competes && (!strictest || arrivals.tokensUntilDue < strictest->tokensUntilDue)) {
            strictest = &arrivals;
        }
    }
    return strictest;
}

bool PromptBudget::isContested(SteadyTime now) const
{
    return std::count_if(m_arrivals.begin(), m_arrivals.end(),
                         [now](const auto &entry) {
                             return now - entry.second.last <= recentArrival;
                         })
        > 1;
}

// A generation that has no more time left than the more urgent ones does not yield to them.
bool PromptBudget::yields(const UnplacedPrompt &prompt, SteadyTime now) const
{
    const Arrivals *urgent = moreUrgentArrivals(prompt.priority, now);
    return urgent && prompt.age < share(yieldShare, prompt.targetLatency)
        && tokensUntilDue(prompt) > urgent->tokensUntilDue;
}

bool PromptBudget::isLate(const UnplacedPrompt &prompt, SteadyTime now) const
{
    return prompt.age > share(lateWaitShare, maxWait(prompt, now));
}

// While a generation yields, an engine must be able to read a more urgent prompt in time also after this one.
// Afterwards it competes with the more urgent ones, but it may not take an engine further than they would.
double PromptBudget::maxWaitingTokens(const UnplacedPrompt &prompt, std::size_t round, SteadyTime now) const
{
    const double roundLimit = roundLimits.at(std::min(round, roundLimits.size() - 1));
    const bool late = isLate(prompt, now);
    if (!isContested(now) || prompt.targetLatency.count() <= 0) {
        return late ? lateLimit : roundLimit;
    }
    double limit = std::max(tokensUntilDue(prompt), 0.0);
    if (const Arrivals *urgent = moreUrgentArrivals(prompt.priority, now)) {
        limit = yields(prompt, now) ? std::max(urgent->tokensUntilDue - prompt.tokens, 0.0)
                                    : std::min(limit, std::max(urgent->tokensUntilDue, 0.0));
    }
    return std::min(limit, late ? lateLimit : roundLimit);
}

std::chrono::milliseconds PromptBudget::maxWait(const UnplacedPrompt &prompt, SteadyTime now) const
{
    const std::chrono::milliseconds minWait = share(waitShare, prompt.targetLatency);
    if (!isContested(now)) {
        return minWait;
    }
    const Milliseconds readTime(prompt.tokens / (readTimeShare * promptTokensPerMillisecond));
    const auto latestStart = std::chrono::duration_cast<std::chrono::milliseconds>(prompt.targetLatency - readTime);
    return std::clamp(latestStart, minWait, share(contestedWaitShare, prompt.targetLatency));
}

} // namespace zinniadock
