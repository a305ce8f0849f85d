#include <catch2/catch.hpp>

#include <array>
#include <functional>
#include <thread>
#include <vector>

#include <Poco/Net/StreamSocket.h>

#include "zinniadock/connection/httplistener.h"

using namespace zinniadock;

namespace
{

constexpr int maxSteps = 24;

struct RequestOutcome
{
    int handled = 0;
    bool hasResponse = false;
};

/// Sends a request to a listener, polls its event loop \p steps times, and then has it close its idle connections.
/// Each poll runs at most one handler that is ready.
RequestOutcome closeIdleAfter(int steps)
{
    asio::io_context context{ 1 };
    RequestOutcome outcome;
    auto listener = std::make_shared<HttpListener>(
        context,
        [&outcome](std::shared_ptr<HttpConnection> connection, HttpRequest /*request*/) -> Awaitable<void> {
            ++outcome.handled;
            const HttpResponse response = makeResponse(http::status::ok, "done\n", "text/plain");
            co_await connection->respond(response);
        },
        internalListenerLimits);
    REQUIRE_FALSE(listener->start({ "127.0.0.1", 0 }));
    Poco::Net::StreamSocket caller(Poco::Net::SocketAddress("127.0.0.1", listener->port()));
    const std::string request = "GET / HTTP/1.1\r\nHost: a\r\n\r\n";
    caller.sendBytes(request.data(), static_cast<int>(request.size()));
    for (int i = 0; i < steps; ++i) {
        context.poll_one();
    }
    listener->closeIdle();
    context.run_for(std::chrono::milliseconds(30));
    listener->stop();
    caller.setReceiveTimeout(Poco::Timespan(0, 20000));
    std::array<char, 256> buffer{};
    try {
        outcome.hasResponse = caller.receiveBytes(buffer.data(), static_cast<int>(buffer.size())) > 0;
    } catch (const Poco::Exception &) {
        outcome.hasResponse = false; // the connection was closed, or no response arrived in time
    }
    return outcome;
}

} // namespace

// Guards against callers that leave without an answer, since each turn of a busy event loop accepts one connection.
TEST_CASE("connections that wait are accepted together while turns of the event loop take long")
{
    constexpr int callers = 100;
    constexpr std::chrono::milliseconds turn{ 20 };
    constexpr std::chrono::milliseconds bound{ 600 }; // of a caller; one turn for each connection takes 2 s
    asio::io_context context{ 1 };
    int handled = 0;
    auto listener = std::make_shared<HttpListener>(
        context,
        [&handled](std::shared_ptr<HttpConnection> connection, HttpRequest /*request*/) -> Awaitable<void> {
            ++handled;
            const HttpResponse response = makeResponse(http::status::ok, "done\n", "text/plain");
            co_await connection->respond(response);
        },
        internalListenerLimits);
    REQUIRE_FALSE(listener->start({ "127.0.0.1", 0 }));
    const std::string request = "GET / HTTP/1.1\r\nHost: a\r\n\r\n";
    std::vector<Poco::Net::StreamSocket> waiting;
    for (int i = 0; i < callers; ++i) {
        waiting.emplace_back(Poco::Net::SocketAddress("127.0.0.1", listener->port()));
        waiting.back().sendBytes(request.data(), static_cast<int>(request.size()));
    }
    SECTION("and all of them are handled in time")
    {
        const std::function<void()> takeTurn = [&] {
            std::this_thread::sleep_for(turn);
            asio::post(context, takeTurn);
        };
        asio::post(context, takeTurn);
        context.run_for(bound);
        CHECK(handled == callers);
    }
    SECTION("and those that their callers have closed are not handled")
    {
        for (Poco::Net::StreamSocket &caller : waiting) {
            caller.close();
        }
        context.run_for(bound);
        CHECK(handled == 0);
        CHECK(listener->leftBeforeAccept() == callers);
    }
    listener->stop();
}

TEST_CASE("a listener that closes its idle connections")
{
    SECTION("never handles a request whose connection it has already closed")
    {
        for (int steps = 0; steps < maxSteps; ++steps) {
            INFO("closed after " << steps << " steps of the event loop");
            const RequestOutcome outcome = closeIdleAfter(steps);
            CHECK((outcome.handled == 0) == !outcome.hasResponse);
        }
    }
    SECTION("leaves a connection open on which a request has arrived")
    {
        int responseCount = 0;
        for (int steps = 2; steps < maxSteps; ++steps) {
            responseCount += closeIdleAfter(steps).hasResponse ? 1 : 0;
        }
        CHECK(responseCount >= maxSteps - 4);
    }
}
