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

/// Headers and body of one HTTP request of a caller.
struct CallerRequest
{
    RequestId id;
    std::string method;
    std::string target; ///< path with query
    std::string path;
    std::string contentType;
    std::string key; ///< from `Authorization: Bearer`, empty if none
    std::string idempotencyKey;
    std::optional<std::chrono::milliseconds> deadline;
    std::string body;
};

/// Which of the two completions interfaces a generation was asked through.
enum class CompletionForm {
    Text, ///< `/v1/completions`
    Chat, ///< `/v1/chat/completions`
};

/// A generation that a caller asked for.
struct GenerationRequest
{
    CompletionForm form = CompletionForm::Text;
    std::string route; ///< the `model` of the body
    bool stream = false;
    std::uint32_t promptTokens = 0; ///< estimated from the length of the prompt
    std::uint32_t maxTokens = 0; ///< 0 where the caller set none
    std::uint64_t prefixHash = 0; ///< of the start of the prompt
};

/// Parses the body of a completions request; a Failure is always NotRun.
std::variant<GenerationRequest, Failure> parseGeneration(const CallerRequest &request);

/// Returns the body for the engine: the caller's, streamed, under the name of one generation.
/// \pre parseGeneration() accepted the body
std::string engineBody(const std::string &callerBody, const GenerationKey &key, std::uint32_t priority);

/// Returns the JSON body of an error answer.
std::string errorBody(const Failure &failure, const RequestId &request);

} // namespace zinniadock
