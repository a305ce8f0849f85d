#include "zinniadock/process/settings.h"

#include <array>

#include "zinniadock/process/observing/log.h"

namespace zinniadock
{

namespace
{

using detail::fieldRule;
using detail::Range;
using detail::spanOf;

constexpr Range anyText{ 1, 256 };
constexpr Range optionalText{ 0, 256 };
constexpr Range milliseconds{ 1, 604800000 };
constexpr Range optionalMilliseconds{ 0, 604800000 };

constexpr std::array daemonRules{
    fieldRule<&DaemonSection::role>("role", true, anyText, "entry or sidecar", "Role of this process."),
    fieldRule<&DaemonSection::interface>(
        "interface", false, anyText, "completions or forwarding",
        "Protocol of callers and backend servers; forwarding is the platform's own interface."),
    fieldRule<&DaemonSection::instance>("instance", true, anyText, "a name",
                                        "Name of this instance in logs and reports."),
    fieldRule<&DaemonSection::dataCentre>("data_centre", true, anyText, "the name of a data centre",
                                          "Data centre of this instance."),
    fieldRule<&DaemonSection::logLevel>("log_level", false, anyText, "debug, info, warning or error",
                                        "Minimum level of logged messages."),
    fieldRule<&DaemonSection::admin>("admin", true, Range{}, "IP:port",
                                     "Listen address of the admin interface; port 0 selects a free port."),
    fieldRule<&DaemonSection::memoryMb>("memory_mb", false, Range{ 0, 1048576 }, "MiB from 0 to 1048576",
                                        "Memory of this instance; 0 if it is not known."),
    fieldRule<&DaemonSection::maxDescriptors>("max_descriptors", false, Range{ 0, 1048576 },
                                              "a whole number from 0 to 1048576",
                                              "Maximum number of open descriptors of this instance, if it is less than "
                                              "the system states; 0 if it is not known."),
    fieldRule<&DaemonSection::adminKeyDigest>(
        "admin_key_digest", false, Range{ 64, 64 }, "a SHA-256, 64 hexadecimal digits",
        "Digest of the key that the admin interface requires; if not set, no key is required."),
};

constexpr std::array storeRules{
    fieldRule<&StoreSection::endpoint>("endpoint", true, Range{}, "IP:port", "The platform's key-value service."),
    fieldRule<&StoreSection::prefix>("prefix", false, anyText, "a key prefix",
                                     "Prefix of every key that this deployment writes."),
    fieldRule<&StoreSection::timeout>("timeout_ms", false, milliseconds, "milliseconds from 1 to 604800000",
                                      "Timeout of a call to the store."),
    fieldRule<&StoreSection::claimRetention>("claim_retention_ms", false, milliseconds,
                                             "milliseconds from 1 to 604800000",
                                             "How long the outcome of a call with an idempotency key is kept."),
};

constexpr std::array entryRules{
    fieldRule<&EntrySection::listen>("listen", true, Range{}, "IP:port",
                                     "Listen address for callers; port 0 selects a free port."),
    fieldRule<&EntrySection::peers>(
        "peers", false, Range{ 0, 1000 }, "IP:port of sidecars, separated by commas",
        "Sidecars that supply the configuration if the entry starts while the store is down."),
    fieldRule<&EntrySection::maxConnections>("max_connections", false, Range{ 1, 65536 },
                                             "a whole number from 1 to 65536",
                                             "Maximum number of concurrent connections from callers."),
    fieldRule<&EntrySection::callerMemoryMb>(
        "caller_memory_mb", false, Range{ 0, 1048576 }, "MiB from 0 to 1048576",
        "Maximum memory for requests that callers have sent and that are not yet served; at least 8.04. 0 selects a "
        "quarter of memory_mb, or 24 if that is not known."),
    fieldRule<&EntrySection::maxBodyBytes>("max_body_bytes", false, Range{ 1024, 4194304 },
                                           "bytes from 1024 to 4194304", "Maximum size of a request body."),
    fieldRule<&EntrySection::readTimeout>("read_timeout_ms", false, milliseconds, "milliseconds from 1 to 604800000",
                                          "Timeout for receiving a complete request."),
    fieldRule<&EntrySection::lameDuck>("lame_duck_ms", false, optionalMilliseconds, "milliseconds from 0 to 604800000",
                                       "How long a stopping entry still accepts requests, while /health returns 503."),
    fieldRule<&EntrySection::drainTimeout>("drain_timeout_ms", false, milliseconds, "milliseconds from 1 to 604800000",
                                           "Maximum time that a graceful stop waits for requests in flight."),
};

constexpr std::array sidecarRules{
    fieldRule<&SidecarSection::server>("server", true, anyText, "the name of a [server] object",
                                       "Name of the backend server beside this process."),
    fieldRule<&SidecarSection::kind>("kind", true, anyText, "engine or service", "Kind of the backend server."),
    fieldRule<&SidecarSection::listen>("listen", true, Range{}, "IP:port",
                                       "Listen address for entries; port 0 selects a free port."),
    fieldRule<&SidecarSection::backend>("backend", true, Range{}, "IP:port", "Address of the backend server."),
    fieldRule<&SidecarSection::maxRunning>("max_running", false, Range{ 1, 4096 }, "a whole number from 1 to 4096",
                                           "Maximum number of concurrently running requests."),
    fieldRule<&SidecarSection::maxWaiting>("max_waiting", false, Range{ 0, 65536 }, "a whole number from 0 to 65536",
                                           "Maximum number of queued requests."),
    fieldRule<&SidecarSection::connectTimeout>("connect_timeout_ms", false, milliseconds,
                                               "milliseconds from 1 to 604800000",
                                               "Timeout for connecting to the backend server."),
    fieldRule<&SidecarSection::silenceTimeout>("silence_timeout_ms", false, milliseconds,
                                               "milliseconds from 1 to 604800000",
                                               "Maximum time without data from the backend server."),
    fieldRule<&SidecarSection::orphanTimeout>("orphan_timeout_ms", false, milliseconds,
                                              "milliseconds from 1 to 604800000",
                                              "How long a request continues to run without a link to its entry."),
    fieldRule<&SidecarSection::drainTimeout>("drain_timeout_ms", false, milliseconds,
                                             "milliseconds from 1 to 604800000",
                                             "Maximum time that a graceful stop waits for requests in flight."),
};

constexpr std::array forwardingRules{
    fieldRule<&ForwardingSection::ready>("ready", false, Range{}, "IP:port",
                                         "Listen address for readiness checks of the platform."),
    fieldRule<&ForwardingSection::peer>("peer", false, Range{}, "IP:port",
                                        "Listen address for configuration requests of other entries."),
    fieldRule<&ForwardingSection::seeds>(
        "seeds", false, Range{ 0, 1000 }, "IP:port of entries, separated by commas",
        "Peer addresses of some entries: other entries request the configuration from them while the store is "
        "unavailable, and sidecars announce their engine to them."),
    fieldRule<&ForwardingSection::pool>("pool", false, optionalText, "the name of a pool",
                                        "Pool of the engine beside a sidecar."),
    fieldRule<&ForwardingSection::port>(
        "sidecar_port", true, Range{ 1, 65535 }, "a port from 1 to 65535",
        "Port on which every sidecar listens, at the IP address of its backend server."),
    fieldRule<&ForwardingSection::retryRatio>("retry_ratio", false, Range{ 0, 10 }, "a number from 0 to 10",
                                              "Maximum ratio of retries to requests in a window, over all entries."),
    fieldRule<&ForwardingSection::retrySlack>(
        "retry_slack", false, Range{ 0, 100000 }, "a number from 0 to 100000",
        "Retries that are allowed in a window in addition to the ratio, over all entries."),
    fieldRule<&ForwardingSection::retryWindowSeconds>("retry_window_s", false, Range{ 0.1, 3600 },
                                                      "seconds from 0.1 to 3600",
                                                      "Window over which retries are counted."),
    fieldRule<&ForwardingSection::drainWithin>(
        "drain_within_ms", false, Range{ 100, 600000 }, "milliseconds from 100 to 600000",
        "A server that the store marks as draining gets no new requests after this time."),
    fieldRule<&ForwardingSection::configurationWithin>(
        "configuration_within_ms", false, Range{ 100, 600000 }, "milliseconds from 100 to 600000",
        "A configuration that the store has accepted is in force after this time."),
    fieldRule<&ForwardingSection::evacuationWithin>(
        "evacuation_within_ms", false, Range{ 100, 600000 }, "milliseconds from 100 to 600000",
        "Servers of a data centre that the store marks as evacuated get no requests after this time."),
    fieldRule<&ForwardingSection::capacity>(
        "capacity", false, Range{ 0.001, 1024 }, "a number from 0.001 to 1024",
        "Number of processors of this instance; the instances with the most processors read the store for the others."),
    fieldRule<&ForwardingSection::stopWithinSeconds>(
        "stop_within_s", false, Range{ 0.5, 3600 }, "seconds from 0.5 to 3600",
        "Time from the request to stop until the platform kills the process."),
    fieldRule<&ForwardingSection::gapPlacement>("gap_placement", false, Range{ 0, 1 }, "0 or 1",
                                                "1: if the engines of a pool differ in speed, long streams with a "
                                                "bound on gaps prefer engines that keep it. 0: "
                                                "the placement depends on the load only."),
    fieldRule<&ForwardingSection::gapMoves>(
        "gap_moves", false, Range{ 0, 1 }, "0 or 1",
        "1: a long stream may be moved once, from an engine that may exceed the bound on gaps to one that keeps it. "
        "Requires gap_placement = 1."),
};

template <typename Visitor>
void forEachSection(Settings &settings, Visitor visitor)
{
    visitor("daemon", settings.daemon, spanOf(daemonRules));
    visitor("store", settings.store, spanOf(storeRules));
    visitor("entry", settings.entry, spanOf(entryRules));
    visitor("sidecar", settings.sidecar, spanOf(sidecarRules));
    visitor("forwarding", settings.forwarding, spanOf(forwardingRules));
}

bool isNeeded(const std::string &section, const DaemonSection &daemon)
{
    return section == "daemon" || section == daemon.role || (section == "store" && daemon.role == "entry")
        || section == daemon.interface;
}

} // namespace

Settings parseSettings(const std::string &text, const std::string &file, Problems &problems)
{
    Settings settings;
    const IniDocument document = parseIni(text, file, problems);
    const std::size_t syntaxProblems = problems.size();
    for (const IniSection &section : document.sections) {
        bool known = false;
        forEachSection(settings, [&](const char *name, auto &object, auto rules) {
            if (section.heading() == name) {
                known = true;
                object = detail::parseSection(section, file, rules, problems);
            }
        });
        if (!known) {
            problems.push_back({ file, section.line, section.heading(), "",
                                 "is not a settings section; expected daemon, store, entry, sidecar or forwarding" });
        }
    }
    if (syntaxProblems > 0) {
        return settings;
    }
    const std::string &role = settings.daemon.role;
    const auto require
        = [&](const char *section, const char *key, const std::string &found, bool valid, const char *expected) {
              if (!valid) {
                  problems.push_back(
                      { file, 0, section, key, "expected " + std::string(expected) + ", found \"" + found + "\"" });
              }
          };
    require("daemon", "role", role, role == "entry" || role == "sidecar", "entry or sidecar");
    const std::string &interface = settings.daemon.interface;
    require("daemon", "interface", interface, interface == "completions" || interface == "forwarding",
            "completions or forwarding");
    require("daemon", "log_level", settings.daemon.logLevel, parseLogLevel(settings.daemon.logLevel).has_value(),
            "debug, info, warning or error");
    if (role == "sidecar") {
        const std::string &kind = settings.sidecar.kind;
        require("sidecar", "kind", kind, kind == "engine" || kind == "service", "engine or service");
    }
    forEachSection(settings, [&](const std::string &name, auto & /*object*/, auto /*rules*/) {
        const bool present
            = std::any_of(document.sections.begin(), document.sections.end(), [&](const IniSection &section) {
                  return section.heading() == name;
              });
        if (!present && isNeeded(name, settings.daemon)) {
            problems.push_back({ file, 0, name, "", "the section is missing; role " + role + " needs it" });
        }
    });
    return settings;
}

std::string settingsReference()
{
    std::string out;
    Settings settings;
    forEachSection(settings, [&out](const std::string &name, auto &object, auto rules) {
        out += "## `[" + name + "]`\n\n| key | required | value | default | meaning |\n|---|---|---|---|---|\n";
        for (const auto &rule : rules) {
            const std::string defaultValue = rule.required ? "" : rule.format(object);
            out += "| `" + std::string(rule.key) + "` | " + (rule.required ? "yes" : "no") + " | "
                + std::string(rule.expected) + " | " + defaultValue + " | " + std::string(rule.brief) + " |\n";
        }
        out += "\n";
    });
    return out;
}

} // namespace zinniadock
