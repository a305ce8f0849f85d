#include <atomic>
#include <mutex>
#include <thread>

#include <catch2/catch.hpp>

#include "fleet.h"
#include "rawcaller.h"
#include "scriptedresponse.h"
#include "zinniadock/connection/servicecall.h"

using namespace zinniadock;
using namespace zinniadock::standin;
using namespace zinniadock::test;

namespace
{

constexpr std::chrono::milliseconds receiveTimeout{ 300 };

/// A plain service that sends the same bytes in response to each call.
class ScriptedService
{
public:
    explicit ScriptedService(ScriptedResponse response)
        : m_response(std::move(response))
        , m_server(0, 4, [this](HTTPServerRequest &request, HTTPServerResponse & /*response*/) {
            readBody(request);
            sendScripted(request, m_response);
            while (m_response.end == ConnectionEnd::Silence && !m_isStopping) {
                std::this_thread::sleep_for(scriptedPause);
            }
        })
    {
    }

    ~ScriptedService()
    {
        m_isStopping = true;
        m_server.stop();
    }

    ScriptedService(const ScriptedService &) = delete;
    ScriptedService &operator=(const ScriptedService &) = delete;

    std::variant<ServiceResponse, Failure> call(const std::string &method)
    {
        Offer offer;
        offer.request = RequestId::random();
        offer.method = method;
        offer.path = "/calls/x";
        offer.timeLeft = std::chrono::milliseconds(5000);
        BackendTimeouts timeouts;
        timeouts.receive = receiveTimeout;
        return callService({ "127.0.0.1", m_server.port() }, offer, timeouts,
                           [](const std::function<void()> & /*abort*/) {});
    }

private:
    const ScriptedResponse m_response;
    std::atomic<bool> m_isStopping{ false };
    LoopbackHttpServer m_server;
};

/// What the caller of a plain service may be told.
enum class Told {
    Complete,
    Unconfirmed, ///< the body, without a statement that it is complete
    Failed,
};

Told evaluate(const std::variant<ServiceResponse, Failure> &result)
{
    const auto *response = std::get_if<ServiceResponse>(&result);
    if (response == nullptr) {
        return Told::Failed;
    }
    return response->isEndStated ? Told::Complete : Told::Unconfirmed;
}

} // namespace

// Guards against a response that counts as complete after its service broke it off: in chunks, or with a reset.
TEST_CASE("each framing and end and place of a service response is told as what the service has stated")
{
    struct Case
    {
        std::string method;
        std::string response;
        ConnectionEnd end;
        Told expected;
        std::string body;
    };
    const std::string head = "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n";
    const std::string length = head + "Content-Length: 4\r\n\r\n";
    const std::string chunks = head + "Transfer-Encoding: chunked\r\n\r\n";
    const std::string connection = head + "Connection: close\r\n\r\n";
    const auto each = GENERATE_COPY(values<Case>({
        { "POST", "", ConnectionEnd::Fin, Told::Failed, "" },
        { "POST", "", ConnectionEnd::Reset, Told::Failed, "" },
        { "POST", "", ConnectionEnd::Silence, Told::Failed, "" },
        { "POST", head, ConnectionEnd::Fin, Told::Failed, "" },
        { "POST", length, ConnectionEnd::Fin, Told::Failed, "" },
        { "POST", length + "ab", ConnectionEnd::Fin, Told::Failed, "" },
        { "POST", length + "ab", ConnectionEnd::Reset, Told::Failed, "" },
        { "POST", length + "ab", ConnectionEnd::Silence, Told::Failed, "" },
        { "POST", length + "abcd", ConnectionEnd::Fin, Told::Complete, "abcd" },
        { "POST", length + "abcd", ConnectionEnd::StaysOpen, Told::Complete, "abcd" },
        { "POST", length + "abcd and more", ConnectionEnd::Fin, Told::Complete, "abcd" },
        { "POST", chunks, ConnectionEnd::Fin, Told::Failed, "" },
        { "POST", chunks + "4\r\nab", ConnectionEnd::Fin, Told::Failed, "" },
        { "POST", chunks + "4\r\nabcd\r\n", ConnectionEnd::Fin, Told::Failed, "" },
        { "POST", chunks + "4\r\nabcd\r\n", ConnectionEnd::Reset, Told::Failed, "" },
        { "POST", chunks + "4\r\nabcd\r\n", ConnectionEnd::Silence, Told::Failed, "" },
        { "POST", chunks + "4\r\nabcd\r\nzz\r\n", ConnectionEnd::StaysOpen, Told::Failed, "" },
        { "POST", chunks + "4\r\nabcd\r\n0\r\n\r\n", ConnectionEnd::StaysOpen, Told::Complete, "abcd" },
        { "POST", connection + "ab", ConnectionEnd::Fin, Told::Unconfirmed, "ab" },
        { "POST", connection + "ab", ConnectionEnd::Reset, Told::Failed, "" },
        { "POST", connection + "ab", ConnectionEnd::Silence, Told::Failed, "" },
        { "HEAD", length, ConnectionEnd::StaysOpen, Told::Complete, "" },
        { "HEAD", connection, ConnectionEnd::Fin, Told::Complete, "" },
        { "GET", "HTTP/1.1 204 No Content\r\n\r\n", ConnectionEnd::StaysOpen, Told::Complete, "" },
        { "GET", "HTTP/1.1 304 Not Modified\r\nContent-Length: 4\r\n\r\n", ConnectionEnd::StaysOpen, Told::Complete,
          "" },
    }));
    CAPTURE(each.method, each.response, static_cast<int>(each.end));
    ScriptedService service({ .parts = { each.response }, .end = each.end });
    const auto result = service.call(each.method);
    CHECK(evaluate(result) == each.expected);
    if (each.expected != Told::Failed) {
        REQUIRE(std::holds_alternative<ServiceResponse>(result));
        CHECK(std::get<ServiceResponse>(result).body == each.body);
    }
}

// Guards against a length that the entry adds to a response without one, also when it sends a stored response again.
TEST_CASE("a call of the completions interface whose response has no stated end ends with its connection")
{
    Fleet fleet;
    fleet.service->setScriptedResponse(
        { .parts = { "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nConnection: close\r\n\r\nfirst half" },
          .end = ConnectionEnd::Fin });
    const std::string request = "POST /work-orders HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer site-key\r\n"
                                "Idempotency-Key: unframed\r\nContent-Length: 4\r\n\r\nbody";
    for (int i = 0; i < 2; ++i) {
        const SeenResponse seen = requestRaw(fleet.entryPort(), request);
        CHECK(seen.status == 200);
        CHECK(seen.body == "first half");
        CHECK(seen.end == SeenEnd::Unconfirmed);
    }
    CHECK(fleet.service->runs("body") == 1);
    fleet.service->setScriptedResponse(
        { .parts = { "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nfirst half" }, .end = ConnectionEnd::Reset });
    CHECK(send(fleet.entryPort(), { .path = "/work-orders", .body = "other" }).status == 502);
}
