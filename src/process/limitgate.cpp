#include "zinniadock/process/limitgate.h"

#include "zinniadock/process/eventlog.h"

namespace zinniadock
{

void LimitGate::observe(const ServerRecord &server, const std::vector<std::string> &values, const std::string &source,
                        SteadyTime now)
{
    const ServerIncarnation incarnation = incarnationOf(server);
    const LimitReading reading = readLimit(values);
    if (!reading.problem.empty() && m_limits.isNewProblem(incarnation, reading.problem, now)) {
        logEvent("limit", "invalid value",
                 { { "server", server.id }, { "id", source }, { "reason", reading.problem } });
    }
    const auto previous = m_limits.find(incarnation);
    logChange(m_limits.observe(incarnation, reading, source, now), incarnation, previous);
}

void LimitGate::recordSent(const ServerRecord &server, SendReason reason)
{
    m_limits.recordSent(incarnationOf(server), reason);
}

const KnownLimits &LimitGate::limits() const
{
    return m_limits;
}

void LimitGate::logChange(LimitChange change, const ServerIncarnation &server, std::optional<double> previous) const
{
    if (change == LimitChange::None) {
        return;
    }
    const KnownLimit &limit = m_limits.all().at(server);
    logEvent("limit", toString(change),
             { { "server", server.id },
               { "per_second", limit.perSecond.value_or(0) },
               { "previous", previous.value_or(0) },
               { "source", limit.source } });
}

} // namespace zinniadock
