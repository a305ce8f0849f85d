#pragma once

namespace zinniadock
{

/// Expected output lengths of one route, from the callers' estimates and what outputs came to.
///
/// Answers the pattern of estimates that are right at the median and far off one by one: a caller who expects thrice
/// the usual length mostly gets somewhat more than the usual one. The logarithm of the length is taken as linear in
/// that of the estimate, and the line is learned from the outputs that ended; before any did, it rests on a prior.
class HintedLengthModel
{
public:
    /// Counts a caller's estimate. \pre hint > 0
    void recordHint(double hint);

    /// Counts an output that ended by itself. \pre hint > 0, length > 0
    void recordOutput(double hint, double length);

    /// Returns the mean length that a hint lets expect, in tokens. \pre asked() was called; \p most > 0
    double expectedLength(double hint, double most) const;

private:
    double m_hints = 0; ///< number of estimates that count
    double m_hintMean = 0; ///< of their logarithms
    double m_weight = 0; ///< number of ended outputs that count
    double m_lengthMean = 0; ///< of the logarithms of their lengths
    double m_endedHintMean = 0;
    double m_hintSquares = 0; ///< summed squared distance from the mean
    double m_products = 0; ///< summed products of both distances
    double m_lengthSquares = 0;
};

} // namespace zinniadock
