#include <iostream>

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <absl/flags/usage_config.h>

#include "commands.h"
#include "zinniadock/version/configuration.h"

ABSL_FLAG(std::string, store, "127.0.0.1:2379", "IP:port of the platform's key-value service");
ABSL_FLAG(std::string, prefix, "zinniadock", "prefix of the deployment's keys in the store");
ABSL_FLAG(std::vector<std::string>, admin, {}, "IP:port of the admin interface of each instance, separated by commas");
ABSL_FLAG(std::string, admin_key, "", "key of the admin interface of the instances");
ABSL_FLAG(std::string, author, "operator", "author of the change, recorded in the history");
ABSL_FLAG(bool, json, false, "print JSON instead of text");
ABSL_FLAG(bool, partial, false, "the files hold single objects to add or replace, not the complete configuration");
ABSL_FLAG(std::vector<std::string>, remove, {}, "objects to remove, each as kind:name");
ABSL_FLAG(bool, wait, false, "wait until every instance of --admin reports the new revision");
ABSL_FLAG(int, wait_ms, 11000, "maximum wait of --wait, in milliseconds");
ABSL_FLAG(std::string, entry, "127.0.0.1:8080", "IP:port of an entry");
ABSL_FLAG(std::string, key, "", "key of a client account");
ABSL_FLAG(std::string, route, "", "route of a generation");
ABSL_FLAG(int, max_tokens, 0, "maximum output length in tokens; 0 for the limit of the model");
ABSL_FLAG(std::string, idempotency_key, "", "key under which a call runs at most once");
ABSL_FLAG(std::string, method, "POST", "HTTP method of a call to a plain service");
ABSL_FLAG(std::string, path, "", "path of a call to a plain service; the argument is the request body");
ABSL_FLAG(bool, watch, false, "status: repeat the output every second until interrupted");
ABSL_FLAG(
    std::string, request, "",
    "timeline: only events of this request, and process events of the instances that handled it, in the same period");
ABSL_FLAG(std::string, instance, "", "timeline: only events of this instance or about it");
ABSL_FLAG(int, since, 0, "timeline: maximum age of events in seconds; 0 for all recorded events");
ABSL_FLAG(std::string, html, "", "timeline: write an HTML page to this file instead of printing text");
ABSL_FLAG(bool, quiet, false, "do not print the output of a generation, only its statistics");

namespace zinniadock::cli
{

namespace
{

constexpr const char *usageText = R"(Operates a zinniadock deployment.

