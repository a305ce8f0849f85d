#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <set>
#include <string>
#include <system_error>
#include <vector>

#include "zinniadock/connection/linkmessage.h"
#include "zinniadock/connection/linktransport.h"
#include "zinniadock/process/observing/timeline.h"

namespace zinniadock
{

/// The links of a sidecar to the entries. Records the entry instance at the other end of each link, and the links to
/// which a load report is due. Thread-safe. Its lock is the last in the lock order, so that a session may call send()
/// while it holds its own lock.
class SidecarLinks
{
public:
    SidecarLinks(LinkHandlers handlers, Timeline &timeline);

    std::error_code listen(const std::string &address, std::uint16_t port);
    std::uint16_t port() const;
    void stop();

    /// Sends a message, preceded by a ClockStamp unless the message is frequent. After a response, a load report is due
    /// on the link.
    void send(LinkId link, const LinkMessage &message);

    void drop(LinkId link);

    /// Records the entry instance at the other end of a link. A load report is due on the link.
    void registerLink(LinkId link, const std::string &instance);

    /// Removes a closed link.
    void removeLink(LinkId link);

    /// Returns the links of all entries.
    std::vector<LinkId> allLinks() const;

    /// Returns the number of links to entries.
    std::uint32_t linkCount() const;

    /// Returns the links that were opened or carried a response since the last call.
    std::set<LinkId> takeLinksOwedReport();

private:
    Timeline &m_timeline;
    mutable std::mutex m_mutex;
    std::map<LinkId, std::string> m_instancesByLink;
    std::set<LinkId> m_linksOwedReport;
    LinkTransport m_transport;
};

} // namespace zinniadock
