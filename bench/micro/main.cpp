#include <chrono>
#include <cstdint>
#include <functional>
#include <iostream>
#include <random>

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>

#include "figures.h"
#include "zinniadock/connection/linkmessage.h"
#include "zinniadock/connection/linktransport.h"
#include "zinniadock/process/admission/admission.h"
#include "zinniadock/process/crashes/suspecttable.h"
#include "zinniadock/process/limits/accountlimiter.h"
#include "zinniadock/process/limits/serverlimiter.h"
#include "zinniadock/process/observing/metrics.h"
#include "zinniadock/process/observing/timeline.h"
#include "zinniadock/process/placing/routing.h"
#include "zinniadock/process/servers/serverhealth.h"
#include "zinniadock/process/store/claims.h"
#include "zinniadock/version/versiondelta.h"

ABSL_FLAG(int, seed, 1, "seed of the generated load");
ABSL_FLAG(std::string, json, "", "output file for the results in JSON");

// Measures the time of single operations at several sizes. Each time is the minimum over roundCount rounds, in
// nanoseconds per operation. Also measures the size of some messages and records, in bytes.

namespace zinniadock::load
{

namespace
{

using Clock = std::chrono::steady_clock;

constexpr int roundCount = 5;

/// Returns the time of one call in nanoseconds: the mean of each round, and the minimum over all rounds.
double minNanoseconds(int callsPerRound, const std::function<void(int)> &operation)
{
    double minimum = 0;
    for (int round = 0; round < roundCount; ++round) {
        const auto begin = Clock::now();
        for (int i = 0; i < callsPerRound; ++i) {
            operation(i);
        }
        const double perCall = std::chrono::duration<double, std::nano>(Clock::now() - begin).count() / callsPerRound;
        minimum = round == 0 ? perCall : std::min(minimum, perCall);
    }
    return minimum;
}

AdmissionRequest admissionRequest(std::uint64_t id, DecisionTime now)
{
    return AdmissionRequest{ .key = { .request = { .high = 1, .low = id }, .generation = 1 },
                             .account = "account-" + std::to_string(id % 730),
                             .route = "route-" + std::to_string(id % 8),
                             .version = "version",
                             .promptTokens = 200,
                             .deadline = now + std::chrono::hours(1) };
}

void measureAdmission(Figures &figures, std::uint64_t seed)
{
    for (const std::uint32_t running : { 62U, 125U, 250U, 500U }) {
        const DecisionTime now{ std::chrono::hours(1) };
        Admission admission({ .totalBlocks = 1U << 24U, .maxRunning = 4096, .maxWaiting = 64 }, 400);
        std::mt19937_64 random(seed);
        for (std::uint64_t id = 1; id <= running; ++id) {
            const AdmissionRequest request = admissionRequest(id, now);
            admission.submit(request, now);
            for (std::uint64_t token = random() % 400; token > 0; --token) {
                admission.recordToken(request.key);
            }
        }
        const double submitNanoseconds = minNanoseconds(200, [&](int i) {
            const AdmissionRequest request = admissionRequest(1000000 + static_cast<std::uint64_t>(i), now);
            admission.submit(request, now);
            admission.finish(request.key, false, now);
        });
        figures.add("admission_offer_ns_at_" + std::to_string(running) + "_running", submitNanoseconds);
    }
    Admission admission({ .totalBlocks = 1U << 24U, .maxRunning = 4096, .maxWaiting = 64 }, 400);
    const DecisionTime now{ std::chrono::hours(1) };
    const AdmissionRequest request = admissionRequest(1, now);
    admission.submit(request, now);
    figures.add("admission_token_ns", minNanoseconds(100000, [&](int) {
                    admission.recordToken(request.key);
                }));
}

void measureRouting(Figures &figures)
{
    for (const int count : { 106, 212, 425, 850, 1700 }) {
        std::vector<ServerView> servers;
        for (int i = 0; i < count; ++i) {
            servers.push_back({ .name = "server-" + std::to_string(i), .isSameDataCentre = i % 11 == 0 });
        }
        std::uint64_t random = 1;
        std::size_t indexSum = 0;
        const double chooseNanoseconds = minNanoseconds(200, [&](int) {
            random = random * 6364136223846793005ULL + 1442695040888963407ULL;
            indexSum += chooseServer(servers, random | 1U, std::chrono::microseconds(100), random >> 7U).value_or(0);
        });
        figures.add("routing_ns_at_" + std::to_string(count) + "_servers", chooseNanoseconds);
    }
}

/// Measures the decision whether a server with a limit may get a request, and the use of a permit.
void measureLimits(Figures &figures)
{
    constexpr int limitedServers = 64;
    SteadyTime now{ std::chrono::hours(1) };
    EntryTree tree;
    ServerLimiter limiter(
        [] {
            return 0.5;
        },
        [](const ServerIncarnation &) {
            return true;
        },
        tree);
    std::vector<ServerRecord> servers(limitedServers);
    for (int i = 0; i < limitedServers; ++i) {
        servers.at(i).id = "i-07a2dad2" + std::to_string(10 + i);
        servers.at(i).startTimeMs = 1783492258050;
        limiter.observe(servers.at(i), { "400" }, "request", now);
    }
    figures.add("limit_decision_ns", minNanoseconds(20000, [&](int i) {
                    const ServerRecord &server = servers.at(static_cast<std::size_t>(i % limitedServers));
                    if (limiter.maySend(server, now)) {
                        limiter.recordSent(server, SendReason::FirstAttempt, now);
                    }
                }));
    figures.add("limit_use_ns", minNanoseconds(20000, [&](int i) {
                    now += std::chrono::microseconds(50);
                    const ServerRecord &server = servers.at(static_cast<std::size_t>(i % limitedServers));
                    limiter.recordSent(server, SendReason::FirstAttempt, now);
                }));
}

/// Measures the decision whether a request is quarantined, and the record of a response, with as many crash reports as
/// are kept.
void measureQuarantine(Figures &figures)
{
    const SteadyTime now{ std::chrono::hours(1) };
    SuspectTable table;
    constexpr int crashes = 255;
    for (int i = 0; i < crashes; ++i) {
        const auto number = static_cast<std::uint64_t>(i);
        const SteadyTime at = now + std::chrono::milliseconds(300 * i);
        CrashReport report{ .id = number + 1, .server = "i-" + std::to_string(i), .at = at, .runs = {} };
        for (std::uint64_t run = 0; run < 4; ++run) {
            report.runs.push_back({ .requestId = "r", .traits = { 1000 + 4 * number + run, 1 + run % 2 } });
        }
        table.recordCrash(report, at);
    }
    const SteadyTime later = now + std::chrono::seconds(80);
    const RequestTraits sound{ 7, 8, 9 };
    std::uint64_t refused = 0;
    figures.add("quarantine_decision_ns", minNanoseconds(20000, [&](int) {
                    refused += table.findQuarantine(sound, "request", later) ? 1 : 0;
                }));
    figures.add("quarantine_response_ns", minNanoseconds(20000, [&](int) {
                    table.recordResponse(sound, later);
                }));
    figures.add("quarantined_traits", static_cast<double>(table.quarantineCount() + refused));
}

/// Returns a configuration with 1700 servers and 730 client accounts, scaled by the given number of eighths.
std::string configurationText(int eighths)
{
    std::string text = "[model m]\n[version v]\nmodel = m\n[server orders]\naddress = 10.255.0.1:9\ndata_centre = c\n"
                       "[pool orders]\nservers = orders\n[route orders]\npool = orders\npath = /orders\n";
    std::string names;
    const int servers = 1700 * eighths / 8;
    const int accounts = 730 * eighths / 8;
    for (int i = 0; i < servers; ++i) {
        const std::string name = "server-" + std::to_string(i);
        text += "[server " + name + "]\naddress = 10.0." + std::to_string(i / 250) + "." + std::to_string(i % 250 + 1)
            + ":9000\ndata_centre = centre-" + std::to_string(i % 11) + "\n";
        names += (i == 0 ? "" : ", ") + name;
    }
    text += "[pool p]\nservers = " + names + "\nversion = v\n[route r]\npool = p\n";
    for (int i = 0; i < accounts; ++i) {
        text += "[account account-" + std::to_string(i) + "]\nkey_digest = " + sha256(std::to_string(i)) + "\n";
    }
    return text;
}

/// Returns a delta that replaces the key and the limits of one client account.
std::string deltaText()
{
    return "[account account-0]\nkey_digest = " + sha256("changed") + "\nrequests_per_second = 55\nconcurrency = 40\n";
}

void measureConfiguration(Figures &figures)
{
    for (const int eighths : { 1, 2, 4, 8 }) {
        Problems problems;
        const std::string text = formatConfiguration(parseConfiguration(configurationText(eighths), "bench", problems));
        const std::string digest = sha256(text);
        const std::string suffix = "_at_" + std::to_string(eighths) + "_eighths";
        figures.add("configuration_bytes" + suffix, static_cast<double>(text.size()));
        figures.add("configuration_install_ns" + suffix, minNanoseconds(1, [&](int) {
                        if (!makeVersion(1, digest, text)) {
                            std::cerr << "zinniadock-decisions: the generated configuration is invalid\n";
                        }
                    }));
        const auto version = makeVersion(1, digest, text);
        const std::string delta = deltaText();
        Problems deltaProblems;
        const std::string next = formatConfiguration(
            updateObjects(version->configuration, parseConfiguration(delta, "bench", deltaProblems), {}));
        const std::string nextDigest = sha256(next);
        figures.add("configuration_delta_ns" + suffix, minNanoseconds(10, [&](int) {
                        if (!makeNextVersion(*version, 2, nextDigest, delta)) {
                            std::cerr << "zinniadock-decisions: the generated delta is invalid\n";
                        }
                    }));
        figures.add("configuration_delta_bytes" + suffix, static_cast<double>(delta.size()));
        std::string name;
        figures.add("authentication_ns" + suffix, minNanoseconds(2000, [&](int i) {
                        version->accountOfKey(std::to_string(i % 90), name);
                    }));
    }
}

void measureMessages(Figures &figures)
{
    const Token token{ .request = RequestId::random(), .generation = 1, .sequence = 12345, .text = "a typical token " };
    figures.add("token_encode_ns", minNanoseconds(20000, [&](int) {
                    encode(token);
                }));
    for (const int count : { 1, 4, 16, 64 }) {
        std::string frame(1, frameBegin);
        for (int i = 0; i < count; ++i) {
            frame += encode(token);
        }
        frame += frameEnd;
        figures.add("frame_decode_ns_at_" + std::to_string(count) + "_tokens", minNanoseconds(2000, [&](int) {
                        decode(frame);
                    }));
    }
    figures.add("token_message_bytes", static_cast<double>(encode(token).size()));
    figures.add("load_report_bytes",
                static_cast<double>(encode(LoadReport{ .running = 200,
                                                       .waiting = 10,
                                                       .usedBlocks = 40000,
                                                       .totalBlocks = 60000,
                                                       .linkedEntries = 64,
                                                       .revision = 100000,
                                                       .preemptions = 1000 })
                                        .size()));
}

void measureSingleOperations(Figures &figures)
{
    AccountLimiter limiter;
    const Account account{ .requestsPerSecond = 1e6, .maxConcurrentRequests = 1000000 };
    std::int64_t now = 1;
    figures.add("account_limit_ns", minNanoseconds(20000, [&](int i) {
                    const AccountLimiter::Time time{ std::chrono::milliseconds(++now) };
                    const std::string name = "account-" + std::to_string(i % 730);
                    limiter.acquire(name, account, time);
                    limiter.release(name);
                }));
    DurationHistogram histogram;
    const std::vector<std::chrono::microseconds> gaps(64, std::chrono::microseconds(47000));
    figures.add("gap_record_ns_per_token",
                minNanoseconds(2000, [&](int) {
                    histogram.record(gaps);
                }) / 64);
    ServerHealth health;
    std::vector<std::string> servers;
    ServerHealth::Time time{ std::chrono::hours(1) };
    for (int i = 0; i < 1700; ++i) {
        servers.push_back("engine-campina-" + std::to_string(i));
        health.recordTokenGaps(servers.back(), 100, std::chrono::milliseconds(4700), time);
    }
    figures.add("health_review_ns_at_1700_servers", minNanoseconds(20, [&](int) {
                    time += std::chrono::seconds(1);
                    health.ejectOutliers("pool", servers, time);
                }));
    figures.add("health_shares_ns", minNanoseconds(20000, [&](int) {
                    health.reducedTrafficShares(time);
                }));
    Timeline timeline;
    const RequestId request = RequestId::random();
    figures.add("timeline_record_ns", minNanoseconds(20000, [&](int) {
                    timeline.record(EventKind::Offered,
                                    { .request = request, .generation = 1, .subject = "engine-campina-17" });
                }));
    figures.add("clock_stamp_ns", minNanoseconds(20000, [&](int) {
                    encode(ClockStamp{ .time = timeline.clock().now().value });
                }));
    const ClaimRecord record{ .nonce = 1,
                              .request = RequestId::random().text(),
                              .bodyDigest = sha256("x"),
                              .outcome = ClaimOutcome{ .status = 200, .body = std::string(200, 'x') } };
    figures.add("claim_bytes", static_cast<double>(encodeClaim(record).size()));
}

} // namespace

} // namespace zinniadock::load

int main(int argc, char **argv)
{
    absl::ParseCommandLine(argc, argv);
    zinniadock::load::Figures figures;
    zinniadock::load::measureAdmission(figures, static_cast<std::uint64_t>(absl::GetFlag(FLAGS_seed)));
    zinniadock::load::measureRouting(figures);
    zinniadock::load::measureLimits(figures);
    zinniadock::load::measureQuarantine(figures);
    zinniadock::load::measureConfiguration(figures);
    zinniadock::load::measureMessages(figures);
    zinniadock::load::measureSingleOperations(figures);
    figures.print();
    const std::string file = absl::GetFlag(FLAGS_json);
    return file.empty() || figures.write(file) ? 0 : 1;
}
