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
    std::string statLine;
    std::getline(stat, statLine);
    const std::size_t nameEnd = statLine.rfind(')');
    if (nameEnd == std::string::npos) {
        return usage;
    }
    // The fields are numbered as in proc(5). The process name in parentheses is field 2 and may contain spaces, so
    // parsing starts behind its closing parenthesis, at field 3 (state). Fields 14 and 15 are utime and stime.
    std::istringstream fields(statLine.substr(nameEnd + 2));
    std::string field;
    std::uint64_t ticks = 0;
    constexpr int firstFieldNumber = 3;
    constexpr int userTimeFieldNumber = 14;
    constexpr int systemTimeFieldNumber = 15;
    for (int number = firstFieldNumber; number <= systemTimeFieldNumber && fields >> field; ++number) {
        ticks += number >= userTimeFieldNumber ? std::stoull(field) : 0;
    }
    usage.cpuTime = std::chrono::microseconds(ticks * 1000000 / static_cast<std::uint64_t>(sysconf(_SC_CLK_TCK)));
    std::ifstream statm(directory + "/statm");
    std::uint64_t totalPages = 0;
    std::uint64_t residentPages = 0;
    statm >> totalPages >> residentPages;
    usage.residentBytes = residentPages * static_cast<std::uint64_t>(sysconf(_SC_PAGESIZE));
    return usage;
}

} // namespace zinniadock::load
