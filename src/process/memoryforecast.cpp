#include "zinniadock/process/memoryforecast.h"

#include <algorithm>
#include <cmath>

namespace zinniadock
{

namespace
{

using Curve = MemoryForecast::Curve;

constexpr double negligible = 1e-4;

// A part is made anew when its request has grown by this share; until then the request counts as that much longer.
constexpr double staleGrowth = 0.06;
constexpr std::uint32_t staleTokens = 8;

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

double allowance(double emitted)
{
    return std::max(emitted * staleGrowth, static_cast<double>(staleTokens));
}

} // namespace

double normalQuantile(double risk)
{
    double low = 0;
    double high = 8;
    constexpr int steps = 40;
    for (int i = 0; i < steps; ++i) {
        const double middle = (low + high) / 2;
        (std::erfc(middle / std::sqrt(2.0)) / 2 > risk ? low : high) = middle;
    }
    return high;
}

MemoryForecast::MemoryForecast(std::uint32_t blockTokens)
    : m_blockTokens(blockTokens)
{
}

// From one horizon to the next a request counts as alive as at the first and as long as at the second, so that no peak
// between them is missed.
MemoryForecast::Part MemoryForecast::partOf(const MemoryDemand &demand,
                                            const std::shared_ptr<LengthClass> &lengthClass) const
{
    Part part;
    part.lengthClass = lengthClass;
    part.emitted = demand.emitted;
    const LengthForecast &forecast = lengthClass->forecast;
    const RemainingLength remaining = forecast.remaining(demand.emitted);
    const double doubtWeight = 1 / std::sqrt(forecast.weight() + 1);
    const double bound = demand.maxTokens > 0 ? demand.maxTokens : HUGE_VAL;
    const double emitted = demand.emitted;
    const Curve &steps = horizons();
    for (std::size_t i = 0; i + 1 < horizonCount && emitted + steps[i] <= bound; ++i) {
        const double alive = i == 0 ? 1 : remaining.survival(steps[i]);
        if (alive < negligible) {
            break;
        }
        const double longest = std::min(bound, emitted + allowance(emitted) + steps[i + 1]);
        const double blocks = (demand.promptTokens + longest) / m_blockTokens + 1;
        part.mean[i] = alive * blocks;
        part.variance[i] = alive * (1 - alive) * blocks * blocks;
        part.doubt[i] = std::sqrt(alive * (1 - alive)) * blocks * doubtWeight;
    }
    return part;
}

bool MemoryForecast::isStale(const Part &part, std::uint32_t emitted)
{
    return emitted - part.emitted > allowance(part.emitted);
}

void MemoryForecast::add(const Part &part)
{
    ++m_parts;
    for (std::size_t i = 0; i < horizonCount; ++i) {
        m_mean[i] += part.mean[i];
        m_variance[i] += part.variance[i];
    }
    changeDoubt(part, 1);
}

void MemoryForecast::remove(const Part &part)
{
    --m_parts;
    for (std::size_t i = 0; i < horizonCount; ++i) {
        m_mean[i] -= part.mean[i];
        m_variance[i] -= part.variance[i];
    }
    changeDoubt(part, -1);
    if (m_parts == 0) {
        // Ends the build-up of rounding errors.
        *this = MemoryForecast(m_blockTokens);
    }
}

// Lengths of different requests are independent, but the error of a class's forecast is common to its requests, so it
// adds up within the class.
bool MemoryForecast::fitsWith(const Part &candidate, double usableBlocks, double quantile) const
{
    const auto position = m_doubts.find(candidate.lengthClass.get());
    const Curve *present = position == m_doubts.end() ? nullptr : &position->second.doubt;
    for (std::size_t i = 0; i < horizonCount; ++i) {
        const double before = present == nullptr ? 0 : (*present)[i];
        const double after = before + candidate.doubt[i];
        const double variance
            = m_variance[i] + candidate.variance[i] + m_doubtSquares[i] - before * before + after * after;
        const double mean = m_mean[i] + candidate.mean[i];
        if (mean + quantile * std::sqrt(std::max(0.0, variance)) > usableBlocks) {
            return false;
        }
    }
    return true;
}

void MemoryForecast::changeDoubt(const Part &part, double sign)
{
    ClassDoubt &entry = m_doubts[part.lengthClass.get()];
    entry.parts += sign > 0 ? 1 : -1;
    for (std::size_t i = 0; i < horizonCount; ++i) {
        const double before = entry.doubt[i];
        entry.doubt[i] = before + sign * part.doubt[i];
        m_doubtSquares[i] += entry.doubt[i] * entry.doubt[i] - before * before;
    }
    if (entry.parts == 0) {
        m_doubts.erase(part.lengthClass.get());
    }
}

} // namespace zinniadock
