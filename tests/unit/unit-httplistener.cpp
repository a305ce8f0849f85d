#include <catch2/catch.hpp>

#include <array>

#include <Poco/Net/StreamSocket.h>

#include "zinniadock/connection/httplistener.h"

using namespace zinniadock;

namespace
{

constexpr int mostSteps = 24;

struct Served
{
    int handled = 0;
    bool answered = false;
};

/// Sends a request to a listener that closes its idle connections after so many steps of its event loop.
Served closeAfter(int steps)
{
    asio::io_context context{ 1 };
    Served served;
    auto listener = std::make_shared<HttpListener>(
        context,
        [&served](std::shared_ptr<HttpConnection> connection, HttpRequest /*request*/) -> Awaitable<void> {
            ++served.handled;
            const HttpResponse answer = makeResponse(http::status::ok, "done\n", "text/plain");
            co_await connection->respond(answer);
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
        served.answered = caller.receiveBytes(buffer.data(), static_cast<int>(buffer.size())) > 0;
    } catch (const Poco::Exception &) {
        served.answered = false; // closed, or nothing came
    }
    return served;
}

} // namespace

TEST_CASE("a listener that closes its idle connections")
{
    SECTION("never takes a request whose caller it has already closed")
    {
        for (int steps = 0; steps < mostSteps; ++steps) {
            INFO("closed after " << steps << " steps of the event loop");
            const Served served = closeAfter(steps);
            CHECK((served.handled == 0) == !served.answered);
        }
    }
    SECTION("leaves a connection open on which a request has arrived")
    {
        int answered = 0;
        for (int steps = 2; steps < mostSteps; ++steps) {
            answered += closeAfter(steps).answered ? 1 : 0;
        }
        CHECK(answered >= mostSteps - 4);
    }
}
