#include "zinniadock/request/engineprobe.h"

#include <memory>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include "zinniadock/process/observing/eventlog.h"
#include "zinniadock/request/generationforward.h"

namespace zinniadock
{

namespace
{

/// Maximum wait for the probes of one request. An engine whose load is not known by then is not used as the target of a
/// move, and gets a new generation only if no engine with a current load has free capacity.
constexpr std::chrono::milliseconds probeTimeout{ 60 };

/// Probes in flight for one request.
struct ProbeRound
{
    explicit ProbeRound(asio::io_context &context)
        : probeEnded(context)
    {
    }

    std::size_t inFlight = 0;
    AsyncCondition probeEnded;
};

Awaitable<void> probe(ForwardingServices &services, std::string server, Endpoint sidecar,
                      std::shared_ptr<ProbeRound> round)
{
    EngineLoadQuery query;
    query.peer = services.settings.forwarding.peer.text();
    const HttpRequest request = makePost(loadQueryTarget, encode(query));
    const CallResult result = co_await call(services.pool, sidecar, request, probeTimeout);
    const auto report = result.succeeded() ? decodeEngineLoadReport(result.body) : std::nullopt;
    if (report) {
        applyLoadReport(services, server, *report);
    }
    --round->inFlight;
    round->probeEnded.notify();
}

} // namespace

void applyLoadReport(ForwardingServices &services, const std::string &server, const EngineLoadReport &report)
{
    if (services.directory.updateLoad(server, report.load, std::chrono::steady_clock::now())) {
        logEvent("server", "leaves",
                 { { "server", server },
                   { "source", "sidecar" },
                   { "leaves_in_ms", report.load.drainTimeLeft.value_or(std::chrono::milliseconds(-1)) },
                   { "running", report.load.running } });
    }
    if (report.load.isDraining) {
        notifyServerDraining(services, server);
    }
    services.capacityChanged.notify();
}

bool usesLoadProbing(const ForwardingServices &services)
{
    return services.directory.servers().size() > maxFollowedServers;
}

Awaitable<void> probeEngines(ForwardingServices &services, PlacementRequest need, std::set<std::string> excluded,
                             std::size_t count)
{
    const auto began = std::chrono::steady_clock::now();
    const RandomSource draw = [&services] {
        return services.randomFraction();
    };
    const auto round = std::make_shared<ProbeRound>(services.context);
    for (const std::string &server :
         enginesToProbe(services.directory, need, excluded, count, maxProbedLoadAge, began, draw)) {
        const Endpoint engine = services.directory.servers().at(server).record.address;
        const Endpoint sidecar{ engine.address, services.settings.forwarding.sidecarPort() };
        ++round->inFlight;
        asio::co_spawn(
            services.context,
            [&services, server, sidecar, round]() {
                return probe(services, server, sidecar, round);
            },
            asio::detached);
    }
    while (round->inFlight > 0 && std::chrono::steady_clock::now() - began < probeTimeout) {
        co_await round->probeEnded.wait(probeTimeout);
    }
}

} // namespace zinniadock
