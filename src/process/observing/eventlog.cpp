#include "zinniadock/process/observing/eventlog.h"

#include <array>
#include <atomic>
#include <cmath>
#include <memory>
#include <thread>

#include <nlohmann/json.hpp>
#include <unistd.h>

#include "zinniadock/process/links/boundedring.h"
#include "zinniadock/process/observing/loglinelimit.h"

namespace zinniadock
{

namespace
{

constexpr std::size_t maxBufferedLines = 1024;
constexpr std::chrono::milliseconds idleWaitTimeout{ 1000 };

// Lines are written in batches, since waking the writer thread costs as much as writing several lines.
constexpr std::chrono::milliseconds batchInterval{ 100 };

LogSubject subjectOf(std::string_view part)
{
    return part == "request" || part == "response" ? LogSubject::Request : LogSubject::Process;
}

std::string toJsonString(std::string_view text)
{
    return nlohmann::json(text).dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

void writeAll(std::string_view text)
{
    while (!text.empty()) {
        const ssize_t written = ::write(STDOUT_FILENO, text.data(), text.size());
        if (written < 0 && errno != EINTR) {
            return;
        }
        text.remove_prefix(written > 0 ? static_cast<std::size_t>(written) : 0);
    }
}

/// Writes queued lines to standard output on a separate thread.
class EventWriter
{
public:
    explicit EventWriter(std::string instance)
        : m_instance(std::move(instance))
        , m_queue(maxBufferedLines)
        , m_thread([this] {
            run();
        })
    {
    }

    ~EventWriter()
    {
        m_stopping = true;
        m_queue.tryPush("");
        m_thread.join();
    }

    EventWriter(const EventWriter &) = delete;
    EventWriter &operator=(const EventWriter &) = delete;

    void push(std::int64_t second, LogSubject subject, std::string line)
    {
        if (!m_lineLimit.tryAcquire(second, subject) || !m_queue.tryPush(std::move(line))) {
            ++m_dropped;
        }
    }

    const std::string &instance() const
    {
        return m_instance;
    }

    std::uint64_t dropped() const
    {
        return m_dropped;
    }

private:
    void run()
    {
        std::uint64_t reportedDrops = 0;
        bool isLastPass = false;
        while (!isLastPass) {
            isLastPass = m_stopping;
            std::string batch;
            for (const std::string &line :
                 m_queue.popAll(isLastPass ? std::chrono::milliseconds(0) : idleWaitTimeout)) {
                batch += line;
            }
            const std::uint64_t dropped = m_dropped;
            if (dropped != reportedDrops) {
                batch += "{\"part\":\"log\",\"event\":\"dropped\",\"lines\":" + std::to_string(dropped - reportedDrops)
                    + "}\n";
                reportedDrops = dropped;
            }
            writeAll(batch);
            if (!m_stopping && !batch.empty()) {
                std::this_thread::sleep_for(batchInterval);
            }
        }
    }

    const std::string m_instance;
    BoundedQueue<std::string> m_queue;
    LogLineLimit m_lineLimit;
    std::atomic<std::uint64_t> m_dropped{ 0 };
    std::atomic<bool> m_stopping{ false };
    std::thread m_thread;
};

std::unique_ptr<EventWriter> writer; // NOLINT: one log per process

} // namespace

LogField::LogField(const char *name, std::string_view text)
    : m_name(name)
    , m_value(toJsonString(text))
{
}

LogField::LogField(const char *name, const std::string &text)
    : LogField(name, std::string_view(text))
{
}

LogField::LogField(const char *name, const char *text)
    : LogField(name, std::string_view(text))
{
}

LogField::LogField(const char *name, std::chrono::milliseconds duration)
    : m_name(name)
    , m_value(std::to_string(duration.count()))
{
}

const char *LogField::name() const
{
    return m_name;
}

const std::string &LogField::value() const
{
    return m_value;
}

std::string LogField::formatNumber(double number)
{
    if (number == std::floor(number) && std::abs(number) < 1e15) {
        return std::to_string(static_cast<std::int64_t>(number));
    }
    return nlohmann::json(number).dump();
}

void startEventLog(const std::string &instance)
{
    writer = std::make_unique<EventWriter>(instance);
}

void stopEventLog()
{
    writer.reset();
}

void logEvent(std::string_view part, std::string_view event, std::initializer_list<LogField> fields)
{
    if (!writer) {
        return;
    }
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    const std::int64_t milliseconds = std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
    std::string line = "{\"at_ms\":" + std::to_string(milliseconds) + ",\"instance\":\"" + writer->instance()
        + "\",\"part\":\"" + std::string(part) + "\",\"event\":\"" + std::string(event) + "\"";
    for (const LogField &field : fields) {
        line += ",\"";
        line += field.name();
        line += "\":";
        line += field.value();
    }
    line += "}\n";
    writer->push(milliseconds / 1000, subjectOf(part), std::move(line));
}

std::uint64_t droppedLogLines()
{
    return writer ? writer->dropped() : 0;
}

} // namespace zinniadock
