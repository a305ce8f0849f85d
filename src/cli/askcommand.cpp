#include "commands.h"

#include <algorithm>
#include <iostream>

#include <Poco/Exception.h>
#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/StreamCopier.h>
#include <nlohmann/json.hpp>

namespace zinniadock::cli
{

namespace
{

using Json = nlohmann::json;
using Clock = std::chrono::steady_clock;
using Poco::Net::HTTPRequest;
using Poco::Net::HTTPResponse;

constexpr int ioTimeoutSeconds = 120; // for connecting, and for each read and write
constexpr std::string_view dataPrefix = "data: ";

double milliseconds(Clock::duration duration)
{
    return std::chrono::duration<double, std::milli>(duration).count();
}

struct StreamStatistics
{
    std::size_t tokens = 0;
    Clock::duration firstTokenDelay{ 0 };
    Clock::duration maxGap{ 0 }; ///< longest time between consecutive tokens
    bool isComplete = false; ///< the stream ended with [DONE]
};

// Reads a stream of events up to its end or an error. Prints each token as it arrives, unless quiet.
StreamStatistics readStream(std::istream &stream, Clock::time_point begin, bool quiet)
{
    StreamStatistics statistics;
    Clock::time_point last = begin;
    for (std::string line; std::getline(stream, line);) {
        if (!line.starts_with(dataPrefix)) {
            continue;
        }
        const std::string data = line.substr(dataPrefix.size());
        if (data.starts_with("[DONE]")) {
            statistics.isComplete = true;
            break;
        }
        const Json event = Json::parse(data, nullptr, false);
        if (!event.is_object() || event.contains("error")) {
            std::cerr << "\n" << data << "\n";
            break;
        }
        const Json choice = event.value("choices", Json::array({ Json::object() })).at(0);
        if (choice.value("finish_reason", Json()).is_string()) {
            continue;
        }
        const auto now = Clock::now();
        (statistics.tokens == 0 ? statistics.firstTokenDelay : statistics.maxGap)
            = statistics.tokens == 0 ? now - begin : std::max(statistics.maxGap, now - last);
        last = now;
        ++statistics.tokens;
        if (!quiet) {
            std::cout << choice.value("text", std::string()) << std::flush;
        }
    }
    return statistics;
}

ExitCode askGeneration(Poco::Net::HTTPClientSession &session, const AskOptions &options, const std::string &prompt)
{
    Json body{ { "model", options.route }, { "prompt", prompt }, { "stream", true } };
    if (options.maxTokens > 0) {
        body["max_tokens"] = options.maxTokens;
    }
    const std::string text = body.dump();
    HTTPRequest request(HTTPRequest::HTTP_POST, "/v1/completions", HTTPRequest::HTTP_1_1);
    request.set("Authorization", "Bearer " + options.key);
    request.setContentType("application/json");
    request.setContentLength(static_cast<std::streamsize>(text.size()));
    const auto begin = Clock::now();
    session.sendRequest(request) << text << std::flush;
    HTTPResponse response;
    std::istream &stream = session.receiveResponse(response);
    if (response.getStatus() != HTTPResponse::HTTP_OK) {
        std::cerr << stream.rdbuf() << "\n";
        return ExitCode::Failed;
    }
    const StreamStatistics statistics = readStream(stream, begin, options.quiet);
    std::cout << "\n";
    std::cerr << "request " << response.get("X-Request-Id", "") << ": " << statistics.tokens << " tokens, first after "
              << milliseconds(statistics.firstTokenDelay) << " ms, longest gap " << milliseconds(statistics.maxGap)
              << " ms, " << (statistics.isComplete ? "whole" : "not whole") << "\n";
    return statistics.isComplete ? ExitCode::Done : ExitCode::Failed;
}

ExitCode askCall(Poco::Net::HTTPClientSession &session, const AskOptions &options, const std::string &body)
{
    HTTPRequest request(options.method, options.path, HTTPRequest::HTTP_1_1);
    request.set("Authorization", "Bearer " + options.key);
    request.setContentType("application/json");
    request.setContentLength(static_cast<std::streamsize>(body.size()));
    if (!options.idempotencyKey.empty()) {
        request.set("Idempotency-Key", options.idempotencyKey);
    }
    session.sendRequest(request) << body << std::flush;
    HTTPResponse response;
    std::string responseBody;
    Poco::StreamCopier::copyToString(session.receiveResponse(response), responseBody);
    std::cout << responseBody << "\n";
    std::cerr << "request " << response.get("X-Request-Id", "") << ": status " << response.getStatus() << ", verdict "
              << response.get("X-Zinniadock-Verdict", "")
              << (response.has("Idempotent-Replayed") ? ", recorded response" : "") << "\n";
    return response.getStatus() < HTTPResponse::HTTP_BAD_REQUEST ? ExitCode::Done : ExitCode::Failed;
}

} // namespace

ExitCode ask(const AskOptions &options, const std::string &input)
{
    try {
        Poco::Net::HTTPClientSession session(options.entry.address, options.entry.port);
        session.setTimeout(Poco::Timespan(ioTimeoutSeconds, 0));
        return options.path.empty() ? askGeneration(session, options, input) : askCall(session, options, input);
    } catch (const Poco::Exception &error) {
        std::cerr << "zinniadock: " << options.entry.text() << ": " << error.displayText() << "\n";
        return ExitCode::Unavailable;
    }
}

} // namespace zinniadock::cli
