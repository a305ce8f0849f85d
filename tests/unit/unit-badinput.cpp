#include <catch2/catch.hpp>

#include <Poco/Exception.h>
#include <Poco/Net/NetException.h>
#include <Poco/Net/StreamSocket.h>

#include "fleet.h"
#include "zinniadock/connection/linktransport.h"

using namespace zinniadock;
using namespace zinniadock::test;

namespace
{

/// Sends raw bytes to an entry and returns all bytes that the entry sends until it closes the connection. Appends
/// "[no end]" if reading fails or times out before that.
std::string rawExchange(std::uint16_t port, const std::string &bytes, bool halfClose = false)
{
    Poco::Net::StreamSocket socket(Poco::Net::SocketAddress("127.0.0.1", port));
    socket.setReceiveTimeout(Poco::Timespan(20, 0));
    socket.sendBytes(bytes.data(), static_cast<int>(bytes.size()));
    if (halfClose) {
        try {
            socket.shutdownSend();
        } catch (const Poco::Net::NetException &) {
            // The entry has already rejected the bytes and closed the connection; the response is still read below.
        }
    }
    std::string response;
    char buffer[4096];
    try {
        for (int count = 0; (count = socket.receiveBytes(buffer, sizeof buffer)) > 0;) {
            response.append(buffer, static_cast<std::size_t>(count));
        }
    } catch (const Poco::Exception &) {
        return response + "[no end]";
    }
    return response;
}

bool isNotRun(const CallResponse &response, int status)
{
    return response.status == status && response.verdict == "not_run" && response.requestId.size() == 32;
}

std::string post(const std::string &headers, const std::string &body)
{
    return "POST /v1/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer site-key\r\nConnection: close\r\n"
        + headers + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

constexpr const char *notRunHeader = "X-Zinniadock-Verdict: not_run";

} // namespace

TEST_CASE("bad input of callers")
{
    Fleet fleet(1, 1);
    const std::uint16_t port = fleet.entryPort();
    const std::string path = "/v1/completions";

    SECTION("gets an error status, a request id and the verdict not_run")
    {
        CHECK(isNotRun(send(port, { .path = path, .body = "{" }), 400));
        CHECK(isNotRun(send(port, { .path = path, .body = "[]" }), 400));
        CHECK(isNotRun(send(port, { .path = path, .body = R"({"prompt":"x"})" }), 400));
        CHECK(isNotRun(send(port, { .path = path, .body = R"({"model":"fitting-brief"})" }), 400));
        CHECK(isNotRun(
            send(port, { .path = path, .body = R"({"model":"fitting-brief","prompt":"x","max_tokens":-1})" }), 400));
        CHECK(isNotRun(send(port, { .path = path, .body = R"({"model":"fitting-brief","prompt":"x","stream":"yes"})" }),
                       400));
        CHECK(isNotRun(send(port, { .path = path, .body = R"({"model":"fitting-brief","prompt":"x","n":2})" }), 400));
        CHECK(isNotRun(send(port, { .path = path, .body = R"({"model":"no-such","prompt":"x"})" }), 404));
        CHECK(isNotRun(send(port, { .path = path, .body = std::string(100000, '[') }), 400));
        CHECK(isNotRun(send(port, { .path = "/nowhere", .body = "x" }), 404));
        CHECK(isNotRun(send(port, { .path = path, .body = "{}", .key = "wrong" }), 401));
        CHECK(isNotRun(send(port, { .path = path, .body = "{}", .key = "" }), 401));
        CHECK(isNotRun(send(port, { .method = "GET", .path = path }), 400));
        CHECK(isNotRun(send(port, { .path = "/work-orders", .body = "x", .key = "small-key" }), 404));
        CHECK(isNotRun(send(port, { .path = "/work-orders", .body = "x", .idempotencyKey = std::string(300, 'k') }),
                       400));
        CHECK(isNotRun(send(port, { .path = "/work-orders", .body = "x", .deadline = "soon" }), 400));
        CHECK(isNotRun(send(port, { .path = "/work-orders", .body = "x", .deadline = "0" }), 400));
        CHECK(fleet.engines[0]->started() == 0);
        CHECK(fleet.service->runs("x") == 0);
    }

    SECTION("with a Content-Length over the limit is refused with status 413")
    {
        const std::string response
            = rawExchange(port, "POST /v1/completions HTTP/1.1\r\nHost: x\r\nContent-Length: 99999999\r\n\r\n");
        CHECK(response.find("413") != std::string::npos);
        CHECK(response.find(notRunHeader) != std::string::npos);
    }

    SECTION("with a chunked body over the size limit is refused")
    {
        std::string bytes = "POST /v1/completions HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n";
        for (int i = 0; i < 40; ++i) {
            bytes += "10000\r\n" + std::string(65536, 'x') + "\r\n";
        }
        const std::string response = rawExchange(port, bytes);
        CHECK((response.find("413") != std::string::npos || response.empty() || response.ends_with("[no end]")));
        CHECK(fleet.engines[0]->started() == 0);
    }

    SECTION("that is not HTTP is refused")
    {
        for (const std::string &bytes : { std::string("\x16\x03\x01\x02garbage\r\n\r\n"),
                                          "GET / HTTP/1.1\r\n" + std::string(20000, 'h') + ": x\r\n\r\n",
                                          std::string("POST /v1/completions HTTP/1.1\r\nno colon here\r\n\r\n") }) {
            const std::string response = rawExchange(port, bytes, true);
            INFO(bytes.substr(0, 40) << " -> " << response);
            CHECK(response.starts_with("HTTP/1.1 4"));
            CHECK(response.find(notRunHeader) != std::string::npos);
        }
    }

    SECTION("that arrives incompletely is refused after the read timeout")
    {
        const std::string response = rawExchange(port, "POST /v1/completions HTTP/1.1\r\nHost: x\r\nContent-Le");
        INFO(response);
        CHECK(response.find("did not arrive within 2000 ms") != std::string::npos);
        CHECK(response.find(notRunHeader) != std::string::npos);
    }

    SECTION("with a body shorter than its Content-Length is refused")
    {
        const std::string response
            = rawExchange(port, "POST /v1/completions HTTP/1.1\r\nHost: x\r\nContent-Length: 50\r\n\r\n{}", true);
        CHECK(response.find(notRunHeader) != std::string::npos);
        CHECK(fleet.engines[0]->started() == 0);
    }

    SECTION("from a streaming caller that half-closed its connection does not prevent the complete response")
    {
        const std::string body = R"({"model":"fitting-brief","prompt":"half [tokens=300]","stream":true})";
        const std::string response = rawExchange(port, post("", body), true);
        CHECK(response.find("data: [DONE]") != std::string::npos);
    }

    SECTION(
        "from a non-streaming caller that half-closed its connection gets status 499, and the generation is cancelled")
    {
        const std::string body = R"({"model":"fitting-brief","prompt":"half [tokens=60000]"})";
        const std::string response = rawExchange(port, post("", body), true);
        CHECK(response.find("499") != std::string::npos);
        CHECK(response.find("X-Zinniadock-Verdict: may_have_run") != std::string::npos);
        CHECK(eventually([&] {
            return fleet.engines[0]->running() == 0;
        }));
    }

    SECTION("does not affect other callers")
    {
        const std::string prompt = "beside bad input [tokens=1000]";
        StreamResponse response;
        std::thread caller([&] {
            response = streamGeneration(port, prompt);
        });
        for (int i = 0; i < 20; ++i) {
            rawExchange(port, "garbage\r\n\r\n", true);
            send(port, { .path = path, .body = "{" });
        }
        caller.join();
        CHECK(hasExpectedTokens(response, prompt, 1000));
    }
}

TEST_CASE("limits of a client account")
{
    Fleet fleet(1, 1);

    SECTION("refuse requests over the rate limit, with a Retry-After header")
    {
        int refused = 0;
        for (int i = 0; i < 10; ++i) {
            const CallResponse response
                = send(fleet.entryPort(), { .method = "GET", .path = "/status", .key = "small-key" });
            if (response.status == 429) {
                CHECK(response.verdict == "not_run");
                CHECK(response.retryAfter.count() >= 1);
                ++refused;
            }
        }
        CHECK(refused >= 6);
    }
}

TEST_CASE("bad input on links")
{
    Fleet fleet(1, 1);

    SECTION("closes the link that sent it, and no other")
    {
        const std::string prompt = "beside garbage [tokens=1500]";
        StreamResponse response;
        std::thread caller([&] {
            response = streamGeneration(fleet.entryPort(), prompt);
        });
        std::atomic<int> closed{ 0 };
        std::unique_ptr<LinkTransport> intruder;
        intruder = std::make_unique<LinkTransport>(LinkHandlers{ .opened =
                                                                     [&](LinkId link) {
                                                                         intruder->send(link, "garbage");
                                                                     },
                                                                 .closed =
                                                                     [&](LinkId) {
                                                                         ++closed;
                                                                     },
                                                                 .received = [](LinkId, const std::string &) {} });
        for (int i = 0; i < 10; ++i) {
            intruder->connect("127.0.0.1", fleet.sidecars[0]->port());
        }
        CHECK(eventually([&] {
            return closed == 10;
        }));
        intruder->stop();
        caller.join();
        CHECK(hasExpectedTokens(response, prompt, 1500));
        CHECK(fleet.sidecars[0]->status().rejectedFrames == 10);
        CHECK(fleet.entries[0]->status().links.reconnects == 2);
    }
}
