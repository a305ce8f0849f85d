#pragma once

#include <chrono>
#include <concepts>
#include <cstdint>
#include <ostream>
#include <string>

#include <Poco/Net/HTTPServerResponse.h>

#include "zinniadock/request/callerrequest.h"
#include "zinniadock/request/error.h"

namespace zinniadock
{

/// Writes the response of one generation to its caller.
template <typename Type>
concept ResponseWriter
    = requires(Type writer, GenerationKey key, SequenceNumber sequence, const std::string &text, const Failure &failure)
{
    writer.addToken(key, sequence, text);
    {
        writer.flush()
        } -> std::same_as<bool>; ///< false if the caller disconnected or the response is too large
    {
        writer.finish(key, sequence, text)
        } -> std::same_as<bool>;
    {
        writer.probeCaller()
        } -> std::same_as<bool>; ///< called after the caller closed its sending side; false if the caller disconnected
    writer.fail(failure);
};

/// Sets the headers that every response has: request identifier and verdict.
void setResponseHeaders(Poco::Net::HTTPServerResponse &response, const RequestId &request, Verdict verdict);

/// Sends an error response.
void sendFailure(Poco::Net::HTTPServerResponse &response, const RequestId &request, const Failure &failure);

/// Streams a generation as server-sent events. The id of each event is `generation:sequence`.
class StreamWriter
{
public:
    StreamWriter(Poco::Net::HTTPServerResponse &response, const CallerRequest &request,
                 const GenerationRequest &generation);

    /// Appends the event of one token to the pending events; flush() sends them.
    void addToken(const GenerationKey &key, SequenceNumber sequence, const std::string &text);
    bool flush();
    bool finish(const GenerationKey &key, SequenceNumber tokens, const std::string &reason);
    bool probeCaller();

    /// Sends an error response, or an error event if the stream has begun.
    void fail(const Failure &failure);

private:
    void startStream();
    bool write(const std::string &text);

    Poco::Net::HTTPServerResponse &m_response;
    const RequestId m_request;
    const bool m_chat;
    std::string m_prefix; ///< part of each event before the token; the same for all events of the generation
    std::ostream *m_stream = nullptr;
    std::string m_pending; ///< events that are not sent yet
    std::uint64_t m_tokens = 0;
};

/// Buffers a generation and sends it as one JSON response.
class BufferedWriter
{
public:
    BufferedWriter(Poco::Net::HTTPServerResponse &response, const CallerRequest &request,
                   const GenerationRequest &generation);

    /// Appends one token to the buffered response.
    void addToken(const GenerationKey &key, SequenceNumber sequence, const std::string &text);

    /// Returns whether the buffered response has at most maxResponseBytes. Sends nothing.
    bool flush();
    bool finish(const GenerationKey &key, SequenceNumber tokens, const std::string &reason);
    bool probeCaller();
    void fail(const Failure &failure);

private:
    static constexpr std::size_t maxResponseBytes = 4U << 20U;

    Poco::Net::HTTPServerResponse &m_response;
    const CallerRequest &m_request;
    const GenerationRequest &m_generation;
    std::string m_text;
};

} // namespace zinniadock
