#pragma once

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "scriptedresponse.h"

namespace zinniadock::standin
{

/// Simulates the platform's store with its published HTTP interface: ranges and watches over keys that share one
/// revision, and leases. A lease ends only by a call, never by time.
class PlatformStore
{
    struct Change
    {
        std::int64_t revision = 0;
        nlohmann::json event;
    };

    friend class StoreAddress;

    /// All that the store holds.
    struct Content
    {
        std::map<std::string, nlohmann::json> itemsByKey;
        std::deque<Change> history;
        std::set<std::int64_t> leases;
        std::int64_t lastLease = 0;
        std::int64_t revision = 7;
        std::int64_t compactedRevision = 0;
    };

public:
    /// A copy of the content of a store.
    using Copy = Content;

    PlatformStore();
    ~PlatformStore();

    PlatformStore(const PlatformStore &) = delete;
    PlatformStore &operator=(const PlatformStore &) = delete;

    std::uint16_t port() const;

    /// Writes a key, as the server that owns the key does.
    void put(const std::string &key, const std::string &value);

    /// Deletes a key.
    void remove(const std::string &key);

    /// Returns a copy of the content of the store.
    Copy copy();

    /// Replaces the content by a copy: what was written since is gone, revisions and lease numbers are given out again,
    /// and the era rises by one.
    void restore(const Copy &copy);

    /// Returns the lease of a key; 0 if the key does not exist or has none.
    std::int64_t leaseOf(const std::string &key);

    /// Returns the number of a new lease, as another client of the store gets it.
    std::int64_t grantLease();

    /// Discards the change history. A later watch that starts before the current revision gets status 410.
    void compact();

    /// Rejects each call, also a waiting watch, with status 503 while \p down is true.
    void setDown(bool down);

    /// Never responds to calls that arrive while \p unresponsive is true.
    void setUnresponsive(bool unresponsive);

    /// Responds to each write only after this time. The write has taken effect before.
    void setWriteResponseDelay(std::chrono::milliseconds delay);

    /// Returns the number of calls that got no response because of setUnresponsive().
    std::uint64_t callsWithoutResponse() const;

    /// Returns the number of calls received.
    std::uint64_t calls() const;

private:
    void handle(HTTPServerRequest &request, HTTPServerResponse &response);
    void handleWrite(HTTPServerRequest &request, HTTPServerResponse &response);

    /// Returns the status of a transaction, which is applied if it is 200.
    int write(const nlohmann::json &transaction);
    void endLease(std::int64_t lease);
    bool hasLease(std::int64_t lease);
    /// Returns a page of the keys after \p after: at most maxPageItems, and no further one from maxPageBytes on.
    nlohmann::json range(const std::string &prefix, const std::string &after);
    nlohmann::json watch(const std::string &prefix, std::int64_t after, std::chrono::milliseconds wait);
    void record(nlohmann::json event);

    std::mutex m_mutex;
    std::condition_variable m_changed;
    Content m_content;
    std::atomic<std::uint64_t> m_era{ 1 };
    std::atomic<bool> m_down{ false };
    std::atomic<bool> m_unresponsive{ false };
    std::atomic<std::int64_t> m_writeResponseDelayMs{ 0 };
    std::atomic<std::uint64_t> m_callsWithoutResponse{ 0 };
    bool m_stopping = false;
    std::atomic<std::uint64_t> m_calls{ 0 };
    LoopbackHttpServer m_server;
};

/// Calls that arrive at a StoreAddress and are not served.
struct AddressFault
{
    std::string prefix; ///< concerns only reads and watches of this prefix; all calls if empty
    int status = 0; ///< of the response; 0 for no response until the client closes the connection
};

/// A further address of a PlatformStore, with faults of its own.
class StoreAddress
{
public:
    explicit StoreAddress(PlatformStore &store);
    ~StoreAddress();

    StoreAddress(const StoreAddress &) = delete;
    StoreAddress &operator=(const StoreAddress &) = delete;

    std::uint16_t port() const;

