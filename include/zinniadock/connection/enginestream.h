#pragma once

#include <chrono>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <variant>

#include <Poco/Net/HTTPClientSession.h>
#include <nlohmann/json_fwd.hpp>

#include "zinniadock/detail/fieldtable.h"
#include "zinniadock/request/error.h"
#include "zinniadock/request/requestid.h"

namespace zinniadock
{

/// One token, or a chunk of text that the engine emits as one token.
struct EngineToken
{
    SequenceNumber sequence = 0;
    std::string text;
};

/// End of a complete generation.
struct EngineEnd
{
    std::string reason; ///< `stop` or `length`
};

/// Next event of an engine stream.
using EngineEvent = std::variant<EngineToken, EngineEnd, Failure>;

/// Timeouts of a connection to a backend server.
struct BackendTimeouts
{
    std::chrono::milliseconds connect{ 1000 };
    std::chrono::milliseconds receive{ 30000 }; ///< maximum time without receiving any data
};

/// Streams one generation from an engine over one HTTP connection.
class EngineStream
{
public:
    /// \param key  generation to stream; an event of another generation ends the stream with a failure
    EngineStream(const Endpoint &engine, BackendTimeouts timeouts, const GenerationKey &key);

    /// Sends a request of the completions API. Returns nothing if the engine accepted it.
    /// The verdict of the Failure is NotRun if no byte was sent or the engine refused the request.
    std::optional<Failure> open(const std::string &path, const std::string &body);

    /// Resumes a running generation at token \p from. Returns a Failure if the request fails or the engine no longer
    /// has the generation.
    std::optional<Failure> reopen(SequenceNumber from);

    /// Waits for the next event. \pre open() or reopen() succeeded
    EngineEvent next();

    /// Makes a waiting call return with a failure. Thread-safe.
    void abort();

private:
    std::optional<Failure> sendAndReadHead(const std::string &method, const std::string &path, const std::string &body);
    std::optional<Failure> failureFor(int status);
    bool belongsToOtherGeneration(const nlohmann::json &event);

    const GenerationKey m_key;
    std::string m_streamId; ///< ID of the first event
    Poco::Net::HTTPClientSession m_session;
    std::mutex m_mutex;
    bool m_aborted = false;
    std::istream *m_stream = nullptr;
    SequenceNumber m_nextToken = 0;
};

/// Cancels a generation on its engine. Returns whether the engine responded.
bool cancelOnEngine(const Endpoint &engine, const GenerationKey &key, BackendTimeouts timeouts);

/// Load that an engine reports, which lags behind its actual load.
struct EngineReport
{
    std::uint64_t incarnation = 0;
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    std::uint32_t usedBlocks = 0;
    std::uint32_t totalBlocks = 0;
    std::uint32_t blockTokens = 16;
    std::uint64_t preemptions = 0;
};

/// Reads the load of an engine. Returns nothing if the engine does not respond with a valid report.
std::optional<EngineReport> readEngineReport(const Endpoint &engine, BackendTimeouts timeouts);

} // namespace zinniadock
