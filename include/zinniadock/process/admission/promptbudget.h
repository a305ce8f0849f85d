#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>

#include "zinniadock/process/servers/serverdirectory.h"

namespace zinniadock
{

/// The prompt of a generation that an entry has not placed yet.
struct UnplacedPrompt
{
    std::uint32_t priority = 0; ///< prompts with a lower value are read first
    std::uint32_t tokens = 0;
    std::chrono::milliseconds targetLatency{ 0 }; ///< from the arrival to the first event; 0 if not stated
    std::chrono::milliseconds age{ 0 }; ///< time since the arrival
};

/// Returns the unread prompt tokens that an engine may have so that it reads them and \p prompt until the first event
/// of the generation is due. Negative if the time is too short for the prompt alone. \pre the target latency is stated
double tokensUntilDue(const UnplacedPrompt &prompt);

/// Decides how many unread prompt tokens an engine of a pool may have for a generation to be placed there, and how long
/// a generation may wait at the entry for such an engine.
///
/// Engines read prompts in the order of arrival. Without a bound for generations of low priority, their prompts fill
/// the engines, and urgent generations get their first event late behind them.
class PromptBudget
{
public:
    /// Records that a generation has arrived. \pre the age is 0
    void recordArrival(const UnplacedPrompt &prompt, SteadyTime now);

    /// Returns whether generations of different priorities have arrived recently.
    bool isContested(SteadyTime now) const;

    /// Returns whether a generation leaves engines to generations of a higher priority that have arrived recently.
    bool yields(const UnplacedPrompt &prompt, SteadyTime now) const;

    /// Returns the maximum number of unread prompt tokens of an engine on which the generation is placed. It rises with
    /// \p round, the number of rounds of queries before, since the generation asks engines with few unread prompts
    /// first.
    double maxWaitingTokens(const UnplacedPrompt &prompt, std::size_t round, SteadyTime now) const;

    /// Returns the maximum time from the arrival to the placement.
    std::chrono::milliseconds maxWait(const UnplacedPrompt &prompt, SteadyTime now) const;

    /// Returns whether the generation has waited so long that it is placed on any engine that can read its prompt.
    bool isLate(const UnplacedPrompt &prompt, SteadyTime now) const;

private:
    struct Arrivals
    {
        SteadyTime last;
        double tokensUntilDue = 0; ///< mean at the arrival
    };

    const Arrivals *moreUrgentArrivals(std::uint32_t priority, SteadyTime now) const;

    std::map<std::uint32_t, Arrivals> m_arrivals; ///< by priority
};

} // namespace zinniadock
