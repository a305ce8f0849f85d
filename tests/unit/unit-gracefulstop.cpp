// What a role that stops does with requests that arrive late.

#include <catch2/catch.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/use_future.hpp>

#include "zinniadock/process/gracefulstop.h"

using namespace zinniadock;
using std::chrono::milliseconds;

namespace
{

constexpr milliseconds handOverTime{ 150 };
constexpr milliseconds requestTime{ 200 };

/// A role that hands over for some time, and gets a request meanwhile if it still accepts connections or had accepted
/// one before.
class LateRole
{
public:
    explicit LateRole(bool hasAcceptedBefore)
        : m_hasAcceptedBefore(hasAcceptedBefore)
    {
    }

    void drain(milliseconds /*timeLimit*/)
    {
    }
    void closeIdleConnections()
    {
    }

    void stopAccepting()
    {
        isAccepting = false;
    }

    void endRequests()
    {
        ++endings;
    }

    Awaitable<void> handOver()
    {
        ++handOvers;
        co_await sleepFor(handOverTime / 2);
        if (handOvers == 1 && (isAccepting || m_hasAcceptedBefore)) {
            m_requestEnd = std::chrono::steady_clock::now() + requestTime;
        }
        co_await sleepFor(handOverTime / 2);
    }

    bool isIdle() const
    {
        return std::chrono::steady_clock::now() >= m_requestEnd;
    }

    bool isAccepting = true;
    int handOvers = 0;
    int endings = 0;

private:
    const bool m_hasAcceptedBefore;
    std::chrono::steady_clock::time_point m_requestEnd;
};

bool stop(LateRole &role)
{
    asio::io_context context{ 1 };
    auto result = asio::co_spawn(
        context,
        [&role]() {
            return stopGracefully(role, { .lameDuck = milliseconds(0), .limit = milliseconds(2000) });
        },
        asio::use_future);
    context.run();
    return result.get();
}

} // namespace

// Guards against requests that a stopping entry reads while it hands over, and that are cut when it ends.
TEST_CASE("a role that hands over takes no new connections")
{
    LateRole role(false);
    CHECK_FALSE(stop(role));
    CHECK(role.isIdle());
    CHECK_FALSE(role.isAccepting);
    CHECK(role.handOvers == 1);
}

// Guards against the same requests on connections that were accepted before.
TEST_CASE("a role waits for the requests that arrived while it handed over, and hands over what they have shown")
{
    LateRole role(true);
    CHECK_FALSE(stop(role));
    CHECK(role.isIdle());
    CHECK(role.handOvers == 2);
    CHECK(role.endings == 0);
}
