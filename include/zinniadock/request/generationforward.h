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
    void handleServerLeaving();

private:
    enum class MoveState {
        None,
        Requested, ///< the sidecar has the order
        Stopped, ///< the run has stopped, and its memory lies where m_move says
    };

    /// How one stretch of the stream on one engine ended.
    enum class SegmentEnd {
        Complete,
        Refused, ///< the engine did not run the request
        Answered, ///< an answer that is no stream of events
        Broken,
        CallerDisconnected,
    };

    /// How busy an engine may be to be asked.
    struct AdmissionLimits
    {
        double maxMemoryShare
            = 0; ///< share of the memory that may be filled; the rest takes up outputs longer than expected
        double maxWaitingTokens = 0; ///< of prompts to be read first
    };

    /// Where a generation is to run.
    struct EnginePlacement
    {
        std::string server;
        std::string reservation; ///< empty where engines take none
    };

    static const std::array<AdmissionLimits, 3> initialLimits;
    static const AdmissionLimits lateLimits;

    Awaitable<std::optional<EnginePlacement>> findPlacement();
    Awaitable<void> refreshLoads(std::set<std::string> passedOver);
    std::optional<std::string> chooseEngine(const std::set<std::string> &passedOver, SteadyTime now,
                                            const RandomSource &draw) const;
    Awaitable<std::optional<EnginePlacement>> reserveEngine(std::string server, AdmissionLimits limits);
    Awaitable<std::optional<EnginePlacement>> reserveAtSidecar(std::string server, AdmissionLimits limits);
    Awaitable<std::optional<EnginePlacement>> reserveAtEngine(std::string server);
    AdmissionQuery admissionQuery() const;
    Awaitable<SegmentEnd> runSegment(wire::ServerFields fields);
    SegmentEnd handleMissingAnswer(const HttpExchange &exchange);
    Awaitable<SegmentEnd> relayEvents(HttpExchange &exchange);
    Awaitable<bool> forwardEvents(const std::vector<StreamEvent> &events, const ResponseHead &head);
    Awaitable<SegmentEnd> continueAfterMove();
    Awaitable<void> requestMove(std::string server);
    Awaitable<void> finish(SegmentEnd segmentEnd);
    Awaitable<void> sendRefusal();

    bool mayOutliveProcess() const;
    MoveOrder moveOrder(const TrackedServer &source) const;
    PlacementRequest placementNeed() const;
    void attach(const std::string &server);
    void detach();
    void logPlacement(const EnginePlacement &chosen) const;
    void recordEvents();
    void recordOutputLength();
    std::string streamSummary() const;

    const std::shared_ptr<ForwardScope> m_scope;
    ForwardingServices &m_services;
    std::uint32_t m_expectedTokens = 0;
    std::set<std::string> m_refusedBy;
    bool m_hasWaited = false; ///< for room
    std::string m_server; ///< the engine that runs the generation; empty for none
    std::uint64_t m_assignment = 0;
    EventSplitter m_splitter;
    bool m_headSent = false;
    std::optional<std::uint64_t> m_lastEventId;
    std::uint64_t m_eventCount = 0;
    SteadyTime m_lastEventAt;
    std::chrono::microseconds m_maxEventGap{ 0 };
    std::chrono::milliseconds m_firstEventDelay{ 0 };
    bool m_engineLeaving = false;
    std::uint32_t m_moveCount = 0;
    MoveState m_moveState = MoveState::None;
    SteadyTime m_nextMoveAt; ///< when a run that no target took is offered again
    MoveResult m_move;
    AsyncCondition m_moveChanged;
    std::optional<HttpResponse> m_plainAnswer;
    std::string m_reason;
};

/// Tells the generations that run on a server that it is about to leave.
void notifyServerLeaving(ForwardingServices &services, const std::string &server);

} // namespace zinniadock
