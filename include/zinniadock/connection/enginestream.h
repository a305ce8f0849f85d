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

/// One token, or a chunk that the engine emits as one.
struct EngineToken
{
    SequenceNumber sequence = 0;
    std::string text;
};

/// The end of a whole generation.
struct EngineEnd
{
    std::string reason; ///< `stop` or `length`
};

/// What an engine stream gives next.
using EngineEvent = std::variant<EngineToken, EngineEnd, Failure>;

/// How long to wait for a backend server.
struct BackendTimeouts
{
    std::chrono::milliseconds connect{ 1000 };
    std::chrono::milliseconds receive{ 30000 }; ///< longest time with nothing arriving
};

/// One generation as an engine streams it, over one HTTP connection.
class EngineStream
{
public:
    /// \param key  the generation that the stream brings; events of any other end the stream with a failure
    EngineStream(const Endpoint &engine, BackendTimeouts timeouts, const GenerationKey &key);

    /// Sends a request in the form of the completions interface; nothing if the engine accepted it.
    /// A Failure is NotRun where no byte was sent or the engine refused.
    std::optional<Failure> open(const std::string &path, const std::string &body);

    /// Takes up a running generation at a token; nothing if the engine still has it.
    std::optional<Failure> reopen(SequenceNumber from);

    /// Waits for the next event. \pre open() or reopen() succeeded
    EngineEvent next();

    /// Makes a waiting call return with a failure. Thread-safe.
    void abort();

private:
    std::optional<Failure> exchange(const std::string &method, const std::string &path, const std::string &body);
    std::optional<Failure> failureOf(int status);
    bool isOfAnother(const nlohmann::json &event);

    const GenerationKey m_key;
    std::string m_streamId; ///< id of the first event
    Poco::Net::HTTPClientSession m_session;
    std::mutex m_mutex;
    bool m_aborted = false;
    std::istream *m_stream = nullptr;
    SequenceNumber m_next = 0;
};

/// Ends a generation on its engine; true if the engine answered.
bool cancelOnEngine(const Endpoint &engine, const GenerationKey &key, BackendTimeouts timeouts);

/// Load of an engine as it reports it, which lags.
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

/// Reads the load of an engine; nothing if it does not answer.
std::optional<EngineReport> readEngineReport(const Endpoint &engine, BackendTimeouts timeouts);

} // namespace zinniadock
