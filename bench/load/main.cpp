#include <csignal>
#include <fstream>
#include <iostream>

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>

#include "callers.h"
#include "faultstalls.h"
#include "historychecker.h"
#include "timelinechecker.h"

ABSL_FLAG(std::vector<std::string>, target, {},
          "IP:port of the entries or engines that receive the requests, separated by commas");
ABSL_FLAG(std::string, key, "site-key", "key of a client account");
ABSL_FLAG(std::string, route, "fitting-brief", "route of the generations");
ABSL_FLAG(std::string, call_path, "",
          "path of calls to a plain service, sent as every eighth request; empty for no calls");
ABSL_FLAG(int, callers, 1, "number of callers; each sends one request at a time");
ABSL_FLAG(int, requests, 1, "requests per caller");
ABSL_FLAG(int, duration_ms, 0, "time in which callers begin requests, in milliseconds; replaces --requests");
ABSL_FLAG(int, ramp_ms, 0, "time over which the callers start, in milliseconds");
ABSL_FLAG(int, tokens, 100, "tokens per generation; 0 leaves the number to the engine");
ABSL_FLAG(int, prompt_bytes, 64, "minimum length of a prompt in bytes");
ABSL_FLAG(int, seed, 1, "seed");
ABSL_FLAG(std::vector<std::string>, watch, {}, "name=pid of each process whose CPU and memory usage is reported");
ABSL_FLAG(std::string, prefix, "", "prefix of the names of the figures");
ABSL_FLAG(std::string, history, "", "file to which each event is appended as one line of JSON");
ABSL_FLAG(std::string, json, "", "file to which the figures are written as JSON");

