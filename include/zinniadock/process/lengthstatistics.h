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

    /// Probability of an output longer than each bin edge; edge k stands at 2^(k / binsPerOctave) tokens.
    using Curve = std::array<double, bins + 1>;

    LengthHistogram();

    /// Counts one finished output; each later one takes 1/64 of its weight. Complexity: constant, amortised.
    void add(double tokens);

    /// Returns the number of outputs that count, after ageing; at most 64.
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

/// Says how likely an output that has reached some length is to go on.
class RemainingLength
{
public:
    /// \pre \p forecast outlives this object
    RemainingLength(const LengthForecast &forecast, double emitted);

    /// Returns the probability that the output gets \p more tokens longer.
    ///
    /// The ratio of survivals is blended with the heavy-tail estimate n / (n + more) by the number of outputs seen
    /// that got as far, so a length beyond all experience is still expected to go on for about as long again.
    double survival(double more) const;

private:
    const LengthForecast &m_forecast;
    double m_emitted;
    double m_reached; ///< probability of an output that long
    double m_seen; ///< number of outputs that got as far
};

/// Distribution of the length of an output, and how many outputs it rests on.
class LengthForecast
{
public:
    LengthForecast() = default;

    /// \param curve  survival at the bin edges
    /// \param weight  number of outputs that the curve rests on
    LengthForecast(const LengthHistogram::Curve &curve, double weight);

    /// Returns the probability of an output longer than \p tokens.
    double survival(double tokens) const;

    /// Returns the forecast for an output that has reached \p emitted tokens.
    RemainingLength remaining(double emitted) const;

    double weight() const;
    const LengthHistogram::Curve &curve() const;

    /// Forecast of a geometric length with the given mean, resting on no outputs.
    static LengthForecast ofMean(double tokens);

private:
    LengthHistogram::Curve m_curve{};
    double m_weight = 0;
};

/// Names the outputs that are counted together.
struct LengthClassKey
{
    std::string account;
    std::string route;
    std::string version;

    auto operator<=>(const LengthClassKey &) const = default; // NOLINT(modernize-use-nullptr)
};

/// Forecast of one class, shared with its running requests and renewed as outputs finish.
struct LengthClass
{
    LengthClassKey key;
    LengthHistogram histogram;
    LengthForecast forecast;
};

/// Output-length statistics of a process, with fall-back from account to route to version to a prior.
class LengthStatistics
{
public:
    explicit LengthStatistics(double expectedTokens);

    /// Returns the class of a key with a fresh forecast; creates it on first use.
    /// Beyond \c maxClasses the class of the route stands in. Complexity: logarithmic.
    std::shared_ptr<LengthClass> find(const LengthClassKey &key);

    /// Counts a finished output.
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
