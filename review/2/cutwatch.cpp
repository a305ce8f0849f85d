#include <atomic>
#include <iostream>
#include <thread>

#include "../../tests/standin/linkrelay.h"
#include "../harness/harness.h"
#include "../harness/steadyengine.h"

/// The store cuts the waiting watches of an entry. Right after it, a server leaves without having reported that it is
/// draining: its record is removed, and it serves for a little longer than the drain deadline. All its answers say that
/// it leaves, but the entry has no work for it in that time.

namespace zinniadock::review
{

namespace
{

constexpr std::chrono::milliseconds readyTimeout{ 10000 };
constexpr std::chrono::seconds answerTimeout{ 5 };

/// `drainDeadlineMs`, and how much longer the server serves.
constexpr std::chrono::milliseconds drainDeadline{ 2000 };
constexpr std::chrono::milliseconds extraServingTime{ 130 };

/// From the removal to the next orders, and from the last orders to the cut.
constexpr std::chrono::milliseconds nextOrdersDelay{ 2100 };
constexpr std::chrono::milliseconds quietTime{ 300 };

constexpr std::chrono::milliseconds removalDelay{ 30 }; ///< from the cut to the removal of the record
constexpr std::chrono::milliseconds warmUp{ 4500 };
constexpr EngineSpeed shopSpeed{ .firstEvent = std::chrono::milliseconds(60), .eventInterval = {} };
constexpr int callerCount = 12;

struct Shared
{
    Record &record;
    const Entry &entry;
    std::atomic<bool> isEnded{ false };
    std::atomic<bool> isQuiet{ false }; ///< the callers send nothing
    std::atomic<int> answers{ 0 };
    std::atomic<int> failures{ 0 };
};

void runOrders(Shared &shared, int number)
{
    auto caller = std::make_unique<Caller>(shared.entry.address, callerPort);
    for (int i = 0; !shared.isEnded; ++i) {
        while (shared.isQuiet) {
            std::this_thread::sleep_for(std::chrono::milliseconds(1));
        }
        const std::string id = "order-" + std::to_string(number) + "-" + std::to_string(i);
        caller->send(requestText("POST", "/order/1", id, "X-Deadline-Ms: 1500\r\n", "book"));
        const Answer answer = readAnswer(*caller, Clock::now() + answerTimeout);
        ++(answer.status == 200 && answer.isComplete ? shared.answers : shared.failures);
        if (answer.status != 200) {
            shared.record.line("answered: id " + id + ", status " + std::to_string(answer.status) + " " + answer.body);
        }
        if (!answer.isComplete || answer.fields.count("connection") > 0) {
            caller = std::make_unique<Caller>(shared.entry.address, callerPort);
        }
    }
}

Result run(const std::string &program, Record &record)
{
    Deployment deployment(program);
    deployment.publishConfiguration();
    SteadyEngine stays("shop-a", deployment.newServerAddress(), shopSpeed);
    SteadyEngine leaves("shop-b", deployment.newServerAddress(), shopSpeed);
    deployment.list("shop-a", stays.record("shop"));
    deployment.list("shop-b", leaves.record("shop"));
    standin::LinkRelay storeLink(standin::LinkRelaySettings{ .server = deployment.storeEndpoint() });
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
    shared.isQuiet = true;
    std::this_thread::sleep_for(quietTime);
    if (hasTrouble()) {
        record.line("the store cuts the watches that wait");
        storeLink.cut();
    }
    std::this_thread::sleep_for(removalDelay);
    leaves.startLeaving();
    deployment.unlist("shop-b");
    const auto removedAt = Clock::now();
    record.line("the record of shop-b is removed");
    std::this_thread::sleep_until(removedAt + nextOrdersDelay);
    record.line("the callers send their next orders");
    shared.isQuiet = false;
    std::this_thread::sleep_until(removedAt + drainDeadline + extraServingTime);
    leaves.stop();
    record.line("shop-b has ended");
    std::this_thread::sleep_for(std::chrono::seconds(1));
    shared.isEnded = true;
    for (std::thread &caller : callers) {
        caller.join();
    }
    int late = 0;
    Clock::duration latest{ 0 };
    for (const EngineRun &each : leaves.runs()) {
        late += each.arrivedAt > removedAt + drainDeadline ? 1 : 0;
        latest = std::max(latest, each.arrivedAt - removedAt);
    }
    record.line("run at shop-a: " + std::to_string(stays.runs().size())
                + ", at shop-b: " + std::to_string(leaves.runs().size()) + ", the last one "
                + std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(latest).count())
                + " ms after its removal");
    record.line("answers: " + std::to_string(shared.answers) + ", failures: " + std::to_string(shared.failures));
    if (late > 0) {
        record.line("DRAIN broken: " + std::to_string(late) + " orders reached shop-b over 2,000 ms after its removal");
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
