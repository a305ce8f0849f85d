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

/// Collected durations; sorted when a quantile is asked for.
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

    /// Returns the quantile in milliseconds; 0 without samples.
    double quantileMilliseconds(double quantile)
    {
        if (m_values.empty()) {
            return 0;
        }
        if (!m_sorted) {
            std::sort(m_values.begin(), m_values.end());
            m_sorted = true;
        }
        const auto last = static_cast<double>(m_values.size() - 1);
        return static_cast<double>(m_values[static_cast<std::size_t>(std::lround(quantile * last))].count()) / 1000;
    }

private:
    std::vector<Microseconds> m_values;
    bool m_sorted = false;
};

/// Named numbers, printed one `name value` a line and as JSON.
class Figures
{
public:
    void add(const std::string &name, double value)
    {
        m_figures.emplace_back(name, value);
    }

    /// Returns the first figure of a name; nothing if there is none.
    std::optional<double> value(const std::string &name) const;

    void print() const;

    /// Writes a JSON object; false if the file can't be written.
    bool write(const std::string &file) const;

private:
    std::vector<std::pair<std::string, double>> m_figures;
};

} // namespace zinniadock::load
