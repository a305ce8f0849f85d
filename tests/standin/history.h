#pragma once

#include <chrono>
#include <fstream>
#include <mutex>
#include <string>

#include <nlohmann/json.hpp>

namespace zinniadock::standin
{

/// Records events as JSON lines; without a file it records nothing. Thread-safe.
class History
{
public:
    explicit History(const std::string &file)
    {
        if (!file.empty()) {
            m_stream.open(file, std::ios::app);
        }
    }

    bool isRecording() const
    {
        return m_stream.is_open();
    }

    /// Writes one event with the time in microseconds since the epoch.
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
