#include "zinniadock/process/placing/poolspeed.h"

#include <algorithm>

namespace zinniadock
{

namespace
{

/// Ratio of the event times of the slowest and the fastest engine from which on the engines differ. Equal engines
/// differ by less, since the number of generations on an engine changes its event time only a little.
constexpr double minUnevenRatio = 1.6;

/// With fewer engines of known speed, the median says nothing about the pool.
constexpr std::size_t minKnownEngines = 3;

/// Margin of the estimate. Measured event times are means of several events, so single gaps are longer.
constexpr double gapMargin = 1.25;

double median(std::vector<double> &values)
{
    if (values.empty()) {
        return 0;
    }
    const auto middle = values.begin() + static_cast<std::ptrdiff_t>(values.size() / 2);
    std::nth_element(values.begin(), middle, values.end());
    return *middle;
}

double typicalOf(const EventTime &time)
{
    return static_cast<double>(time.typical.count());
}

double slowdownOf(const EventTime &time)
{
    return static_cast<double>(time.high.count()) / typicalOf(time);
}

bool isKnown(const EngineLoad &load)
{
    return load.eventTimes.alone || load.eventTimes.besidePrompt;
}

} // namespace

PoolSpeed::PoolSpeed(const ServerDirectory &directory, const std::string &pool)
{
    std::vector<double> alone;
    std::vector<double> besidePrompt;
    std::vector<double> slowdown;
    for (const auto &[id, server] : directory.servers()) {
        if (server.record.pool != pool || server.isDraining()) {
            continue;
        }
        m_loads.push_back(&server.load);
        const EventTimes &times = server.load.eventTimes;
        if (times.alone) {
            alone.push_back(typicalOf(*times.alone));
            slowdown.push_back(slowdownOf(*times.alone));
        }
        if (times.besidePrompt) {
            besidePrompt.push_back(typicalOf(*times.besidePrompt));
        }
    }
    m_aloneMedian = median(alone);
    m_besidePromptMedian = median(besidePrompt);
    m_slowdownMedian = slowdown.empty() ? 1 : median(slowdown);
    std::size_t known = 0;
    double fastest = 1;
    double slowest = 1;
    for (const EngineLoad *load : m_loads) {
        if (isKnown(*load)) {
            const double relative = relativeEventTime(load->eventTimes);
            fastest = known == 0 ? relative : std::min(fastest, relative);
            slowest = known == 0 ? relative : std::max(slowest, relative);
            ++known;
        }
    }
    m_differs = known >= minKnownEngines && slowest >= minUnevenRatio * fastest;
}

// Returns the event time of an engine relative to the median of its pool.
double PoolSpeed::relativeEventTime(const EventTimes &times) const
{
    if (times.alone) {
        return typicalOf(*times.alone) / m_aloneMedian;
    }
    return times.besidePrompt ? typicalOf(*times.besidePrompt) / m_besidePromptMedian : 1;
}

// An engine may have had no slow period, or read no prompt in one, while it was measured. Therefore the slow periods of
// the pool count as well.
std::optional<std::chrono::microseconds> PoolSpeed::longestGap(const EngineLoad &load, bool readsPrompts) const
{
    const EventTimes &times = load.eventTimes;
    const std::optional<EventTime> &measured = readsPrompts ? times.besidePrompt : times.alone;
    const double poolMedian = readsPrompts ? m_besidePromptMedian : m_aloneMedian;
    if (!measured && poolMedian == 0) {
        return std::nullopt;
    }
    const double typical = measured ? typicalOf(*measured) : poolMedian * relativeEventTime(times);
    const double slowdown = std::max(m_slowdownMedian, times.alone ? slowdownOf(*times.alone) : 1);
    const auto high = measured ? measured->high : std::chrono::microseconds(0);
    return std::max(high, std::chrono::microseconds(static_cast<std::int64_t>(typical * slowdown)));
}

bool PoolSpeed::keepsBound(const EngineLoad &load, bool readsPrompts, std::chrono::milliseconds bound) const
{
    const auto gap = longestGap(load, readsPrompts);
    return gap && gapMargin * *gap <= bound;
}

GapClass PoolSpeed::classify(const EngineLoad &load, std::chrono::milliseconds bound) const
{
    if (keepsBound(load, true, bound)) {
        return GapClass::Always;
    }
    return keepsBound(load, false, bound) ? GapClass::WithoutPrompts : GapClass::Never;
}

std::size_t PoolSpeed::keepingEngines(std::chrono::milliseconds bound) const
{
    return static_cast<std::size_t>(std::count_if(m_loads.begin(), m_loads.end(), [this, bound](const auto *load) {
        return keepsBound(*load, true, bound);
    }));
}

bool PoolSpeed::isUneven(std::chrono::milliseconds bound) const
{
    if (!m_differs || m_besidePromptMedian == 0) {
        return false;
    }
    bool hasKeeping = false;
    bool hasOther = false;
    for (const EngineLoad *load : m_loads) {
        if (isKnown(*load)) {
            const bool keeps = keepsBound(*load, true, bound);
            hasKeeping = hasKeeping || keeps;
            hasOther = hasOther || !keeps;
        }
    }
    return hasKeeping && hasOther;
}

} // namespace zinniadock
