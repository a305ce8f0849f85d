// What is sent on, and what goes on running, for callers that have closed their connection.

#include <functional>
#include <memory>
#include <thread>

#include <Poco/Net/StreamSocket.h>
#include <catch2/catch.hpp>

#include "fleet.h"
#include "forwardingfixture.h"
#include "movedeployment.h"
#include "rawcaller.h"

using namespace zinniadock;
using namespace zinniadock::standin;
using namespace zinniadock::test;
using std::chrono::milliseconds;

namespace
{

/// Time after which nothing runs for a caller that has left.
constexpr milliseconds endWithin{ 500 };

/// How a caller leaves.
struct WayToLeave
{
    const char *name;
    std::string before; ///< bytes that the caller sends beyond its request
    bool isReset = false;
    bool isHalfClosed = false; ///< the caller closes only its sending side
};

std::vector<WayToLeave> waysToLeave()
{
    const std::string nextHead = "GET /read/9 HTTP/1.1\r\nHost: a.example\r\n";
    return { { .name = "closes" },
             { .name = "resets", .isReset = true },
             { .name = "closes its sending side", .isHalfClosed = true },
             { .name = "sends two bytes and closes", .before = "GE" },
             { .name = "sends two bytes and resets", .before = "GE", .isReset = true },
             { .name = "sends the head of a next request and closes its sending side",
               .before = nextHead,
               .isHalfClosed = true } };
}

/// A connection of a caller that leaves.
class LeavingCaller
{
public:
    LeavingCaller(std::uint16_t port, const std::string &request)
        : m_socket(Poco::Net::SocketAddress("127.0.0.1", port))
    {
        send(request);
    }

    void send(const std::string &bytes)
    {
        m_socket.sendBytes(bytes.data(), static_cast<int>(bytes.size()));
    }

    void leave(const WayToLeave &way)
    {
        if (way.isHalfClosed) {
            m_socket.shutdownSend();
            return;
        }
        m_socket.setLinger(way.isReset, 0);
        m_socket.close();
    }

private:
    Poco::Net::StreamSocket m_socket;
};

/// An entry, a plain service with one server, and an engine that gets no load reports.
struct LeavingDeployment
{
    LeavingDeployment()
    {
        store.put("servers/s1", server.record("shop"));
        REQUIRE(eventually([this] {
            return isReady(entry);
        }));
    }

    /// Opens connections to the servers that stay in the pool of the entry.
    void openConnections(std::size_t count)
    {
        server.setRunTime(milliseconds(100));
        std::vector<std::thread> callers;
        for (std::size_t i = 0; i < count; ++i) {
            callers.emplace_back([this, i] {
                sendRequest(entry->port(), { .target = "/read/1", .method = "GET", .id = "open" + std::to_string(i) });
            });
        }
        for (std::thread &caller : callers) {
            caller.join();
        }
        server.setRunTime(milliseconds(0));
    }

    /// Keeps the event loop of the entry busy.
    void block(milliseconds duration)
    {
        entry.post([duration] {
            std::this_thread::sleep_for(duration);
        });
    }

    std::size_t started()
    {
        return server.startedRequests().size() + engine.startedRequests().size();
    }

    /// Returns the IDs of the requests that the servers have started after the first \p count.
    std::string startedSince(std::size_t count)
    {
        std::vector<ReceivedRequest> requests = server.startedRequests();
        const std::vector<ReceivedRequest> generations = engine.startedRequests();
        requests.insert(requests.end(), generations.begin(), generations.end());
        std::string ids;
        for (std::size_t i = count; i < requests.size(); ++i) {
            ids += requests[i].fields.at("x-request-id") + "; ";
        }
        return ids;
    }

    std::uint64_t ended() const
    {
        return server.cancelled() + engine.cancelled();
    }

    /// Returns whether a caller that stays gets its response.
    bool servesOthers()
    {
        return sendRequest(entry->port(), { .target = "/read/1", .method = "GET", .id = "stays" }).status == 200;
    }

