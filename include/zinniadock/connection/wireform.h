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
#include "zinniadock/process/serverdirectory.h"
#include "zinniadock/version/routetable.h"

/// Names and formats of the platform that a forwarding entry and its sidecars run on. The functions are defined in
/// `platform/`; they translate and decide nothing.
namespace zinniadock::wire
{

/// What a caller's request says about itself.
struct CallerFields
{
    std::string requestId;
    std::string key; ///< empty if there is none
    std::optional<std::chrono::milliseconds> deadline; ///< how long the caller waits
    std::uint32_t promptTokens = 0; ///< 0 where it is not a generation
    std::uint32_t maxOutputTokens = 0;
    std::optional<std::uint32_t> outputHint; ///< the caller's estimate, in tokens
};

/// Where a copy of a run's memory lies.
struct KvCacheCopy
{
    Endpoint holder;
    std::string name; ///< of the copy at its holder
};

/// What the system adds to a request on its way to a server.
struct ServerFields
{
    std::string server; ///< the incarnation that is meant; another one refuses
    std::string account; ///< empty on public routes
    std::chrono::milliseconds deadline{ 0 };
    std::optional<std::uint32_t> priority; ///< 0 is first
    std::string reservation; ///< of a slot and memory at the server; empty for none
    std::optional<KvCacheCopy> copy; ///< goes on from this copy
    std::string lastEventId; ///< the last event that the caller has; empty for none
    bool mayResume = false; ///< passes on the caller's own wish to resume
};

/// What a server's answer says about itself.
struct ResponseFields
{
    std::string requestId;
    std::string server; ///< the incarnation that answers, where it says so
    bool isSigned = false; ///< bears the server's proof that it made this answer
    bool notRun = false; ///< the server promises that it did not run the request
    bool isMisdirected = false; ///< the server that was meant is no longer at this address
    bool isEventStream = false;
    bool closesConnection = false; ///< the connection ends after this answer
    bool isDraining = false; ///< the server is about to end and wants no new work
    std::optional<std::chrono::milliseconds> retryAfter; ///< with a refusal: the server wants nothing for so long
    std::optional<std::chrono::milliseconds> idleTimeout; ///< how long the server keeps the connection idle
};

/// A key of the store with its value, or its deletion.
struct StoreItem
{
    std::string key;
    std::optional<std::string> value; ///< nothing for a deletion
    std::int64_t revision = 0; ///< of its last change
};

/// One answer to a read of a prefix, or to a watch.
struct StoreItems
{
    std::vector<StoreItem> items;
    bool hasMore = false;
    std::int64_t revision = 0; ///< of the store
};

CallerFields parseCallerFields(const HttpRequest &request);

/// Returns the request that goes to a server: the caller's, without what concerns only its connection and without what
/// is the system's to set.
HttpRequest serverRequest(const HttpRequest &request, const ServerFields &fields);

ResponseFields parseResponseFields(const http::response_header<> &answer);

/// Marks an answer of the system as one to a request.
void setRequestId(http::response_header<> &answer, const std::string &requestId);

/// Removes what concerns only the connection to the server.
void removeConnectionFields(http::fields &fields);

/// Parses the operators' configuration; a text says what is wrong with it.
std::variant<RouteTable, std::string> parseRoutes(std::string_view text);

/// Parses the record of a server; a text says what is wrong with it.
std::variant<ServerRecord, std::string> parseServer(const std::string &id, std::string_view text);

std::string configurationPrefix();
std::string configurationKey();
std::string serverPrefix();

/// Returns the target of a read of all keys behind \p after; empty begins with the first.
std::string rangeTarget(const std::string &prefix, const std::string &after);

/// Returns the target of a wait for changes after a revision.
std::string watchTarget(const std::string &prefix, std::int64_t revision, std::chrono::milliseconds wait);

/// Returns the call that makes a lease; keys that are written under it vanish with it.
HttpRequest leaseRequest(std::chrono::milliseconds lifetime);

/// Returns the name of a new lease; empty if there is none.
std::string parseLeaseId(std::string_view body);

HttpRequest renewLeaseRequest(const std::string &lease);
HttpRequest revokeLeaseRequest(const std::string &lease);

/// Returns the call that writes one key under a lease.
HttpRequest writeRequest(const std::string &key, const std::string &value, const std::string &lease);

/// Parses the answer to a read or a watch; nothing if it has another form.
std::optional<StoreItems> parseItems(std::string_view body);

/// The history after the watched revision is no longer there.
bool isCompacted(http::status status);

/// Returns the target on which the platform asks whether an entry is ready.
std::string readinessTarget();

/// Returns the target of the report of an engine.
std::string loadTarget();

/// Parses the report of an engine; nothing if it has another form.
std::optional<EngineLoad> parseLoad(std::string_view body);

/// Returns the call that reserves a slot and memory at an engine for a while.
HttpRequest reserveRequest(std::uint32_t tokens, std::chrono::milliseconds lifetime);

/// Returns the name of a reservation; empty if there is none.
std::string parseReservationId(std::string_view body);

/// Returns the call that copies a run's memory to another engine.
/// \param last  the run stops first
HttpRequest moveRequest(const std::string &requestId, const Endpoint &target, bool last);

/// Returns the name of the copy that a move has made; empty if there is none.
std::string parseCopyId(std::string_view body);

/// Returns the call that frees a copy at both ends.
HttpRequest deleteCopyRequest(const std::string &copy);

} // namespace zinniadock::wire
