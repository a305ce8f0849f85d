#pragma once

#include <set>
#include <string>
#include <variant>

#include "zinniadock/request/requestcontext.h"

namespace zinniadock
{

/// Runs one call of a plain service. A call that has an idempotency key and may not be repeated first claims the key in
/// the store.
class CallAttempts
{
public:
    explicit CallAttempts(RequestContext &context);

    /// Responds to the request with the response of the service or with a failure.
    void run();

private:
    using Clock = RequestContext::Clock;

    void runWithIdempotencyKey();
    std::variant<ServiceResponse, Failure> callWithRetries(bool mayRepeat);
    std::variant<ServiceResponse, Failure> attemptCall(GenerationId generation, std::set<std::string> &tried,
                                                       bool mayRepeat);
    void sendResponse(const ClaimOutcome &outcome, bool replayed);
    void sendUnframedBody(const std::string &body);

    RequestContext &m_context;
};

} // namespace zinniadock
