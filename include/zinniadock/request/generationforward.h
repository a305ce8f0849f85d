#pragma once

#include <chrono>
#include <memory>
#include <optional>
#include <set>
#include <string>

#include "zinniadock/process/links/sidecarmessages.h"
#include "zinniadock/request/eventsplitter.h"
#include "zinniadock/request/forwardscope.h"
#include "zinniadock/request/streamstep.h"

namespace zinniadock
{

/// Forwards a generation as a stream of events, and moves it to another engine when its engine is draining.
class GenerationForwarder : public std::enable_shared_from_this<GenerationForwarder>
{
public:
    explicit GenerationForwarder(std::shared_ptr<ForwardContext> context);
    ~GenerationForwarder();

    GenerationForwarder(const GenerationForwarder &) = delete;
    GenerationForwarder &operator=(const GenerationForwarder &) = delete;

    Awaitable<void> run();

    /// Records that the engine of the generation is draining. Starts a move if the generation has started, its pool
    /// supports moves, no move is in progress and the delay after the last move is over.
    void handleServerDraining();

    /// Starts a move under the conditions of handleServerDraining() if the data centre of the engine is evacuated.
    void handleEvacuation();

    /// Returns the expected rest of the output in tokens.
    double expectedRest() const;

    /// Why a generation is moved.
    enum class MoveCause {
        Draining, ///< the generation is lost if it is not moved
        Evacuation, ///< the operators ask to leave the data centre of the engine
        Gaps, ///< the engine may exceed the bound on gaps; the generation may also stay
    };

private:
    enum class MoveState {
        None,
        Requested, ///< the move is being prepared or is in progress
        Stopped, ///< the generation has stopped at the engine it moves from; m_move holds its copy and target
    };

    /// How one segment of the stream, from one engine, ended.
    enum class SegmentEnd {
        Complete,
        Unconfirmed, ///< the engine stated no end, and its connection ended between events without an error
        Refused, ///< the engine did not run the request
        PlainResponse, ///< the engine sent a signed response that is not a stream of events
        Broken,
        CallerDisconnected,
    };

    /// Limits on the load of an engine that may admit the generation.
    struct AdmissionLimits
    {
        double maxMemoryShare = 0; ///< usable share of memory; the rest is for longer outputs than expected
        double maxForecastShare = 0; ///< share of memory that the sidecar's forecast may reach
        double maxWaitingTokens = 0; ///< tokens of prompts that the engine processes before this one
    };

    /// The engine chosen for a generation.
    struct EnginePlacement
    {
        std::string server;
        std::string reservation; ///< empty if the pool's engines do not support reservations
    };

    Awaitable<std::optional<EnginePlacement>> findPlacement();
    Awaitable<std::optional<EnginePlacement>> queryEngines(PlacementQueue::Ticket ticket);
    Awaitable<void> waitForTurn(PlacementQueue::Ticket ticket);
    Awaitable<void> refreshLoads(std::set<std::string> excluded);
    std::optional<std::string> chooseEngine(const std::set<std::string> &excluded, SteadyTime now,
                                            const RandomSource &draw) const;
    Awaitable<std::optional<EnginePlacement>> reserveEngine(std::string server, AdmissionLimits limits);
    Awaitable<std::optional<EnginePlacement>> reserveAtSidecar(std::string server, AdmissionLimits limits);
    Awaitable<std::optional<EnginePlacement>> reserveAtEngine(std::string server);
    Awaitable<std::optional<EnginePlacement>> reserveLimitedEngine(std::string server, AdmissionLimits limits);
    void releaseReservation(const EnginePlacement &placement);
    AdmissionQuery admissionQuery() const;
    UnplacedPrompt unplacedPrompt() const;
    AdmissionLimits admissionLimits(const std::string &server, std::size_t round, SteadyTime now) const;
    std::chrono::milliseconds reservationDuration(const ServerRecord &server) const;
    Awaitable<SegmentEnd> runSegment(wire::ServerFields fields, StreamAttempt attempt);
    Awaitable<SegmentEnd> readPlainResponse(HttpExchange &exchange, const wire::ResponseFields &fields,
                                            StreamAttempt attempt);
    SegmentEnd handleMissingResponse(const HttpExchange &exchange, StreamAttempt attempt);
    Awaitable<SegmentEnd> relayEvents(HttpExchange &exchange);
    bool isContinuedBy(const StreamEvent &event) const;
    CallerResponse callerResponse() const;
    Awaitable<bool> forwardEvents(const std::vector<StreamEvent> &events, const ResponseHead &head,
                                  BodyFraming framing);
    SegmentEnd judgeSegment(const HttpExchange &exchange);
    StreamPlace placeInStream() const;
    IoError unansweredError(SegmentEnd segmentEnd) const;
    void logStreamEnd(const HttpExchange &exchange) const;
    bool mayContinue(SegmentEnd segmentEnd) const;
    Awaitable<SegmentEnd> continueAfterMove(SegmentEnd segmentEnd);
    Awaitable<SegmentEnd> continueElsewhere(std::string source, std::string refusedBy);
    Awaitable<void> requestMove(std::string server);
    void startMove(MoveCause cause);
    Awaitable<MoveResult> orderMove(std::string server, MoveOrder order);
    void releaseUnusedCopy();
    void recordStreamMix() const;
    std::uint32_t expectedEvents() const;
    std::optional<StreamNeed> streamNeed() const;
    void moveForGaps();
    std::vector<std::string> gapMoveTargets(const TrackedServer &source) const;
    void logGapForecast(const TrackedServer &server) const;
    Awaitable<void> finish(SegmentEnd segmentEnd);
    Awaitable<void> finishStream(SegmentEnd segmentEnd);
    Awaitable<void> finishBroken();
    Awaitable<void> sendRefusal();

