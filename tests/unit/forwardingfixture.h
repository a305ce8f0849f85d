#pragma once

#include <functional>
#include <future>
#include <string>
#include <thread>
#include <utility> // Boost.Asio 1.74 uses std::exchange without it
#include <vector>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/use_future.hpp>
#include <catch2/catch.hpp>

#include "platformstandin.h"
#include "zinniadock/process/forwardingentry.h"
#include "zinniadock/process/gracefulstop.h"
#include "zinniadock/process/watchingsidecar.h"

namespace zinniadock::test
{

constexpr const char *readyTarget = "/-/readiness";

/// Returns the operators' configuration of the forwarding tests: a pool of engines and a pool of a plain service.
std::string configuration(int version, const std::string &key = "k1");

Settings entrySettings(std::uint16_t storePort, std::uint16_t sidecarPort, std::vector<Endpoint> seeds = {});
Settings sidecarSettings(const std::string &address, std::uint16_t port, const std::string &engine);

/// Runs one role on its own thread.
template <typename Role>
class RoleThread
{
public:
    explicit RoleThread(const Settings &settings)
        : m_role(m_context, settings)
    {
        const std::error_code error = m_role.start();
        REQUIRE_FALSE(error);
        m_thread = std::thread([this] {
            m_context.run();
        });
    }

    ~RoleThread()
    {
        m_context.stop();
        m_thread.join();
    }

    RoleThread(const RoleThread &) = delete;
    RoleThread &operator=(const RoleThread &) = delete;

    /// Runs a function on the thread of the role.
    void post(const std::function<void()> &function)
    {
        asio::post(m_context, function);
    }

    /// Stops the role on its thread as its process does. The result is whether requests had to be ended.
    std::future<bool> stop(StopTiming timing)
    {
        return asio::co_spawn(
            m_context,
            [this, timing]() {
                return stopGracefully(m_role, timing);
            },
            asio::use_future);
    }

    Role *operator->()
    {
        return &m_role;
    }

private:
    asio::io_context m_context{ 1 };
    Role m_role;
    std::thread m_thread;
};

struct TestResponse
{
    int status = 0; ///< 0 if the connection broke before a response
    std::string signature;
    double retryAfter = 0; ///< seconds
    std::string body;
    bool isComplete = false;
};

struct TestRequest
{
    std::string target;
    std::string method = "POST";
    std::string id = "id-1";
    std::string key = "k1";
    bool isGeneration = false;
    std::string body; ///< if empty, a POST request has a body with its ID
    std::string promptParts; ///< parts of the prompt of a generation; no field if empty
};

/// Sends one request as a caller and reads its response.
TestResponse sendRequest(std::uint16_t port, const TestRequest &request);

bool isReady(RoleThread<ForwardingEntry> &entry);

/// Returns a metric of an entry without labels; -1 if it has none of this name.
double metric(RoleThread<ForwardingEntry> &entry, const std::string &name);

/// A store that holds the configuration of the forwarding tests and the record of one server.
class SeededStore : public standin::PlatformStore
{
public:
    SeededStore(const std::string &serverId, const std::string &record);
};

/// A plain service and an entry that is ready.
struct ServiceDeployment
{
    ServiceDeployment();

    standin::PlatformServer server{ "s1" };
    SeededStore store{ "s1", server.record("shop") };
    RoleThread<ForwardingEntry> entry;
};

/// An engine with its sidecar, and an entry that is ready.
struct EngineDeployment
{
    /// \param withSidecar  whether the entry can reach the sidecar
    explicit EngineDeployment(bool withSidecar);

    standin::PlatformServer engine{ "e1", "127.0.0.2" };
    SeededStore store{ "e1", engine.record("engines") };
    RoleThread<EngineSidecar> sidecar;
    RoleThread<ForwardingEntry> entry;
};

/// Sends a generation and returns all bytes of the response until the entry closes the connection.
std::string receiveStream(std::uint16_t port, const std::string &target);

/// Returns whether the bytes of a response in chunks have its end.
bool hasLastChunk(const std::string &response);

/// Sends bytes on a new connection and returns the first bytes that are received.
std::string sendRawBytes(std::uint16_t port, const std::string &bytes);

} // namespace zinniadock::test
