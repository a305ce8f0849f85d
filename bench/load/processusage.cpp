#include "processusage.h"

#include <fstream>
#include <sstream>

#include <unistd.h>

namespace zinniadock::load
{

ProcessUsage readUsage(int pid)
{
    ProcessUsage usage;
    const std::string directory = "/proc/" + std::to_string(pid);
    std::ifstream stat(directory + "/stat");
    std::string text;
    std::getline(stat, text);
    const std::size_t end = text.rfind(')');
    if (end == std::string::npos) {
        return usage;
    }
    // After the name in brackets: state is field 3, utime and stime are fields 14 and 15.
    std::istringstream fields(text.substr(end + 2));
    std::string field;
    std::uint64_t ticks = 0;
    constexpr int firstField = 3;
    constexpr int userTime = 14;
    constexpr int systemTime = 15;
    for (int number = firstField; number <= systemTime && fields >> field; ++number) {
        ticks += number >= userTime ? std::stoull(field) : 0;
    }
    usage.cpuTime = std::chrono::microseconds(ticks * 1000000 / static_cast<std::uint64_t>(sysconf(_SC_CLK_TCK)));
    std::ifstream memory(directory + "/statm");
    std::uint64_t total = 0;
    std::uint64_t resident = 0;
    memory >> total >> resident;
    usage.residentBytes = resident * static_cast<std::uint64_t>(sysconf(_SC_PAGESIZE));
    return usage;
}

} // namespace zinniadock::load
