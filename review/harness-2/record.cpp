#include "record.h"

#include <array>
#include <cstdio>
#include <iostream>

namespace zinniadock::review
{

Record::Record(const std::string &path)
    : m_file(path)
{
}

void Record::write(const std::string &text)
{
    const std::string time = seconds(std::chrono::steady_clock::now());
    const std::lock_guard lock(m_mutex);
    m_file << time << ' ' << text << '\n';
}

void Record::report(const std::string &text)
{
    write(text);
    const std::lock_guard lock(m_mutex);
    std::cout << text << std::endl;
}

std::string Record::seconds(SteadyTime time) const
{
    std::array<char, 32> text{};
    std::snprintf(text.data(), text.size(), "%.3f", std::chrono::duration<double>(time - m_start).count());
    return text.data();
}

} // namespace zinniadock::review
