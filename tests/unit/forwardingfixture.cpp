#include "forwardingfixture.h"

#include <array>

#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/StreamSocket.h>
#include <Poco/StreamCopier.h>

#include "fleet.h"

namespace zinniadock::test
{

namespace
{

using Json = nlohmann::json;

Json route(const std::string &prefix, const std::string &kind, const std::string &service, int timeout, int attempts)
{
    return { { "name", prefix },          { "host", "a.example" },     { "prefix", prefix }, { "kind", kind },
             { "timeoutMs", timeout },    { "targetLatencyMs", 1000 }, { "priority", 1 },    { "service", service },
             { "maxAttempts", attempts }, { "public", false } };
}

} // namespace

std::string configuration(int version, const std::string &key)
{
    const Json engine{ { "slots", 8 },           { "kvCapacityTokens", 100000 },
                       { "kvTokenBytes", 1000 }, { "linkMbps", 24000.0 },
                       { "moves", true },        { "stride", 4 },
                       { "holdMs", 2000 } };
    return Json{
        { "version", version },
        { "routes",
          { route("/stream/", "streaming", "engines", 20000, 1), route("/order/", "non_idempotent", "shop", 2000, 1),
            route("/read/", "idempotent", "shop", 2000, 2) } },
        { "services",
          { { { "name", "engines" }, { "healthPath", "/h" }, { "maxConns", 100 }, { "engine", engine } },
            { { "name", "shop" }, { "healthPath", "/h" }, { "maxConns", 100 } } } },
        { "limits",
          { { "maxHeaderBytes", 4096 },
            { "maxBodyBytes", 20000 },
            { "headerTimeoutMs", 1000 },
            { "idleTimeoutMs", 5000 } } },
        { "tenants", { { { "name", "acc" }, { "apiKeys", { key } } } } }
    }.dump();
}

Settings entrySettings(std::uint16_t storePort, std::uint16_t sidecarPort, std::vector<Endpoint> seeds)
{
    Settings settings;
    settings.daemon.dataCentre = "north";
    settings.daemon.admin = { "127.0.0.1", 0 };
    settings.store.endpoint = { "127.0.0.1", storePort };
    settings.entry.listen = { "127.0.0.1", 0 };
    settings.forwarding.ready = { "127.0.0.1", 0 };
    settings.forwarding.peer = { "127.0.0.1", 0 };
    settings.forwarding.seeds = std::move(seeds);
    settings.forwarding.port = sidecarPort;
    return settings;
}

Settings sidecarSettings(const std::string &address, std::uint16_t port, const std::string &engine)
{
    Settings settings;
    settings.daemon.admin = { address, 0 };
    settings.sidecar.listen = { address, port };
    detail::parseValue(engine, detail::Range{}, settings.sidecar.backend);
    return settings;
}

TestResponse sendRequest(std::uint16_t port, const TestRequest &request)
{
    TestResponse testResponse;
    Poco::Net::HTTPClientSession session("127.0.0.1", port);
    session.setTimeout(Poco::Timespan(20, 0));
    Poco::Net::HTTPRequest httpRequest(request.method, request.target, Poco::Net::HTTPMessage::HTTP_1_1);
    httpRequest.setHost("a.example");
    httpRequest.set("X-Request-Id", request.id);
    httpRequest.set("X-Key", request.key);
    httpRequest.set("X-Deadline-Ms", "15000");
    if (request.isGeneration) {
        httpRequest.set("X-Token-Count", "1000,240");
    }
    if (!request.promptParts.empty()) {
        httpRequest.set("X-Prompt-Prefix", request.promptParts);
    }
    const std::string defaultBody = request.method == "POST" ? "body of " + request.id : "";
    const std::string body = request.body.empty() ? defaultBody : request.body;
    httpRequest.setContentLength(static_cast<std::streamsize>(body.size()));
    try {
        session.sendRequest(httpRequest) << body << std::flush;
        Poco::Net::HTTPResponse response;
        std::istream &stream = session.receiveResponse(response);
        testResponse.status = response.getStatus();
        testResponse.signature = response.get("X-Server-Signature", "");
        testResponse.retryAfter = std::stod(response.get("Retry-After", "0"));
        Poco::StreamCopier::copyToString(stream, testResponse.body);
        testResponse.isComplete = true;
    } catch (const Poco::Exception &) {
        testResponse.isComplete = false;
    }
    return testResponse;
}

bool isReady(RoleThread<ForwardingEntry> &entry)
{
    return sendRequest(entry->readyPort(), { .target = readyTarget, .method = "GET" }).status == 200;
}

double metric(RoleThread<ForwardingEntry> &entry, const std::string &name)
{
    const std::string page = sendRequest(entry->metricsPort(), { .target = "/metrics", .method = "GET" }).body;
    const std::size_t at = page.find("\n" + name + " ");
    return at == std::string::npos ? -1 : std::stod(page.substr(at + name.size() + 2));
}

SeededStore::SeededStore(const std::string &serverId, const std::string &record)
{
    put("servers/" + serverId, record);
    put("op/config", configuration(3));
}

ServiceDeployment::ServiceDeployment()
    : entry(entrySettings(store.port(), 1))
{
    REQUIRE(eventually([this] {
        return isReady(entry);
    }));
}

EngineDeployment::EngineDeployment(bool withSidecar)
    : sidecar(sidecarSettings("127.0.0.2", 0, engine.endpoint()))
    , entry(entrySettings(store.port(), withSidecar ? sidecar->port() : static_cast<std::uint16_t>(1)))
{
    REQUIRE(eventually([this] {
        return isReady(entry);
    }));
}

std::string receiveStream(std::uint16_t port, const std::string &target)
{
    Poco::Net::StreamSocket socket(Poco::Net::SocketAddress("127.0.0.1", port));
    socket.setReceiveTimeout(Poco::Timespan(10, 0));
    const std::string request = "POST " + target
        + " HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: raw\r\nX-Key: k1\r\nX-Deadline-Ms: 15000\r\n"
          "X-Token-Count: 1000,240\r\nConnection: close\r\nContent-Length: 0\r\n\r\n";
    socket.sendBytes(request.data(), static_cast<int>(request.size()));
    std::string response;
    std::array<char, 4096> buffer{};
    try {
        while (const int count = socket.receiveBytes(buffer.data(), static_cast<int>(buffer.size()))) {
            response.append(buffer.data(), static_cast<std::size_t>(count));
        }
    } catch (const Poco::Exception &) {
        response += "\nconnection reset";
    }
    return response;
}

bool hasLastChunk(const std::string &response)
{
    const std::string lastChunk = "\r\n0\r\n\r\n";
    return response.size() >= lastChunk.size()
        && response.compare(response.size() - lastChunk.size(), lastChunk.size(), lastChunk) == 0;
}

std::string sendRawBytes(std::uint16_t port, const std::string &bytes)
{
    Poco::Net::StreamSocket socket(Poco::Net::SocketAddress("127.0.0.1", port));
    socket.setReceiveTimeout(Poco::Timespan(10, 0));
    socket.sendBytes(bytes.data(), static_cast<int>(bytes.size()));
    std::array<char, 4096> buffer{};
    const int count = socket.receiveBytes(buffer.data(), static_cast<int>(buffer.size()));
    return { buffer.data(), static_cast<std::size_t>(std::max(count, 0)) };
}

} // namespace zinniadock::test
