#pragma once

#include <algorithm>
#include <chrono>
#include <cmath>
#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace zinniadock::load
{

using Microseconds = std::chrono::microseconds;

/// Collects durations and computes their quantiles. The first quantile after a change sorts the durations.
class DurationSamples
{
public:
    void add(Microseconds value)
    {
        m_values.push_back(value);
        m_sorted = false;
    }

    void add(const DurationSamples &other)
    {
        m_values.insert(m_values.end(), other.m_values.begin(), other.m_values.end());
        m_sorted = false;
    }

    std::size_t count() const
    {
        return m_values.size();
    }

    /// Returns a quantile in milliseconds, or 0 if there are no samples. \pre 0 <= quantile <= 1
    double quantileMilliseconds(double quantile)
    {
        if (m_values.empty()) {
            return 0;
        }
        if (!m_sorted) {
            std::sort(m_values.begin(), m_values.end());
            m_sorted = true;
        }
        const auto maxIndex = static_cast<double>(m_values.size() - 1);
        return static_cast<double>(m_values[static_cast<std::size_t>(std::lround(quantile * maxIndex))].count()) / 1000;
    }

private:
    std::vector<Microseconds> m_values;
    bool m_sorted = false;
};

/// Named results of a benchmark, printed as one `name value` pair per line or written as a JSON object.
class Figures
{
public:
    void add(const std::string &name, double value)
    {
        m_figures.emplace_back(name, value);
    }

    /// Returns the value of the first figure with this name, or nothing if there is none.
    std::optional<double> value(const std::string &name) const;

    void print() const;

    /// Writes the figures to a file as a JSON object. Returns whether the file was written.
    bool write(const std::string &file) const;

private:
    std::vector<std::pair<std::string, double>> m_figures;
};

} // namespace zinniadock::load
