#pragma once

#include <chrono>
#include <fstream>
#include <mutex>
#include <string>

namespace zinniadock::review
{

using SteadyTime = std::chrono::steady_clock::time_point;

/// Writes what a case sends, gets and does to a file, with the time since its start. Thread-safe.
class Record
{
public:
    explicit Record(const std::string &path);

    void write(const std::string &text);

    /// Writes a line also to standard output.
    void report(const std::string &text);

    /// Returns a time as seconds since the start.
    std::string seconds(SteadyTime time) const;

private:
    const SteadyTime m_start = std::chrono::steady_clock::now();
    std::mutex m_mutex;
    std::ofstream m_file;
};

} // namespace zinniadock::review
