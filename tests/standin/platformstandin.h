#pragma once

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "functionserver.h"

namespace zinniadock::standin
{

/// A stand-in for the platform's store, in its published form: ranges and watches over keys with one revision.
class PlatformStore
{
public:
    PlatformStore();
    ~PlatformStore();

    PlatformStore(const PlatformStore &) = delete;
    PlatformStore &operator=(const PlatformStore &) = delete;

    std::uint16_t port() const;

    /// Writes a key as its owner would.
    void put(const std::string &key, const std::string &value);
    void remove(const std::string &key);

    /// Forgets the history before the current revision.
    void compact();

    /// Refuses every call with 503 from now on, or answers again.
    void setDown(bool down);

    /// Never answers the calls that arrive from now on, or answers new ones again.
    void setUnresponsive(bool silent);

    /// Returns the calls that were left without an answer.
    std::uint64_t unansweredCalls() const;

    std::uint64_t calls() const;

private:
    struct Change
    {
        std::int64_t revision = 0;
        nlohmann::json event;
    };

    void answer(HTTPServerRequest &request, HTTPServerResponse &response);
    void answerLease(HTTPServerRequest &request, HTTPServerResponse &response);
    void write(const nlohmann::json &transaction);
    void endLease(std::int64_t lease);
    nlohmann::json range(const std::string &prefix);
    nlohmann::json watch(const std::string &prefix, std::int64_t after, std::chrono::milliseconds wait);
    void record(nlohmann::json event);

    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<std::string, nlohmann::json> m_items;
    std::deque<Change> m_history;
    std::int64_t m_lastLease = 0;
    std::int64_t m_revision = 7;
    std::int64_t m_compacted = 0;
    std::atomic<bool> m_down{ false };
    std::atomic<bool> m_silent{ false };
    std::atomic<std::uint64_t> m_unanswered{ 0 };
    bool m_stopping = false;
    std::atomic<std::uint64_t> m_calls{ 0 };
    FunctionServer m_server;
};

/// What a platform server does with requests.
enum class ServerBehavior {
    Healthy,
    ResponseLost, ///< runs the request, then closes without an answer
    InternalError, ///< answers 500 with its signature
    Overloaded, ///< refuses, and says that it has not run the request
    ForeignResponse, ///< first sends an answer to another request
    MissingSignature, ///< answers 200 without its signature
    ConnectionReset, ///< closes at once
    TruncatedBody, ///< announces more than it sends, then closes
    InterimResponse, ///< sends an interim answer before the final one
    EndlessHead, ///< sends fields of a head without end
    EndlessInterimResponses, ///< sends interim answers without end
    EndlessChunkLine, ///< sends the line before a chunk without end
    EndlessEvent, ///< sends an event without end
    EndlessBody, ///< sends a body without end
};

/// A request as a platform server got it.
struct ReceivedRequest
{
    std::string target;
    std::string body;
    std::map<std::string, std::string> fields; ///< names in lower case
};

/// Memory of a run that engines hand to one another.
struct CopiedRun
{
    std::string request;
    int events = 0;
};

/// A stand-in for a server of the platform: a plain service, or a model engine that streams events and moves runs.
class PlatformServer
{
public:
    /// \param address  on the loopback interface
    explicit PlatformServer(std::string id, std::string address = "127.0.0.1");

    std::string endpoint() const;

    /// Returns the record that the server writes to the store.
    std::string record(const std::string &service, const std::string &state = "ready") const;

    void setBehavior(ServerBehavior mood);

    /// Time between two events of a stream.
    void setEventInterval(std::chrono::milliseconds interval);

    /// Reports from now on that the server leaves, and refuses copies.
    void startDraining(std::chrono::milliseconds within);

    /// Time that each copy of a run takes.
    void setCopyDuration(std::chrono::milliseconds time);

    /// Returns the copies of runs that are under way.
    std::uint64_t copiesInProgress() const;

    /// Says in all answers that it leaves, and refuses nothing.
    void setLeavingHeader(bool says);

    /// Refuses requests and reservations with 503 and asks for a pause; empty for none.
    void setRetryAfter(const std::string &retryAfterSeconds);

    /// Returns the requests and reservations that it refused with the wish for a pause.
    std::uint64_t retryAfterRefusals() const;

    /// Returns the bytes without end that were taken from it before the connection was closed, at most.
    std::uint64_t endlessBytes() const;

    /// Refuses reservations.
    void setFull(bool full);

    /// Cuts every connection and begins nothing more.
    void stop();

    /// Returns the requests that began to run here.
    std::vector<ReceivedRequest> startedRequests();
    std::uint64_t reservations() const;

    /// Returns the streams that ended because their connection was closed.
    std::uint64_t cancelled() const;

private:
    struct Run
    {
        int events = 0;
        bool stopped = false;
    };

    void answer(HTTPServerRequest &request, HTTPServerResponse &response);
    void report(HTTPServerResponse &response);
    void reserve(HTTPServerResponse &response);
    void move(HTTPServerRequest &request, HTTPServerResponse &response);
    void serve(HTTPServerRequest &request, HTTPServerResponse &response);
    void stream(const ReceivedRequest &seen, HTTPServerRequest &request, HTTPServerResponse &response);
    bool refusesForCopy(const ReceivedRequest &seen);
    bool refusesForPause(HTTPServerResponse &response);
    void sendWithoutEnd(HTTPServerRequest &request, const std::string &begin, const std::string &piece);

    const std::string m_id;
    const std::string m_address;
    std::mutex m_mutex;
    std::atomic<ServerBehavior> m_mood{ ServerBehavior::Healthy };
    std::atomic<bool> m_full{ false };
    std::atomic<bool> m_saysLeaving{ false };
    std::string m_pause; ///< seconds; empty for none
    std::atomic<std::uint64_t> m_pausesAsked{ 0 };
    std::atomic<std::uint64_t> m_endlessBytes{ 0 };
    std::atomic<std::int64_t> m_eventMilliseconds{ 5 };
    std::atomic<std::int64_t> m_copyMilliseconds{ 0 };
    std::atomic<std::uint64_t> m_copiesInProgress{ 0 };
    std::atomic<std::int64_t> m_leavesAt{ 0 }; ///< steady milliseconds; 0 if it stays
    std::map<std::string, Run> m_runs;
    std::vector<ReceivedRequest> m_ran;
    std::atomic<std::uint64_t> m_reservations{ 0 };
    std::atomic<std::uint64_t> m_cancelled{ 0 };
    FunctionServer m_server;
};

/// Number of events of each stream.
constexpr int streamEvents = 60;

/// Returns the body of a whole stream.
std::string completeStreamBody();

} // namespace zinniadock::standin
