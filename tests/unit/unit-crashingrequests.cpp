#include <algorithm>
#include <thread>

#include <Poco/Net/StreamSocket.h>
#include <catch2/catch.hpp>

#include "crashingpool.h"
#include "rawcaller.h"

using namespace zinniadock;
using namespace zinniadock::test;

namespace
{

using Clock = std::chrono::steady_clock;

/// Time in which all entries must know what one of them has seen.
constexpr std::chrono::milliseconds knowledgeTime{ 3000 };

/// Max number of requests that may reach servers after knowledgeTime.
constexpr std::size_t maxLateRequests = 3;

/// Returns the number of servers that were ended later than knowledgeTime after \p allowed others.
std::size_t lateCrashes(const std::vector<Clock::time_point> &crashes, std::size_t allowed)
{
    if (crashes.size() < allowed) {
        return 0;
    }
    const auto end = crashes[allowed - 1] + knowledgeTime;
    return static_cast<std::size_t>(std::count_if(crashes.begin(), crashes.end(), [end](Clock::time_point crash) {
        return crash > end;
    }));
}

/// Sends the bytes of a request, and leaves before a response can arrive.
void sendAndLeave(std::uint16_t port, const std::string &request)
{
    Poco::Net::StreamSocket socket(Poco::Net::SocketAddress("127.0.0.1", port));
    socket.sendBytes(request.data(), static_cast<int>(request.size()));
    std::this_thread::sleep_for(std::chrono::milliseconds(40));
    socket.close();
}

/// Sends requests that crash servers to one entry after another, with sound ones beside them, and checks that the
/// servers are left alone in the end. Requests of plain services only.
template <typename SendDeadly>
void checkThatCrashesEnd(CrashingPool &pool, SendDeadly sendDeadly)
{
    const TestRequest sound{ .target = "/read/1", .id = "sound", .body = "read 1" };
    std::size_t number = 0;
    const auto end = Clock::now() + 3 * knowledgeTime;
    while (Clock::now() < end) {
        ++number;
        sendDeadly(pool.entryPort(number % 3), "deadly" + std::to_string(number));
        sendRequest(pool.entryPort((number + 1) % 3), sound);
        std::this_thread::sleep_for(std::chrono::milliseconds(50));
    }
    CAPTURE(pool.crashes().size());
    CHECK(pool.crashes().size() >= 2);
    CHECK(lateCrashes(pool.crashes(), 3) <= maxLateRequests);
    std::size_t soundAnswered = 0;
    for (std::size_t reads = 0; reads < 10; ++reads) {
        soundAnswered += sendRequest(pool.entryPort(reads % 3), sound).status == 200 ? 1 : 0;
    }
    CHECK(soundAnswered == 10);
}

} // namespace

// Guards against a request that ends one server after another, because no entry remembers under which requests servers
// ended.
TEST_CASE("a request that crashes servers is no longer sent to servers after some crashes")
{
    const auto serverReturn = GENERATE(ServerReturn::NewServer, ServerReturn::SameId, ServerReturn::SameAddress);
    CrashingPool pool("shop", 4, 3, serverReturn);
    const TestRequest deadly{ .target = "/read/1", .id = "deadly", .body = std::string("read ") + crashMarker };
    const TestRequest sound{ .target = "/read/1", .id = "sound", .body = "read 1" };
    std::size_t soundAnswered = 0;
    const auto end = Clock::now() + 3 * knowledgeTime;
    TestResponse last;
    for (std::size_t i = 0; Clock::now() < end; ++i) {
        last = sendRequest(pool.entryPort(i % 3), deadly);
        for (int reads = 0; reads < 5; ++reads) {
            soundAnswered += sendRequest(pool.entryPort((i + 1) % 3), sound).status == 200 ? 1 : 0;
            std::this_thread::sleep_for(std::chrono::milliseconds(50));
        }
    }
    CHECK(lateCrashes(pool.crashes(), 3) <= maxLateRequests);
    CHECK(last.status == 503);
    CHECK(last.retryAfter > 0);
    soundAnswered = 0;
    for (int reads = 0; reads < 10; ++reads) {
        soundAnswered += sendRequest(pool.entryPort(0), sound).status == 200 ? 1 : 0;
    }
    CHECK(soundAnswered == 10);
}

// Guards against requests that have only one part of their prompts in common and end one engine after another, because
// they are recognised only as a whole.
TEST_CASE("requests with a prompt part that crashes engines are no longer sent to engines after some crashes")
{
    CrashingPool pool("engines", 5, 3);
    const auto promptOf = [](const std::string &parts, std::size_t number) {
        return parts + ",own" + std::to_string(number) + ":900";
    };
    const std::string deadlyParts = std::string("first:79,") + crashMarker + ":21";
    std::size_t soundAnswered = 0;
    std::size_t number = 0;
    TestResponse last;
    const auto sendDeadly = [&] {
        ++number;
        last = sendRequest(pool.entryPort(number % 3),
                           { .target = "/stream/1",
                             .id = "deadly" + std::to_string(number),
                             .isGeneration = true,
                             .body = {},
                             .promptParts = promptOf(deadlyParts, number) });
    };
    const auto sendSound = [&](const std::string &parts) {
        ++number;
        const TestResponse response = sendRequest(pool.entryPort(number % 3),
                                                  { .target = "/stream/1",
                                                    .id = "sound" + std::to_string(number),
                                                    .isGeneration = true,
                                                    .body = {},
                                                    .promptParts = promptOf(parts, number) });
        return response.status == 200;
    };
    const auto end = Clock::now() + 4 * knowledgeTime;
    while (Clock::now() < end) {
        sendDeadly();
        sendSound("first:79");
        std::this_thread::sleep_for(std::chrono::milliseconds(100));
    }
    CHECK(lateCrashes(pool.crashes(), 5) <= maxLateRequests);
    CHECK(last.status == 503);
    CHECK(last.retryAfter > 0);
    for (int i = 0; i < 5; ++i) {
        soundAnswered += sendSound("first:79") ? 1 : 0;
        soundAnswered += sendSound("first:79,other:21") ? 1 : 0;
    }
    CHECK(soundAnswered == 10);
}

