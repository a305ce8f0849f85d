#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <system_error>

#include "zinniadock/request/verdict.h"

namespace zinniadock
{

/// Named reasons why a request ended without its whole answer.
enum class RequestError {
    BadRequest = 1,
    Unauthorized,
    UnknownRoute,
    BodyTooLarge,
    RateLimited,
    ConcurrencyLimited,
    QueueFull,
    DeadlineExceeded,
    Draining,
    NoServer,
    StoreUnavailable,
    LinkLost,
    EngineLost,
    EngineRefused,
    UnknownRequest,
    KeyInUse,
    KeyMismatch,
    Cancelled,
    NotConfigured,
    AnswerTooLarge,
    Quarantined,
};

const std::error_category &requestCategory();

/// Found by the standard library under this name.
std::error_code make_error_code(RequestError error); // NOLINT(readability-identifier-naming)

/// Why a request ended, whether it may have run, and when it is worth asking again.
struct Failure
{
    std::error_code code;
    Verdict verdict = Verdict::MayHaveRun;
    std::string message;
    std::chrono::milliseconds retryAfter{ 0 }; ///< zero where the reason gives no time
    std::uint64_t crash = 0; ///< names the crash of the engine that ended the request, 0 for none
};

/// Returns the HTTP status that tells the caller about an error.
int httpStatus(const std::error_code &code);

} // namespace zinniadock

template <>
struct std::is_error_code_enum<zinniadock::RequestError> : std::true_type
{
};
