#include <catch2/catch.hpp>

#include <algorithm>
#include <array>
#include <cstdio>
#include <functional>
#include <memory>

#include <nlohmann/json.hpp>

#include "daemonunderload.h"
#include "fleet.h"
#include "platformstandin.h"

using namespace zinniadock;
using namespace zinniadock::test;

namespace
{

constexpr std::size_t mebibyte = 1U << 20U;

/// Bounds of the resident memory of an instance with the least memory (88 MB), idle memory included.
constexpr std::size_t maxMemory = 48'000'000;
constexpr std::size_t maxMemoryOneClient = 20'000'000;

constexpr std::size_t crowdSize = 100;
constexpr std::size_t bodyBytes = mebibyte;
constexpr std::size_t smallChunkBodyBytes = 400000;
constexpr std::size_t endlessBytes = 64 * mebibyte;

/// A kind of client: the pieces that each of its connections sends, in order.
struct ClientKind
{
    std::size_t connections = crowdSize;
    std::string head;
    std::string piece;
    std::size_t pieceCount = 0;
    std::string last;
};

std::string headOf(const std::string &target, const std::string &framing)
{
    return "POST " + target + " HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: unruly\r\nX-Key: k1\r\n" + framing
        + "\r\n\r\n";
}

std::string chunkOf(std::size_t size)
{
    std::array<char, 16> line{};
    std::snprintf(line.data(), line.size(), "%zx\r\n", size); // NOLINT(cppcoreguidelines-pro-type-vararg)
    return line.data() + std::string(size, 'c') + "\r\n";
}

ClientKind endlessTrailers(const std::string &target)
{
    const std::string field = "X-Trailer: " + std::string(1000, 't') + "\r\n";
    return { .connections = 1,
             .head = headOf(target, "Transfer-Encoding: chunked"),
             .piece = "4\r\nbody\r\n0\r\n" + field,
             .pieceCount = 1,
             .last = [&field] {
                 std::string fields;
                 while (fields.size() < endlessBytes) {
                     fields += field;
                 }
                 return fields;
             }() };
}

ClientKind endlessChunkExtension(const std::string &target)
{
    return { .connections = 1,
             .head = headOf(target, "Transfer-Encoding: chunked"),
             .piece = "4;name=",
             .pieceCount = 1,
             .last = std::string(endlessBytes, 'e') };
}

// Each connection stops one byte before the end of its body.
ClientKind unfinishedBodies(const std::string &target, std::size_t pieceBytes)
{
    return { .head = headOf(target, "Content-Length: " + std::to_string(bodyBytes)),
             .piece = std::string(pieceBytes, 'b'),
             .pieceCount = bodyBytes / pieceBytes - 1,
             .last = std::string(pieceBytes - 1, 'b') };
}

ClientKind unfinishedLargeChunks(const std::string &target)
{
    const std::string chunk = chunkOf(bodyBytes);
    return { .head = headOf(target, "Transfer-Encoding: chunked"),
             .piece = chunk.substr(0, chunk.size() - 3),
             .pieceCount = 1,
             .last = "" };
}

ClientKind unfinishedSmallChunks(const std::string &target)
{
    constexpr std::size_t chunkBytes = 64;
    constexpr std::size_t chunksPerPiece = 50;
    std::string piece;
    for (std::size_t i = 0; i < chunksPerPiece; ++i) {
        piece += chunkOf(chunkBytes);
    }
    return { .head = headOf(target, "Transfer-Encoding: chunked"),
             .piece = piece,
             .pieceCount = smallChunkBodyBytes / (chunkBytes * chunksPerPiece),
             .last = "40\r\n" };
}

// The first request is complete, and its connection sends more requests without reading a response.
ClientKind pipelinedRequests(const std::string &target)
{
    std::string requests;
    while (requests.size() < bodyBytes) {
        requests += headOf(target, "Content-Length: 4") + "body";
    }
    return { .head = headOf(target, "Content-Length: 4") + "body", .piece = requests, .pieceCount = 1, .last = "" };
}

std::vector<ClientKind> allKinds(const std::string &target)
{
    return { endlessTrailers(target),
             endlessChunkExtension(target),
             unfinishedBodies(target, bodyBytes),
             unfinishedBodies(target, bodyBytes / 16),
             unfinishedLargeChunks(target),
             unfinishedSmallChunks(target) };
}

/// Connections of several kinds that send one piece each in turn and stay open.
class Crowd
{
public:
    Crowd(std::uint16_t port, const std::vector<ClientKind> &kinds)
    {
        std::size_t maxPieces = 0;
        for (const ClientKind &kind : kinds) {
            maxPieces = std::max(maxPieces, kind.pieceCount);
            for (std::size_t i = 0; i < kind.connections; ++i) {
                m_members.push_back({ &kind, std::make_unique<UnrulyClient>(port) });
            }
        }
        forEachMember(&sendHead, 0);
        for (std::size_t i = 0; i < maxPieces; ++i) {
            forEachMember(&sendPiece, i);
        }
        forEachMember(&sendLast, 0);
    }

private:
    struct Member
    {
        const ClientKind *kind = nullptr; ///< valid during the constructor
        std::unique_ptr<UnrulyClient> client;
    };