// Guards against a request that ends one server after another, because its callers leave before it does and the entries
// forget the run with them.
TEST_CASE("a request that crashes servers after its callers have left is no longer sent to servers")
{
    CrashingPool pool("shop", 3, 3, ServerReturn::NewServer, std::chrono::milliseconds(90));
    checkThatCrashesEnd(pool, [](std::uint16_t port, const std::string &id) {
        sendAndLeave(port, rawRequest("GET", std::string("/read/") + crashMarker, id));
    });
}

// Guards against a request that ends one server after another, because an entry gives up an attempt before the server
// ends and forgets the run with it.
TEST_CASE("a request that crashes servers after its attempts were given up is no longer sent to servers")
{
    CrashingPool pool("shop", 4, 3, ServerReturn::NewServer, std::chrono::milliseconds(400));
    checkThatCrashesEnd(pool, [](std::uint16_t port, const std::string &id) {
        const std::string body = std::string("read ") + crashMarker;
        sendRequest(port, { .target = "/read/1", .id = id, .body = body });
    });
}

// Guards against engines that end one after another, because the callers of streams leave before they do.
TEST_CASE("streams that crash engines after their callers have left are no longer sent to engines")
{
    CrashingPool pool("engines", 5, 3, ServerReturn::NewServer, std::chrono::milliseconds(90));
    const std::string fields
        = "X-Token-Count: 1000,240\r\nX-Prompt-Prefix: " + std::string(crashMarker) + ":21,own:900\r\n";
    const auto end = Clock::now() + 3 * knowledgeTime;
    for (std::size_t number = 0; Clock::now() < end; ++number) {
        const std::string id = "deadly" + std::to_string(number);
        sendAndLeave(pool.entryPort(number % 3), rawRequest("POST", "/stream/1", id, fields));
        sendRequest(pool.entryPort((number + 1) % 3),
                    { .target = "/stream/1",
                      .id = "sound" + std::to_string(number),
                      .isGeneration = true,
                      .body = {},
                      .promptParts = "first:79,own" + std::to_string(number) + ":9" });
    }
    CAPTURE(pool.crashes().size());
    CHECK(lateCrashes(pool.crashes(), 5) <= maxLateRequests);
}

// Guards against evidence that is lost because the server is listed as gone before an entry finds out that it crashed.
TEST_CASE("requests that crash servers after their callers have left are found also without other requests")
{
    const bool isGeneration = GENERATE(false, true);
    CrashingPool pool(isGeneration ? "engines" : "shop", 6, 3, ServerReturn::NewServer, std::chrono::milliseconds(90));
    pool.setReturnDelay(std::chrono::milliseconds(2000));
    const std::string fields
        = "X-Token-Count: 1000,240\r\nX-Prompt-Prefix: first:79," + std::string(crashMarker) + ":21\r\n";
    const auto end = Clock::now() + 4 * knowledgeTime;
    for (std::size_t number = 0; Clock::now() < end; ++number) {
        const std::string id = "deadly" + std::to_string(number);
        const std::string request = isGeneration ? rawRequest("POST", "/stream/1", id, fields)
                                                 : rawRequest("GET", std::string("/read/") + crashMarker, id);
        sendAndLeave(pool.entryPort(number % 3), request);
        std::this_thread::sleep_for(std::chrono::milliseconds(300));
    }
    CAPTURE(isGeneration, pool.crashes().size());
    CHECK(pool.crashes().size() >= 2);
    CHECK(lateCrashes(pool.crashes(), 3) <= maxLateRequests);
}

// Guards against evidence that is lost because the entry stops before the server crashes.
TEST_CASE("requests that crash servers are found although each entry stops after one of them")
{
    const bool leaves = GENERATE(false, true);
    CrashingPool pool("shop", 6, 3, ServerReturn::NewServer, std::chrono::milliseconds(200));
    const auto end = Clock::now() + 4 * knowledgeTime;
    for (std::size_t number = 0; Clock::now() < end; ++number) {
        const std::string request
            = rawRequest("GET", std::string("/read/") + crashMarker, "deadly" + std::to_string(number));
        const std::uint16_t port = pool.entryPort(number % 3);
        if (leaves) {
            sendAndLeave(port, request);
        } else {
            requestRaw(port, request, "GET");
        }
        pool.stopEntry(number % 3);
    }
    CAPTURE(leaves, pool.crashes().size());
    CHECK(pool.crashes().size() >= 2);
    CHECK(lateCrashes(pool.crashes(), 3) <= maxLateRequests);
}
