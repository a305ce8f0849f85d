#include "zinniadock/process/admission/memorypeak.h"

#include <algorithm>

namespace zinniadock
{

namespace
{

/// An output may become longer than expected by this factor: callers' estimates are often wrong.
constexpr double growthMargin = 3;

/// Output tokens that a running generation grows by while the engine reads a prompt token.
constexpr double growthPerPromptToken = 0.02;

} // namespace

// Ends of running generations are not counted on, since their lengths are uncertain, and a preemption costs more than
// unused memory.
double peakTokens(const std::vector<GenerationMemory> &running, const GenerationMemory &candidate, double fixedTokens,
                  double unreadTokens)
{
    const double ownGrowth = std::min(growthMargin * candidate.growth, candidate.maxGrowth);
    // output tokens that each running generation adds until the candidate ends
    const double addedTokens = growthPerPromptToken * unreadTokens + ownGrowth;
    double tokens = fixedTokens + candidate.held + ownGrowth;
    for (const GenerationMemory &generation : running) {
        tokens += generation.held + std::min(addedTokens, generation.maxGrowth);
    }
    return tokens;
}

} // namespace zinniadock
