#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <tuple>

#include <boost/histogram/axis/regular.hpp>
#include <boost/histogram/histogram.hpp>
#include <boost/histogram/storage_adaptor.hpp>

namespace zinniadock
{

/// Histogram of output lengths on a logarithmic axis, in which old outputs lose weight.
class LengthHistogram
{
public:
    static constexpr std::size_t binsPerOctave = 4;
    static constexpr std::size_t octaves = 16;
    static constexpr std::size_t bins = binsPerOctave * octaves;

    /// Probability of an output longer than each bin edge; edge k is at 2^(k / binsPerOctave) tokens.
    using Curve = std::array<double, bins + 1>;

    LengthHistogram();

    /// Records one finished output. Each later output multiplies its weight by 63/64. Complexity: constant, amortised.
    void add(double tokens);

    /// Returns the total weight of the outputs after ageing; at most 64.
    double weight() const;

    /// Computes the survival curve. \pre weight() > 0. Complexity: linear in the bins.
    Curve curve() const;

private:
    using Axis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;
    using Histogram = boost::histogram::histogram<std::tuple<Axis>, boost::histogram::dense_storage<double>>;

    Histogram m_histogram;
    double m_nextWeight = 1;
    double m_total = 0;
};

class LengthForecast;

/// Distribution of the remaining length of an output that has reached a given length.
class RemainingLength
{
public:
    /// \pre \p forecast outlives this object
    RemainingLength(const LengthForecast &forecast, double emitted);

    /// Returns the probability that the output grows by more than \p more tokens.
    ///
    /// Blends the ratio survival(n + more) / survival(n) of the forecast with the heavy-tail estimate n / (n + more),
    /// where n is the emitted length. The weight of the ratio is the number of recorded outputs that reached length n.
    /// An output longer than any recorded one therefore grows to at least twice its length with a probability near 1/2.
    /// Without recorded outputs, both have the same weight, except at n <= 1, where the ratio is used alone.
    double survival(double more) const;

private:
    const LengthForecast &m_forecast;
    double m_emitted;
    double m_reachProbability; ///< probability that an output reaches the emitted length
    double m_comparableOutputs; ///< weight of the recorded outputs that reached the emitted length
};

/// Distribution of the length of an output, and the number of outputs that it is based on.
class LengthForecast
{
public:
    LengthForecast() = default;

    /// \param curve  survival at the bin edges
    /// \param weight  number of outputs that the curve is based on
    LengthForecast(const LengthHistogram::Curve &curve, double weight);

    /// Returns the probability of an output longer than \p tokens.
    double survival(double tokens) const;

    /// Returns the forecast for an output that has reached \p emitted tokens.
    RemainingLength remaining(double emitted) const;

    double weight() const;
    const LengthHistogram::Curve &curve() const;

    /// Returns the forecast for a geometric distribution of lengths with the given mean, based on no outputs.
    static LengthForecast geometric(double tokens);

private:
    LengthHistogram::Curve m_curve{};
    double m_weight = 0;
};

/// Identifies the outputs that are recorded in one histogram.
struct LengthClassKey
{
    std::string account;
    std::string route;
    std::string version;

    auto operator<=>(const LengthClassKey &) const = default; // NOLINT(modernize-use-nullptr)
};

/// Forecast of one class. It is shared with the running requests of the class and updated as outputs finish.
struct LengthClass
{
    LengthClassKey key;
    LengthHistogram histogram;
    LengthForecast forecast;
};

/// Output-length statistics of a process. The forecast of a class blends its outputs with the forecast of its route,
/// that of its version, and a prior. The fewer outputs a class has, the more the others count.
class LengthStatistics
{
public:
    explicit LengthStatistics(double expectedTokens);

    /// Returns the class of a key with an up-to-date forecast; creates the class on first use. Beyond \c maxClasses,
    /// the new keys of a route and version share one class for all accounts. Complexity: logarithmic.
    std::shared_ptr<LengthClass> find(const LengthClassKey &key);

    /// Records a finished output.
    void record(const std::shared_ptr<LengthClass> &lengthClass, double tokens);

    std::size_t classCount() const;

private:
    static constexpr std::size_t maxClasses = 4096;

    struct Node
    {
        LengthHistogram histogram;
    };

    LengthForecast blend(const LengthHistogram &own, const LengthForecast &parent) const;
    LengthForecast forecastOf(const LengthClass &lengthClass);

    LengthForecast m_prior;
    std::map<std::string, Node> m_versions;
    std::map<std::string, Node> m_routes;
    std::map<LengthClassKey, std::shared_ptr<LengthClass>> m_classes;
};

} // namespace zinniadock