    static void sendHead(Member &member, std::size_t /*index*/)
    {
        member.client->send(member.kind->head);
    }

    static void sendPiece(Member &member, std::size_t index)
    {
        if (index < member.kind->pieceCount) {
            member.client->send(member.kind->piece);
        }
    }

    static void sendLast(Member &member, std::size_t /*index*/)
    {
        member.client->send(member.kind->last);
    }

    void forEachMember(void (*action)(Member &, std::size_t), std::size_t index)
    {
        for (Member &member : m_members) {
            action(member, index);
        }
    }

    std::vector<Member> m_members;
};

std::string endpointOf(std::uint16_t port)
{
    return "127.0.0.1:" + std::to_string(port);
}

/// An entry of the forwarding interface behind which one plain service runs.
class ForwardingDeployment
{
public:
    explicit ForwardingDeployment(const std::string &entrySettings = "")
        : m_ports(freePorts(4))
    {
        const nlohmann::json configuration{ { "version", 1 },
                                            { "routes",
                                              { { { "name", "order" },
                                                  { "host", "a.example" },
                                                  { "prefix", "/order/" },
                                                  { "kind", "non_idempotent" },
                                                  { "timeoutMs", 5000 },
                                                  { "targetLatencyMs", 1000 },
                                                  { "priority", 1 },
                                                  { "service", "shop" },
                                                  { "maxAttempts", 1 },
                                                  { "public", true } } } },
                                            { "services",
                                              { { { "name", "shop" }, { "healthPath", "/h" }, { "maxConns", 100 } } } },
                                            { "limits",
                                              { { "maxHeaderBytes", 16384 },
                                                { "maxBodyBytes", 4194304 },
                                                { "headerTimeoutMs", 3000 },
                                                { "idleTimeoutMs", 15000 } } } };
        store.put("op/config", configuration.dump());
        store.put("servers/shop-1", shop.record("shop"));
        daemon = std::make_unique<MeasuredDaemon>(
            "[daemon]\nrole = entry\ninterface = forwarding\ninstance = entry-1\ndata_centre = north\nadmin = "
                + endpointOf(metricsPort()) + "\n[store]\nendpoint = " + endpointOf(store.port())
                + "\n[entry]\nlisten = " + endpointOf(port()) + "\n" + entrySettings + "[forwarding]\nready = "
                + endpointOf(readyPort()) + "\npeer = " + endpointOf(peerPort()) + "\nsidecar_port = 1\n",
            port());
    }

    std::uint16_t port() const
    {
        return m_ports[0];
    }

    std::uint16_t metricsPort() const
    {
        return m_ports[1];
    }

    std::uint16_t readyPort() const
    {
        return m_ports[2];
    }

    std::uint16_t peerPort() const
    {
        return m_ports[3];
    }

    /// Returns whether an ordinary request is answered; requests that are refused as not run are repeated.
    bool servesOrdinaryRequest() const
    {
        return eventually([this] {
            return requestRaw(port(), rawRequest("POST", "/order/x", "ordinary")).status == 200;
        });
    }

    standin::PlatformStore store;
    standin::PlatformServer shop{ "shop-1" };
    std::unique_ptr<MeasuredDaemon> daemon;

private:
    const std::vector<std::uint16_t> m_ports;
};

void checkEntry(const std::function<std::vector<ClientKind>(const std::string &)> &kinds, std::size_t memory)
{
    const ForwardingDeployment deployment;
    REQUIRE(deployment.servesOrdinaryRequest());
    const Crowd crowd(deployment.port(), kinds("/order/x"));
    REQUIRE(deployment.daemon->isAlive());
    CHECK(deployment.servesOrdinaryRequest());
    CHECK(deployment.daemon->peakMemory() < memory);
    CHECK(deployment.daemon->isAlive());
}

} // namespace

