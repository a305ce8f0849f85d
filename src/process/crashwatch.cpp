#include "zinniadock/process/crashwatch.h"

#include <boost/algorithm/string/join.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include "zinniadock/process/eventlog.h"
#include "zinniadock/process/forwardingservices.h"
#include "zinniadock/process/routing.h"

namespace zinniadock
{

namespace
{

/// Time in which the connections of the other requests on a crashed server break as well.
constexpr std::chrono::milliseconds collectionTime{ 15 };

constexpr std::chrono::milliseconds probeTimeout{ 300 };

/// Max number of requests in a report. It bounds the size of messages and of memory.
constexpr std::size_t maxRuns = 32;

/// Returns a text for each run, joined by commas.
template <typename TextOf>
std::string join(const std::vector<EndedRun> &runs, TextOf textOf)
{
    std::vector<std::string> texts;
    for (const EndedRun &run : runs) {
        texts.push_back(textOf(run));
    }
    return boost::algorithm::join(texts, ",");
}

std::string requestIdOf(const EndedRun &run)
{
    return run.requestId;
}

std::string promptPartsOf(const EndedRun &run)
{
    return run.promptParts;
}

std::string traitsOf(const EndedRun &run)
{
    std::vector<std::string> texts;
    for (const RequestTrait trait : run.traits) {
        texts.push_back(toText(trait));
    }
    return boost::algorithm::join(texts, "+");
}

} // namespace

CrashWatch::CrashWatch(ForwardingServices &services, Handler handler)
    : m_services(services)
    , m_handler(std::move(handler))
{
}

void CrashWatch::recordBrokenRun(const ServerRecord &server, EndedRun run)
{
    if (isPlannedEnd(server.id)) {
        return;
    }
    const auto [position, isNew] = m_suspicions.try_emplace(server.id);
    Suspicion &suspicion = position->second;
    if (suspicion.runs.size() < maxRuns) {
        suspicion.runs.push_back(std::move(run));
    }
    if (!isNew) {
        return;
    }
    suspicion.address = server.address;
    suspicion.at = std::chrono::steady_clock::now();
    asio::co_spawn(
        m_services.context,
        [self = shared_from_this(), id = server.id]() {
            return self->check(id);
        },
        asio::detached);
}

bool CrashWatch::isPlannedEnd(const std::string &server) const
{
    const TrackedServer *tracked = m_services.directory.find(server);
    return !tracked || tracked->isDraining();
}

// A process that has ended no longer listens, so that its host refuses connections. After a broken link, a connection
// is accepted or gets no answer.
Awaitable<void> CrashWatch::check(std::string server)
{
    const auto self = shared_from_this();
    co_await sleepFor(collectionTime);
    const Endpoint address = m_suspicions.at(server).address;
    IoError error;
    co_await m_services.pool.connect(address, probeTimeout, error);
    Suspicion suspicion = std::move(m_suspicions.at(server));
    m_suspicions.erase(server);
    if (error == asio::error::connection_refused && !isPlannedEnd(server)) {
        report(server, std::move(suspicion));
        co_return;
    }
    logEvent("crash", "excluded",
             { { "server", server },
               { "requests", join(suspicion.runs, requestIdOf) },
               { "reason", error ? error.message() : "the server accepts connections" } });
}

void CrashWatch::report(const std::string &server, Suspicion suspicion)
{
    ++m_crashes;
    CrashReport crash{ .id = 0, .server = server, .at = suspicion.at, .runs = std::move(suspicion.runs) };
    const std::string source = m_services.settings.forwarding.peer.text() + crash.runs.front().requestId;
    crash.id = stableHash(server + source + std::to_string(crash.at.time_since_epoch().count()));
    logEvent("crash", "detected",
             { { "server", server },
               { "requests", join(crash.runs, requestIdOf) },
               { "traits", join(crash.runs, traitsOf) },
               { "prompt_parts", join(crash.runs, promptPartsOf) },
               { "crash", toText(crash.id) } });
    m_handler(std::move(crash));
}

std::uint64_t CrashWatch::crashes() const
{
    return m_crashes;
}

} // namespace zinniadock
