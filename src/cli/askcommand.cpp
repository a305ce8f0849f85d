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

constexpr int silenceSeconds = 120;
constexpr std::string_view dataPrefix = "data: ";

double milliseconds(Clock::duration duration)
{
    return std::chrono::duration<double, std::milli>(duration).count();
}

struct StreamFigures
{
    std::size_t tokens = 0;
    Clock::duration firstToken{ 0 };
    Clock::duration longestGap{ 0 };
    bool whole = false;
};

// Prints tokens as they arrive and keeps the time of each.
StreamFigures readStream(std::istream &stream, Clock::time_point begin, bool quiet)
{
    StreamFigures figures;
    Clock::time_point last = begin;
    for (std::string line; std::getline(stream, line);) {
        if (!line.starts_with(dataPrefix)) {
            continue;
        }
        const std::string data = line.substr(dataPrefix.size());
        if (data.starts_with("[DONE]")) {
            figures.whole = true;
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
        (figures.tokens == 0 ? figures.firstToken : figures.longestGap)
            = figures.tokens == 0 ? now - begin : std::max(figures.longestGap, now - last);
        last = now;
        ++figures.tokens;
        if (!quiet) {
            std::cout << choice.value("text", std::string()) << std::flush;
        }
    }
    return figures;
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
    const StreamFigures figures = readStream(stream, begin, options.quiet);
    std::cout << "\n";
    std::cerr << "request " << response.get("X-Request-Id", "") << ": " << figures.tokens << " tokens, first after "
              << milliseconds(figures.firstToken) << " ms, longest gap " << milliseconds(figures.longestGap) << " ms, "
              << (figures.whole ? "whole" : "not whole") << "\n";
    return figures.whole ? ExitCode::Done : ExitCode::Failed;
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
    std::string answer;
    Poco::StreamCopier::copyToString(session.receiveResponse(response), answer);
    std::cout << answer << "\n";
    std::cerr << "request " << response.get("X-Request-Id", "") << ": status " << response.getStatus() << ", verdict "
              << response.get("X-Zinniadock-Verdict", "")
              << (response.has("Idempotent-Replayed") ? ", recorded answer" : "") << "\n";
    return response.getStatus() < HTTPResponse::HTTP_BAD_REQUEST ? ExitCode::Done : ExitCode::Failed;
}

} // namespace

ExitCode ask(const AskOptions &options, const std::string &prompt)
{
    try {
        Poco::Net::HTTPClientSession session(options.entry.address, options.entry.port);
        session.setTimeout(Poco::Timespan(silenceSeconds, 0));
        return options.path.empty() ? askGeneration(session, options, prompt) : askCall(session, options, prompt);
    } catch (const Poco::Exception &error) {
        std::cerr << "zinniadock: " << options.entry.text() << ": " << error.displayText() << "\n";
        return ExitCode::Unavailable;
    }
}

} // namespace zinniadock::cli
