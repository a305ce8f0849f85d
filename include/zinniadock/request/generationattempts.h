#pragma once

#include <chrono>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "zinniadock/request/answerwriter.h"
#include "zinniadock/request/requestcontext.h"
#include "zinniadock/request/tokenorder.h"

namespace zinniadock
{

/// Runs one generation for a caller. Retries a failed generation at another server only before its first token, so that
/// the caller gets tokens from one server only.
class GenerationAttempts
{
public:
    GenerationAttempts(RequestContext &context, const GenerationRequest &generation);

    /// Responds to the request with the generation or with a failure.
    void run();

private:
    using Clock = RequestContext::Clock;

    /// How one attempt ended.
    struct Attempt
    {
        std::variant<Finished, Failure> end;
        bool callerDisconnected = false;
    };

    template <ResponseWriter Writer>
    void generate(Writer &writer);
    template <ResponseWriter Writer>
    Attempt attemptGeneration(Writer &writer, GenerationId generation, std::set<std::string> &tried);
    template <ResponseWriter Writer>
    Attempt followGeneration(Writer &writer, const std::string &server, const std::shared_ptr<LinkExchange> &exchange);
    std::optional<Attempt> checkTimeouts(const std::optional<Clock::time_point> &brokenSince) const;
    template <ResponseWriter Writer>
    std::optional<Attempt> handleEvent(Writer &writer, const std::string &server, LinkExchange &exchange,
                                       const ExchangeEvent &event);
    template <ResponseWriter Writer>
    void handleToken(Writer &writer, const std::string &server, LinkExchange &exchange, const Token &token);
    void recordGaps(const std::string &server);
    void recordServerHealth(const std::string &server, const Attempt &attempt);

    RequestContext &m_context;
    const GenerationRequest &m_generation;
    TokenOrder m_order;
    Clock::time_point m_lastTokenAt;
    std::chrono::microseconds m_maxStall{ 0 };
    std::vector<std::chrono::microseconds> m_gaps; ///< gaps between tokens that recordGaps() has not recorded yet
};

} // namespace zinniadock
