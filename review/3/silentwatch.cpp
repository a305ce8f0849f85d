#include <atomic>
#include <iostream>
#include <thread>

#include "../harness/harness.h"
#include "../harness/silencingrelay.h"
#include "../harness/steadyengine.h"

/// The open connections of an entry to the store go silent for good, while new ones work. Then a new version moves the
/// route of the work orders to another service.

namespace zinniadock::review
{

namespace
{

constexpr std::chrono::milliseconds readyTimeout{ 10000 };
constexpr std::chrono::seconds answerTimeout{ 5 };
constexpr std::chrono::milliseconds warmUp{ 2500 };

/// From a first change of the configuration to the silence, and from there to the change that moves the route.
constexpr std::chrono::milliseconds silenceDelay{ 100 };
constexpr std::chrono::milliseconds changeDelay{ 300 };
constexpr std::chrono::milliseconds observation{ 6000 };

/// `configApplyMs` and `stableWindowMs`.
constexpr std::chrono::milliseconds configApplyTime{ 2000 };
constexpr std::chrono::milliseconds stableWindow{ 3000 };

constexpr EngineSpeed shopSpeed{ .firstEvent = std::chrono::milliseconds(30), .eventInterval = {} };
constexpr int callerCount = 6;

struct Shared
{
    Record &record;
    const Entry &entry;
    std::atomic<bool> isEnded{ false };
    std::mutex mutex;
    std::map<std::string, Clock::time_point> sentAt; ///< by request id
};

void runOrders(Shared &shared, int number)
{
    Caller caller(shared.entry.address, callerPort);
    for (int i = 0; !shared.isEnded; ++i) {
        const std::string id = "order-" + std::to_string(number) + "-" + std::to_string(i);
        {
            const std::lock_guard lock(shared.mutex);
            shared.sentAt[id] = Clock::now();
        }
        caller.send(requestText("POST", "/order/1", id, "X-Deadline-Ms: 1500\r\n", "book"));
        const Answer answer = readAnswer(caller, Clock::now() + answerTimeout);
        if (answer.status != 200 || !answer.isComplete) {
            shared.record.line("answered: id " + id + ", status " + std::to_string(answer.status));
            return;
        }
    }
}

std::string milliseconds(Clock::duration time)
{
    return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(time).count()) + " ms";
}

Result run(const std::string &program, Record &record)
{
    Deployment deployment(program);
    deployment.publishConfiguration();
    SteadyEngine oldServer("shop-a", deployment.newServerAddress(), shopSpeed);
    SteadyEngine newServer("depot-a", deployment.newServerAddress(), shopSpeed);
    deployment.list("shop-a", oldServer.record("shop"));
    deployment.list("depot-a", newServer.record("depot"));
    SilencingRelay storeLink("127.0.0.1", deployment.store.port());
    const Entry &entry = deployment.startEntry("127.0.0.1:" + std::to_string(storeLink.port()));
    if (!Deployment::waitUntilReady(entry, readyTimeout)) {
        record.line("the entry did not become ready");
        return Result::CouldNotRun;
    }
    Shared shared{ .record = record, .entry = entry };
    std::vector<std::thread> callers;
    for (int i = 0; i < callerCount; ++i) {
        callers.emplace_back([&shared, i] {
            runOrders(shared, i);
        });
    }
    std::this_thread::sleep_for(warmUp);
    deployment.publishConfiguration();
    record.line("a first new version is acknowledged");
    std::this_thread::sleep_for(silenceDelay);
    const auto silentAt = Clock::now();
    if (hasTrouble()) {
        storeLink.silenceOpenConnections();
        record.line("the open connections of the entry to the store go silent");
    }
    std::this_thread::sleep_for(changeDelay);
    deployment.publishConfiguration("depot");
    const auto acknowledgedAt = Clock::now();
    record.line("a version that moves /order/ from shop to depot is acknowledged");
    std::this_thread::sleep_for(observation);
    shared.isEnded = true;
    for (std::thread &caller : callers) {
        caller.join();
    }
    const auto bound = std::max(acknowledgedAt + configApplyTime, silentAt + stableWindow);
    int late = 0;
    Clock::duration latest{ 0 };
    for (const EngineRun &each : oldServer.runs()) {
        const auto sentAt = shared.sentAt.at(each.id);
        late += sentAt > bound ? 1 : 0;
        latest = std::max(latest, sentAt - acknowledgedAt);
    }
    record.line("run at shop-a: " + std::to_string(oldServer.runs().size()) + ", at depot-a: "
                + std::to_string(newServer.runs().size()) + "; the last one at shop-a was sent " + milliseconds(latest)
                + " after the acknowledgement, and the bound is " + milliseconds(bound - acknowledgedAt));
    if (newServer.runs().empty()) {
        record.line("the new version did not come into force");
        return Result::CouldNotRun;
    }
    if (late > 0) {
        record.line("CONFIG broken: " + std::to_string(late)
                    + " orders that were sent after the bound ran at the old service");
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
