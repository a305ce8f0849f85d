#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>

#include "zinniadock/process/lengthstatistics.h"

namespace zinniadock
{

/// Size and bounds of one request, for the forecast of its memory.
struct MemoryDemand
{
    std::uint32_t promptTokens = 0;
    std::uint32_t maxTokens = 0; ///< 0 where there is no bound
    std::uint32_t emitted = 0; ///< tokens of output so far
};

/// Mean and spread of the memory that a set of requests will hold at each horizon from now on.
///
/// Kept as a sum over the requests, so that one more request is judged in a time that does not grow with their number.
class MemoryForecast
{
public:
    /// Horizons, in tokens from now: the present, then four to the octave from 16 tokens to 32768.
    static constexpr std::size_t horizonCount = 46;
    using Curve = std::array<double, horizonCount>;

    /// The part of one request in the sum, in blocks.
    struct Part
    {
        std::shared_ptr<LengthClass> lengthClass;
        std::uint32_t emitted = 0; ///< tokens of output when the part was made
        Curve mean{};
        Curve variance{};
        Curve doubt{}; ///< standard error of the mean, common to the requests of a class
    };

    explicit MemoryForecast(std::uint32_t blockTokens);

    /// Computes the part of a request. Complexity: linear in the horizons.
    Part partOf(const MemoryDemand &demand, const std::shared_ptr<LengthClass> &lengthClass) const;

    /// Says whether a part has to be made anew, since its request has grown.
    static bool isStale(const Part &part, std::uint32_t emitted);

    void add(const Part &part);

    /// Removes a part. \pre the same part was added
    void remove(const Part &part);

    /// Says whether the sum with one more part stays within \p usableBlocks at every horizon.
    /// \param quantile  of the normal distribution, by which the spread counts
    /// Complexity: linear in the horizons.
    bool fitsWith(const Part &candidate, double usableBlocks, double quantile) const;

private:
    struct ClassDoubt
    {
        Curve doubt{};
        std::size_t parts = 0;
    };

    void changeDoubt(const Part &part, double sign);

    std::uint32_t m_blockTokens;
    Curve m_mean{};
    Curve m_variance{};
    Curve m_doubtSquares{}; ///< sum over the classes
    std::map<const LengthClass *, ClassDoubt> m_doubts;
    std::size_t m_parts = 0;
};

/// Returns the upper quantile of the normal distribution: the value exceeded with probability \p risk.
/// \pre 0 < risk < 0.5
double normalQuantile(double risk);

} // namespace zinniadock
