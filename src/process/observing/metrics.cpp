#include "zinniadock/process/observing/metrics.h"

#include <cmath>

namespace zinniadock
{

namespace
{

constexpr int bucketCount = 140; // 20 buckets per decade, each 12% wider than the previous bucket
constexpr double minSeconds = 1e-4;
constexpr double maxSeconds = 1e3;
constexpr int exposedBucketStep = 10; // every tenth bucket boundary is exposed

double seconds(std::chrono::microseconds duration)
{
    return std::chrono::duration<double>(duration).count();
}

void appendCounter(std::string_view name, std::string_view help, std::uint64_t value, std::string &out)
{
    out += "# HELP " + std::string(name) + " " + std::string(help) + "\n# TYPE " + std::string(name) + " counter\n";
    appendMetric(name, value, out);
}

} // namespace

void appendMetric(std::string_view name, std::uint64_t value, std::string &out)
{
    out += std::string(name) + " " + std::to_string(value) + "\n";
}

DurationHistogram::DurationHistogram()
    : m_histogram(Axis(bucketCount, minSeconds, maxSeconds))
{
}

void DurationHistogram::record(std::chrono::microseconds duration)
{
    record(std::vector<std::chrono::microseconds>{ duration });
}

void DurationHistogram::record(const std::vector<std::chrono::microseconds> &durations)
{
    const std::lock_guard lock(m_mutex);
    for (const std::chrono::microseconds duration : durations) {
        m_histogram(std::max(seconds(duration), minSeconds));
        m_sum += seconds(duration);
    }
    m_count += durations.size();
}

std::chrono::microseconds DurationHistogram::quantile(double quantile) const
{
    const std::lock_guard lock(m_mutex);
    const double targetCount = quantile * static_cast<double>(m_count);
    double cumulativeCount = 0;
    for (int bucket = 0; bucket < bucketCount && m_count > 0; ++bucket) {
        cumulativeCount += m_histogram.at(bucket);
        if (cumulativeCount >= targetCount) {
            const double upper = m_histogram.axis().bin(bucket).upper();
            return std::chrono::microseconds(std::llround(upper * 1e6));
        }
    }
    return std::chrono::microseconds(m_count > 0 ? std::llround(maxSeconds * 1e6) : 0);
}

std::uint64_t DurationHistogram::count() const
{
    const std::lock_guard lock(m_mutex);
    return m_count;
}

void DurationHistogram::appendPrometheusText(std::string_view name, std::string_view help, std::string &out) const
{
    const std::lock_guard lock(m_mutex);
    const std::string base(name);
    out += "# HELP " + base + " " + std::string(help) + "\n# TYPE " + base + " histogram\n";
    double cumulativeCount = 0;
    for (int bucket = 0; bucket < bucketCount; ++bucket) {
        cumulativeCount += m_histogram.at(bucket);
        if ((bucket + 1) % exposedBucketStep == 0) {
            out += base + "_bucket{le=\"" + std::to_string(m_histogram.axis().bin(bucket).upper()) + "\"} "
                + std::to_string(std::llround(cumulativeCount)) + "\n";
        }
    }
    out += base + "_bucket{le=\"+Inf\"} " + std::to_string(m_count) + "\n";
    out += base + "_sum " + std::to_string(m_sum) + "\n" + base + "_count " + std::to_string(m_count) + "\n";
}

std::string EntryMetrics::prometheusText() const
{
    std::string out;
    firstToken.appendPrometheusText("zinniadock_first_token_seconds", "Time from a request to its first token.", out);
    tokenGap.appendPrometheusText("zinniadock_token_gap_seconds", "Time between tokens of one generation.", out);
    maxStall.appendPrometheusText("zinniadock_longest_stall_seconds",
                                  "Longest time without a token or event in each generation.", out);
    appendCounter("zinniadock_requests_total", "Requests that arrived.", requests, out);
    appendCounter("zinniadock_completed_total", "Requests that received a complete response.", completed, out);
    appendCounter("zinniadock_failed_total", "Requests that ended without a complete response.", failed, out);
    appendCounter("zinniadock_refused_total", "Requests that were refused and have not run.", refused, out);
    appendCounter("zinniadock_retries_total", "Attempts after the first attempt of a request.", retries, out);
    appendCounter("zinniadock_cancelled_total", "Generations that were cancelled because their caller disconnected.",
                  cancelled, out);
    appendCounter("zinniadock_tokens_total", "Tokens delivered.", tokens, out);
    appendCounter("zinniadock_replays_total",
                  "Calls with an idempotency key that were answered from a recorded outcome.", replays, out);
    return out;
}

} // namespace zinniadock
