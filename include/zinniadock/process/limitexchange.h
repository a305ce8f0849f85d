#pragma once

#include <memory>
#include <string>

#include "zinniadock/connection/httplistener.h"
#include "zinniadock/process/forwardingservices.h"
#include "zinniadock/process/serverlimiter.h"

namespace zinniadock
{

/// Exchanges the messages by which the entries share the limits of backend servers (see ServerLimiter). Sends nothing
/// while no limit is known. Used only on the network thread.
class LimitExchange : public std::enable_shared_from_this<LimitExchange>
{
public:
    explicit LimitExchange(ForwardingServices &services);

    /// Sends the reports and notices that are due. Called at intervals of some 100 ms.
    void maintain();

    /// Asks for permits, if another report is allowed (ServerLimiter::takeReport()). Waits at most \c reportTimeout.
    Awaitable<void> refresh();

    /// Applies the report of another entry, and responds with permits.
    Awaitable<void> handleReport(std::shared_ptr<HttpConnection> connection, LimitReport report);

private:
    Awaitable<void> askParent();
    Awaitable<void> sendNotice(std::string child);
    Awaitable<std::optional<LimitReply>> sendReport(std::string peer, LimitReport report);
    void updateFleet();

    ForwardingServices &m_services;
    ServerLimiter &m_limiter;
    AsyncCondition m_exchangeEnded;
    bool m_isAsking = false;
};

} // namespace zinniadock
