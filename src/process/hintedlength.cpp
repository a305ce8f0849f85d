#include "zinniadock/process/hintedlength.h"

#include <algorithm>
#include <cmath>

namespace zinniadock
{

namespace
{

/// Outputs by which the prior counts against those that ended, and its line: slope and spread of the logarithm.
constexpr double priorWeight = 12;
constexpr double priorSlope = 0.4;
constexpr double priorVariance = 0.5;

/// Outputs that count at most: older ones lose weight.
constexpr double longestMemory = 400;

} // namespace

void HintedLengthModel::recordHint(double hint)
{
    m_hints = std::min(m_hints + 1, longestMemory);
    m_hintMean += (std::log(hint) - m_hintMean) / m_hints;
}

void HintedLengthModel::recordOutput(double hint, double length)
{
    const double keep = m_weight < longestMemory ? 1 : 1 - 1 / longestMemory;
    m_weight = m_weight * keep + 1;
    const double hintDistance = std::log(hint) - m_endedHintMean;
    const double lengthDistance = std::log(length) - m_lengthMean;
    m_endedHintMean += hintDistance / m_weight;
    m_lengthMean += lengthDistance / m_weight;
    m_hintSquares = m_hintSquares * keep + hintDistance * (std::log(hint) - m_endedHintMean);
    m_products = m_products * keep + hintDistance * (std::log(length) - m_lengthMean);
    m_lengthSquares = m_lengthSquares * keep + lengthDistance * (std::log(length) - m_lengthMean);
}

double HintedLengthModel::expectedLength(double hint, double most) const
{
    const double slope = (m_products + priorWeight * priorSlope) / (m_hintSquares + priorWeight);
    const double residue = std::max(m_lengthSquares - slope * m_products, 0.0);
    const double variance = (residue + priorWeight * priorVariance) / (m_weight + priorWeight);
    const double share = m_weight / (m_weight + priorWeight);
    const double centre = share * m_lengthMean + (1 - share) * m_hintMean;
    const double hintCentre = share * m_endedHintMean + (1 - share) * m_hintMean;
    return std::min(std::exp(centre + slope * (std::log(hint) - hintCentre) + variance / 2), most);
}

} // namespace zinniadock
