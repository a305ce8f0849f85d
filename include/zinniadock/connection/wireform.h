#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <system_error>
#include <variant>
#include <vector>

#include "zinniadock/connection/httpmessage.h"
#include "zinniadock/process/servers/serverdirectory.h"
#include "zinniadock/version/routetable.h"

/// Names and formats of the platform that a forwarding entry and its sidecars run on. The functions are defined in
/// `platform/`. They only convert between formats and make no decisions.
namespace zinniadock::wire
{

/// Values from the header fields of a caller's request.
struct CallerFields
{
    std::string requestId;
    std::string key; ///< API key; empty if there is none
    std::optional<std::chrono::milliseconds> deadline; ///< time that the caller waits for the response
    std::uint32_t promptTokens = 0; ///< 0 if the request is not a generation
    std::uint32_t maxOutputTokens = 0;
    std::optional<std::uint32_t> outputHint; ///< the caller's estimate of the output length, in tokens
    std::vector<std::string> sharedPromptParts; ///< IDs of the parts of the prompt, in order, without the last one,
                                                ///< which belongs to the request itself or to its session
};

/// Location of a copy of a generation's KV cache.
struct KvCacheCopy
{
    Endpoint holder;
    std::string name; ///< name of the copy at its holder
};

/// Header fields that the system adds to a request before it forwards the request to a server.
struct ServerFields
{
    std::string server; ///< the intended incarnation; any other incarnation refuses the request
    std::string account; ///< empty on public routes
    std::chrono::milliseconds deadline{ 0 };
    std::optional<std::uint32_t> priority; ///< 0 is the highest priority
    std::string reservation; ///< reservation of a slot and memory at the server; empty if there is none
    std::optional<KvCacheCopy> copy; ///< copy that the generation continues from
    std::string lastEventId; ///< the last event that the caller has received; empty if there is none
    bool mayResume = false; ///< forwards the caller's last event ID, with which the caller resumes a stream
};

/// Values from the header fields of a server's response.
struct ResponseFields
{
    std::string requestId;
    std::string server; ///< the incarnation that responded; empty if not stated
    bool isSigned = false; ///< has a signature of the server that made the response
    bool notRun = false; ///< the server states that it did not run the request
    bool isMisdirected = false; ///< the intended server is no longer at this address
    bool isEventStream = false;
    bool closesConnection = false; ///< the server closes the connection after this response
    bool isDraining = false; ///< the server is about to stop and must not get new requests
    std::optional<std::chrono::milliseconds> retryAfter; ///< pause that the server requests with a refusal
    std::vector<std::string> limits; ///< values of the fields that limit the requests per second from all callers
    std::optional<std::chrono::milliseconds> coldLeft; ///< time for which the server stays cold; nothing if not stated
    std::optional<std::chrono::milliseconds> idleTimeout; ///< time for which the server keeps an idle connection open
};

/// Number of the times that the store has come back from a copy of itself. Revisions and leases of different eras can't
/// be compared. 0 if the store does not state it.
using StoreEra = std::uint64_t;

/// A key of the store with its value, or the deletion of a key.
struct StoreItem
{
    std::string key;
    std::optional<std::string> value; ///< nothing for a deletion
    std::int64_t revision = 0; ///< revision of the last change of the key
};

/// One response to a read of a prefix or to a watch.
struct StoreItems
{
    std::vector<StoreItem> items;
    bool hasMore = false;
    std::int64_t revision = 0; ///< revision of the store
};

CallerFields parseCallerFields(const HttpRequest &request);

/// Returns the request to forward to a server: the caller's request without the fields that concern only its connection
/// and without the fields that only the system may set, plus \p fields.
HttpRequest serverRequest(const HttpRequest &request, const ServerFields &fields);

ResponseFields parseResponseFields(const http::response_header<> &response);

/// Sets the request ID header field of a response that an entry creates itself. Does nothing if \p requestId is empty.
void setRequestId(http::response_header<> &response, const std::string &requestId);

/// Removes the header fields that concern only one connection.
void removeConnectionFields(http::fields &fields);

/// Parses the operators' configuration. Returns an error message if it is invalid.
std::variant<RouteTable, std::string> parseRoutes(std::string_view text);

/// Parses the record of a server. Returns an error message if it is invalid.
std::variant<ServerRecord, std::string> parseServer(const std::string &id, std::string_view text);

std::string configurationPrefix();
std::string configurationKey();

/// Returns the prefix of the keys that request the evacuation of a data centre. The name of the data centre follows it.
std::string evacuationPrefix();

std::string serverPrefix();

/// Returns the request target to read all keys after \p after. An empty \p after starts at the first key.
std::string rangeTarget(const std::string &prefix, const std::string &after);

/// Returns the request target of a long poll for changes after a revision.
std::string watchTarget(const std::string &prefix, std::int64_t revision, std::chrono::milliseconds wait);

/// Returns the request that creates a lease. Keys that are written under the lease are deleted with it.
HttpRequest leaseRequest(std::chrono::milliseconds lifetime);

/// Returns the ID of a new lease; empty if the response has none.
std::string parseLeaseId(std::string_view body);

HttpRequest renewLeaseRequest(const std::string &lease);

/// Returns the request that writes one key under a lease.
HttpRequest writeRequest(const std::string &key, const std::string &value, const std::string &lease);

/// Returns the request that deletes one key.
HttpRequest deleteRequest(const std::string &key);

/// Parses the response to a read or a watch. Returns nothing if the response is malformed.
std::optional<StoreItems> parseItems(std::string_view body);

/// Returns the era that a response of the store belongs to.
StoreEra parseStoreEra(const http::response_header<> &response);

/// Returns whether a watch failed because the history after the watched revision was compacted.
bool isCompacted(http::status status);

/// Returns the request target of the platform's readiness check of an entry.
std::string readinessTarget();

/// Returns the request target of an engine's load report.
std::string loadTarget();

/// Parses the load report of an engine. Returns nothing if the report is malformed.
std::optional<EngineLoad> parseLoad(std::string_view body);

/// Returns the request that reserves a slot and memory at an engine for \p lifetime.
HttpRequest reserveRequest(std::uint32_t tokens, std::chrono::milliseconds lifetime);

/// Returns the ID of a reservation; empty if the response has none.
std::string parseReservationId(std::string_view body);

/// Returns the request that releases a reservation which is not used.
HttpRequest releaseReservationRequest(const std::string &reservation);

/// Returns the request that copies a generation's KV cache to another engine.
/// \param stopGeneration  whether the engine stops the generation before the copy
HttpRequest moveRequest(const std::string &requestId, const Endpoint &target, bool stopGeneration);

/// Returns the ID of the copy that a move has created; empty if the response has none.
std::string parseCopyId(std::string_view body);

/// Returns the request that deletes a copy at both engines.
HttpRequest deleteCopyRequest(const std::string &copy);

} // namespace zinniadock::wire
