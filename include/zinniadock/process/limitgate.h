#pragma once

#include <string>
#include <vector>

#include "zinniadock/process/serverlimit.h"

namespace zinniadock
{

/// Keeps the limits that backend servers state, and logs each change. Not thread-safe.
class LimitGate
{
public:
    /// Applies the limit fields of a response of a server.
    /// \param values  values of the limit fields, empty if the response has none
    /// \param source  ID of the request to which the server responded
    void observe(const ServerRecord &server, const std::vector<std::string> &values, const std::string &source,
                 SteadyTime now);

    /// Records a request that is sent to a server.
    void recordSent(const ServerRecord &server, SendReason reason);

    const KnownLimits &limits() const;

private:
    void logChange(LimitChange change, const ServerIncarnation &server, std::optional<double> previous) const;

    KnownLimits m_limits;
};

} // namespace zinniadock
