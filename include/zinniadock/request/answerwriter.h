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

/// Writes one generation to its caller.
template <typename Type>
concept AnswerWriter
    = requires(Type writer, GenerationKey key, SequenceNumber sequence, const std::string &text, const Failure &failure)
{
    writer.addToken(key, sequence, text);
    {
        writer.flush()
        } -> std::same_as<bool>; ///< false if the caller is gone
    {
        writer.finish(key, sequence, text)
        } -> std::same_as<bool>;
    {
        writer.probe()
        } -> std::same_as<bool>; ///< called after the caller closed its sending side; false if it is gone
    writer.fail(failure);
};

/// Sets the headers that every answer carries.
void setAnswerHeaders(Poco::Net::HTTPServerResponse &response, const RequestId &request, Verdict verdict);

/// Sends an error as the whole answer.
void sendFailure(Poco::Net::HTTPServerResponse &response, const RequestId &request, const Failure &failure);

/// Streams a generation as server-sent events; the id of each event is `generation:sequence`.
class StreamWriter
{
public:
    StreamWriter(Poco::Net::HTTPServerResponse &response, const CallerRequest &request,
                 const GenerationRequest &generation);

    /// Takes one token; flush() sends it.
    void addToken(const GenerationKey &key, SequenceNumber sequence, const std::string &text);
    bool flush();
    bool finish(const GenerationKey &key, SequenceNumber tokens, const std::string &reason);
    bool probe();

    /// Sends an error answer, or the last event of a stream that has begun.
    void fail(const Failure &failure);

private:
    void begin();
    bool write(const std::string &text);

    Poco::Net::HTTPServerResponse &m_response;
    const RequestId m_request;
    const bool m_chat;
    std::string m_prefix; ///< the part of each event before the token
    std::ostream *m_stream = nullptr;
    std::string m_pending; ///< events not yet sent
    std::uint64_t m_tokens = 0;
};

/// Collects a generation and sends it as one JSON answer.
class BufferedWriter
{
public:
    BufferedWriter(Poco::Net::HTTPServerResponse &response, const CallerRequest &request,
                   const GenerationRequest &generation);

    /// Takes one token; flush() sends it.
    void addToken(const GenerationKey &key, SequenceNumber sequence, const std::string &text);
    bool flush();
    bool finish(const GenerationKey &key, SequenceNumber tokens, const std::string &reason);
    bool probe();
    void fail(const Failure &failure);

private:
    static constexpr std::size_t maxAnswerBytes = 4U << 20U;

    Poco::Net::HTTPServerResponse &m_response;
    const CallerRequest &m_request;
    const GenerationRequest &m_generation;
    std::string m_text;
};

} // namespace zinniadock