  zinniadock check FILE...            check a complete configuration
  zinniadock diff FILE...             show what apply would change
  zinniadock apply FILE...            check and publish a complete configuration
  zinniadock apply --partial FILE...  add or replace single objects; --remove kind:name removes an object
  zinniadock show                     print the current configuration
  zinniadock history                  list the accepted revisions
  zinniadock revert-to REVISION       publish the content of an earlier revision as a new one
  zinniadock status --admin A,B       show the status of instances
  zinniadock timeline --admin A,B     show the events of all instances in causal order
  zinniadock explain --admin A,B ID   explain the events of one request
  zinniadock drain --admin A          make instances refuse new requests
  zinniadock ask --entry E --key K --route R PROMPT      stream a generation
  zinniadock ask --entry E --key K --path /P [BODY]      call a plain service
  zinniadock digest KEY               print the digest of a key, the value of key_digest in an account
  zinniadock reference                print the reference of all configuration objects

Exit codes: 0 done, 1 failed, 2 wrong command line, 3 errors in the input, 4 another change was accepted first,
5 no response and nothing changed, 6 no response and the change may have been accepted.)";

ExitCode usageError(const std::string &message)
{
    std::cerr << "zinniadock: " << message << "; see --help\n";
    return ExitCode::Usage;
}

bool parseEndpoint(const std::string &text, Endpoint &endpoint)
{
    return detail::parseValue(text, detail::Range{}, endpoint);
}

ExitCode dispatch(const std::vector<std::string> &words)
{
    if (words.empty()) {
        return usageError("expected a command");
    }
    const std::string &command = words.front();
    const std::vector<std::string> arguments(words.begin() + 1, words.end());
    Options options{ .store = {},
                     .prefix = absl::GetFlag(FLAGS_prefix),
                     .admins = {},
                     .adminKey = absl::GetFlag(FLAGS_admin_key),
                     .author = absl::GetFlag(FLAGS_author),
                     .json = absl::GetFlag(FLAGS_json) };
    AskOptions askOptions{ .entry = {},
                           .key = absl::GetFlag(FLAGS_key),
                           .route = absl::GetFlag(FLAGS_route),
                           .idempotencyKey = absl::GetFlag(FLAGS_idempotency_key),
                           .method = absl::GetFlag(FLAGS_method),
                           .path = absl::GetFlag(FLAGS_path),
                           .maxTokens = static_cast<std::uint32_t>(std::max(0, absl::GetFlag(FLAGS_max_tokens))),
                           .quiet = absl::GetFlag(FLAGS_quiet) };
    if (!parseEndpoint(absl::GetFlag(FLAGS_store), options.store)) {
        return usageError("--store: expected IP:port, found \"" + absl::GetFlag(FLAGS_store) + "\"");
    }
    if (!parseEndpoint(absl::GetFlag(FLAGS_entry), askOptions.entry)) {
        return usageError("--entry: expected IP:port, found \"" + absl::GetFlag(FLAGS_entry) + "\"");
    }
    for (const std::string &text : absl::GetFlag(FLAGS_admin)) {
        Endpoint admin;
        if (!parseEndpoint(text, admin)) {
            return usageError("--admin: expected IP:port, found \"" + text + "\"");
        }
        options.admins.push_back(admin);
    }
    const ChangeOptions change{ .partial = absl::GetFlag(FLAGS_partial),
                                .removed = absl::GetFlag(FLAGS_remove),
                                .wait = absl::GetFlag(FLAGS_wait),
                                .waitTimeout = std::chrono::milliseconds(absl::GetFlag(FLAGS_wait_ms)) };
    const bool needsFiles = command == "check" || command == "diff" || command == "apply";
    if (needsFiles && arguments.empty() && change.removed.empty()) {
        return usageError(command + ": expected at least one FILE");
    }
    const bool needsAdmins = command == "status" || command == "drain" || command == "timeline" || command == "explain";
    if (needsAdmins && options.admins.empty()) {
        return usageError(command + ": expected --admin IP:port");
    }
    if (command == "check") {
        return checkFiles(options, arguments);
    }
    if (command == "diff") {
        return diffFiles(options, change, arguments);
    }
    if (command == "apply") {
        return applyFiles(options, change, arguments);
    }
    if (command == "show") {
        return showConfiguration(options);
    }
    if (command == "history") {
        return showHistory(options);
    }
    if (command == "revert-to") {
        return arguments.size() == 1
            ? revertToRevision(options, change, arguments.front())
            : usageError("revert-to: expected one REVISION, found " + std::to_string(arguments.size()) + " arguments");
    }
    if (command == "status") {
        return showStatus(options, absl::GetFlag(FLAGS_watch));
    }
    if (command == "timeline") {
        return showTimeline(options,
                            TimelineOptions{ .request = absl::GetFlag(FLAGS_request),
                                             .instance = absl::GetFlag(FLAGS_instance),
                                             .since = std::chrono::seconds(std::max(0, absl::GetFlag(FLAGS_since))),
                                             .htmlFile = absl::GetFlag(FLAGS_html) });
    }
    if (command == "explain") {
        return arguments.size() == 1
            ? explainRequest(options, arguments.front())
            : usageError("explain: expected one request ID, found " + std::to_string(arguments.size()) + " arguments");
    }
    if (command == "drain") {
        return drainInstances(options);
    }
    if (command == "ask") {
        const bool complete = !askOptions.key.empty() && (askOptions.route.empty() != askOptions.path.empty());
        return complete ? ask(askOptions, arguments.empty() ? "" : arguments.front())
                        : usageError("ask: expected --key and either --route or --path");
    }
    if (command == "digest") {
        if (arguments.size() != 1) {
            return usageError("digest: expected one KEY, found " + std::to_string(arguments.size()) + " arguments");
        }
        std::cout << sha256(arguments.front()) << "\n";
        return ExitCode::Done;
    }
    if (command == "reference") {
        std::cout << configurationReference();
        return ExitCode::Done;
    }
    return usageError("there is no command \"" + command + "\"");
}

} // namespace

} // namespace zinniadock::cli

int main(int argc, char **argv)
{
    absl::SetProgramUsageMessage(zinniadock::cli::usageText);
    absl::FlagsUsageConfig usage;
    usage.version_string = [] {
        return std::string("zinniadock " ZINNIADOCK_VERSION "\n");
    };
    usage.contains_help_flags = [](absl::string_view file) {
        return file.find("cli/main.cpp") != absl::string_view::npos;
    };
    absl::SetFlagsUsageConfig(usage);
    const std::vector<char *> positional = absl::ParseCommandLine(argc, argv);
    const std::vector<std::string> words(positional.begin() + 1, positional.end());
    return static_cast<int>(zinniadock::cli::dispatch(words));
}