// Guards against a process that keeps whatever its clients send until it has no memory left.
TEST_CASE("an entry stays within its memory under one client that sends trailers without end")
{
    checkEntry(
        [](const std::string &target) {
            return std::vector{ endlessTrailers(target) };
        },
        maxMemoryOneClient);
}

TEST_CASE("an entry stays within its memory under one client that sends a chunk extension without end")
{
    checkEntry(
        [](const std::string &target) {
            return std::vector{ endlessChunkExtension(target) };
        },
        maxMemoryOneClient);
}

TEST_CASE("an entry stays within its memory under bodies that arrive whole but for the last byte")
{
    checkEntry(
        [](const std::string &target) {
            return std::vector{ unfinishedBodies(target, bodyBytes) };
        },
        maxMemory);
}

TEST_CASE("an entry stays within its memory under unfinished bodies that arrive piece by piece")
{
    checkEntry(
        [](const std::string &target) {
            return std::vector{ unfinishedBodies(target, bodyBytes / 16) };
        },
        maxMemory);
}

TEST_CASE("an entry stays within its memory under unfinished bodies in large chunks")
{
    checkEntry(
        [](const std::string &target) {
            return std::vector{ unfinishedLargeChunks(target) };
        },
        maxMemory);
}

TEST_CASE("an entry stays within its memory under unfinished bodies in chunks of 64 bytes")
{
    checkEntry(
        [](const std::string &target) {
            return std::vector{ unfinishedSmallChunks(target) };
        },
        maxMemory);
}

TEST_CASE("an entry stays within its memory under pipelined requests whose responses nobody reads")
{
    checkEntry(
        [](const std::string &target) {
            return std::vector{ pipelinedRequests(target) };
        },
        maxMemory);
}

TEST_CASE("an entry stays within its memory under clients of all kinds at once")
{
    checkEntry(allKinds, maxMemory);
}

TEST_CASE("an entry stays within its memory under clients of all kinds at its other listeners")
{
    const ForwardingDeployment deployment;
    REQUIRE(deployment.servesOrdinaryRequest());
    const Crowd atPeers(deployment.peerPort(), allKinds("/-/entry"));
    const Crowd atReadiness(deployment.readyPort(), allKinds("/-/readiness"));
    const Crowd atMetrics(deployment.metricsPort(), allKinds("/metrics"));
    REQUIRE(deployment.daemon->isAlive());
    CHECK(deployment.servesOrdinaryRequest());
    CHECK(deployment.daemon->peakMemory() < maxMemory);
}

// Guards against idle connections that use up the descriptors of the process.
TEST_CASE("an entry with more connections than its maximum closes idle ones")
{
    constexpr std::size_t maxConnections = 64;
    constexpr std::size_t otherDescriptors = 40;
    const ForwardingDeployment deployment("max_connections = " + std::to_string(maxConnections) + "\n");
    REQUIRE(deployment.servesOrdinaryRequest());
    std::vector<std::unique_ptr<UnrulyClient>> clients;
    for (std::size_t i = 0; i < 4 * maxConnections; ++i) {
        clients.push_back(std::make_unique<UnrulyClient>(deployment.port()));
    }
    for (std::size_t i = 0; i < maxConnections; ++i) {
        clients.push_back(std::make_unique<UnrulyClient>(deployment.port()));
        clients.back()->send(headOf("/order/x", "Content-Length: 10"));
    }
    CHECK(deployment.servesOrdinaryRequest());
    CHECK(deployment.daemon->openDescriptors() < maxConnections + otherDescriptors);
}

TEST_CASE("an entry of the completions interface stays within its memory under clients of all kinds at once")
{
    const std::vector<std::uint16_t> ports = freePorts(3);
    MeasuredDaemon daemon("[daemon]\nrole = entry\ninstance = entry-1\ndata_centre = north\nadmin = "
                              + endpointOf(ports[1]) + "\n[store]\nendpoint = " + endpointOf(ports[2])
                              + "\n[entry]\nlisten = " + endpointOf(ports[0]) + "\n",
                          ports[0]);
    const Crowd crowd(ports[0], allKinds("/v1/completions"));
    REQUIRE(daemon.isAlive());
    CHECK(eventually([&ports] {
        return requestRaw(ports[0], rawRequest("GET", "/health", "ordinary"), "GET").body == "not ready\n";
    }));
    CHECK(daemon.peakMemory() < maxMemory);
}

