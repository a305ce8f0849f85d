#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>

#include "zinniadock/request/error.h"
#include "zinniadock/request/requestid.h"

namespace zinniadock
{

/// Parsed headers and body of one HTTP request of a caller.
struct CallerRequest
{
    RequestId id;
    std::string method;
    std::string target; ///< path and query
    std::string path;
    std::string contentType;
    std::string key; ///< API key from `Authorization: Bearer`, empty if there is none
    std::string idempotencyKey;
    std::optional<std::chrono::milliseconds> deadline;
    std::string body;
};

/// Interface through which a generation was requested.
enum class CompletionForm {
    Text, ///< `/v1/completions`
    Chat, ///< `/v1/chat/completions`
};

/// Parameters of a generation that a caller requested.
struct GenerationRequest
{
    CompletionForm form = CompletionForm::Text;
    std::string route; ///< the `model` of the body
    bool stream = false;
    std::uint32_t promptTokens = 0; ///< estimated from the length of the prompt
    std::uint32_t maxTokens = 0; ///< 0 if the caller set no limit
    std::uint64_t prefixHash = 0; ///< hash of the start of the prompt
};

/// Parses the body of a completions request. The verdict of a returned Failure is NotRun.
std::variant<GenerationRequest, Failure> parseGeneration(const CallerRequest &request);

/// Returns the body of the request to the engine: the caller's body with `stream` set, the identifier of the generation
/// as `request_id`, and `priority`.
/// \pre parseGeneration() accepted the body
std::string engineBody(const std::string &callerBody, const GenerationKey &key, std::uint32_t priority);

/// Returns the JSON body of an error response.
std::string errorBody(const Failure &failure, const RequestId &request);

} // namespace zinniadock
