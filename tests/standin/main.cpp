#include <csignal>
#include <iostream>

#include <Poco/NumberParser.h>
#include <Poco/StringTokenizer.h>
#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>

#include "enginestandin.h"
#include "linkrelay.h"
#include "servicestandin.h"
#include "storestandin.h"

ABSL_FLAG(int, port, 0, "port on loopback; 0 selects a free port");
ABSL_FLAG(int, seed, 1, "seed of the output lengths and faults");
ABSL_FLAG(std::string, history, "", "file to which each event is appended as a JSON line");
ABSL_FLAG(int, blocks, 4096, "engine: key-value memory in blocks of 16 tokens");
ABSL_FLAG(int, step_us, 15000, "engine: base time of a decoding step, in microseconds");
ABSL_FLAG(int, step_per_sequence_us, 60,
          "engine: additional time of a step per sequence in the batch, in microseconds");
ABSL_FLAG(bool, stamp, false, "engine: append the time of emission to each token");
ABSL_FLAG(std::string, server, "", "engine: name in the history; relay: IP:port to which connections are forwarded");
ABSL_FLAG(int, max_batch, 256, "engine: maximum number of sequences in a batch");
ABSL_FLAG(std::vector<std::string>, lengths, {},
          "engine: log-normal output length of each model, as model=median:sigma");

namespace
{

using namespace zinniadock::standin;

int serve(std::uint16_t port, const sigset_t &signals, std::uint16_t controlPort = 0)
{
    std::cout << R"({"ready":true,"port":)" << port << R"(,"control":)" << controlPort << "}" << std::endl;
    int signalNumber = 0;
    sigwait(&signals, &signalNumber);
    return 0;
}

bool readLengths(EngineStandinSettings &settings)
{
    for (const std::string &text : absl::GetFlag(FLAGS_lengths)) {
        const Poco::StringTokenizer parts(text, "=:");
        LengthDistribution distribution;
        if (parts.count() != 3 || !Poco::NumberParser::tryParseFloat(parts[1], distribution.median)
            || !Poco::NumberParser::tryParseFloat(parts[2], distribution.sigma)) {
            std::cerr << "zinniadock-standin: --lengths: expected model=median:sigma, found \"" << text << "\"\n";
            return false;
        }
        settings.lengths[parts[0]] = distribution;
    }
    return true;
}

int run(const std::string &role, const sigset_t &signals)
{
    const auto port = static_cast<std::uint16_t>(absl::GetFlag(FLAGS_port));
    const auto seed = static_cast<std::uint64_t>(absl::GetFlag(FLAGS_seed));
    const std::string history = absl::GetFlag(FLAGS_history);
    if (role == "store") {
        StoreStandin store({ .port = port, .seed = seed, .history = history });
        return serve(store.port(), signals);
    }
    if (role == "service") {
        ServiceStandin service({ .port = port, .history = history });
        return serve(service.port(), signals);
    }
    if (role == "engine") {
        EngineStandinSettings settings{ .port = port, .seed = seed, .history = history };
        settings.model.totalBlocks = static_cast<std::uint32_t>(absl::GetFlag(FLAGS_blocks));
        settings.model.maxBatch = static_cast<std::uint32_t>(absl::GetFlag(FLAGS_max_batch));
        settings.model.stepBase = std::chrono::microseconds(absl::GetFlag(FLAGS_step_us));
        settings.model.stepPerSequence = std::chrono::microseconds(absl::GetFlag(FLAGS_step_per_sequence_us));
        settings.timestampTokens = absl::GetFlag(FLAGS_stamp);
        settings.server = absl::GetFlag(FLAGS_server);
        if (!readLengths(settings)) {
            return 2;
        }
        EngineStandin engine(settings);
        return serve(engine.port(), signals);
    }
    if (role == "relay") {
        LinkRelay relay({ .port = port, .server = absl::GetFlag(FLAGS_server) });
        return serve(relay.port(), signals, relay.controlPort());
    }
    std::cerr << "zinniadock-standin: expected role store, engine, service or relay, found \"" << role
              << "\"; see --help\n";
    return 2;
}

} // namespace

int main(int argc, char **argv)
{
    absl::SetProgramUsageMessage("Simulates the platform in tests: zinniadock-standin store|engine|service|relay");
    sigset_t signals{};
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    static_cast<void>(std::signal(SIGPIPE, SIG_IGN));
    const std::vector<char *> arguments = absl::ParseCommandLine(argc, argv);
    return run(arguments.size() > 1 ? arguments[1] : "", signals);
}
