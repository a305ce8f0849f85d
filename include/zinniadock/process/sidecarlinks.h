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
#include "zinniadock/process/timeline.h"

namespace zinniadock
{

/// The links of a sidecar to the entries: who is at the other end, and who is owed a load report. Thread-safe; its lock
/// is the innermost, so that sessions may send while they hold theirs.
class SidecarLinks
{
public:
    SidecarLinks(LinkHandlers handlers, Timeline &timeline);

    std::error_code listen(const std::string &address, std::uint16_t port);
    std::uint16_t port() const;
    void stop();

    /// Sends a message, after the time where it tells of an event.
    void send(LinkId link, const LinkMessage &message);

    void drop(LinkId link);

    /// Notes the entry instance at the other end of a link.
    void greeted(LinkId link, const std::string &instance);

    /// Forgets a link.
    void closed(LinkId link);

    /// Returns the links of all entries.
    std::vector<LinkId> all() const;

    std::uint32_t count() const;

    /// Returns the links that carried an answer since the last call.
    std::set<LinkId> takeOwedReports();

private:
    Timeline &m_timeline;
    mutable std::mutex m_mutex;
    std::map<LinkId, std::string> m_instances;
    std::set<LinkId> m_reportOwed;
    LinkTransport m_transport;
};

} // namespace zinniadock
