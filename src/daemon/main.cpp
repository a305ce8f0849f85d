#include <csignal>
#include <iostream>
#include <thread>

#include <Poco/NumberParser.h>
#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <absl/flags/usage_config.h>
#include <malloc.h>
#include <nlohmann/json.hpp>

#include "forwarding.h"
#include "zinniadock/process/entry.h"
#include "zinniadock/process/exitcode.h"
#include "zinniadock/process/limits/memorychoice.h"
#include "zinniadock/process/observing/adminserver.h"
#include "zinniadock/process/observing/log.h"
#include "zinniadock/process/settings.h"
#include "zinniadock/process/sidecar.h"

ABSL_FLAG(std::string, settings, "", "INI file with the settings of this process");
ABSL_FLAG(bool, check, false, "check the settings and exit");
ABSL_FLAG(bool, reference, false, "print the reference of all settings and exit");

namespace zinniadock
{

namespace
{

using Json = nlohmann::json;

constexpr Log log{ "daemon" };

// Maximum number of malloc arenas. Each arena keeps the peak memory of the threads that used it, so that more
// arenas increase the memory of the process.
constexpr int maxMallocArenas = 4;

// Each allocation of at least this size gets its own mapping, so that the memory of a large body is returned to the
// system when the body is freed. If no threshold is set, it rises with the size of freed allocations.
constexpr int minMappedBytes = 128 * 1024;

/// Receives SIGTERM and SIGINT synchronously. The constructor blocks them in the calling thread and in every thread
/// that it starts later, and ignores SIGPIPE.
class TerminationSignals
{
public:
    TerminationSignals()
    {
        sigemptyset(&m_signals);
        sigaddset(&m_signals, SIGTERM);
        sigaddset(&m_signals, SIGINT);
        pthread_sigmask(SIG_BLOCK, &m_signals, nullptr);
        static_cast<void>(std::signal(SIGPIPE, SIG_IGN));
    }

    /// Blocks until a signal arrives.
    void wait() const
    {
        int signalNumber = 0;
        sigwait(&m_signals, &signalNumber);
    }