    PlatformServer engine{ "e1", "127.0.0.2" };
    PlatformServer server{ "s1" };
    SeededStore store{ "e1", engine.record("engines") };
    RoleThread<ForwardingEntry> entry{ entrySettings(store.port(), 1) };
};

constexpr std::size_t callerCount = 12;

/// A place at which a request can be when its caller leaves, and what must not happen afterwards.
struct Place
{
    const char *name;
    std::function<void(LeavingDeployment &)> prepare;
    std::function<std::string(const std::string &id)> request;
    std::function<bool(LeavingDeployment &, std::size_t callers)> isReached;
    std::function<void(LeavingDeployment &)> release; ///< lets the request go on, if it would
    bool isRunning = false; ///< the requests run at a server, and must end
};

std::string readRequest(const std::string &id)
{
    return rawRequest("GET", "/read/1", id);
}

std::string orderRequest(const std::string &id)
{
    return rawRequest("POST", "/order/1", id);
}

std::string generationRequest(const std::string &id)
{
    return rawGeneration(id);
}

bool isAtOnce(LeavingDeployment & /*deployment*/, std::size_t /*callers*/)
{
    std::this_thread::sleep_for(milliseconds(20));
    return true;
}

bool areStarted(LeavingDeployment &deployment, std::size_t callers)
{
    return deployment.started() >= callers;
}

void nothing(LeavingDeployment & /*deployment*/)
{
}

std::vector<Place> places()
{
    const auto blockLoop = [](LeavingDeployment &deployment) {
        deployment.openConnections(callerCount);
        deployment.block(milliseconds(250));
    };
    const auto waitForLoop = [](LeavingDeployment & /*deployment*/) {
        std::this_thread::sleep_for(milliseconds(400));
    };
    const auto fillEngine = [](LeavingDeployment &deployment) {
        deployment.engine.setFull(true);
    };
    const auto emptyEngine = [](LeavingDeployment &deployment) {
        std::this_thread::sleep_for(milliseconds(200));
        deployment.engine.setFull(false);
        std::this_thread::sleep_for(milliseconds(300));
    };
    const auto delayReservation = [](LeavingDeployment &deployment) {
        deployment.engine.setReservationDelay(milliseconds(250));
    };
    const auto runLong = [](LeavingDeployment &deployment) {
        deployment.server.setRunTime(milliseconds(1800));
        deployment.engine.setEventInterval(milliseconds(50));
    };
    const auto rejectSlowly = [](LeavingDeployment &deployment) {
        deployment.openConnections(callerCount);
        deployment.server.setBehavior(ServerBehavior::ConnectionReset);
    };
    const auto recover = [](LeavingDeployment &deployment) {
        deployment.server.setBehavior(ServerBehavior::Healthy);
        std::this_thread::sleep_for(milliseconds(400));
    };
    static const std::string halfBody
        = "POST /order/1 HTTP/1.1\r\nHost: a.example\r\nX-Key: k1\r\nX-Request-Id: half\r\n"
          "Content-Length: 200\r\n\r\nhalf";
    return { { "unread, a read", blockLoop, readRequest, isAtOnce, waitForLoop },
             { "unread, an order", blockLoop, orderRequest, isAtOnce, waitForLoop },
             { "unread, a generation", blockLoop, generationRequest, isAtOnce, waitForLoop },
             { "being read", nothing,
               [](const std::string & /*id*/) {
                   return std::string(halfBody);
               },
               isAtOnce, waitForLoop },
             { "waiting for capacity", fillEngine, generationRequest, isAtOnce, emptyEngine },
             { "waiting for a reservation", delayReservation, generationRequest,
               [](LeavingDeployment & /*deployment*/, std::size_t /*callers*/) {
                   std::this_thread::sleep_for(milliseconds(100));
                   return true;
               },
               waitForLoop },
             { "waiting for a retry", rejectSlowly, readRequest, isAtOnce, recover },
             { "at a server", runLong, readRequest, areStarted, nothing, true },
             { "in a stream", runLong, generationRequest, areStarted, nothing, true } };
}

} // namespace

