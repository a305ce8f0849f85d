#include <csignal>
#include <iostream>
#include <thread>

#include "../harness/harness.h"
#include "../harness/steadyengine.h"

/// An entry gets SIGTERM while callers stream. They send their next request on the connections that the entry keeps
/// open. The engine is sound and sends its events in time.

namespace zinniadock::review
{

namespace
{

constexpr std::chrono::milliseconds readyTimeout{ 10000 };
constexpr std::chrono::milliseconds termDelay{ 1000 };
constexpr std::chrono::seconds answerTimeout{ 30 };

/// The rule LOST excuses requests that were sent up to this time after the SIGTERM.
constexpr std::chrono::milliseconds excusedTime{ 3000 };

/// The sheet allows pauses of 180 ms between events.
constexpr EngineSpeed speed{ .firstEvent = std::chrono::milliseconds(600),
                             .eventInterval = std::chrono::milliseconds(100) };

constexpr int callerCount = 6;
constexpr int firstOutput = 156; ///< tokens of the first request of the first caller: 39 events
constexpr int outputStep = 8; ///< further tokens of the first request of each later caller
constexpr int nextOutput = 160; ///< tokens of each next request: 40 events

struct Shared
{
    Record &record;
    const Entry &entry;
    std::mutex mutex;
    std::optional<Clock::time_point> termAt;
    int lost = 0;
};

std::chrono::milliseconds sinceTerm(Shared &shared, Clock::time_point time)
{
    const std::lock_guard lock(shared.mutex);
    return std::chrono::duration_cast<std::chrono::milliseconds>(time - shared.termAt.value_or(time));
}

Answer exchange(Shared &shared, Caller &caller, const std::string &id, int outputTokens)
{
    const auto sentAt = Clock::now();
    shared.record.line("sent: POST /stream/1 id " + id + ", " + std::to_string(outputTokens) + " tokens, "
                       + std::to_string(sinceTerm(shared, sentAt).count()) + " ms after the SIGTERM");
    caller.send(requestText("POST", "/stream/1", id,
                            "X-Deadline-Ms: 39000\r\nX-Model: m\r\nX-Token-Count: 1000," + std::to_string(outputTokens)
                                + "\r\n",
                            "prompt"));
    Answer answer = readAnswer(caller, Clock::now() + answerTimeout);
    shared.record.line("answered: id " + id + ", status " + std::to_string(answer.status) + ", complete "
                       + std::to_string(answer.isComplete) + ", closed " + std::to_string(answer.isClosed) + ", "
                       + std::to_string(sinceTerm(shared, Clock::now()).count()) + " ms after the SIGTERM");
    return answer;
}

void runCaller(Shared &shared, int number)
{
    Caller caller(shared.entry.address, callerPort);
    const std::string id = "caller-" + std::to_string(number);
    const Answer first = exchange(shared, caller, id + "-first", firstOutput + number * outputStep);
    if (!first.isComplete || first.fields.count("connection") > 0) {
        return;
    }
    const auto sentAt = Clock::now();
    const Answer next = exchange(shared, caller, id + "-next", nextOutput);
    const bool isExcused = sinceTerm(shared, sentAt) <= excusedTime;
    if (next.status == 200 && next.isClosed && !isExcused) {
        const std::lock_guard lock(shared.mutex);
        ++shared.lost;
    }
}

Result run(const std::string &program, Record &record)
{
    Deployment deployment(program);
    deployment.publishConfiguration();
    SteadyEngine engine("engine-a", deployment.newServerAddress(), speed);
    const auto sidecar = deployment.startSidecar("engine-a", engine.endpoint());
    deployment.list("engine-a", engine.record());
    const Entry &entry = deployment.startEntry();
    if (!Deployment::waitUntilReady(entry, readyTimeout)) {
        record.line("the entry did not become ready");
        return Result::CouldNotRun;
    }
    std::this_thread::sleep_for(std::chrono::seconds(1));
    Shared shared{ .record = record, .entry = entry, .mutex = {}, .termAt = {}, .lost = 0 };
    std::vector<std::thread> callers;
    for (int i = 0; i < callerCount; ++i) {
        callers.emplace_back([&shared, i] {
            runCaller(shared, i);
        });
    }
    std::this_thread::sleep_for(termDelay);
    if (hasTrouble()) {
        {
            const std::lock_guard lock(shared.mutex);
            shared.termAt = Clock::now();
        }
        record.line("the entry gets SIGTERM");
        entry.daemon->signal(SIGTERM);
    }
    for (std::thread &caller : callers) {
        caller.join();
    }
    for (const EngineRun &each : engine.runs()) {
        record.line("run at engine-a: id " + each.id + ", events " + std::to_string(each.events) + " of "
                    + std::to_string(each.allEvents) + (each.isBrokenOff ? ", its connection was closed" : ""));
    }
    if (shared.lost > 0) {
        record.line("LOST broken: " + std::to_string(shared.lost)
                    + " requests that were sent over 3 s after the SIGTERM were passed on and ended without a complete "
                      "answer");
        return Result::Broken;
    }
    record.line("held");
    return Result::Held;
}

} // namespace

} // namespace zinniadock::review

int main(int argc, char **argv)
{
    if (argc != 3) {
        std::cerr << "usage: " << argv[0] << " ZINNIADOCKD RECORD\n";
        return static_cast<int>(zinniadock::review::Result::CouldNotRun);
    }
    zinniadock::review::Record record(argv[2]);
    return static_cast<int>(zinniadock::review::run(argv[1], record));
}
