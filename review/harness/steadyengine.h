#pragma once

#include <atomic>
#include <chrono>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <vector>

#include "../../tests/standin/functionserver.h"

namespace zinniadock::review
{

/// Speed of a SteadyEngine.
struct EngineSpeed
{
    std::chrono::milliseconds firstEvent{ 0 }; ///< from the arrival of the request to the first event
    std::chrono::milliseconds eventInterval{ 0 };
};

/// A request that a SteadyEngine ran.
struct EngineRun
{
    std::string id;
    int events = 0; ///< events sent
    int allEvents = 0;
    bool isBrokenOff = false; ///< the connection was closed before the last event
    std::chrono::steady_clock::time_point arrivedAt;
};

/// A sound server. A request with `X-Token-Count` gets as many events as its maximum output holds, at a constant speed;
/// another one gets a short body after EngineSpeed::firstEvent.
class SteadyEngine
{
public:
    SteadyEngine(std::string id, const std::string &address, EngineSpeed speed);
    ~SteadyEngine();

    SteadyEngine(const SteadyEngine &) = delete;
    SteadyEngine &operator=(const SteadyEngine &) = delete;

    std::string endpoint() const;

    /// Returns the record that the engine writes to the store.
    std::string record(const std::string &service = "engines") const;

    std::vector<EngineRun> runs();

    /// From now on each answer has the field `Server-Leaving`.
    void startLeaving();

    /// Ends the server: no request on it gets an answer any more, all connections are closed, and new ones refused.
    void stop();

private:
    struct Generation
    {
        int promptTokens = 0;
        int events = 0; ///< events sent
    };

    void handle(standin::HTTPServerRequest &request, standin::HTTPServerResponse &response);
    void report(standin::HTTPServerResponse &response);
    void answer(standin::HTTPServerRequest &request, standin::HTTPServerResponse &response);
    void stream(standin::HTTPServerRequest &request, standin::HTTPServerResponse &response);

    const std::string m_id;
    const std::string m_address;
    const EngineSpeed m_speed;
    const std::int64_t m_startTimeMs;
    std::mutex m_mutex;
    std::vector<EngineRun> m_runs;
    std::map<std::string, Generation> m_running; ///< by request id
    std::atomic<std::uint64_t> m_reservations{ 0 };
    std::atomic<bool> m_isLeaving{ false };
    std::atomic<bool> m_hasEnded{ false };
    standin::LoopbackHttpServer m_server;
};

} // namespace zinniadock::review