    bool mayOutliveProcess() const;
    bool refusesBecauseOfStop();
    GenerationSpeed assumedSpeed() const;
    void recordWaitingGenerations() const;
    std::chrono::milliseconds expectedTimeLeft() const;
    ExpectedEnds expectedEnds() const;
    bool mayWaitingHelp(PlacementQueue::Ticket ticket, std::chrono::milliseconds maxWait) const;
    std::chrono::milliseconds refusalDelay();
    bool checkQuarantine();
    bool isServerEvacuated() const;
    bool shouldLeaveServer() const;
    void leaveServer();
    void addTargets(MoveOrder &order, const std::vector<std::string> &targets) const;
    std::chrono::milliseconds moveRetryDelay() const;
    double heldTokens() const;
    MoveOrder moveOrder(const TrackedServer &source) const;
    PlacementRequest placementRequest() const;
    void attach(const std::string &server);
    void detach();
    void recordRefusal(const std::string &reason);
    void recordSent(const ServerRecord &server, SendReason reason);

    /// Gives back the permit of a placement whose request was not sent.
    void returnUnusedPermit();
    void logPlacement(const EnginePlacement &chosen, const AdmissionLimits &limits) const;
    void recordEvents();
    void recordFailedContinuation();
    void recordOutputLength();
    std::string streamSummary() const;

    const std::shared_ptr<ForwardContext> m_context;
    ForwardingServices &m_services;
    GenerationPace &m_pace; ///< of the pool
    PromptBudget &m_promptBudget; ///< of the pool
    PlacementQueue &m_placementQueue; ///< of the pool
    std::uint32_t m_expectedTokens = 0;
    std::set<std::string> m_refusedBy;
    bool m_hasWaited = false; ///< whether the generation has waited for an engine with free capacity
    std::optional<Quarantine> m_quarantine; ///< why the generation is not sent to an engine
    bool m_isLimited = false; ///< the limits of the engines leave no request for the generation
    std::optional<ServerRecord> m_permitServer; ///< limited engine for which the request is already counted
    std::string m_server; ///< the engine that runs the generation; empty if there is none
    std::uint64_t m_assignment = 0;
    EventSplitter m_splitter;
    bool m_headSent = false;
    BodyFraming m_callerFraming = BodyFraming::Chunks; ///< of the caller's response, after the head was sent
    std::optional<std::uint64_t> m_lastEventId;
    bool m_areIdsConsecutive = true; ///< the IDs of the events so far had no gap
    std::uint64_t m_eventCount = 0;
    SteadyTime m_firstEventAt;
    std::uint64_t m_firstEventCount = 0; ///< events that arrived together with the first one
    SteadyTime m_lastEventAt;
    std::chrono::microseconds m_maxEventGap{ 0 };
    std::chrono::milliseconds m_firstEventDelay{ 0 };
    bool m_engineDraining = false;
    std::uint32_t m_moveCount = 0;
    MoveState m_moveState = MoveState::None;
    MoveCause m_moveCause = MoveCause::Draining; ///< of the last move
    bool m_hasMovedForGaps = false; ///< such a move was requested, whether it succeeded or not
    SteadyTime m_nextGapCheckAt;
    bool m_mayHaveStopped = false; ///< the engine was ordered to stop the generation, with an unknown result
    SteadyTime m_nextMoveAt; ///< earliest time of the next move request after a failed move
    MoveResult m_move;
    AsyncCondition m_moveChanged;
    std::optional<HttpResponse> m_plainResponse;
    ResponseEnd m_plainResponseEnd = ResponseEnd::Complete;
    IoError m_streamError; ///< why the stream broke
    std::string m_reason;
};

/// Notifies the generations that run on a server that the server is draining.
void notifyServerDraining(ForwardingServices &services, const std::string &server);

/// Notifies the generations in evacuated data centres that they should move to other engines. Those with the longest
/// expected rest of the output are first to ask for the room that is left.
void notifyEvacuation(ForwardingServices &services);

} // namespace zinniadock
