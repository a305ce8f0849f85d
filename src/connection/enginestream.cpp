#include "zinniadock/connection/enginestream.h"

#include <istream>
#include <ostream>

#include <Poco/Exception.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/StreamCopier.h>
#include <nlohmann/json.hpp>

#include "zinniadock/detail/httptime.h"

namespace zinniadock
{

namespace
{

using Json = nlohmann::json;
using Poco::Net::HTTPMessage;
using Poco::Net::HTTPRequest;
using Poco::Net::HTTPResponse;

constexpr std::string_view eventPrefix = "data: ";
constexpr std::string_view endOfStreamMarker = "[DONE]";
constexpr std::size_t maxEventBytes = 1U << 20U;

Failure makeFailure(RequestError error, Verdict verdict, std::string message)
{
    return Failure{ .code = error, .verdict = verdict, .message = std::move(message) };
}

std::string streamPath(const GenerationKey &key)
{
    return "/v1/streams/" + key.text();
}

std::string textOf(const Json &choice)
{
    if (choice.contains("text")) {
        return choice.value("text", std::string());
    }
    const Json delta = choice.value("delta", Json::object());
    return delta.value("content", std::string());
}

EngineEvent parseEvent(const Json &event, SequenceNumber next)
{
    try {
        if (event.contains("error")) {
            return makeFailure(RequestError::EngineLost, Verdict::MayHaveRun,
                               "the engine ended the stream with an error");
        }
        const Json &choice = event.at("choices").at(0);
        const auto reason = choice.find("finish_reason");
        if (reason != choice.end() && reason->is_string()) {
            return EngineEnd{ .reason = reason->get<std::string>() };
        }
        return EngineToken{ .sequence = event.value("token_index", next), .text = textOf(choice) };
    } catch (const Json::exception &) {
        return makeFailure(RequestError::EngineLost, Verdict::MayHaveRun, "the engine sent a malformed event");
    }
}

} // namespace

EngineStream::EngineStream(const Endpoint &engine, BackendTimeouts timeouts, const GenerationKey &key)
    : m_key(key)
    , m_session(engine.address, engine.port)
{
    m_session.setTimeout(detail::toTimespan(timeouts.connect), detail::toTimespan(timeouts.connect),
                         detail::toTimespan(timeouts.receive));
}

std::optional<Failure> EngineStream::open(const std::string &path, const std::string &body)
{
    return sendAndReadHead(HTTPRequest::HTTP_POST, path, body);
}

std::optional<Failure> EngineStream::reopen(SequenceNumber from)
{
    m_nextToken = from;
    return sendAndReadHead(HTTPRequest::HTTP_GET, streamPath(m_key) + "?from=" + std::to_string(from), {});
}

// An engine appends the request ID that it was given to the ID of its events. An engine that uses other IDs must use
// the same ID for all events of a stream.
bool EngineStream::belongsToOtherGeneration(const Json &event)
{
    const auto position = event.find("id");
    if (position == event.end() || !position->is_string()) {
        return false;
    }
    const std::string &id = position->get_ref<const std::string &>();
    if (!m_streamId.empty()) {
        return id != m_streamId;
    }
    m_streamId = id;
    const std::string ownKey = m_key.text();
    const bool endsWithKey = id.size() >= ownKey.size() && GenerationKey::parse(id.substr(id.size() - ownKey.size()));
    return endsWithKey && !id.ends_with(ownKey);
}

EngineEvent EngineStream::next()
{
    try {
        for (std::string line; std::getline(*m_stream, line);) {
            if (!line.empty() && line.back() == '\r') {
                line.pop_back();
            }
            if (!line.starts_with(eventPrefix)) {
                continue;
            }
            const std::string_view data = std::string_view(line).substr(eventPrefix.size());
            if (data == endOfStreamMarker) {
                return EngineEnd{ .reason = "stop" };
            }
            if (data.size() > maxEventBytes) {
                return makeFailure(RequestError::EngineLost, Verdict::MayHaveRun,
                                   "the engine sent an event larger than 1 MiB");
            }
            const Json document = Json::parse(data, nullptr, false);
            if (document.is_object() && belongsToOtherGeneration(document)) {
                return makeFailure(RequestError::EngineLost, Verdict::MayHaveRun,
                                   "the engine sent an event of another generation");
            }
            EngineEvent event = parseEvent(document, m_nextToken);
            if (const auto *token = std::get_if<EngineToken>(&event)) {
                m_nextToken = token->sequence + 1;
            }
            return event;
        }
    } catch (const Poco::Exception &error) {
        return makeFailure(RequestError::EngineLost, Verdict::MayHaveRun,
                           "reading the stream of the engine failed: " + error.displayText());
    }
    return makeFailure(RequestError::EngineLost, Verdict::MayHaveRun, "the engine closed the stream before its end");
}

void EngineStream::abort()
{
    const std::lock_guard lock(m_mutex);
    m_aborted = true;
    try {
        m_session.socket().shutdown();
    } catch (const Poco::Exception &) {
        // The error is ignored, since there is no connection to shut down. If the session connects later,
        // sendAndReadHead() detects the abort by m_aborted.
        return;
    }
}

std::optional<Failure> EngineStream::sendAndReadHead(const std::string &method, const std::string &path,
                                                     const std::string &body)
{
    try {
        HTTPRequest request(method, path, HTTPMessage::HTTP_1_1);
        request.setKeepAlive(false);
        if (!body.empty()) {
            request.setContentType("application/json");
            request.setContentLength(static_cast<std::streamsize>(body.size()));
        }
        std::ostream &out = m_session.sendRequest(request);
        m_session.socket().setNoDelay(true);
        out << body << std::flush;
    } catch (const Poco::Exception &error) {
        const Verdict verdict = m_session.connected() ? Verdict::MayHaveRun : Verdict::NotRun;
        return makeFailure(RequestError::EngineLost, verdict,
                           "sending the request to the engine failed: " + error.displayText());
    }
    {
        const std::lock_guard lock(m_mutex);
        if (m_aborted) {
            return makeFailure(RequestError::Cancelled, Verdict::MayHaveRun, "cancelled");
        }
    }
    try {
        HTTPResponse response;
        m_stream = &m_session.receiveResponse(response);
        return failureFor(response.getStatus());
    } catch (const Poco::Exception &error) {
        return makeFailure(RequestError::EngineLost, Verdict::MayHaveRun,
                           "reading the response of the engine failed: " + error.displayText());
    }
}

// An engine that responds with 4xx or 503 has refused the request before running any part of it.
std::optional<Failure> EngineStream::failureFor(int status)
{
    if (status == HTTPResponse::HTTP_OK) {
        return std::nullopt;
    }
    if (status == HTTPResponse::HTTP_NOT_FOUND) {
        return makeFailure(RequestError::UnknownRequest, Verdict::NotRun, "the engine does not know the request");
    }
    const bool isRefusal = (status >= 400 && status < 500) || status == HTTPResponse::HTTP_SERVICE_UNAVAILABLE;
    const std::string message = "the engine responded with status " + std::to_string(status);
    if (status == HTTPResponse::HTTP_BAD_REQUEST) {
        return makeFailure(RequestError::BadRequest, Verdict::NotRun, message);
    }
    return makeFailure(isRefusal ? RequestError::EngineRefused : RequestError::EngineLost,
                       isRefusal ? Verdict::NotRun : Verdict::MayHaveRun, message);
}

bool cancelOnEngine(const Endpoint &engine, const GenerationKey &key, BackendTimeouts timeouts)
{
    try {
        Poco::Net::HTTPClientSession session(engine.address, engine.port);
        session.setTimeout(detail::toTimespan(timeouts.connect));
        HTTPRequest request(HTTPRequest::HTTP_DELETE, streamPath(key), HTTPMessage::HTTP_1_1);
        request.setContentLength(0);
        session.sendRequest(request);
        HTTPResponse response;
        session.receiveResponse(response);
        return true;
    } catch (const Poco::Exception &) {
        return false;
    }
}

std::optional<EngineReport> readEngineReport(const Endpoint &engine, BackendTimeouts timeouts)
{
    try {
        Poco::Net::HTTPClientSession session(engine.address, engine.port);
        session.setTimeout(detail::toTimespan(timeouts.connect));
        HTTPRequest request(HTTPRequest::HTTP_GET, "/load", HTTPMessage::HTTP_1_1);
        session.sendRequest(request);
        HTTPResponse response;
        std::string body;
        Poco::StreamCopier::copyToString(session.receiveResponse(response), body);
        const Json document = Json::parse(body);
        return EngineReport{ .incarnation = document.at("incarnation").get<std::uint64_t>(),
                             .running = document.at("running").get<std::uint32_t>(),
                             .waiting = document.at("waiting").get<std::uint32_t>(),
                             .usedBlocks = document.at("used_blocks").get<std::uint32_t>(),
                             .totalBlocks = document.at("total_blocks").get<std::uint32_t>(),
                             .blockTokens = document.at("block_tokens").get<std::uint32_t>(),
                             .preemptions = document.at("preemptions").get<std::uint64_t>() };
    } catch (const Poco::Exception &) {
        return std::nullopt;
    } catch (const Json::exception &) {
        return std::nullopt;
    }
}

} // namespace zinniadock
