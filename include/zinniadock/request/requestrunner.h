#pragma once

#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include <Poco/Net/HTTPServerResponse.h>

#include "zinniadock/process/entryservices.h"
#include "zinniadock/request/answerwriter.h"
#include "zinniadock/request/callerrequest.h"
#include "zinniadock/request/exchange.h"
#include "zinniadock/request/tokenorder.h"

namespace zinniadock
{

/// Runs one request of a caller, from authentication to the end of its answer, wholly under one version.
class RequestRunner
{
public:
    /// \param callerClosed  says whether the caller has closed its sending side
    RequestRunner(EntryServices &services, const CallerRequest &request, Poco::Net::HTTPServerResponse &response,
                  std::function<bool()> callerClosed);

    /// Answers the request, whatever happens.
    void run();

private:
    using Clock = std::chrono::steady_clock;

    /// How one attempt ended.
    struct Attempt
    {
        std::variant<Finished, Reply, Failure> end;
        bool callerGone = false;
    };

    std::optional<Failure> authenticate();
    void runAuthenticated();
    std::optional<Failure> authorise(const std::string &routeName);

    void runGeneration();
    template <AnswerWriter Writer>
    void generate(Writer &writer);
    template <AnswerWriter Writer>
    Attempt attemptGeneration(Writer &writer, GenerationId generation, std::set<std::string> &tried);
    template <AnswerWriter Writer>
    Attempt followGeneration(Writer &writer, const std::string &server, const std::shared_ptr<Exchange> &exchange);
    std::optional<Attempt> giveUp(const std::optional<Clock::time_point> &brokenSince) const;
    template <AnswerWriter Writer>
    std::optional<Attempt> takeEvent(Writer &writer, const std::string &server, Exchange &exchange,
                                     const ExchangeEvent &event);
    template <AnswerWriter Writer>
    void takeToken(Writer &writer, const std::string &server, Exchange &exchange, const Token &token);
    void recordGaps();
    void noteHealth(const std::string &server, const Attempt &attempt);

    void runCall();
    void runKeyedCall();
    std::variant<Reply, Failure> call(bool mayRepeat);
    std::variant<Reply, Failure> attemptCall(GenerationId generation, std::set<std::string> &tried);
    void sendReply(std::uint32_t status, const std::string &contentType, const std::string &body, bool replayed);

    std::optional<std::string> chooseServer(const std::set<std::string> &tried);
    std::optional<Failure> send(const Offer &offer, const std::shared_ptr<Exchange> &exchange,
                                std::set<std::string> &tried, std::string &server);
    Offer makeOffer(GenerationId generation) const;
    std::chrono::milliseconds timeLeft() const;
    void fail(const Failure &failure);
    void countFailure(const Failure &failure);
    void note(EventKind kind, GenerationId generation, const std::string &detail);
    void noteFailure(const Failure &failure);

    EntryServices &m_services;
    const CallerRequest &m_request;
    Poco::Net::HTTPServerResponse &m_response;
    const std::function<bool()> m_callerClosed;
    const Clock::time_point m_arrived;
    std::shared_ptr<const Version> m_version;
    const Account *m_account = nullptr;
    std::string m_accountName;
    const Route *m_route = nullptr;
    std::string m_routeName;
    const Pool *m_pool = nullptr;
    Clock::time_point m_deadline;
    GenerationRequest m_generation;
    TokenOrder m_order;
    Clock::time_point m_lastToken;
    std::chrono::microseconds m_longestStall{ 0 };
    std::vector<std::chrono::microseconds> m_gaps; ///< not yet recorded
    std::string m_server; ///< of the present attempt
};

} // namespace zinniadock