    /// Sets the fault of the calls that arrive from now on; nothing ends it.
    void setFault(std::optional<AddressFault> fault);

    /// Sets the time before each response.
    void setDelay(std::chrono::milliseconds delay);

    /// Returns the number of calls received.
    std::uint64_t calls() const;

private:
    void handle(HTTPServerRequest &request, HTTPServerResponse &response);
    void waitForClose(HTTPServerRequest &request) const;

    PlatformStore &m_store;
    std::mutex m_mutex;
    std::optional<AddressFault> m_fault;
    std::atomic<std::int64_t> m_delayMs{ 0 };
    std::atomic<std::uint64_t> m_calls{ 0 };
    std::atomic<bool> m_isStopping{ false };
    LoopbackHttpServer m_server;
};

/// How a PlatformServer handles requests.
enum class ServerBehavior {
    Healthy,
    ResponseLost, ///< runs the request, then closes the connection without a response
    InternalError, ///< responds with status 500 and its signature
    Overloaded, ///< rejects the request with status 503 and `X-Not-Executed`
    ForeignResponse, ///< sends the response to another request before its own
    MissingSignature, ///< responds with status 200 without its signature
    ConnectionReset, ///< closes the connection without running the request
    TruncatedBody, ///< sends less than its Content-Length, then closes the connection
    InterimResponse, ///< sends an interim response (103) before the final one
    EndlessHead, ///< sends a header field without end
    EndlessInterimResponses, ///< sends interim responses without end
    EndlessChunkLine, ///< sends a chunk size line without end
    EndlessEvent, ///< sends an event without end
    EndlessBody, ///< sends a body without end
    UnframedBody, ///< sends a complete body without its length, then closes the connection
    UnframedStream, ///< sends a complete stream with neither a length nor chunks, then closes the connection
    UnframedStreamCutInEvent, ///< as UnframedStream, but closes the connection inside an event
    ChunkedStreamCutInEvent, ///< ends a stream in chunks inside an event
};

/// A request that a PlatformServer received.
struct ReceivedRequest
{
    std::string target;
    std::string body;
    std::map<std::string, std::string> fields; ///< header fields, names in lower case
    std::chrono::steady_clock::time_point startedAt;
};

/// How the streams of a PlatformServer state where they end.
enum class StreamFraming {
    Chunks,
    Length,
    Connection, ///< not at all: the stream ends with its connection
};

/// Where and how the streams of a PlatformServer end early.
struct StreamCut
{
    int afterEvents = 0; ///< number of the last complete event
    bool insideEvent = false; ///< a part of the next event is sent too
    ConnectionEnd end = ConnectionEnd::Fin;
    std::string spoiled; ///< bytes that are sent before the end
};

/// Copy of the KV cache of a generation, which one engine transfers to another.
struct GenerationCopy
{
    std::string request; ///< request id
    int events = 0; ///< events sent before the copy
};

/// Simulates a server of the platform: a plain service, or a model engine that streams events and moves generations to
/// other engines.
class PlatformServer
{
public:
    /// \param id  instance id of the server
    /// \param address  listening address on the loopback interface
    /// \param port  listening port; 0 for any free one
    explicit PlatformServer(std::string id, std::string address = "127.0.0.1", std::uint16_t port = 0);
    ~PlatformServer();

    PlatformServer(const PlatformServer &) = delete;
    PlatformServer &operator=(const PlatformServer &) = delete;

    const std::string &id() const;
    std::uint16_t port() const;

    /// Sets the data centre in record(). Initially "north".
    void setDataCentre(const std::string &name);

    /// Sets the time in record() for which the server stays cold, and raises the sequence number of the record.
    void setColdTime(std::chrono::milliseconds left);

    /// Sets the start time in record(), in Unix milliseconds.
    void setStartTime(std::int64_t milliseconds);

    std::string endpoint() const;

    /// Returns the JSON record that the server writes to the store.
    std::string record(const std::string &service, const std::string &state = "ready") const;

