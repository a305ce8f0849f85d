#include "zinniadock/process/servers/enginespeed.h"

#include <algorithm>
#include <vector>

namespace zinniadock
{

namespace
{

/// A sample covers at least this time and this number of events. Reports show events at steps of their interval, so
/// that a shorter sample would vary more than the engine does. A longer one would hide a slow period of about half a
/// second.
constexpr std::chrono::milliseconds minSampleTime{ 200 };
constexpr std::int64_t minSampleEvents = 6;

/// Intervals that have not become a sample after maxSampleTime are discarded, and intervals with a longer break between
/// them than maxSampleBreak do not form a sample together.
constexpr std::chrono::milliseconds maxSampleTime{ 3000 };
constexpr std::chrono::milliseconds maxSampleBreak{ 1500 };

/// Between two reports with a longer interval, prompts may have been read that neither shows.
constexpr std::chrono::milliseconds maxReportInterval{ 400 };

/// More events of one generation between two reports are taken for a fault of the count.
constexpr std::uint32_t maxEventsPerInterval = 100;

/// Samples older than sampleLifetime are removed, but minKeptSamples stay: an idle engine does not change its speed.
constexpr std::chrono::seconds sampleLifetime{ 40 };
constexpr std::size_t minKeptSamples = 40;

/// With fewer samples, the event time counts as unknown. More samples than fit into a slow period are needed, so that
/// the median is not that of a slow period.
constexpr std::size_t minSamples = 15;

/// Above the share of time that engines spend in normal periods, so that the quantile shows the slow periods.
constexpr double highQuantile = 0.95;

// An engine lists a generation in its load report from the first token on. A generation that the report counts but does
// not list has an unread prompt.
bool isReadingPrompt(const EngineLoad &load)
{
    return load.running > load.generations.size() || load.queued > 0;
}

std::chrono::microseconds quantile(std::vector<std::chrono::microseconds> &values, double share)
{
    const auto index = static_cast<std::ptrdiff_t>(share * static_cast<double>(values.size() - 1));
    std::nth_element(values.begin(), values.begin() + index, values.end());
    return values[static_cast<std::size_t>(index)];
}

} // namespace

void EngineSpeed::update(const EngineLoad &load, SteadyTime now)
{
    if (load.startTimeMs != m_startTimeMs) {
        *this = EngineSpeed();
        m_startTimeMs = load.startTimeMs;
    }
    const bool isReading = isReadingPrompt(load);
    const auto interval = std::chrono::duration_cast<std::chrono::microseconds>(now - m_lastReportAt.value_or(now));
    if (interval.count() > 0 && interval <= maxReportInterval && isReading == m_wasReading) {
        Series &series = isReading ? m_besidePrompt : m_alone;
        addInterval(series, load, interval, now);
        if (takeSample(series, now)) {
            (isReading ? m_eventTimes.besidePrompt : m_eventTimes.alone) = summarize(series);
        }
    }
    m_lastReportAt = now;
    m_wasReading = isReading;
    m_lastEvents.clear();
    for (const EngineGeneration &generation : load.generations) {
        m_lastEvents[generation.request] = generation.emittedEvents;
    }
}

void EngineSpeed::addInterval(Series &series, const EngineLoad &load, std::chrono::microseconds interval,
                              SteadyTime now) const
{
    if (series.elapsed > maxSampleTime || now - series.lastIntervalAt > maxSampleBreak) {
        restart(series);
    }
    bool hasStream = false;
    for (const EngineGeneration &generation : load.generations) {
        const auto last = m_lastEvents.find(generation.request);
        const bool isValid = last != m_lastEvents.end() && generation.emittedEvents >= last->second
            && generation.emittedEvents - last->second <= maxEventsPerInterval;
        if (isValid) {
            series.streamTime += interval;
            series.events += generation.emittedEvents - last->second;
            hasStream = true;
        }
    }
    series.elapsed += hasStream ? interval : std::chrono::microseconds(0);
    series.lastIntervalAt = now;
}

void EngineSpeed::restart(Series &series)
{
    series.elapsed = {};
    series.streamTime = {};
    series.events = 0;
}

bool EngineSpeed::takeSample(Series &series, SteadyTime now)
{
    if (series.elapsed < minSampleTime || series.events < minSampleEvents) {
        return false;
    }
    series.samples.push_back({ now, series.streamTime / series.events });
    restart(series);
    while (series.samples.size() > minKeptSamples && now - series.samples.front().measuredAt > sampleLifetime) {
        series.samples.pop_front();
    }
    return true;
}

std::optional<EventTime> EngineSpeed::summarize(const Series &series)
{
    if (series.samples.size() < minSamples) {
        return std::nullopt;
    }
    std::vector<std::chrono::microseconds> values;
    for (const Sample &sample : series.samples) {
        values.push_back(sample.eventTime);
    }
    constexpr double median = 0.5;
    return EventTime{ .typical = quantile(values, median), .high = quantile(values, highQuantile) };
}

const EventTimes &EngineSpeed::eventTimes() const
{
    return m_eventTimes;
}

} // namespace zinniadock
