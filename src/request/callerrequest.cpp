#include "zinniadock/request/callerrequest.h"

#include <algorithm>
#include <vector>

#include <nlohmann/json.hpp>

#include "zinniadock/process/placing/routing.h"

namespace zinniadock
{

namespace
{

using Json = nlohmann::json;

constexpr std::size_t estimatedBytesPerToken = 4;
constexpr std::size_t hashedPrefixBytes = 1024;
constexpr int maxNesting = 32;

// Parses JSON. Returns a discarded value if the text is malformed or nested deeper than maxNesting, since a deeply
// nested document could exhaust the stack. No real request is nested as deeply.
Json parseWithDepthLimit(const std::string &text)
{
    bool isTooDeep = false;
    const Json::parser_callback_t callback = [&isTooDeep](int depth, Json::parse_event_t /*event*/, Json & /*value*/) {
        isTooDeep = isTooDeep || depth > maxNesting;
        return !isTooDeep;
    };
    Json document = Json::parse(text, callback, false);
    return isTooDeep ? Json(Json::value_t::discarded) : document;
}

Failure badRequest(const std::string &message)
{
    return Failure{ .code = RequestError::BadRequest, .verdict = Verdict::NotRun, .message = message };
}

// Returns the text of the prompt, from which only a length and a hash are computed.
std::optional<std::string> extractPrompt(const Json &body, CompletionForm form)
{
    if (form == CompletionForm::Text) {
        const auto prompt = body.find("prompt");
        if (prompt == body.end() || !prompt->is_string()) {
            return std::nullopt;
        }
        return prompt->get<std::string>();
    }
    const auto messages = body.find("messages");
    if (messages == body.end() || !messages->is_array() || messages->empty()) {
        return std::nullopt;
    }
    std::string text;
    for (const Json &message : *messages) {
        if (!message.is_object() || !message.contains("role") || !message.contains("content")) {
            return std::nullopt;
        }
        const Json &content = message["content"];
        text += content.is_string() ? content.get<std::string>() : content.dump();
        text += '\n';
    }
    return text;
}

} // namespace

std::variant<GenerationRequest, Failure> parseGeneration(const CallerRequest &request)
{
    GenerationRequest generation;
    generation.form = request.path == "/v1/chat/completions" ? CompletionForm::Chat : CompletionForm::Text;
    const Json body = parseWithDepthLimit(request.body);
    if (body.is_discarded() || !body.is_object()) {
        return badRequest("the body is not a JSON object, or is nested more than 32 levels deep");
    }
    const auto model = body.find("model");
    if (model == body.end() || !model->is_string()) {
        return badRequest("model: expected a string that names a route");
    }
    generation.route = model->get<std::string>();
    const std::optional<std::string> prompt = extractPrompt(body, generation.form);
    if (!prompt) {
        return badRequest(generation.form == CompletionForm::Text
                              ? "prompt: expected a string"
                              : "messages: expected a non-empty list of objects with role and content");
    }
    if (const auto stream = body.find("stream"); stream != body.end()) {
        if (!stream->is_boolean()) {
            return badRequest("stream: expected true or false");
        }
        generation.stream = stream->get<bool>();
    }
    for (const char *key : { "max_tokens", "max_completion_tokens" }) {
        const auto limit = body.find(key);
        if (limit == body.end() || limit->is_null()) {
            continue;
        }
        if (!limit->is_number_unsigned() || limit->get<std::uint64_t>() == 0
            || limit->get<std::uint64_t>() > std::numeric_limits<std::uint32_t>::max()) {
            return badRequest(std::string(key) + ": expected an integer from 1 to 4294967295");
        }
        generation.maxTokens = limit->get<std::uint32_t>();
    }
    if (const auto choices = body.find("n"); choices != body.end() && *choices != 1) {
        return badRequest("n: expected 1, since a request has one generation");
    }
    generation.promptTokens = static_cast<std::uint32_t>(prompt->size() / estimatedBytesPerToken + 1);
    generation.prefixHash = stableHash(std::string_view(*prompt).substr(0, hashedPrefixBytes));
    return generation;
}

std::string engineBody(const std::string &callerBody, const GenerationKey &key, std::uint32_t priority)
{
    Json body = Json::parse(callerBody);
    body["stream"] = true;
    body["request_id"] = key.text();
    body["priority"] = priority;
    return body.dump(-1, ' ', false, Json::error_handler_t::replace);
}

std::string errorBody(const Failure &failure, const RequestId &request)
{
    const Json body{ { "error",
                       { { "message", failure.message },
                         { "type", httpStatus(failure.code) < 500 ? "invalid_request_error" : "server_error" },
                         { "code", failure.code.message() },
                         { "param", nullptr },
                         { "verdict", toString(failure.verdict) },
                         { "request_id", request.text() } } } };
    return body.dump(-1, ' ', false, Json::error_handler_t::replace);
}

} // namespace zinniadock
