#include "zinniadock/process/links/sidecarlinks.h"

#include <utility>

#include "zinniadock/process/links/stampedsend.h"

namespace zinniadock
{

namespace
{

bool isResponse(const LinkMessage &message)
{
    return std::holds_alternative<Started>(message) || std::holds_alternative<Finished>(message)
        || std::holds_alternative<ServiceResponse>(message) || std::holds_alternative<Failed>(message);
}

} // namespace

SidecarLinks::SidecarLinks(LinkHandlers handlers, Timeline &timeline)
    : m_timeline(timeline)
    , m_transport(std::move(handlers))
{
}

std::error_code SidecarLinks::listen(const std::string &address, std::uint16_t port)
{
    return m_transport.listen(address, port);
}

std::uint16_t SidecarLinks::port() const
{
    return m_transport.port();
}

void SidecarLinks::stop()
{
    m_transport.stop();
}

void SidecarLinks::send(LinkId link, const LinkMessage &message)
{
    sendWithClockStamp(m_transport, link, message, m_timeline.clock());
    if (isResponse(message)) {
        const std::lock_guard lock(m_mutex);
        m_linksOwedReport.insert(link);
    }
}

void SidecarLinks::drop(LinkId link)
{
    m_transport.drop(link);
}

void SidecarLinks::registerLink(LinkId link, const std::string &instance)
{
    m_timeline.record(EventKind::LinkUp, { .subject = instance });
    const std::lock_guard lock(m_mutex);
    m_instancesByLink[link] = instance;
    m_linksOwedReport.insert(link);
}

void SidecarLinks::removeLink(LinkId link)
{
    std::string instance;
    {
        const std::lock_guard lock(m_mutex);
        if (const auto node = m_instancesByLink.extract(link)) {
            instance = node.mapped();
        }
    }
    if (!instance.empty()) {
        m_timeline.record(EventKind::LinkDown, { .subject = instance });
    }
}

std::vector<LinkId> SidecarLinks::allLinks() const
{
    const std::lock_guard lock(m_mutex);
    std::vector<LinkId> links;
    for (const auto &[link, instance] : m_instancesByLink) {
        links.push_back(link);
    }
    return links;
}

std::uint32_t SidecarLinks::linkCount() const
{
    const std::lock_guard lock(m_mutex);
    return static_cast<std::uint32_t>(m_instancesByLink.size());
}

std::set<LinkId> SidecarLinks::takeLinksOwedReport()
{
    const std::lock_guard lock(m_mutex);
    return std::exchange(m_linksOwedReport, {});
}

} // namespace zinniadock
