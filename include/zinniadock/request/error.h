#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <system_error>

#include "zinniadock/request/verdict.h"

namespace zinniadock
{

/// Reasons why a request ended without a complete response.
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
    ResponseTooLarge,
    Quarantined,
};

const std::error_category &requestCategory();

/// Creates an error code from a RequestError. The standard library looks up the function by this name.
std::error_code make_error_code(RequestError error); // NOLINT(readability-identifier-naming)

/// Why a request failed, whether it may have run, and when the caller may retry.
struct Failure
{
    std::error_code code;
    Verdict verdict = Verdict::MayHaveRun;
    std::string message;
    std::chrono::milliseconds retryAfter{ 0 }; ///< zero if the reason implies no retry time
    std::uint64_t crash = 0; ///< identifies the engine crash that ended the request, 0 for none
};

/// Returns the HTTP status for an error. An error of another category is 500 (Internal Server Error).
int httpStatus(const std::error_code &code);

} // namespace zinniadock

template <>
struct std::is_error_code_enum<zinniadock::RequestError> : std::true_type
{
};
