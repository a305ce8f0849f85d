#include "zinniadock/request/error.h"

namespace zinniadock
{

namespace
{

struct ErrorEntry
{
    RequestError error;
    const char *name;
    int status;
};

constexpr ErrorEntry errorTable[] = {
    { RequestError::BadRequest, "bad_request", 400 },
    { RequestError::Unauthorized, "unauthorized", 401 },
    { RequestError::UnknownRoute, "unknown_route", 404 },
    { RequestError::BodyTooLarge, "body_too_large", 413 },
    { RequestError::RateLimited, "rate_limited", 429 },
    { RequestError::ConcurrencyLimited, "concurrency_limited", 429 },
    { RequestError::QueueFull, "queue_full", 503 },
    { RequestError::DeadlineExceeded, "deadline_exceeded", 504 },
    { RequestError::Draining, "draining", 503 },
    { RequestError::NoServer, "no_server", 503 },
    { RequestError::StoreUnavailable, "store_unavailable", 503 },
    { RequestError::LinkLost, "link_lost", 502 },
    { RequestError::EngineLost, "engine_lost", 502 },
    { RequestError::EngineRefused, "engine_refused", 502 },
    { RequestError::UnknownRequest, "unknown_request", 502 },
    { RequestError::KeyInUse, "key_in_use", 409 },
    { RequestError::KeyMismatch, "key_mismatch", 422 },
    { RequestError::Cancelled, "cancelled", 499 },
    { RequestError::NotConfigured, "not_configured", 503 },
    { RequestError::ResponseTooLarge, "answer_too_large", 502 },
    { RequestError::Quarantined, "quarantined", 422 },
};

class RequestCategory final : public std::error_category
{
public:
    const char *name() const noexcept override
    {
        return "zinniadock.request";
    }

    std::string message(int value) const override
    {
        for (const ErrorEntry &entry : errorTable) {
            if (static_cast<int>(entry.error) == value) {
                return entry.name;
            }
        }
        return "unknown_error";
    }
};

} // namespace

const std::error_category &requestCategory()
{
    static const RequestCategory category;
    return category;
}

std::error_code make_error_code(RequestError error)
{
    return { static_cast<int>(error), requestCategory() };
}

int httpStatus(const std::error_code &code)
{
    constexpr int internalServerError = 500;
    if (code.category() != requestCategory()) {
        return internalServerError;
    }
    for (const ErrorEntry &entry : errorTable) {
        if (static_cast<int>(entry.error) == code.value()) {
            return entry.status;
        }
    }
    return internalServerError;
}

} // namespace zinniadock
