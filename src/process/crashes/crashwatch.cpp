#include "zinniadock/process/crashes/crashwatch.h"

#include <boost/algorithm/string/join.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include "zinniadock/process/forwardingservices.h"
#include "zinniadock/process/observing/eventlog.h"
#include "zinniadock/process/placing/routing.h"

namespace zinniadock
{

namespace
{

/// Time in which the connections of the other requests on a crashed server break as well.
constexpr std::chrono::milliseconds collectionTime{ 15 };

constexpr std::chrono::milliseconds probeTimeout{ 300 };

/// Time after which a server is checked on which a run of a suspect was abandoned. It may crash a little later than the
/// connection is closed.
constexpr std::chrono::milliseconds abandonedCheckDelay{ 150 };

/// Max time that a request waits for the check of the server that its connection broke to.
constexpr std::chrono::milliseconds maxCheckWait{ 60 };

/// A server that leaves serves at least this long after its last new request, so that a shorter run was not cut by a
/// planned stop.
constexpr std::chrono::milliseconds minPlannedRun{ 1500 };

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
    , m_checked(services.context)
{
}

void CrashWatch::recordBrokenRun(const ServerRecord &server, EndedRun run)
{
    if (isLeaving(server.id) && run.duration >= minPlannedRun) {
        return;
    }
    const auto found = m_suspicions.find(server.id);
    if (found == m_suspicions.end()) {
        startCheck(server, { std::move(run) }, collectionTime);
    } else if (found->second.runs.size() < maxRuns) {
        found->second.runs.push_back(std::move(run));
    }
}

void CrashWatch::recordAbandonedRun(const ServerRecord &server, EndedRun run, SteadyTime sentAt, AbandonedCheck check)
{
    if (isLeaving(server.id) && run.duration >= minPlannedRun) {
        return;
    }
    m_abandoned.record({ .server = server,
                         .run = std::move(run),
                         .sentAt = sentAt,
                         .abandonedAt = std::chrono::steady_clock::now(),
                         .needsCheck = check != AbandonedCheck::None });
    if (check == AbandonedCheck::Soon && !m_suspicions.contains(server.id)) {
        startCheck(server, {}, abandonedCheckDelay);
    }
}

void CrashWatch::recordGone(const std::string &server)
{
    const ServerRecord *record = m_abandoned.findServer(server);
    if (record && !m_suspicions.contains(server)) {
        startCheck(ServerRecord(*record), {}, std::chrono::milliseconds(0));
    }
}

void CrashWatch::recordAlive(const std::string &server)
{
    m_abandoned.recordAlive(server, std::chrono::steady_clock::now());
}

void CrashWatch::maintain()
{
    for (const ServerRecord &server : m_abandoned.takeDueChecks(std::chrono::steady_clock::now())) {
        if (!m_suspicions.contains(server.id)) {
            startCheck(server, {}, std::chrono::milliseconds(0));
        }
    }
}

void CrashWatch::hasten()
{
    m_abandoned.hasten();
}

void CrashWatch::startCheck(const ServerRecord &server, std::vector<EndedRun> runs, std::chrono::milliseconds delay)
{
    m_suspicions[server.id] = { .server = server, .at = std::chrono::steady_clock::now(), .runs = std::move(runs) };
    asio::co_spawn(
        m_services.context,
        [self = shared_from_this(), id = server.id, delay]() {
            return self->check(id, delay);
        },
        asio::detached);
}

bool CrashWatch::isLeaving(const std::string &server) const
{
    const TrackedServer *tracked = m_services.directory.find(server);
    return !tracked || tracked->isDraining();
}

Awaitable<void> CrashWatch::waitForCheck(std::string server)
{
    const auto self = shared_from_this();
    const auto end = std::chrono::steady_clock::now() + maxCheckWait;
    while (m_suspicions.contains(server) && std::chrono::steady_clock::now() < end) {
        co_await m_checked.wait(maxCheckWait);
    }
}

bool CrashWatch::isChecking() const
{
    return !m_suspicions.empty() || m_abandoned.needsChecks();
}

// A process that has ended no longer listens, so that its host refuses connections. After a broken link, a connection
// is accepted or gets no answer.
Awaitable<void> CrashWatch::check(std::string server, std::chrono::milliseconds delay)
{
    const auto self = shared_from_this();
    co_await sleepFor(delay);
    const Endpoint address = m_suspicions.at(server).server.address;
    const IoError error = co_await m_services.pool.open(m_services.pool.create(address), probeTimeout);
    Suspicion suspicion = std::move(m_suspicions.at(server));
    m_suspicions.erase(server);
    if (error == asio::error::connection_refused) {
        addAbandonedRuns(suspicion);
        report(std::move(suspicion));
    } else {
        exclude(suspicion, error);
    }
    m_checked.notify();
}

void CrashWatch::exclude(const Suspicion &suspicion, const IoError &error)
{
    if (!error) {
        recordAlive(suspicion.server.id);
    }
    if (!suspicion.runs.empty()) {
        logEvent("crash", "excluded",
                 { { "server", suspicion.server.id },
                   { "requests", join(suspicion.runs, requestIdOf) },
                   { "reason", error ? error.message() : "the server accepts connections" } });
    }
}

void CrashWatch::addAbandonedRuns(Suspicion &suspicion)
{
    const std::string &server = suspicion.server.id;
    std::vector<EndedRun> abandoned = m_abandoned.take(server, suspicion.at);
    if (abandoned.empty()) {
        return;
    }
    logEvent("crash", "abandoned runs", { { "server", server }, { "requests", join(abandoned, requestIdOf) } });
    for (EndedRun &run : abandoned) {
        if (suspicion.runs.size() < maxRuns) {
            suspicion.runs.push_back(std::move(run));
            ++m_abandonedCrashRuns;
        }
    }
}

void CrashWatch::report(Suspicion suspicion)
{
    if (suspicion.runs.empty()) {
        return;
    }
    ++m_crashes;
    CrashReport crash{ .id = 0,
                       .server = suspicion.server.id,
                       .at = suspicion.at,
                       .runs = std::move(suspicion.runs),
                       .serverStartTimeMs = suspicion.server.startTimeMs };
    const std::string source = m_services.settings.forwarding.peer.text() + crash.runs.front().requestId;
    crash.id = stableHash(crash.server + source + std::to_string(crash.at.time_since_epoch().count()));
    logEvent("crash", "detected",
             { { "server", crash.server },
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

std::uint64_t CrashWatch::abandonedCrashRuns() const
{
    return m_abandonedCrashRuns;
}

} // namespace zinniadock