    void setBehavior(ServerBehavior behavior);

    /// Sets the framing of all streams, and where they end early. Without \p cut they are complete.
    void setStreams(StreamFraming framing, std::optional<StreamCut> cut = {});

    /// Makes the server send exactly these bytes in response to each request that it runs.
    void setScriptedResponse(const ScriptedResponse &response);

    /// Ends the effect of setScriptedResponse().
    void clearScriptedResponse();

    /// Makes the server send a second copy of each response that is not in chunks, of requests and of calls to itself,
    /// this long after the first one and on the same connection; nothing ends this.
    void setSecondResponse(std::optional<std::chrono::milliseconds> delay);

    /// Makes the server crash when it runs a request whose target, body or prompt parts contain \p marker: it refuses
    /// new connections, and no request on it ends. The crash is complete after stop().
    void setCrashMarker(const std::string &marker);

    /// Sets the time from the arrival of such a request until the crash. It crashes also if the caller has left.
    void setCrashDelay(std::chrono::milliseconds delay);

    /// Returns whether a request has crashed the server.
    bool hasCrashed() const;

    /// Sets the time that a call runs before its response. It ends at once if its client closes the connection.
    void setRunTime(std::chrono::milliseconds duration);

    /// Sets the time before the response to each reservation.
    void setReservationDelay(std::chrono::milliseconds delay);

    /// Sets the time between two events of a stream.
    void setEventInterval(std::chrono::milliseconds interval);

    /// Reports the state `draining` and the time left until \p within has passed.
    void startDraining(std::chrono::milliseconds within);

    /// Sets the time that each copy of a generation takes.
    void setCopyDuration(std::chrono::milliseconds time);

    /// Makes the server stop a generation for its final copy as ordered, but close the connection without a response.
    void setStopResponseLost(bool lost);

    /// Returns the number of copies of generations in progress.
    std::uint64_t copiesInProgress() const;

    /// Adds the field `Server-Leaving` to each response while \p enabled is true. Rejects nothing.
    void setDrainingHeader(bool enabled);

    /// Adds a field `Server-Limit` with each of these values to each response. Rejects nothing.
    void setLimits(const std::vector<std::string> &values);

    /// Returns when each request arrived, of any kind, in order.
    std::vector<std::chrono::steady_clock::time_point> arrivals();

    /// Rejects requests and reservations with status 503 and this `Retry-After`. An empty string rejects none.
    void setRetryAfter(const std::string &retryAfterSeconds);

    /// Returns the number of requests and reservations rejected with `Retry-After`.
    std::uint64_t retryAfterRefusals() const;

    /// Returns the number of bytes that the endless behaviors sent over all connections. It is an upper bound of the
    /// bytes that the clients read before they closed their connections.
    std::uint64_t endlessBytes() const;

    /// Rejects reservations with status 503 while \p full is true.
    void setFull(bool full);

    /// Refuses new connections, as the host of a process that has ended does.
    void refuseConnections();

    /// Closes all connections and accepts no more requests.
    void stop();

    /// Returns whether stop() was called.
    bool isStopped() const;

    /// Returns the requests that started to run on this server, in order.
    std::vector<ReceivedRequest> startedRequests();

    /// Returns the number of granted reservations.
    std::uint64_t reservations() const;

    /// Returns the number of calls that release a reservation.
    std::uint64_t releasedReservations() const;

    /// Returns the number of calls that free a copy of a generation.
    std::uint64_t releasedCopies() const;

    /// Returns the number of streams and calls that ended because their connection was closed.
    std::uint64_t cancelled() const;

private:
    struct Generation
    {
        int events = 0;
        bool stopped = false; ///< moved to another engine
    };

    void handle(HTTPServerRequest &request, HTTPServerResponse &response);

    /// Sends a copy of the response that this thread has sent last.
    void sendAgain(HTTPServerRequest &request, const HTTPServerResponse &response);
    void report(HTTPServerResponse &response);
    void reserve(HTTPServerResponse &response);
    void move(HTTPServerRequest &request, HTTPServerResponse &response);
    void serve(HTTPServerRequest &request, HTTPServerResponse &response);
    void stream(const ReceivedRequest &received, HTTPServerRequest &request, HTTPServerResponse &response);

