#include <csignal>
#include <filesystem>
#include <iostream>
#include <thread>

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>

#include "faultplan.h"
#include "soakcallers.h"

ABSL_FLAG(std::string, daemon, "", "path of zinniadockd");
ABSL_FLAG(std::string, directory, "", "directory for the settings and logs of the daemons");
ABSL_FLAG(std::uint64_t, seed, 1, "seed of the faults and callers");
ABSL_FLAG(int, seconds, 20, "duration of the fault injection in seconds");
ABSL_FLAG(int, entries, 3, "number of entries");
ABSL_FLAG(int, engines, 4, "number of engines; each has a sidecar");
ABSL_FLAG(int, callers, 16, "number of caller threads");

namespace
{

using namespace zinniadock::soak;
using Clock = std::chrono::steady_clock;

constexpr std::chrono::milliseconds minFaultInterval{ 60 };
constexpr std::chrono::milliseconds maxFaultInterval{ 500 };
constexpr std::chrono::milliseconds pollInterval{ 20 };
constexpr std::chrono::seconds recoveryLimit{ 15 };

std::string callerEndpoint(const Entry &entry)
{
    return entry.address + ":" + std::to_string(entry.port);
}

/// Waits until every entry serves every kind of request with the newest configuration. Returns false if this takes
/// longer than recoveryLimit.
bool waitForRecovery(SoakFleet &fleet)
{
    const auto deadline = Clock::now() + recoveryLimit;
    int requestNumber = 0;
    for (const Entry &entry : fleet.entries) {
        for (const RequestKind kind : { RequestKind::Generation, RequestKind::Order, RequestKind::Read }) {
            bool served = false;
            while (!served && Clock::now() < deadline) {
                const Outcome outcome
                    = sendSingleRequest(callerEndpoint(entry), "recovery-" + std::to_string(++requestNumber), kind);
                served = outcome.status == 200 && outcome.isComplete
                    && reportedVersion(entry) == fleet.configurationVersion;
            }
            if (!served) {
                return false;
            }
        }
    }
    return true;
}

int run()
{
    SoakChecker checker(zinniadock::standin::completeStreamBody());
    const std::string directory = absl::GetFlag(FLAGS_directory);
    std::filesystem::create_directories(directory);
    SoakFleet fleet(absl::GetFlag(FLAGS_daemon), directory, static_cast<std::size_t>(absl::GetFlag(FLAGS_entries)),
                    static_cast<std::size_t>(absl::GetFlag(FLAGS_engines)));
    const std::uint64_t seed = absl::GetFlag(FLAGS_seed);
    FaultPlan plan(fleet, checker, seed);
    if (!waitForRecovery(fleet)) {
        std::cerr << "zinniadock-soak: not every entry served every kind of request within " << recoveryLimit.count()
                  << " s after the start of the fleet\n";
        return 2;
    }
    std::vector<std::string> addresses;
    for (const Entry &entry : fleet.entries) {
        addresses.push_back(callerEndpoint(entry));
    }
    SoakCallers callers(addresses, static_cast<std::size_t>(absl::GetFlag(FLAGS_callers)), seed);
    std::mt19937_64 random(seed);
    const auto end = Clock::now() + std::chrono::seconds(absl::GetFlag(FLAGS_seconds));
    auto nextFault = Clock::now();
    while (Clock::now() < end) {
        if (Clock::now() >= nextFault) {
            plan.injectFault();
            nextFault = Clock::now()
                + std::chrono::milliseconds(std::uniform_int_distribution<std::int64_t>(
                    minFaultInterval.count(), maxFaultInterval.count())(random));
            const Entry &entry = fleet.entries[random() % fleet.entries.size()];
            const std::string incarnation = entry.daemon->incarnation();
            const std::uint64_t version = reportedVersion(entry);
            if (version > 0) {
                checker.recordVersion(incarnation, version);
            }
        }
        plan.runDueActions();
        std::this_thread::sleep_for(pollInterval);
    }
    plan.endAllFaults();
    if (!waitForRecovery(fleet)) {
        checker.addViolation("not every entry served every kind of request within "
                             + std::to_string(recoveryLimit.count()) + " s after the last fault");
    }
    callers.finish(checker);
    fleet.finish(checker);
    std::size_t faults = 0;
    for (const auto &[kind, count] : plan.counts()) {
        std::cout << "fault " << kind << ' ' << count << '\n';
        faults += count;
    }
    for (const auto &[outcome, count] : checker.countOutcomes()) {
        std::cout << "requests " << outcome << ' ' << count << '\n';
    }
    const std::vector<std::string> violations = checker.check();
    for (const std::string &text : violations) {
        std::cout << "violation " << text << '\n';
    }
    std::cout << "seed " << seed << " faults " << faults << " violations " << violations.size() << std::endl;
    return violations.empty() ? 0 : 1;
}

} // namespace

int main(int argc, char **argv)
{
    absl::SetProgramUsageMessage(
        "Runs entries and sidecars as processes, injects a seeded sequence of faults, and checks the "
        "guarantees from what callers and backend servers observe");
    absl::ParseCommandLine(argc, argv);
    std::signal(SIGPIPE, SIG_IGN); // NOLINT(cert-err33-c): cannot fail for SIGPIPE
    return run();
}
