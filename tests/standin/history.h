#pragma once

#include <chrono>
#include <fstream>
#include <mutex>
#include <string>

#include <nlohmann/json.hpp>

namespace zinniadock::standin
{

/// Appends events to a file as JSON lines. With an empty file name it records nothing. Thread-safe.
class History
{
public:
    explicit History(const std::string &file)
    {
        if (!file.empty()) {
            m_stream.open(file, std::ios::app);
        }
    }

    /// Returns whether events are written to a file.
    bool isRecording() const
    {
        return m_stream.is_open();
    }

    /// Appends one event, with its `time` in microseconds since the epoch.
    void record(nlohmann::json event)
    {
        const std::lock_guard lock(m_mutex);
        if (!m_stream.is_open()) {
            return;
        }
        const auto now = std::chrono::system_clock::now().time_since_epoch();
        event["time"] = std::chrono::duration_cast<std::chrono::microseconds>(now).count();
        m_stream << event.dump() << std::endl;
    }

private:
    std::mutex m_mutex;
    std::ofstream m_stream;
};

} // namespace zinniadock::standin