TEST_CASE("a sidecar stays within its memory under clients of all kinds at once")
{
    const standin::PlatformServer engine("engine-1");
    const std::vector<std::uint16_t> ports = freePorts(2);
    MeasuredDaemon daemon("[daemon]\nrole = sidecar\ninterface = forwarding\ninstance = engine-1\ndata_centre = "
                          "north\nadmin = "
                              + endpointOf(ports[1]) + "\n[sidecar]\nserver = engine-1\nkind = engine\nlisten = "
                              + endpointOf(ports[0]) + "\nbackend = " + engine.endpoint()
                              + "\n[forwarding]\nsidecar_port = " + std::to_string(ports[0]) + "\npool = engines\n",
                          ports[1]);
    const Crowd atEntries(ports[0], allKinds("/load"));
    const Crowd atMetrics(ports[1], allKinds("/metrics"));
    REQUIRE(daemon.isAlive());
    CHECK(eventually([&ports] {
        return requestRaw(ports[1], rawRequest("GET", "/metrics", "ordinary"), "GET").status == 200;
    }));
    CHECK(daemon.peakMemory() < maxMemory);
}

// Guards against the refusal of requests that keep to the limits, which callers would not retry.
TEST_CASE("an entry serves requests that reach the limits on their size")
{
    constexpr std::size_t maxBodyBytes = 4 * mebibyte;
    constexpr std::size_t almostMaxHeaderBytes = 15000;
    const ForwardingDeployment deployment;
    REQUIRE(deployment.servesOrdinaryRequest());
    const auto statusOf = [&deployment](const std::string &request) {
        return requestRaw(deployment.port(), request).status;
    };
    CHECK(
        statusOf(headOf("/order/1", "Content-Length: " + std::to_string(maxBodyBytes)) + std::string(maxBodyBytes, 'b'))
        == 200);
    std::string chunks;
    for (std::size_t sent = 0; sent < maxBodyBytes; sent += mebibyte) {
        chunks += chunkOf(mebibyte);
    }
    std::string fields;
    while (fields.size() < almostMaxHeaderBytes) {
        fields += "X-Field-" + std::to_string(fields.size()) + ": " + std::string(1000, 'f') + "\r\n";
    }
    CHECK(statusOf(headOf("/order/2", "Transfer-Encoding: chunked") + chunks + "0\r\n" + fields + "\r\n") == 200);
    std::string extended;
    for (int i = 0; i < 100; ++i) {
        extended += "4;name=" + std::string(100, 'e') + "\r\nbody\r\n";
    }
    CHECK(statusOf(headOf("/order/3", "Transfer-Encoding: chunked") + extended + "0\r\n\r\n") == 200);
    CHECK(statusOf(headOf("/order/4", fields + "Content-Length: 0")) == 200);
}

TEST_CASE("an entry serves a large body while others that stand still use up its memory")
{
    const ForwardingDeployment deployment;
    REQUIRE(deployment.servesOrdinaryRequest());
    const Crowd crowd(deployment.port(), { unfinishedBodies("/order/x", bodyBytes) });
    CHECK(eventually([&deployment] {
        return requestRaw(deployment.port(),
                          headOf("/order/1", "Content-Length: " + std::to_string(bodyBytes))
                              + std::string(bodyBytes, 'b'))
                   .status
            == 200;
    }));
}

// Guards against a refusal that is lost since its connection is reset, so that the client does not know whether its
// request has run.
TEST_CASE("clients can read why an entry refuses their requests")
{
    ForwardingDeployment deployment;
    REQUIRE(deployment.servesOrdinaryRequest());
    SECTION("if its memory is used up")
    {
        std::vector<std::unique_ptr<UnrulyClient>> clients;
        const ClientKind kind = unfinishedBodies("/order/x", bodyBytes);
        for (std::size_t i = 0; i < crowdSize / 2; ++i) {
            clients.push_back(std::make_unique<UnrulyClient>(deployment.port()));
            clients.back()->send(kind.head + kind.last);
        }
        CHECK(eventually([&clients] {
            return std::any_of(clients.begin(), clients.end(), [](const auto &client) {
                const std::string &response = client->received();
                return response.starts_with("HTTP/1.1 503 ") && response.find("Retry-After: ") != std::string::npos;
            });
        }));
    }
    SECTION("if its trailers are too long")
    {
        constexpr std::size_t trailerBytes = 100000;
        UnrulyClient client(deployment.port());
        client.send(headOf("/order/x", "Transfer-Encoding: chunked")
                    + "0\r\nX-Trailer: " + std::string(trailerBytes, 't'));
        CHECK(eventually([&client] {
            return client.received().starts_with("HTTP/1.1 431 ");
        }));
    }
    CHECK(deployment.shop.startedRequests().size() == 1);
}