namespace zinniadock::load
{

namespace
{

int usageError(const std::string &message)
{
    std::cerr << "zinniadock-load: " << message << "; see --help\n";
    return 2;
}

int finish(const Figures &figures)
{
    figures.print();
    const std::string file = absl::GetFlag(FLAGS_json);
    return file.empty() || figures.write(file) ? 0 : usageError("--json: can't write " + file);
}

bool readWatched(std::vector<WatchedProcess> &watched)
{
    for (const std::string &text : absl::GetFlag(FLAGS_watch)) {
        const std::size_t equals = text.find('=');
        std::uint32_t pid = 0;
        if (equals == std::string::npos || !detail::parseValue(text.substr(equals + 1), detail::Range{ 1 }, pid)) {
            return false;
        }
        watched.push_back({ text.substr(0, equals), static_cast<int>(pid), readUsage(static_cast<int>(pid)) });
    }
    return true;
}

int runLoad()
{
    CallerPlan plan;
    for (const std::string &text : absl::GetFlag(FLAGS_target)) {
        Endpoint target;
        if (!detail::parseValue(text, detail::Range{}, target)) {
            return usageError("--target: expected IP:port, found \"" + text + "\"");
        }
        plan.targets.push_back(target);
    }
    if (plan.targets.empty()) {
        return usageError("--target: expected at least one IP:port");
    }
    plan.key = absl::GetFlag(FLAGS_key);
    plan.route = absl::GetFlag(FLAGS_route);
    plan.callPath = absl::GetFlag(FLAGS_call_path);
    plan.callers = static_cast<std::uint32_t>(absl::GetFlag(FLAGS_callers));
    plan.requests = static_cast<std::uint32_t>(absl::GetFlag(FLAGS_requests));
    plan.duration = std::chrono::milliseconds(absl::GetFlag(FLAGS_duration_ms));
    plan.rampDuration = std::chrono::milliseconds(absl::GetFlag(FLAGS_ramp_ms));
    plan.tokens = static_cast<std::uint32_t>(absl::GetFlag(FLAGS_tokens));
    plan.promptBytes = static_cast<std::uint32_t>(absl::GetFlag(FLAGS_prompt_bytes));
    plan.seed = static_cast<std::uint64_t>(absl::GetFlag(FLAGS_seed));
    std::vector<WatchedProcess> watched;
    if (!readWatched(watched)) {
        return usageError("--watch: expected name=pid, with a pid of at least 1");
    }
    standin::History history(absl::GetFlag(FLAGS_history));
    CallerResults results = runCallers(plan, history);
    const std::string prefix = absl::GetFlag(FLAGS_prefix);
    Figures figures;
    results.report(figures, prefix);
    for (const WatchedProcess &process : watched) {
        const ProcessUsage usage = readUsage(process.pid);
        const auto usedMicroseconds = static_cast<double>((usage.cpuTime - process.initialUsage.cpuTime).count());
        figures.add(prefix + process.name + "_cpu_us_per_token",
                    usedMicroseconds / std::max(1.0, static_cast<double>(results.tokens)));
        figures.add(prefix + process.name + "_cores", usedMicroseconds / 1e6 / results.seconds);
        figures.add(prefix + process.name + "_resident_mb", static_cast<double>(usage.residentBytes) / 1e6);
    }
    return finish(figures);
}

int checkHistory(const std::vector<std::string> &files)
{
    HistoryChecker checker;
    StallAttribution stalls;
    for (const std::string &file : files) {
        std::ifstream stream(file);
        if (!stream) {
            return usageError("can't read " + file);
        }
        int lineNumber = 0;
        for (std::string line; std::getline(stream, line);) {
            ++lineNumber;
            const nlohmann::json event = nlohmann::json::parse(line, nullptr, false);
            if (event.is_object()) {
                checker.add(event);
                stalls.add(event);
            } else if (!stream.eof()) {
                return usageError(file + ":" + std::to_string(lineNumber) + ": expected a JSON object");
            }
        }
    }
    const std::vector<Violation> violations = checker.check();
    for (const Violation &violation : violations) {
        std::cerr << violation.rule << ": " << violation.detail << "\n";
    }
    if (const std::string description = stalls.describeMaxStall(); !description.empty()) {
        std::cerr << description << "\n";
    }
    Figures figures;
    figures.add("events", static_cast<double>(checker.eventCount()));
    figures.add("violations", static_cast<double>(violations.size()));
    stalls.report(figures);
    const int code = finish(figures);
    return code != 0 ? code : violations.empty() ? 0 : 1;
}

int checkTimelines(const std::vector<std::string> &files)
{
    TimelineChecker checker;
    for (const std::string &file : files) {
        std::ifstream stream(file);
        for (std::string line; std::getline(stream, line);) {
            const nlohmann::json document = nlohmann::json::parse(line, nullptr, false);
            if (!document.is_object()) {
                return usageError(file + ": expected one JSON object per line");
            }
            document.contains("events") ? checker.addTimeline(document) : checker.addHistoryEvent(document);
        }
    }
    Figures figures;
    const std::vector<std::string> findings = checker.check(figures);
    for (const std::string &finding : findings) {
        std::cerr << finding << "\n";
    }
    const int code = finish(figures);
    return code != 0 ? code : findings.empty() ? 0 : 1;
}

} // namespace

} // namespace zinniadock::load

int main(int argc, char **argv)
{
    absl::SetProgramUsageMessage("Generates load and checks the recorded results.\n\n"
                                 "  zinniadock-load run --target E,F       send requests to entries or engines\n"
                                 "  zinniadock-load check FILE...          check recorded histories\n"
                                 "  zinniadock-load check-timeline FILE... check timelines against injected faults\n\n"
                                 "Exit codes: 0 success, 1 violations found, 2 usage error.");
    static_cast<void>(std::signal(SIGPIPE, SIG_IGN));
    const std::vector<char *> positional = absl::ParseCommandLine(argc, argv);
    const std::vector<std::string> words(positional.begin() + 1, positional.end());
    if (!words.empty() && words.front() == "run") {
        return zinniadock::load::runLoad();
    }
    if (words.size() > 1 && words.front() == "check") {
        return zinniadock::load::checkHistory({ words.begin() + 1, words.end() });
    }
    if (words.size() > 1 && words.front() == "check-timeline") {
        return zinniadock::load::checkTimelines({ words.begin() + 1, words.end() });
    }
    return zinniadock::load::usageError("expected run, check FILE... or check-timeline FILE...");
}
