#include <algorithm>
#include <thread>

#include <catch2/catch.hpp>

#include "crashingpool.h"

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
