#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "zinniadock/request/requestid.h"
#include "zinniadock/request/verdict.h"

namespace zinniadock
{

/// Version of the protocol between entry and sidecar; peers ignore unknown fields.
constexpr std::uint32_t linkProtocolVersion = 1;

/// Kind of backend server that a request needs.
enum class RequestKind : std::uint8_t {
    Generation, ///< tokens streamed by a model engine
    Call, ///< one response of a plain service
};

/// First message on a link, sent by both sides.
struct Hello
{
    std::uint32_t protocol = linkProtocolVersion;
    std::string instance;
    std::string dataCentre;
    std::uint64_t incarnation = 0; ///< random number, chosen at each start of the process
    std::uint64_t revision = 0; ///< configuration revision in force

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive("p", protocol);
        archive("i", instance);
        archive("d", dataCentre);
        archive("n", incarnation);
        archive("v", revision);
    }
};

/// Asks a sidecar to run a request.
struct Offer
{
    RequestId request;
    GenerationId generation = 1;
    RequestKind kind = RequestKind::Generation;
    std::string account;
    std::string route;
    std::string method;
    std::string path;
    std::string contentType;
    std::string body;
    std::string idempotencyKey;
    std::chrono::milliseconds timeLeft{ 0 }; ///< time until the first token is due, or the whole response of a call
    std::uint32_t priority = 0; ///< requests with a higher value run first
    std::uint32_t promptTokens = 0;
    std::uint32_t maxTokens = 0;
    double accountWeight = 1.0; ///< weight of the client account in fair-share scheduling
    std::uint64_t fingerprint = 0; ///< identical for every resend of a request
    bool isSuspect = false; ///< the request was running when an engine crashed

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive("r", request);
        archive("g", generation);
        archive("k", kind);
        archive("a", account);
        archive("o", route);
        archive("m", method);
        archive("p", path);
        archive("c", contentType);
        archive("b", body);
        archive("i", idempotencyKey);
        archive("l", timeLeft);
        archive("y", priority);
        archive("q", promptTokens);
        archive("x", maxTokens);
        archive("s", accountWeight);
        archive("f", fingerprint);
        archive("u", isSuspect);
    }
};

/// Requests the remaining messages of a response after the link was lost or a token is missing. A sidecar that has not
/// received the request records the request as refused.
struct Resume
{
    RequestId request;
    GenerationId generation = 1;
    RequestKind kind = RequestKind::Generation;
    SequenceNumber next = 0;
    std::uint64_t offeredIncarnation = 0; ///< incarnation of the sidecar that received the offer
    std::string account;
    std::string route;
    std::uint32_t maxTokens = 0;
    std::uint32_t promptTokens = 0;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive("r", request);
        archive("g", generation);
        archive("k", kind);
        archive("n", next);
        archive("f", offeredIncarnation);
        archive("a", account);
        archive("o", route);
        archive("x", maxTokens);
        archive("q", promptTokens);
    }
};

/// Cancels a request whose response is no longer needed.
struct Cancel
{
    RequestId request;
    GenerationId generation = 1;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive("r", request);
        archive("g", generation);
    }
};

/// Acknowledges the tokens before \c next, which removes them from the replay window.
struct Ack
{
    RequestId request;
    GenerationId generation = 1;
    SequenceNumber next = 0;
    bool isFinal = false; ///< the whole response has arrived

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive("r", request);
        archive("g", generation);
        archive("n", next);
        archive("f", isFinal);
    }
};

/// Reports that a request has left the queue and was sent to its backend server.
struct Started
{
    RequestId request;
    GenerationId generation = 1;
    std::chrono::milliseconds queueTime{ 0 }; ///< time that the request spent in the queue

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive("r", request);
        archive("g", generation);
        archive("q", queueTime);
    }
};

/// One token of one generation.
struct Token
{
    RequestId request;
    GenerationId generation = 1;
    SequenceNumber sequence = 0;
    std::string text;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive("r", request);
        archive("g", generation);
        archive("n", sequence);
        archive("x", text);
    }
};

/// Reports that a generation is complete.
struct Finished
{
    RequestId request;
    GenerationId generation = 1;
    SequenceNumber tokens = 0; ///< number of tokens of the whole generation
    std::string reason; ///< `stop` or `length`

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive("r", request);
        archive("g", generation);
        archive("n", tokens);
        archive("x", reason);
    }
};

