#include <atomic>
#include <thread>

#include <catch2/catch.hpp>

#include "scriptedresponse.h"
#include "zinniadock/process/store/etcdstore.h"

using namespace zinniadock;
using namespace zinniadock::standin;

namespace
{

constexpr std::chrono::milliseconds storeTimeout{ 300 };

/// A store whose responses are scripted. All calls after the last script get the last one.
class ScriptedStore
{
public:
    explicit ScriptedStore(std::vector<ScriptedResponse> responses)
        : m_responses(std::move(responses))
        , m_server(0, 4, [this](HTTPServerRequest &request, HTTPServerResponse & /*response*/) {
            readBody(request);
            sendScripted(request, m_responses.at(std::min<std::size_t>(m_calls++, m_responses.size() - 1)));
        })
    {
    }

    Endpoint endpoint() const
    {
        return { "127.0.0.1", m_server.port() };
    }

private:
    const std::vector<ScriptedResponse> m_responses;
    std::atomic<std::size_t> m_calls{ 0 };
    LoopbackHttpServer m_server;
};

std::string sized(const std::string &body)
{
    return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

/// Returns the response to a read of a value in base64 at a revision.
std::string readResponse(const std::string &value, int revision)
{
    const std::string number = std::to_string(revision);
    return R"({"header":{"revision":")" + number + R"("},"kvs":[{"value":")" + value + R"(","mod_revision":")" + number
        + R"("}]})";
}

} // namespace

// Guards against a second response on a connection that is taken for the response to the next call.
TEST_CASE("a store response that nobody asked for is not taken for the response to the next call")
{
    const std::string first = sized(readResponse("Zmlyc3Q=", 5));
    const std::string extra = sized(readResponse("ZXh0cmE=", 6));
    const std::string second = sized(readResponse("c2Vjb25k", 7));
    const bool isLate = GENERATE(true, false);
    const std::vector<std::string> parts
        = isLate ? std::vector<std::string>{ first, extra } : std::vector<std::string>{ first + extra };
    ScriptedStore server({ { .parts = parts, .end = ConnectionEnd::StaysOpen },
                           { .parts = { second }, .end = ConnectionEnd::StaysOpen } });
    EtcdStore store(server.endpoint(), storeTimeout);
    REQUIRE(store.read("k").value);
    std::this_thread::sleep_for(10 * scriptedPause);
    const StoreRead found = store.read("k");
    REQUIRE(found.status == StoreStatus::Done);
    REQUIRE(found.value);
    CHECK(found.value->value == "second");
}

TEST_CASE("each framing and end and place of a store response gives the status that the store has stated")
{
    struct Case
    {
        std::string response;
        ConnectionEnd end;
        StoreStatus read;
        StoreStatus write;
    };
    const std::string body = R"({"header":{"revision":"5"},"succeeded":true})";
    const std::string head = "HTTP/1.1 200 OK\r\n";
    const std::string chunks = head + "Transfer-Encoding: chunked\r\n\r\n2c\r\n";
    const std::string connection = head + "Connection: close\r\n\r\n";
    const std::string unavailable = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n";
    constexpr StoreStatus done = StoreStatus::Done;
    constexpr StoreStatus none = StoreStatus::Unavailable;
    constexpr StoreStatus unknown = StoreStatus::Unknown;
    const auto each = GENERATE_COPY(values<Case>({
        { "", ConnectionEnd::Fin, none, unknown },
        { "", ConnectionEnd::Reset, none, unknown },
        { "", ConnectionEnd::Silence, none, unknown },
        { head, ConnectionEnd::Fin, none, unknown },
        { sized(body), ConnectionEnd::StaysOpen, done, done },
        { sized(body), ConnectionEnd::Fin, done, done },
        { sized(body).substr(0, sized(body).size() - 1), ConnectionEnd::Fin, none, unknown },
        { sized(body).substr(0, sized(body).size() - 1), ConnectionEnd::Silence, none, unknown },
        { chunks + body + "\r\n0\r\n\r\n", ConnectionEnd::StaysOpen, done, done },
        { chunks + body.substr(1), ConnectionEnd::Fin, none, unknown },
        { chunks + body.substr(0, body.size() - 1), ConnectionEnd::Reset, none, unknown },
        { connection + body, ConnectionEnd::Fin, done, done },
        { connection + body.substr(0, body.size() - 1), ConnectionEnd::Fin, none, unknown },
        { connection, ConnectionEnd::Fin, none, unknown },
        { connection + body.substr(0, body.size() - 1), ConnectionEnd::Reset, none, unknown },
        { unavailable, ConnectionEnd::StaysOpen, none, none },
    }));
    CAPTURE(each.response, static_cast<int>(each.end));
    ScriptedStore server({ { .parts = { each.response }, .end = each.end } });
    EtcdStore store(server.endpoint(), storeTimeout);
    CHECK(store.read("k").status == each.read);
    CHECK(store.compareAndSwap("k", 1, "v", LeaseId()) == each.write);
}