    /// Returns whether a signal arrives within a duration.
    bool arrivesWithin(std::chrono::milliseconds duration) const
    {
        const auto seconds = std::chrono::duration_cast<std::chrono::seconds>(duration);
        const std::chrono::nanoseconds remainder = duration - seconds;
        const timespec timeout{ .tv_sec = seconds.count(), .tv_nsec = remainder.count() };
        return sigtimedwait(&m_signals, nullptr, &timeout) > 0;
    }

private:
    sigset_t m_signals{};
};

std::string dump(const Json &document)
{
    return document.dump(2, ' ', false, Json::error_handler_t::replace) + "\n";
}

Json statusOf(const Settings &settings, const Entry &entry)
{
    const EntryStatus status = entry.status();
    const EntryMetrics &metrics = entry.metrics();
    const auto milliseconds = [](std::chrono::microseconds duration) {
        return static_cast<double>(duration.count()) / 1000;
    };
    return Json{ { "role", "entry" },
                 { "instance", settings.daemon.instance },
                 { "data_centre", settings.daemon.dataCentre },
                 { "version", ZINNIADOCK_VERSION },
                 { "revision", status.revision },
                 { "digest", status.digest },
                 { "draining", status.draining },
                 { "store_answers", status.isStoreReachable },
                 { "store_calls", status.storeCalls },
                 { "connections", status.connections },
                 { "entries", status.entryCount },
                 { "links",
                   { { "open", status.links.open },
                     { "down", status.links.down },
                     { "requests", status.links.exchanges },
                     { "reconnects", status.links.reconnects },
                     { "silent", status.links.pingTimeouts },
                     { "resumes", status.links.resumes },
                     { "deltas", status.links.configurationDeltas },
                     { "whole_texts", status.links.fullConfigurations } } },
                 { "requests", metrics.requests.load() },
                 { "completed", metrics.completed.load() },
                 { "failed", metrics.failed.load() },
                 { "refused", metrics.refused.load() },
                 { "retries", metrics.retries.load() },
                 { "cancelled", metrics.cancelled.load() },
                 { "tokens", metrics.tokens.load() },
                 { "first_token_p95_ms", milliseconds(metrics.firstToken.quantile(0.95)) },
                 { "token_gap_p95_ms", milliseconds(metrics.tokenGap.quantile(0.95)) },
                 { "longest_stall_p99_ms", milliseconds(metrics.maxStall.quantile(0.99)) } };
}

Json statusOf(const Settings &settings, const Sidecar &sidecar)
{
    const SidecarStatus status = sidecar.status();
    return Json{ { "role", "sidecar" },
                 { "instance", settings.daemon.instance },
                 { "data_centre", settings.daemon.dataCentre },
                 { "version", ZINNIADOCK_VERSION },
                 { "server", settings.sidecar.server },
                 { "incarnation", status.incarnation },
                 { "revision", status.load.revision },
                 { "draining", status.load.draining },
                 { "backend_answers", status.load.backendAlive },
                 { "running", status.load.running },
                 { "waiting", status.load.waiting },
                 { "used_blocks", status.load.usedBlocks },
                 { "usable_blocks", status.load.totalBlocks },
                 { "preemptions", status.load.preemptions },
                 { "entries", status.load.linkedEntries },
                 { "sessions", status.sessions },
                 { "offers", status.offers },
                 { "refusals", status.refusals },
                 { "resumed", status.resumed },
                 { "adopted", status.adopted },
                 { "tombstones", status.tombstones },
                 { "rejected_frames", status.rejectedFrames } };
}

// Returns nothing if the request id or the time is malformed.
std::optional<TimelineQuery> parseTimelineQuery(const AdminQuery &adminQuery)
{
    TimelineQuery query;
    if (!adminQuery.request.empty()) {
        query.request = RequestId::parse(adminQuery.request);
        if (!query.request) {
            return std::nullopt;
        }
    }
    Poco::UInt64 since = 0;
    const bool isSinceValid
        = adminQuery.since.empty() || Poco::NumberParser::tryParseUnsigned64(adminQuery.since, since);
    query.since.value = since;
    return isSinceValid ? std::optional(query) : std::nullopt;
}

/// Runs a role until a termination signal, then keeps serving for \p lameDuck and drains for up to \p drainTimeout. A
/// signal during \p lameDuck ends that wait; a signal while draining stops the role at once.
template <typename Role>
ExitCode serve(const Settings &settings, Role &role, const TerminationSignals &termination,
               std::chrono::milliseconds lameDuck, std::chrono::milliseconds drainTimeout,
               const std::function<std::string(const AdminQuery &)> &metrics)
{
    if (const std::error_code error = role.start()) {
        log.error("can't listen for requests: " + error.message());
        return ExitCode::Failed;
    }
    const auto status = [&](const AdminQuery &) {
        return dump(statusOf(settings, role));
    };
    const auto drain = [&](const AdminQuery &query) {
        role.drain();
        return status(query);
    };
    const TimelineSource source{ .instance = settings.daemon.instance, .role = settings.daemon.role };
    const auto timeline = [&](const AdminQuery &query) -> std::optional<std::string> {
        const auto parsed = parseTimelineQuery(query);
        return parsed ? std::optional(formatTimeline(role.timeline(), source, *parsed)) : std::nullopt;
    };
    AdminServer admin(settings.daemon.admin, settings.daemon.adminKeyDigest,
                      { { "/status", { .method = "GET", .contentType = "application/json", .run = status } },
                        { "/timeline", { .method = "GET", .contentType = "application/json", .run = timeline } },
                        { "/metrics", { .method = "GET", .contentType = "text/plain; version=0.0.4", .run = metrics } },
                        { "/drain", { .method = "POST", .contentType = "application/json", .run = drain } } });
    if (const std::error_code error = admin.start()) {
        log.error("can't listen on the admin interface " + settings.daemon.admin.text() + ": " + error.message());
        return ExitCode::Failed;
    }
    std::cout << Json{
        { "ready", true }, { "instance", settings.daemon.instance }, { "port", role.port() }, { "admin", admin.port() }
    } << std::endl;
    termination.wait();
    log.info("stopping after a termination signal");
    if constexpr (requires { role.beginStop(drainTimeout); }) {
        role.beginStop(lameDuck + drainTimeout);
    }
    if (lameDuck.count() > 0) {
        termination.arrivesWithin(lameDuck);
    }
    role.drain();
    constexpr std::chrono::milliseconds signalPollInterval{ 100 };
    const auto drainDeadline = std::chrono::steady_clock::now() + drainTimeout;
    bool idle = false;
    while (!idle && std::chrono::steady_clock::now() < drainDeadline
           && !termination.arrivesWithin(std::chrono::milliseconds(0))) {
        idle = role.waitUntilIdle(signalPollInterval);
    }
    admin.stop();
    role.stop();
    log.info(idle ? "stopped with no request in flight" : "stopped with requests in flight");
    return idle ? ExitCode::Done : ExitCode::DrainTimeout;
}

ExitCode run()
{
    if (absl::GetFlag(FLAGS_reference)) {
        std::cout << settingsReference();
        return ExitCode::Done;
    }
    const std::string file = absl::GetFlag(FLAGS_settings);
    if (file.empty()) {
        std::cerr << "zinniadockd: expected --settings FILE; see --help\n";
        return ExitCode::Usage;
    }
    Problems problems;
    const std::string text = readFile(file, problems);
    const Settings settings = problems.empty() ? parseSettings(text, file, problems) : Settings();
    for (const Problem &problem : problems) {
        std::cerr << problem.text() << "\n";
    }
    if (!problems.empty()) {
        return ExitCode::BadInput;
    }
    if (absl::GetFlag(FLAGS_check)) {
        std::cout << file << ": no errors\n";
        return ExitCode::Done;
    }
    mallopt(M_ARENA_MAX, maxMallocArenas); // NOLINT(concurrency-mt-unsafe): no other thread has started
    mallopt(M_MMAP_THRESHOLD, minMappedBytes); // NOLINT(concurrency-mt-unsafe): as above
    if (settings.daemon.interface == "forwarding") {
        static_cast<void>(std::signal(SIGPIPE, SIG_IGN));
        return runForwarding(settings, file);
    }
    const TerminationSignals termination;
    startLog(parseLogLevel(settings.daemon.logLevel).value_or(LogLevel::Info), settings.daemon.instance);
    if (settings.daemon.role == "entry") {
        Entry entry(settings);
        return serve(settings, entry, termination, settings.entry.lameDuck, settings.entry.drainTimeout,
                     [&entry](const AdminQuery &) {
                         std::string text = entry.metrics().prometheusText();
                         appendBudgetMetrics(entry.callerBudget(), text);
                         return text;
                     });
    }
    Sidecar sidecar(settings.daemon, settings.sidecar);
    return serve(settings, sidecar, termination, std::chrono::milliseconds(0), settings.sidecar.drainTimeout,
                 [](const AdminQuery &) {
                     return std::string();
                 });
}

} // namespace

} // namespace zinniadock

int main(int argc, char **argv)
{
    absl::SetProgramUsageMessage(
        "Runs one zinniadock instance: an entry, or the sidecar of a backend server.\n\n"
        "  zinniadockd --settings FILE          run an instance with these settings\n"
        "  zinniadockd --settings FILE --check  check the settings and exit\n"
        "  zinniadockd --reference              print the reference of all settings\n\n"
        "SIGTERM stops gracefully: the lame-duck time, if one is set, is followed by the drain.\n"
        "With the completions interface, a further SIGTERM ends the phase in progress.\n"
        "Exit codes: 0 done, 1 failed, 2 wrong command line, 3 errors in the settings,\n"
        "7 stopped with requests in flight.");
    absl::FlagsUsageConfig usage;
    usage.version_string = [] {
        return std::string("zinniadockd " ZINNIADOCK_VERSION "\n");
    };
    absl::SetFlagsUsageConfig(usage);
    absl::ParseCommandLine(argc, argv);
    return static_cast<int>(zinniadock::run());
}
