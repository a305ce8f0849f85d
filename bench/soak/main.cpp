#include <csignal>
#include <filesystem>
#include <iostream>
#include <thread>

#include <Poco/Exception.h>
#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/StreamCopier.h>
#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>

#include "faultplan.h"
#include "soakcallers.h"

ABSL_FLAG(std::string, daemon, "", "path of zinniadockd");
ABSL_FLAG(std::string, directory, "", "where settings and logs go");
ABSL_FLAG(std::uint64_t, seed, 1, "seed of faults and callers");
ABSL_FLAG(int, seconds, 20, "how long faults are injected");
ABSL_FLAG(int, entries, 3, "entries");
ABSL_FLAG(int, engines, 4, "engines, with a sidecar each");
ABSL_FLAG(int, callers, 16, "callers");

namespace
{

using namespace zinniadock::soak;
using Clock = std::chrono::steady_clock;

constexpr std::chrono::milliseconds shortestPause{ 60 };
constexpr std::chrono::milliseconds longestPause{ 500 };
constexpr std::chrono::milliseconds step{ 20 };
constexpr std::chrono::seconds recoveryLimit{ 15 };

std::string callersAddress(const Entry &entry)
{
    return entry.address + ":" + std::to_string(entry.port);
}

/// Returns the configuration version that an entry reports; 0 if it does not answer.
std::uint64_t reportedVersion(const Entry &entry)
{
    const std::string name = "\nzinniadock_configuration_version ";
    try {
        Poco::Net::HTTPClientSession session(entry.address, entry.metricsPort);
        session.setTimeout(Poco::Timespan(0, 300000));
        Poco::Net::HTTPRequest request("GET", "/metrics", Poco::Net::HTTPMessage::HTTP_1_1);
        session.sendRequest(request);
        Poco::Net::HTTPResponse response;
        std::string text;
        Poco::StreamCopier::copyToString(session.receiveResponse(response), text);
        const std::size_t position = text.find(name);
        return position == std::string::npos ? 0 : std::stoull(text.substr(position + name.size()));
    } catch (const Poco::Exception &) {
        return 0; // down or frozen at the moment
    }
}

/// Waits until every entry serves every kind of request under the newest configuration again.
bool recovers(SoakFleet &fleet)
{
    const auto deadline = Clock::now() + recoveryLimit;
    int number = 0;
    for (const Entry &entry : fleet.entries) {
        for (const RequestKind kind : { RequestKind::Generation, RequestKind::Order, RequestKind::Read }) {
            bool served = false;
            while (!served && Clock::now() < deadline) {
                const Outcome outcome = ask(callersAddress(entry), "recovery-" + std::to_string(++number), kind);
                served = outcome.status == 200 && outcome.whole && reportedVersion(entry) == fleet.version;
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
    if (!recovers(fleet)) {
        std::cerr << "zinniadock-soak: the fleet did not start\n";
        return 2;
    }
    std::vector<std::string> addresses;
    for (const Entry &entry : fleet.entries) {
        addresses.push_back(callersAddress(entry));
    }
    SoakCallers callers(addresses, static_cast<std::size_t>(absl::GetFlag(FLAGS_callers)), seed);
    std::mt19937_64 random(seed);
    const auto end = Clock::now() + std::chrono::seconds(absl::GetFlag(FLAGS_seconds));
    auto next = Clock::now();
    while (Clock::now() < end) {
        if (Clock::now() >= next) {
            plan.injectOne();
            next = Clock::now()
                + std::chrono::milliseconds(std::uniform_int_distribution<std::int64_t>(shortestPause.count(),
                                                                                        longestPause.count())(random));
            const Entry &entry = fleet.entries[random() % fleet.entries.size()];
            const std::string life = entry.daemon->life();
            const std::uint64_t version = reportedVersion(entry);
            if (version > 0) {
                checker.version(life, version);
            }
        }
        plan.settle();
        std::this_thread::sleep_for(step);
    }
    plan.healAll();
    if (!recovers(fleet)) {
        checker.violation("not every entry served everything within " + std::to_string(recoveryLimit.count())
                          + " s after the last fault");
    }
    callers.finish(checker);
    fleet.finish(checker);
    std::size_t faults = 0;
    for (const auto &[kind, count] : plan.counts()) {
        std::cout << "fault " << kind << ' ' << count << '\n';
        faults += count;
    }
    for (const auto &[how, count] : checker.ends()) {
        std::cout << "requests " << how << ' ' << count << '\n';
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
    absl::SetProgramUsageMessage("runs real entries and sidecars under a seeded schedule of faults, and checks the "
                                 "promises from what callers and back ends see");
    absl::ParseCommandLine(argc, argv);
    std::signal(SIGPIPE, SIG_IGN); // NOLINT(cert-err33-c): it can't fail for this signal
    return run();
}
