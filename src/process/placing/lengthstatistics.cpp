#include "zinniadock/process/placing/lengthstatistics.h"

#include <algorithm>
#include <cmath>

namespace zinniadock
{

namespace
{

constexpr double maxOutputTokens = 65536;
constexpr double weightGrowthPerOutput = 64.0 / 63.0;
constexpr double rescaleThreshold = 1e12;

// Weight of the parent's forecast in a blended forecast, as an equivalent number of outputs.
constexpr double parentWeight = 4;

// Weight of the heavy-tail estimate in a survival probability, as an equivalent number of outputs that reached the same
// length.
constexpr double heavyTailWeight = 1;

} // namespace

LengthHistogram::LengthHistogram()
    : m_histogram(Axis(bins, 1.0, maxOutputTokens))
{
}

void LengthHistogram::add(double tokens)
{
    const double clamped = std::clamp(tokens, 1.0, maxOutputTokens - 1);
    m_histogram(clamped, boost::histogram::weight(m_nextWeight));
    m_total += m_nextWeight;
    m_nextWeight *= weightGrowthPerOutput;
    if (m_nextWeight > rescaleThreshold) {
        // Each output gets a larger weight than the previous one, which ages old outputs at constant cost. At
        // rescaleThreshold, all weights are scaled down together.
        m_histogram *= 1 / m_nextWeight;
        m_total /= m_nextWeight;
        m_nextWeight = 1;
    }
}

double LengthHistogram::weight() const
{
    return m_total / m_nextWeight * weightGrowthPerOutput;
}

LengthHistogram::Curve LengthHistogram::curve() const
{
    Curve curve{};
    double above = 0;
    for (std::size_t bin = bins; bin-- > 0;) {
        above += m_histogram.at(static_cast<int>(bin));
        curve[bin] = above / m_total;
    }
    return curve;
}

LengthForecast::LengthForecast(const LengthHistogram::Curve &curve, double weight)
    : m_curve(curve)
    , m_weight(weight)
{
}

double LengthForecast::survival(double tokens) const
{
    if (tokens <= 1) {
        return 1;
    }
    const double position = std::log2(tokens) * static_cast<double>(LengthHistogram::binsPerOctave);
    const auto edge = static_cast<std::size_t>(position);
    if (edge >= LengthHistogram::bins) {
        return 0;
    }
    const double fraction = position - static_cast<double>(edge);
    return m_curve[edge] + (m_curve[edge + 1] - m_curve[edge]) * fraction;
}

RemainingLength LengthForecast::remaining(double emitted) const
{
    return { *this, emitted };
}

RemainingLength::RemainingLength(const LengthForecast &forecast, double emitted)
    : m_forecast(forecast)
    , m_emitted(emitted)
    , m_reachProbability(forecast.survival(emitted))
    , m_comparableOutputs(m_reachProbability * forecast.weight())
{
}

double RemainingLength::survival(double more) const
{
    const double base = std::max(m_emitted, 1.0);
    const double heavyTail = base / (base + more);
    const double ratio
        = m_reachProbability > 0 ? m_forecast.survival(m_emitted + more) / m_reachProbability : heavyTail;
    if (m_forecast.weight() <= 0) {
        return m_emitted <= 1 ? ratio : (ratio + heavyTail) / 2;
    }
    return (m_comparableOutputs * ratio + heavyTailWeight * heavyTail) / (m_comparableOutputs + heavyTailWeight);
}

double LengthForecast::weight() const
{
    return m_weight;
}

const LengthHistogram::Curve &LengthForecast::curve() const
{
    return m_curve;
}

LengthForecast LengthForecast::geometric(double tokens)
{
    LengthHistogram::Curve curve{};
    for (std::size_t edge = 0; edge <= LengthHistogram::bins; ++edge) {
        const double length
            = std::exp2(static_cast<double>(edge) / static_cast<double>(LengthHistogram::binsPerOctave));
        curve[edge] = edge == 0 ? 1 : std::exp(-length / tokens);
    }
    return { curve, 0 };
}

LengthStatistics::LengthStatistics(double expectedTokens)
    : m_prior(LengthForecast::geometric(expectedTokens))
{
}

std::shared_ptr<LengthClass> LengthStatistics::find(const LengthClassKey &key)
{
    auto position = m_classes.find(key);
    if (position == m_classes.end()) {
        LengthClassKey stored = key;
        if (m_classes.size() >= maxClasses) {
            stored.account.clear();
        }
        position = m_classes.try_emplace(stored, std::make_shared<LengthClass>()).first;
        position->second->key = stored;
    }
    position->second->forecast = forecastOf(*position->second);
    return position->second;
}

void LengthStatistics::record(const std::shared_ptr<LengthClass> &lengthClass, double tokens)
{
    lengthClass->histogram.add(tokens);
    m_routes[lengthClass->key.route].histogram.add(tokens);
    m_versions[lengthClass->key.version].histogram.add(tokens);
    lengthClass->forecast = forecastOf(*lengthClass);
}

std::size_t LengthStatistics::classCount() const
{
    return m_classes.size();
}

LengthForecast LengthStatistics::blend(const LengthHistogram &own, const LengthForecast &parent) const
{
    const double weight = own.weight();
    if (weight <= 0) {
        return parent;
    }
    LengthHistogram::Curve curve = own.curve();
    for (std::size_t edge = 0; edge < curve.size(); ++edge) {
        curve[edge] = (weight * curve[edge] + parentWeight * parent.curve()[edge]) / (weight + parentWeight);
    }
    return { curve, weight + std::min(parentWeight, parent.weight()) };
}

LengthForecast LengthStatistics::forecastOf(const LengthClass &lengthClass)
{
    const LengthForecast ofVersion = blend(m_versions[lengthClass.key.version].histogram, m_prior);
    const LengthForecast ofRoute = blend(m_routes[lengthClass.key.route].histogram, ofVersion);
    return blend(lengthClass.histogram, ofRoute);
}

} // namespace zinniadock
