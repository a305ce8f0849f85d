#pragma once

#include <atomic>
#include <cstdint>
#include <map>
#include <mutex>
#include <set>
#include <string>
#include <vector>

#include "httpserver.h"
#include "record.h"

namespace zinniadock::review
{

/// A kind of generation in the sheet of agreste-trilho.
struct GenerationKind
{
    std::string path;
    std::size_t promptTokens = 0;
    std::size_t maxOutputTokens = 0;
    std::size_t events = 0;
    std::string deadline;
};

/// Returns fitting-brief and clause-check. The sheet has 5.38 and 7.54 of them in a second.
std::vector<GenerationKind> generationKinds();

std::string generationRequest(const GenerationKind &kind, const std::string &id, std::uint64_t promptPart);

/// Returns a configuration with a route for each kind of generation.
std::string engineConfigurationText();

/// A model engine with the figures of the sheet.
class Engine
{
public:
    Engine(std::string id, const std::string &address, Record &record);

    const std::string &id() const;
    std::string endpoint() const;

    /// Returns the record that the engine writes to the store.
    std::string record() const;

    /// Makes the engine send bytes that are no answer, without end, in the body of each response to a generation.
    void setBroken(bool isBroken);

    std::uint64_t endlessBytes() const;

    /// Returns whether the engine has run a request as a sound server.
    bool hasRunSoundly(const std::string &request);

private:
    bool handle(ServerConnection &connection, const Request &request);
    std::string report();
    bool run(ServerConnection &connection, const Request &request);
    bool sendEndlessly(ServerConnection &connection, const std::string &echo);
    bool stream(ServerConnection &connection, const Request &request, const std::string &echo);

    const std::string m_id;
    const std::string m_address;
    Record &m_record;
    std::atomic<bool> m_isBroken{ false };
    std::atomic<std::uint64_t> m_reservations{ 0 };
    std::atomic<std::uint64_t> m_endlessBytes{ 0 };
    std::mutex m_mutex;
    std::map<std::string, std::size_t> m_running; ///< prompt tokens by request
    std::set<std::string> m_runSoundly;
    HttpServer m_server;
};

} // namespace zinniadock::review
