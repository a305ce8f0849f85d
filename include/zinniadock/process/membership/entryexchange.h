#pragma once

#include <memory>
#include <string>

#include "zinniadock/connection/httplistener.h"
#include "zinniadock/process/forwardingservices.h"
#include "zinniadock/process/limits/serverlimiter.h"

namespace zinniadock
{

/// Exchanges the messages by which the entries share the limits of backend servers (see ServerLimiter) and evidence
/// about crashes (see SharedSuspects). After an entry has introduced itself to another one, nothing is sent while no
/// limit and no crash is known. Used only on the network thread.
class EntryExchange : public std::enable_shared_from_this<EntryExchange>
{
public:
    explicit EntryExchange(ForwardingServices &services);

    /// Sends the reports and notices that are due. Called at intervals of some 100 ms.
    void maintain();

    /// Sends the notices about crashes that are due. Called after each change of what this entry knows.
    void sendNotices();

    /// Asks for permits, if another report is allowed (ServerLimiter::takeReport()). Waits at most \c reportTimeout.
    Awaitable<void> refresh();

    /// Applies the report of another entry, and responds with permits.
    Awaitable<void> handleReport(std::shared_ptr<HttpConnection> connection, EntryReport report);

private:
    Awaitable<void> askParent();
    Awaitable<void> sendNotice(std::string peer);
    Awaitable<void> sendLimitNotice(std::string child);
    Awaitable<std::optional<EntryReply>> sendReport(std::string peer, EntryReport report);
    void updateFleet();

    ForwardingServices &m_services;
    ServerLimiter &m_limiter;
    SharedSuspects &m_suspects;
    AsyncCondition m_exchangeEnded;
    bool m_isAsking = false;
};

} // namespace zinniadock