    /// Ends a stream early. Returns after stop() if the connection stays silent.
    void cutStream(const StreamCut &cut, std::ostream &out, HTTPServerRequest &request);
    bool crashesOn(const ReceivedRequest &received);

    /// Sends the scripted response. Returns whether there is one.
    bool sendScript(HTTPServerRequest &request);

    /// Runs a call for the time that is set. Returns whether its client has closed the connection.
    bool runCall(HTTPServerRequest &request);

    /// Refuses connections, then waits for stop().
    void crash();

    /// Returns whether the request names a GenerationCopy that does not exist or that belongs to another request.
    /// Otherwise removes the named copy, if any.
    bool rejectsCopy(const ReceivedRequest &received);

    /// Rejects the request if `Retry-After` is set, and returns whether it did.
    bool rejectWithRetryAfter(HTTPServerResponse &response);

    /// Sends \p begin and then \p piece repeatedly, until the client closes the connection or 64 MiB are sent in total.
    void sendEndlessly(HTTPServerRequest &request, const std::string &begin, const std::string &piece);

    const std::string m_id;
    const std::string m_address;
    std::int64_t m_startTimeMs = 1000;
    std::string m_dataCentre = "north";
    std::int64_t m_coldMs = 0;
    int m_sequence = 1;
    std::mutex m_mutex;
    std::atomic<ServerBehavior> m_behavior{ ServerBehavior::Healthy };
    std::atomic<bool> m_rejectsReservations{ false };
    std::atomic<bool> m_sendsDrainingHeader{ false };
    std::optional<ScriptedResponse> m_script;
    std::optional<std::chrono::milliseconds> m_secondResponseDelay;
    StreamFraming m_streamFraming = StreamFraming::Chunks;
    std::optional<StreamCut> m_streamCut;
    std::atomic<std::int64_t> m_crashDelayMs{ 0 };
    std::string m_crashMarker; ///< empty if no request crashes the server
    std::atomic<bool> m_hasCrashed{ false };
    std::atomic<bool> m_isStopping{ false };
    std::string m_retryAfterSeconds; ///< empty for none
    std::vector<std::string> m_limits; ///< values of `Server-Limit`
    std::vector<std::chrono::steady_clock::time_point> m_arrivals;
    std::atomic<std::uint64_t> m_retryAfterRefusals{ 0 };
    std::atomic<std::uint64_t> m_endlessBytes{ 0 };
    std::atomic<std::int64_t> m_runMilliseconds{ 0 };
    std::atomic<std::int64_t> m_reservationMilliseconds{ 0 };
    std::atomic<std::int64_t> m_eventMilliseconds{ 5 };
    std::atomic<std::int64_t> m_copyMilliseconds{ 0 };
    std::atomic<std::uint64_t> m_copiesInProgress{ 0 };
    std::atomic<bool> m_isStopResponseLost{ false };
    std::atomic<std::int64_t> m_drainDeadline{ 0 }; ///< milliseconds of the steady clock; 0 if not draining
    std::map<std::string, Generation> m_generations;
    std::vector<ReceivedRequest> m_startedRequests;
    std::atomic<std::uint64_t> m_reservations{ 0 };
    std::atomic<std::uint64_t> m_releasedReservations{ 0 };
    std::atomic<std::uint64_t> m_releasedCopies{ 0 };
    std::atomic<std::uint64_t> m_cancelled{ 0 };
    LoopbackHttpServer m_server;
};

/// Number of events of each stream.
constexpr int streamEvents = 60;

/// Returns the body of a complete stream.
std::string completeStreamBody();

/// Returns the events of a stream from \p firstEvent to \p lastEvent.
std::string streamBody(int firstEvent, int lastEvent = streamEvents);

} // namespace zinniadock::standin
