#pragma once

#include <array>
#include <chrono>
#include <memory>
#include <optional>
#include <set>
#include <string>

#include "zinniadock/process/sidecarmessages.h"
#include "zinniadock/request/eventsplitter.h"
#include "zinniadock/request/forwardscope.h"

namespace zinniadock
{

/// Forwards a generation as a stream of events, and goes on at another engine when its own leaves.
class GenerationForward : public std::enable_shared_from_this<GenerationForward>
{
public:
    explicit GenerationForward(std::shared_ptr<ForwardScope> scope);
    ~GenerationForward();

    GenerationForward(const GenerationForward &) = delete;
    GenerationForward &operator=(const GenerationForward &) = delete;

    Awaitable<void> run();

    /// Tells the generation that the engine which runs it is about to leave.
    void serverLeaves();

private:
    enum class MoveState {
        None,
        Asked, ///< the sidecar has the order
        Stopped, ///< the run has stopped, and its memory lies where m_move says
    };

    /// How one stretch of the stream on one engine ended.
    enum class StretchEnd {
        Whole,
        Refused, ///< the engine did not run the request
        Answered, ///< an answer that is no stream of events
        Broken,
        CallerLeft,
    };

    /// How busy an engine may be to be asked.
    struct AdmissionRound
    {
        double usable = 0; ///< share of the memory that may be filled; the rest takes up outputs longer than expected
        double mostWaitingTokens = 0; ///< of prompts to be read first
    };

    /// Where a generation is to run.
    struct Place
    {
        std::string server;
        std::string reservation; ///< empty where engines take none
    };

    static const std::array<AdmissionRound, 3> firstRounds;
    static const AdmissionRound lateRound;

    Awaitable<std::optional<Place>> place();
    Awaitable<void> probeForRound(std::set<std::string> passedOver);
    std::optional<std::string> choose(const std::set<std::string> &passedOver, SteadyTime now, const Draw &draw) const;
    Awaitable<std::optional<Place>> reserve(std::string server, AdmissionRound limits);
    Awaitable<std::optional<Place>> askSidecar(std::string server, AdmissionRound limits);
    Awaitable<std::optional<Place>> askEngine(std::string server);
    AdmissionQuery admissionQuery() const;
    Awaitable<StretchEnd> runStretch(wire::ServerFields fields);
    StretchEnd endWithoutAnswer(const HttpExchange &exchange);
    Awaitable<StretchEnd> relayEvents(HttpExchange &exchange);
    Awaitable<bool> passOn(const std::vector<StreamEvent> &events, const ResponseHead &head);
    Awaitable<StretchEnd> continueElsewhere();
    Awaitable<void> askForMove(std::string server);
    Awaitable<void> end(StretchEnd stretch);
    Awaitable<void> refuse();

    bool outlastsProcess() const;
    MoveOrder moveOrder(const TrackedServer &source) const;
    PlacementNeed need() const;
    void attach(const std::string &server);
    void detach();
    void logPlaced(const Place &chosen) const;
    void noteEvents();
    void learnLength();
    std::string streamSummary() const;

    const std::shared_ptr<ForwardScope> m_scope;
    ForwardingServices &m_services;
    std::uint32_t m_expectedTokens = 0;
    std::set<std::string> m_refusedBy;
    bool m_waited = false; ///< for room
    std::string m_server; ///< the engine that runs the generation; empty for none
    std::uint64_t m_assignment = 0;
    EventSplitter m_splitter;
    bool m_headSent = false;
    std::optional<std::uint64_t> m_lastEvent;
    std::uint64_t m_events = 0;
    SteadyTime m_lastEventAt;
    std::chrono::microseconds m_longestGap{ 0 };
    std::chrono::milliseconds m_firstEventAfter{ 0 };
    bool m_leaving = false;
    std::uint32_t m_moves = 0;
    MoveState m_moveState = MoveState::None;
    SteadyTime m_nextOfferAt; ///< when a run that no target took is offered again
    MoveResult m_move;
    AsyncCondition m_moveChanged;
    std::optional<HttpResponse> m_plainAnswer;
    std::string m_reason;
};

/// Tells the generations that run on a server that it is about to leave.
void tellGenerations(ForwardingServices &services, const std::string &server);

} // namespace zinniadock