/// The response of a plain service.
struct ServiceResponse
{
    RequestId request;
    GenerationId generation = 1;
    std::uint32_t status = 0;
    std::string contentType;
    std::string body;
    bool isEndStated = true; ///< the service has stated that the body is complete

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive("r", request);
        archive("g", generation);
        archive("s", status);
        archive("c", contentType);
        archive("b", body);
        archive("e", isEndStated);
    }
};

/// Reports that a request has ended without a complete response.
struct Failed
{
    RequestId request;
    GenerationId generation = 1;
    std::int32_t error = 0; ///< value of a RequestError
    Verdict verdict = Verdict::MayHaveRun;
    std::string message;
    std::chrono::milliseconds retryAfter{ 0 };
    std::uint64_t crashId = 0; ///< ID of the engine crash that ended the request; 0 if there was none

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive("r", request);
        archive("g", generation);
        archive("c", crashId);
        archive("e", error);
        archive("v", verdict);
        archive("x", message);
        archive("a", retryAfter);
    }
};

/// Load of a backend server as counted by its sidecar.
struct LoadReport
{
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    std::uint32_t usedBlocks = 0;
    std::uint32_t totalBlocks = 0;
    std::uint32_t linkedEntries = 0; ///< entry instances linked to this sidecar
    std::chrono::milliseconds expectedWait{ 0 };
    bool draining = false;
    bool backendAlive = false;
    std::uint64_t revision = 0;
    std::uint64_t preemptions = 0;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive("r", running);
        archive("w", waiting);
        archive("u", usedBlocks);
        archive("t", totalBlocks);
        archive("e", linkedEntries);
        archive("x", expectedWait);
        archive("d", draining);
        archive("b", backendAlive);
        archive("v", revision);
        archive("p", preemptions);
    }
};

/// A complete configuration, sent to a peer that has an older one.
struct ConfigurationPush
{
    std::uint64_t revision = 0;
    std::string digest;
    std::string text;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive("v", revision);
        archive("d", digest);
        archive("x", text);
    }
};

/// Requests an immediate Pong. Sent while a response is outstanding on a link on which nothing arrives.
struct Ping
{
    std::uint64_t number = 0;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive("n", number);
    }
};

/// Response to a Ping with the same number.
struct Pong
{
    std::uint64_t number = 0;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive("n", number);
    }
};

/// Notifies an entry that a request was running when an engine crashed.
struct CrashNotice
{
    std::uint64_t fingerprint = 0;
    std::uint64_t crashId = 0; ///< ID of the crash

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive("f", fingerprint);
        archive("c", crashId);
    }
};

/// The time of the sender's hybrid logical clock. The sender transmits it before each message that reports an event, so
/// that the receiver gives its later events later timestamps.
struct ClockStamp
{
    std::uint64_t time = 0;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive("t", time);
    }
};

/// Changes from one configuration revision to the next, sent to a peer that has the earlier revision.
struct ConfigurationDelta
{
    std::uint64_t revision = 0;
    std::uint64_t base = 0; ///< revision that the changes apply to
    std::string digest; ///< digest of the resulting text
    std::string changes;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive("v", revision);
        archive("b", base);
        archive("d", digest);
        archive("x", changes);
    }
};

/// Requests the complete configuration of the peer, after a delta could not be applied.
struct ConfigurationRequest
{
    std::uint64_t revision = 0; ///< revision in force at the sender

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive("v", revision);
    }
};

/// Every message of the protocol; the position in the list is its type number on the wire.
using LinkMessage
    = std::variant<Hello, Offer, Resume, Cancel, Ack, Started, Token, Finished, ServiceResponse, Failed, LoadReport,
                   ConfigurationPush, Ping, Pong, CrashNotice, ClockStamp, ConfigurationDelta, ConfigurationRequest>;

/// Returns whether a message is of a frequent type: one that carries or acknowledges tokens or keeps a link alive.
/// Messages of these types report no event.
bool isFrequent(const LinkMessage &message);

/// Encodes a message as one CBOR map.
std::string encode(LinkMessage message);

/// Decodes one frame, an array of messages. Returns nothing if the frame is malformed or exceeds the size limits.
/// Complexity: linear in the frame, constant depth.
std::optional<std::vector<LinkMessage>> decode(std::string_view frame);

} // namespace zinniadock
