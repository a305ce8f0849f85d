#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>

#include "zinniadock/process/placing/lengthstatistics.h"

namespace zinniadock
{

/// Size and bounds of one request, for the forecast of its memory.
struct MemoryDemand
{
    std::uint32_t promptTokens = 0;
    std::uint32_t maxTokens = 0; ///< 0 for no bound
    std::uint32_t emitted = 0; ///< tokens of output so far
};

/// Mean and variance of the memory that a set of requests will hold at each horizon from now on.
///
/// The forecast is kept as a sum over the requests, so that the cost of testing one more request does not grow with
/// their number.
class MemoryForecast
{
public:
    /// Horizons, in tokens from now: 0, then four per octave from 16 to 32768 tokens.
    static constexpr std::size_t horizonCount = 46;
    using Curve = std::array<double, horizonCount>;

    /// Mean, variance and standard error of the memory that one request will hold at each horizon, in blocks.
    /// The forecast sums them over all requests.
    struct Contribution
    {
        std::shared_ptr<LengthClass> lengthClass;
        std::uint32_t emitted = 0; ///< tokens of output when the contribution was computed
        Curve mean{};
        Curve variance{};
        Curve standardError{}; ///< of the mean; common to the requests of a class
    };

    explicit MemoryForecast(std::uint32_t blockTokens);

    /// Computes the contribution of a request. Complexity: linear in the horizons.
    Contribution contributionOf(const MemoryDemand &demand, const std::shared_ptr<LengthClass> &lengthClass) const;

    /// Returns whether a contribution must be recomputed, since its request has grown by more than a tolerance.
    static bool isStale(const Contribution &contribution, std::uint32_t emitted);

    void add(const Contribution &contribution);

    /// Removes a contribution. \pre the same contribution was added
    void remove(const Contribution &contribution);

    /// Returns whether the memory of all requests, including \p candidate, fits into \p usableBlocks at every horizon:
    /// the sum of the means plus \p quantile standard deviations is the upper bound of the memory.
    /// \param quantile  quantile of the normal distribution, see normalQuantile()
    /// Complexity: linear in the horizons.
    bool fitsWith(const Contribution &candidate, double usableBlocks, double quantile) const;

private:
    struct ClassStandardError
    {
        Curve standardError{};
        std::size_t contributionCount = 0;
    };

    void updateStandardError(const Contribution &contribution, double sign);

    std::uint32_t m_blockTokens;
    Curve m_mean{};
    Curve m_variance{};
    Curve m_squaredErrors{}; ///< squared standard errors, summed over the classes
    std::map<const LengthClass *, ClassStandardError> m_classErrors;
    std::size_t m_contributionCount = 0;
};

/// Returns the upper quantile of the normal distribution: the value exceeded with probability \p risk.
/// \pre 0 < risk < 0.5
double normalQuantile(double risk);

} // namespace zinniadock
