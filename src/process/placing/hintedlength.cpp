#include "zinniadock/process/placing/hintedlength.h"

#include <algorithm>
#include <cmath>

namespace zinniadock
{

namespace
{

/// Prior of the linear function that is fitted to the logarithms of hint and output length: its weight as a number of
/// outputs, its slope, and the residual variance of the logarithm of the length.
constexpr double priorWeight = 12;
constexpr double priorSlope = 0.4;
constexpr double priorVariance = 0.5;

/// Maximum total weight of the recorded hints and of the recorded outputs. Beyond it, older values lose weight.
constexpr double maxSampleWeight = 400;

} // namespace

void HintedLengthModel::recordHint(double hint)
{
    m_hintWeight = std::min(m_hintWeight + 1, maxSampleWeight);
    m_logHintMean += (std::log(hint) - m_logHintMean) / m_hintWeight;
}

void HintedLengthModel::recordOutput(double hint, double length)
{
    const double decay = m_outputWeight < maxSampleWeight ? 1 : 1 - 1 / maxSampleWeight;
    m_outputWeight = m_outputWeight * decay + 1;
    const double hintDistance = std::log(hint) - m_outputLogHintMean;
    const double lengthDistance = std::log(length) - m_logLengthMean;
    m_outputLogHintMean += hintDistance / m_outputWeight;
    m_logLengthMean += lengthDistance / m_outputWeight;
    m_hintSquares = m_hintSquares * decay + hintDistance * (std::log(hint) - m_outputLogHintMean);
    m_products = m_products * decay + hintDistance * (std::log(length) - m_logLengthMean);
    m_lengthSquares = m_lengthSquares * decay + lengthDistance * (std::log(length) - m_logLengthMean);
}

double HintedLengthModel::expectedLength(double hint, double maxTokens) const
{
    const double slope = (m_products + priorWeight * priorSlope) / (m_hintSquares + priorWeight);
    const double residualSquares = std::max(m_lengthSquares - slope * m_products, 0.0);
    const double variance = (residualSquares + priorWeight * priorVariance) / (m_outputWeight + priorWeight);
    const double outputShare = m_outputWeight / (m_outputWeight + priorWeight);
    const double meanLogLength = outputShare * m_logLengthMean + (1 - outputShare) * m_logHintMean;
    const double meanLogHint = outputShare * m_outputLogHintMean + (1 - outputShare) * m_logHintMean;
    return std::min(std::exp(meanLogLength + slope * (std::log(hint) - meanLogHint) + variance / 2), maxTokens);
}

} // namespace zinniadock
