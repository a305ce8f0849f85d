#include "zinniadock/process/admission/memoryforecast.h"

#include <algorithm>
#include <cmath>

namespace zinniadock
{

namespace
{

using Curve = MemoryForecast::Curve;

constexpr double negligibleProbability = 1e-4;

// A contribution is recomputed when the output of its request has grown by more than this share of its length, or by
// more than minStaleTokens if that is larger. Until then, the contribution already includes this growth.
constexpr double maxStaleGrowth = 0.06;
constexpr std::uint32_t minStaleTokens = 8;

const Curve &horizons()
{
    static const Curve values = [] {
        constexpr double first = 16;
        constexpr double perOctave = 4;
        Curve result{};
        for (std::size_t i = 1; i < result.size(); ++i) {
            result[i] = first * std::exp2(static_cast<double>(i - 1) / perOctave);
        }
        return result;
    }();
    return values;
}

double staleTolerance(double emitted)
{
    return std::max(emitted * maxStaleGrowth, static_cast<double>(minStaleTokens));
}

} // namespace

double normalQuantile(double risk)
{
    double low = 0;
    double high = 8;
    constexpr int iterations = 40;
    for (int i = 0; i < iterations; ++i) {
        const double middle = (low + high) / 2;
        (std::erfc(middle / std::sqrt(2.0)) / 2 > risk ? low : high) = middle;
    }
    return high;
}

MemoryForecast::MemoryForecast(std::uint32_t blockTokens)
    : m_blockTokens(blockTokens)
{
}

// Computes the memory forecast of one request. The value at a horizon covers the time until the next horizon: it
// combines the survival probability at the start with the length at the end, so that no peak between them is missed.
MemoryForecast::Contribution MemoryForecast::contributionOf(const MemoryDemand &demand,
                                                            const std::shared_ptr<LengthClass> &lengthClass) const
{
    Contribution contribution;
    contribution.lengthClass = lengthClass;
    contribution.emitted = demand.emitted;
    const LengthForecast &forecast = lengthClass->forecast;
    const RemainingLength remaining = forecast.remaining(demand.emitted);
    const double errorScale = 1 / std::sqrt(forecast.weight() + 1);
    const double bound = demand.maxTokens > 0 ? demand.maxTokens : HUGE_VAL;
    const double emitted = demand.emitted;
    const Curve &horizonTokens = horizons();
    for (std::size_t i = 0; i + 1 < horizonCount && emitted + horizonTokens[i] <= bound; ++i) {
        const double alive = i == 0 ? 1 : remaining.survival(horizonTokens[i]);
        if (alive < negligibleProbability) {
            break;
        }
        const double maxLength = std::min(bound, emitted + staleTolerance(emitted) + horizonTokens[i + 1]);
        const double blocks = (demand.promptTokens + maxLength) / m_blockTokens + 1;
        contribution.mean[i] = alive * blocks;
        contribution.variance[i] = alive * (1 - alive) * blocks * blocks;
        contribution.standardError[i] = std::sqrt(alive * (1 - alive)) * blocks * errorScale;
    }
    return contribution;
}

bool MemoryForecast::isStale(const Contribution &contribution, std::uint32_t emitted)
{
    return emitted - contribution.emitted > staleTolerance(contribution.emitted);
}

void MemoryForecast::add(const Contribution &contribution)
{
    ++m_contributionCount;
    for (std::size_t i = 0; i < horizonCount; ++i) {
        m_mean[i] += contribution.mean[i];
        m_variance[i] += contribution.variance[i];
    }
    updateStandardError(contribution, 1);
}

void MemoryForecast::remove(const Contribution &contribution)
{
    --m_contributionCount;
    for (std::size_t i = 0; i < horizonCount; ++i) {
        m_mean[i] -= contribution.mean[i];
        m_variance[i] -= contribution.variance[i];
    }
    updateStandardError(contribution, -1);
    if (m_contributionCount == 0) {
        // Resets the accumulated rounding errors.
        *this = MemoryForecast(m_blockTokens);
    }
}

// The lengths of different requests are independent, so their variances add up. The error of a class's forecast is
// common to the requests of the class, so their standard errors add up.
bool MemoryForecast::fitsWith(const Contribution &candidate, double usableBlocks, double quantile) const
{
    const auto position = m_classErrors.find(candidate.lengthClass.get());
    const Curve *existing = position == m_classErrors.end() ? nullptr : &position->second.standardError;
    for (std::size_t i = 0; i < horizonCount; ++i) {
        const double before = existing == nullptr ? 0 : (*existing)[i];
        const double after = before + candidate.standardError[i];
        const double variance
            = m_variance[i] + candidate.variance[i] + m_squaredErrors[i] - before * before + after * after;
        const double mean = m_mean[i] + candidate.mean[i];
        if (mean + quantile * std::sqrt(std::max(0.0, variance)) > usableBlocks) {
            return false;
        }
    }
    return true;
}

void MemoryForecast::updateStandardError(const Contribution &contribution, double sign)
{
    ClassStandardError &entry = m_classErrors[contribution.lengthClass.get()];
    entry.contributionCount += sign > 0 ? 1 : -1;
    for (std::size_t i = 0; i < horizonCount; ++i) {
        const double before = entry.standardError[i];
        entry.standardError[i] = before + sign * contribution.standardError[i];
        m_squaredErrors[i] += entry.standardError[i] * entry.standardError[i] - before * before;
    }
    if (entry.contributionCount == 0) {
        m_classErrors.erase(contribution.lengthClass.get());
    }
}

} // namespace zinniadock
