#pragma once

#include <vector>

namespace zinniadock
{

/// Memory of a generation at an engine, in tokens.
struct GenerationMemory
{
    double held = 0; ///< now
    double growth = 0; ///< expected until its end
    double maxGrowth = 0; ///< upper bound of the growth
};

/// Returns the largest memory, in tokens, that the generations of an engine and \p candidate may hold together until
/// the candidate ends. All running generations grow by a token in the same time, and none of them ends before.
/// \param fixedTokens  memory in use that belongs to none of them
/// \param unreadTokens  prompt tokens that the engine reads before the candidate's own output grows, including its
/// prompt
/// Complexity: linear in the generations.
double peakTokens(const std::vector<GenerationMemory> &running, const GenerationMemory &candidate, double fixedTokens,
                  double unreadTokens);

} // namespace zinniadock
