#pragma once

#include <atomic>
#include <chrono>
#include <cstdint>
#include <mutex>
#include <string>
#include <string_view>
#include <tuple>
#include <vector>

#include <boost/histogram/axis/regular.hpp>
#include <boost/histogram/histogram.hpp>
#include <boost/histogram/storage_adaptor.hpp>

namespace zinniadock
{

/// A histogram of durations on a logarithmic axis from 100 microseconds to 1000 seconds. Thread-safe.
class DurationHistogram
{
public:
    DurationHistogram();

    void record(std::chrono::microseconds duration);
    void record(const std::vector<std::chrono::microseconds> &durations);

    /// Returns the upper bound of the bucket that contains the given quantile; zero if nothing was recorded.
    /// \pre 0 <= quantile <= 1
    std::chrono::microseconds quantile(double quantile) const;

    std::uint64_t count() const;

    /// Appends the histogram to \p out in the Prometheus text format.
    void appendPrometheusText(std::string_view name, std::string_view help, std::string &out) const;

private:
    using Axis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;
    using Histogram = boost::histogram::histogram<std::tuple<Axis>, boost::histogram::dense_storage<double>>;

    mutable std::mutex m_mutex;
    Histogram m_histogram;
    double m_sum = 0;
    std::uint64_t m_count = 0;
};

/// Appends one sample to \p out in the Prometheus text format.
void appendMetric(std::string_view name, std::uint64_t value, std::string &out);

/// Metrics of an entry. Thread-safe.
struct EntryMetrics
{
    DurationHistogram firstToken;
    DurationHistogram tokenGap;
    DurationHistogram maxStall; ///< maximum time per generation in which no token or event arrived
    std::atomic<std::uint64_t> requests{ 0 };
    std::atomic<std::uint64_t> completed{ 0 };
    std::atomic<std::uint64_t> failed{ 0 };
    std::atomic<std::uint64_t> refused{ 0 };
    std::atomic<std::uint64_t> retries{ 0 };
    std::atomic<std::uint64_t> cancelled{ 0 };
    std::atomic<std::uint64_t> tokens{ 0 };
    std::atomic<std::uint64_t> replays{ 0 }; ///< calls with an idempotency key that got a recorded response

    /// Returns all metrics in the Prometheus text format.
    std::string prometheusText() const;
};

} // namespace zinniadock