// Guards against requests that are sent on, and runs that go on, after their callers have closed their connections.
TEST_CASE("nothing is sent and nothing runs for callers who have left, from each place and in each way")
{
    const std::vector<WayToLeave> ways = waysToLeave();
    for (const Place &place : places()) {
        for (const bool isLoopBusy : { false, true }) {
            CAPTURE(place.name, isLoopBusy);
            LeavingDeployment deployment;
            place.prepare(deployment);
            const std::size_t before = deployment.started();
            std::vector<std::unique_ptr<LeavingCaller>> callers;
            for (std::size_t i = 0; i < callerCount; ++i) {
                const std::string id = ways[i % ways.size()].name + std::string(", ") + std::to_string(i);
                callers.push_back(std::make_unique<LeavingCaller>(deployment.entry->port(), place.request(id)));
            }
            REQUIRE(eventually([&] {
                return place.isReached(deployment, before + callerCount);
            }));
            for (std::size_t i = 0; i < callerCount; ++i) {
                callers[i]->send(ways[i % ways.size()].before);
            }
            std::this_thread::sleep_for(milliseconds(place.isRunning ? 100 : 10));
            if (isLoopBusy) {
                deployment.block(milliseconds(100));
            }
            for (std::size_t i = 0; i < callerCount; ++i) {
                callers[i]->leave(ways[i % ways.size()]);
            }
            place.release(deployment);
            if (place.isRunning) {
                CHECK(eventually(
                    [&] {
                        return deployment.ended() == callerCount;
                    },
                    endWithin));
            } else {
                const std::string sent = deployment.startedSince(before);
                CAPTURE(sent);
                CHECK(sent.empty());
            }
            deployment.server.setRunTime(milliseconds(0));
            CHECK(deployment.servesOthers());
        }
    }
}

// Guards against a generation that continues at another engine, or keeps its copy there, for a caller that has left.
TEST_CASE("a generation whose caller leaves during its move is not continued, and its copy is freed")
{
    for (const WayToLeave &way : waysToLeave()) {
        CAPTURE(way.name);
        MoveDeployment deployment;
        deployment.source.setEventInterval(milliseconds(30));
        deployment.source.setCopyDuration(milliseconds(300));
        LeavingCaller caller(deployment.entry->port(), rawGeneration("leaves"));
        REQUIRE(eventually([&] {
            return deployment.source.startedRequests().size() == 1;
        }));
        std::this_thread::sleep_for(milliseconds(100));
        deployment.store.put("servers/e2", deployment.target.record("engines"));
        deployment.source.startDraining(milliseconds(1500));
        REQUIRE(eventually([&] {
            return deployment.source.copiesInProgress() == 1;
        }));
        caller.send(way.before);
        caller.leave(way);
        CHECK(eventually(
            [&] {
                return deployment.source.cancelled() == 1;
            },
            endWithin));
        std::this_thread::sleep_for(milliseconds(900));
        CHECK(deployment.target.startedRequests().empty());
        CHECK(deployment.source.copiesInProgress() == 0);
    }
}

// Guards against a reservation that keeps a place of an engine for a caller that has left.
TEST_CASE("a reservation that is granted to a caller who has left is not used")
{
    LeavingDeployment deployment;
    deployment.engine.setReservationDelay(milliseconds(150));
    std::vector<std::unique_ptr<LeavingCaller>> callers;
    for (std::size_t i = 0; i < callerCount; ++i) {
        callers.push_back(std::make_unique<LeavingCaller>(deployment.entry->port(), rawGeneration("leaves")));
    }
    std::this_thread::sleep_for(milliseconds(100));
    deployment.block(milliseconds(200));
    std::this_thread::sleep_for(milliseconds(20));
    for (const auto &caller : callers) {
        caller->leave(waysToLeave().front());
    }
    std::this_thread::sleep_for(milliseconds(700));
    CHECK(deployment.engine.startedRequests().empty());
    CHECK(deployment.engine.reservations() > 0);
    CHECK(deployment.engine.releasedReservations() > 0);
    CHECK(deployment.servesOthers());
}
