#include "zinniadock/request/answerwriter.h"

#include <chrono>
#include <utility>

#include <Poco/Exception.h>
#include <nlohmann/json.hpp>

namespace zinniadock
{

namespace
{

using Json = nlohmann::json;
using Poco::Net::HTTPServerResponse;

std::int64_t unixSeconds()
{
    return std::chrono::duration_cast<std::chrono::seconds>(std::chrono::system_clock::now().time_since_epoch())
        .count();
}

std::string completionId(const RequestId &request, bool chat)
{
    return (chat ? "chatcmpl-" : "cmpl-") + request.text();
}

std::string dump(const Json &document)
{
    return document.dump(-1, ' ', false, Json::error_handler_t::replace);
}

void sendBody(HTTPServerResponse &response, const std::string &contentType, const std::string &body)
{
    // sendBuffer() is not used, as it omits the body if the request could not be parsed.
    response.setContentType(contentType);
    response.setContentLength(static_cast<std::streamsize>(body.size()));
    response.send() << body << std::flush;
}

} // namespace

void setResponseHeaders(HTTPServerResponse &response, const RequestId &request, Verdict verdict)
{
    response.set("X-Request-Id", request.text());
    response.set("X-Zinniadock-Verdict", std::string(toString(verdict)));
}

void sendFailure(HTTPServerResponse &response, const RequestId &request, const Failure &failure)
{
    const int status = httpStatus(failure.code);
    response.setStatus(static_cast<Poco::Net::HTTPResponse::HTTPStatus>(status));
    response.setReason(failure.code.message());
    setResponseHeaders(response, request, failure.verdict);
    if (failure.retryAfter.count() > 0) {
        const auto seconds = std::chrono::ceil<std::chrono::seconds>(failure.retryAfter);
        response.set("Retry-After", std::to_string(seconds.count()));
    }
    sendBody(response, "application/json", errorBody(failure, request));
}

StreamWriter::StreamWriter(HTTPServerResponse &response, const CallerRequest &request,
                           const GenerationRequest &generation)
    : m_response(response)
    , m_request(request.id)
    , m_chat(generation.form == CompletionForm::Chat)
{
    // The prefix is equal for all events, so it is built once.
    m_prefix = R"({"id":")" + completionId(request.id, m_chat) + R"(","object":")"
        + (m_chat ? "chat.completion.chunk" : "text_completion") + R"(","created":)" + std::to_string(unixSeconds())
        + R"(,"model":)" + dump(generation.route) + R"(,"choices":[{"index":0,)";
}

void StreamWriter::addToken(const GenerationKey &key, SequenceNumber sequence, const std::string &text)
{
    const bool isFirst = m_tokens == 0;
    ++m_tokens;
    m_pending += "id: " + std::to_string(key.generation) + ":" + std::to_string(sequence) + "\ndata: " + m_prefix;
    if (m_chat) {
        m_pending += std::string(R"("delta":{)") + (isFirst ? R"("role":"assistant",)" : "") + R"("content":)"
            + dump(text) + "}";
    } else {
        m_pending += R"("text":)" + dump(text);
    }
    m_pending += R"(,"finish_reason":null}]})";
    m_pending += "\n\n";
}

bool StreamWriter::flush()
{
    const std::string events = std::exchange(m_pending, std::string());
    return events.empty() || write(events);
}

bool StreamWriter::finish(const GenerationKey & /*key*/, SequenceNumber /*tokens*/, const std::string &reason)
{
    const std::string content = m_chat ? R"("delta":{})" : R"("text":"")";
    return write("data: " + m_prefix + content + R"(,"finish_reason":)" + dump(reason) + "}]}\n\ndata: [DONE]\n\n");
}

// Sends an SSE comment, which clients ignore. Only a write can distinguish a caller that closed only its
// sending side from a disconnected caller.
bool StreamWriter::probeCaller()
{
    return write(": waiting\n\n");
}

void StreamWriter::fail(const Failure &failure)
{
    if (m_stream == nullptr) {
        sendFailure(m_response, m_request, failure);
        return;
    }
    write("event: error\ndata: " + errorBody(failure, m_request) + "\n\n");
}

void StreamWriter::startStream()
{
    setResponseHeaders(m_response, m_request, Verdict::Ran);
    m_response.setChunkedTransferEncoding(true);
    m_response.setContentType("text/event-stream");
    m_response.set("Cache-Control", "no-cache");
    m_stream = &m_response.send();
}

bool StreamWriter::write(const std::string &text)
{
    try {
        if (m_stream == nullptr) {
            startStream();
        }
        *m_stream << text << std::flush;
        return m_stream->good();
    } catch (const Poco::Exception &) {
        return false;
    }
}

BufferedWriter::BufferedWriter(HTTPServerResponse &response, const CallerRequest &request,
                               const GenerationRequest &generation)
    : m_response(response)
    , m_request(request)
    , m_generation(generation)
{
}

void BufferedWriter::addToken(const GenerationKey & /*key*/, SequenceNumber /*sequence*/, const std::string &text)
{
    m_text += text;
}

bool BufferedWriter::flush()
{
    return m_text.size() <= maxResponseBytes;
}

bool BufferedWriter::finish(const GenerationKey & /*key*/, SequenceNumber tokens, const std::string &reason)
{
    const bool chat = m_generation.form == CompletionForm::Chat;
    Json choice{ { "index", 0 }, { "finish_reason", reason } };
    if (chat) {
        choice["message"] = { { "role", "assistant" }, { "content", m_text } };
    } else {
        choice["text"] = m_text;
    }
    const Json body{ { "id", completionId(m_request.id, chat) },
                     { "object", chat ? "chat.completion" : "text_completion" },
                     { "created", unixSeconds() },
                     { "model", m_generation.route },
                     { "choices", { choice } },
                     { "usage",
                       { { "prompt_tokens", m_generation.promptTokens },
                         { "completion_tokens", tokens },
                         { "total_tokens", m_generation.promptTokens + tokens } } } };
    setResponseHeaders(m_response, m_request.id, Verdict::Ran);
    try {
        sendBody(m_response, "application/json", dump(body));
        return true;
    } catch (const Poco::Exception &) {
        return false;
    }
}

// Nothing can be written before the complete response, so a caller that closed its sending side counts as disconnected.
bool BufferedWriter::probeCaller()
{
    return false;
}

void BufferedWriter::fail(const Failure &failure)
{
    sendFailure(m_response, m_request.id, failure);
}

} // namespace zinniadock
