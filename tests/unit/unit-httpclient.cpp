// Connections of the HTTP client.

#include <thread>
#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <catch2/catch.hpp>

#include "functionserver.h"
#include "zinniadock/connection/httpclient.h"

using namespace zinniadock;
using namespace zinniadock::standin;
using std::chrono::milliseconds;

namespace
{

constexpr milliseconds connectTimeout{ 50 };

/// More than the buffers of the two sockets take, so that the request is still being written in the next turns.
constexpr std::size_t largeBodyBytes = 32U << 20U;

Awaitable<void> sendRequest(ConnectionPool &pool, Endpoint server, IoError &error)
{
    HttpExchange exchange(pool, server, milliseconds(0));
    HttpRequest request(http::verb::post, "/order/1", 11);
    request.set(http::field::host, server.text());
    request.body() = std::string(largeBodyBytes, 'b');
    request.prepare_payload();
    error = co_await exchange.send(request, connectTimeout);
}

} // namespace

// Guards against a time limit for opening a connection that ends the request which is being written to it.
TEST_CASE("a connection that opens in the turn in which its time limit ends stays open")
{
    const LoopbackHttpServer server(0, 2, [](HTTPServerRequest &request, HTTPServerResponse &response) {
        std::this_thread::sleep_for(2 * connectTimeout);
        readBody(request);
        sendJson(response, "{}");
    });
    asio::io_context context;
    ConnectionPool pool(context);
    IoError error;
    asio::co_spawn(
        context,
        [&] {
            return sendRequest(pool, { "127.0.0.1", server.port() }, error);
        },
        asio::detached);
    asio::post(context, [] {
        std::this_thread::sleep_for(2 * connectTimeout);
    });
    context.run();
    CAPTURE(error.message());
    CHECK_FALSE(error);
}
