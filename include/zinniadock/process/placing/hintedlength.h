#pragma once

namespace zinniadock
{

/// Predicts the output lengths of one route from the callers' estimates and the lengths of ended outputs.
///
/// The estimates are right at the median but inaccurate individually: a caller who expects three times the usual length
/// mostly gets somewhat more than the usual length. The logarithm of the length is modelled as a linear function of the
/// logarithm of the estimate. The function is fitted to the outputs that ended, starting from a prior.
class HintedLengthModel
{
public:
    /// Records a caller's estimate. \pre hint > 0
    void recordHint(double hint);

    /// Records the length of a complete output, and its estimate. \pre hint > 0, length > 0
    void recordOutput(double hint, double length);

    /// Returns the expected output length for an estimate, in tokens, bounded by \p maxTokens.
    /// \pre recordHint() was called; \p maxTokens > 0
    double expectedLength(double hint, double maxTokens) const;

private:
    double m_hintWeight = 0; ///< total weight of the estimates
    double m_logHintMean = 0; ///< mean logarithm of the estimates
    double m_outputWeight = 0; ///< total weight of the ended outputs
    double m_logLengthMean = 0; ///< mean logarithm of the lengths of ended outputs
    double m_outputLogHintMean = 0; ///< mean logarithm of the estimates of ended outputs
    double m_hintSquares = 0; ///< summed squared distances of the logarithms from m_outputLogHintMean
    double m_products = 0; ///< summed products of the distances of both logarithms from their means
    double m_lengthSquares = 0; ///< summed squared distances of the logarithms from m_logLengthMean
};

} // namespace zinniadock
