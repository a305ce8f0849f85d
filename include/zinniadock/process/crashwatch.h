#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "zinniadock/connection/asynctypes.h"
#include "zinniadock/process/crashreport.h"

namespace zinniadock
{

struct ForwardingServices;

/// Determines whether a server has crashed after the connections of requests to it broke, and reports these requests.
/// A server has crashed if it refuses new connections although it was not draining. A server that is silent,
/// unreachable or accepts connections has not. Used only on the network thread.
class CrashWatch : public std::enable_shared_from_this<CrashWatch>
{
public:
    using Handler = std::function<void(CrashReport)>;

    /// \param handler  gets the report of each crash
    CrashWatch(ForwardingServices &services, Handler handler);

    /// Records that the connection of a request broke before any part of the response arrived, and checks the server.
    void recordBrokenRun(const ServerRecord &server, EndedRun run);

    /// Returns the number of crashes that were reported.
    std::uint64_t crashes() const;

private:
    /// Requests to one server whose connections broke at about the same time.
    struct Suspicion
    {
        Endpoint address;
        SteadyTime at; ///< when the first connection broke
        std::vector<EndedRun> runs;
    };

    Awaitable<void> check(std::string server);
    bool isPlannedEnd(const std::string &server) const;
    void report(const std::string &server, Suspicion suspicion);

    ForwardingServices &m_services;
    const Handler m_handler;
    std::map<std::string, Suspicion> m_suspicions; ///< servers that are being checked, by ID
    std::uint64_t m_crashes = 0;
};

} // namespace zinniadock
