#pragma once

#include <functional>
#include <memory>
#include <string>

#include "zinniadock/process/forwardingservices.h"
#include "zinniadock/process/links/sidecarmessages.h"

namespace zinniadock
{

/// Follows the load of one engine by long polling of its sidecar, with one call at a time.
class SidecarFeed : public std::enable_shared_from_this<SidecarFeed>
{
public:
    using ReportHandler = std::function<void(const std::string &server, const EngineLoadReport &report)>;

    SidecarFeed(ForwardingServices &services, std::string server, Endpoint sidecar, ReportHandler onReport);

    void start();
    void stop();

private:
    Awaitable<void> run();

    ForwardingServices &m_services;
    const std::string m_server;
    const Endpoint m_sidecar;
    const ReportHandler m_onReport;
    bool m_stopped = false;
    bool m_isReachable = false;
};

} // namespace zinniadock
