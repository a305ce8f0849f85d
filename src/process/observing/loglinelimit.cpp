#include "zinniadock/process/observing/loglinelimit.h"

namespace zinniadock
{

bool LogLineLimit::tryAcquire(std::int64_t second, LogSubject subject)
{
    if (m_second.exchange(second) != second) {
        m_lines = 0;
    }
    const std::uint32_t limit = subject == LogSubject::Request ? maxRequestLinesPerSecond : maxLinesPerSecond;
    if (m_lines >= limit) {
        return false;
    }
    ++m_lines;
    return true;
}

} // namespace zinniadock
