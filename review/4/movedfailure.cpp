#include <iostream>
#include <thread>

#include "../harness/harness.h"

/// A stream moves from a draining engine to one that fails the continued request with its own, signed 500.

namespace zinniadock::review
{

namespace
{

constexpr std::chrono::milliseconds eventInterval{ 50 };
constexpr std::chrono::milliseconds drainTime{ 2000 };

/// Time after the start of the stream at which its engine begins to drain.
constexpr std::chrono::milliseconds drainDelay{ 700 };
constexpr std::chrono::milliseconds readyTimeout{ 10000 };
constexpr std::chrono::seconds answerTimeout{ 15 };

void recordRuns(Record &record, const std::string &name, standin::PlatformServer &server)
{
    for (const standin::ReceivedRequest &request : server.startedRequests()) {
        const auto copy = request.fields.find("kv-from");
        record.line("run at " + name + ": " + request.target + " id " + request.fields.at("x-request-id")
                    + (copy == request.fields.end()
                           ? ""
                           : ", Kv-From " + copy->second + ", Last-Event-Id " + request.fields.at("last-event-id")));
    }
}

Result run(const std::string &program, Record &record)
{
    Deployment deployment(program);
    deployment.publishConfiguration();
    Engine &source = deployment.startEngine("engine-a");
    Engine &target = deployment.startEngine("engine-b");
    source.server->setEventInterval(eventInterval);
    target.server->setEventInterval(eventInterval);
    if (hasTrouble()) {
        target.server->setScriptedResponse(
            { .parts = { "HTTP/1.1 500 Internal Server Error\r\nX-Request-Id: {id}\r\nX-Server-Signature: b.1\r\n"
                         "Content-Type: text/plain\r\nContent-Length: 7\r\n\r\nfailed\n" },
              .end = standin::ConnectionEnd::StaysOpen });
    }
    deployment.list("engine-a", source.server->record("engines"));
    const Entry &entry = deployment.startEntry();
    if (!Deployment::waitUntilReady(entry, readyTimeout)) {
        record.line("the entry did not become ready");
        return Result::CouldNotRun;
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(500));

    Caller caller(entry.address, callerPort);
    record.line("sent: POST /stream/1 id 9c41d07be2a35f68");
    caller.send(requestText("POST", "/stream/1", "9c41d07be2a35f68",
                            "X-Deadline-Ms: 39000\r\nX-Model: m\r\nX-Token-Count: 1000,240\r\n", "prompt"));
    std::thread operations([&] {
        std::this_thread::sleep_for(drainDelay);
        deployment.list("engine-b", target.server->record("engines"));
        std::this_thread::sleep_for(std::chrono::milliseconds(300));
        record.line("engine-a drains");
        source.server->startDraining(drainTime);
        deployment.list("engine-a", source.server->record("engines", "draining"));
    });
    const Answer answer = readAnswer(caller, Clock::now() + answerTimeout);
    operations.join();
    record.line("answered: status " + std::to_string(answer.status) + ", " + std::to_string(answer.body.size())
                + " bytes of body, complete " + std::to_string(answer.isComplete) + ", closed "
                + std::to_string(answer.isClosed));
    recordRuns(record, "engine-a", *source.server);
    recordRuns(record, "engine-b", *target.server);
    if (target.server->startedRequests().empty()) {
        record.line("the stream was not moved");
        return Result::CouldNotRun;
    }
    if (!answer.malformed.empty()) {
        record.line("MIXED broken: inside the stream, where the size of a chunk is due: " + answer.malformed);
        return Result::Broken;
    }
    if (answer.isComplete && answer.body != standin::completeStreamBody()) {
        record.line("MIXED broken: the stream ended as complete with another body");
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
