#pragma once

#include <chrono>
#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "zinniadock/process/crashes/crashreport.h"
#include "zinniadock/process/crashes/quarantinechoice.h"
#include "zinniadock/process/crashes/responsehistory.h"

namespace zinniadock
{

/// When requests are quarantined.
struct QuarantinePolicy
{
    /// Crashes after which requests with a trait are quarantined, see chooseQuarantines().
    std::size_t minCrashes = 3;

    /// Whether a trait is held back for \c settlingTime also if its crashes came one after another.
    bool alwaysSettles = false;

    /// Time without a crash after which one request is let through as a trial. It doubles with each further crash.
    std::chrono::milliseconds firstTrialDelay{ 60000 };
};

/// Why a request is not sent to servers.
struct Quarantine
{
    RequestTrait trait = 0;
    std::size_t position = 0; ///< of the trait among the traits of the request
    std::size_t crashes = 0; ///< that speak against the trait
    std::string lastServer; ///< ID of the last server that crashed
    std::chrono::milliseconds timeLeft{ 0 }; ///< until the next trial, or until the request is no longer held back
    bool isProvisional = false; ///< held back until the reports of other entries on the same crashes have arrived
};

/// A change of the set of quarantined traits.
struct QuarantineChange
{
    Quarantine quarantine;
    bool hasBegun = false; ///< false if the quarantine has ended
};

/// A trait that does not crash servers: a server has responded to a request with it.
struct ClearedTrait
{
    RequestTrait trait = 0;
    SteadyTime at; ///< of the response
};

/// Determines which requests crash servers, from reports of crashes, from responses, and from the conclusions of other
/// entries. See chooseQuarantines() for the decision.
///
/// Reports of the same crashes arrive one after another. A trait that is chosen because of crashes at the same time is
/// first held back for \c settlingTime, and quarantined if it is still chosen then.
///
/// Has no network, clock or thread of its own. Not thread-safe.
class SuspectTable
{
public:
    /// \param trialSpread  0 to 1; extends the time until a trial, so that tables of different processes do not let
    ///                     requests through at the same moment
    explicit SuspectTable(const QuarantinePolicy &policy = {}, double trialSpread = 0);

    /// Sets whether this table concludes quarantines itself, which is the default. Otherwise it only adopts the
    /// conclusions of other entries: in a fleet the entry that gets all reports concludes.
    void setConcludes(bool concludes);

    /// Records a crash. Returns whether it was not known. Complexity: linear in the known runs.
    bool recordCrash(const CrashReport &report, SteadyTime now);

    /// Records a quarantine that another entry has concluded. Returns whether this is new.
    bool recordConclusion(const QuarantineConclusion &conclusion, SteadyTime now);

    /// Records that a server responded to a request with these traits.
    /// Complexity: constant for each trait if none of them is suspected.
    void recordResponse(const RequestTraits &traits, SteadyTime at);

    /// Records that a trait was cleared elsewhere. Returns whether this is new.
    bool recordCleared(const ClearedTrait &cleared, SteadyTime now);

    /// Returns the quarantine of a request, or nothing if it may be sent to a server. Lets one request through for a
    /// trial if it is time. Complexity: constant for each trait.
    /// \param requestId  the request of a trial may be checked several times
    std::optional<Quarantine> findQuarantine(const RequestTraits &traits, const std::string &requestId, SteadyTime now);

    /// Returns the max number of crashes that a trait of a request has in common; of a trait that had a response
    /// before, the number of crashes one after another.
    std::size_t crashCount(const RequestTraits &traits) const;

    /// Returns whether no crash is known, so that no request needs to be checked.
    bool isEmpty() const;

    /// Returns the cleared traits that other processes may suspect and have not been told about, once each.
    std::vector<ClearedTrait> takeClearedToShare();

    /// Returns whether a trait of a request has never had a response, and a server has crashed on it.
    bool isSuspect(const RequestTraits &traits) const;

    /// Returns whether servers have responded to requests with each of these traits.
    bool hadResponses(const RequestTraits &traits) const;

    /// Returns the quarantines that this table has concluded and other processes have not been told about, once each.
    std::vector<QuarantineConclusion> takeConclusionsToShare();

    /// Returns the changes of quarantined traits since the last call.
    std::vector<QuarantineChange> takeChanges();

    /// Returns whether a trait is in quarantine.
    bool isQuarantined(RequestTrait trait) const;

    /// Returns the number of traits in quarantine.
    std::size_t quarantineCount() const;

    /// Returns the number of traits that are chosen and not yet in quarantine.
    std::size_t settlingCount() const;

    /// Returns the number of known crash reports.
    std::size_t reportCount() const;

    /// Quarantines the traits that have been chosen for long enough.
    void settle(SteadyTime now);

    /// Forgets crashes that are too long ago. Includes settle().
    void prune(SteadyTime now);

private:
    struct TraitState
    {
        std::vector<CrashedRun> runs; ///< by end
        SteadyTime clearedAt; ///< last response; the epoch if there was none
        SteadyTime sharedClearedAt;
        bool isAsked = false; ///< another entry does not know of the last response
        std::size_t crashes = 0; ///< that speak against the trait if it is in quarantine, otherwise 0
        std::optional<SteadyTime> chosenSince; ///< while the trait is chosen, but not yet in quarantine
        bool isHeld = false; ///< requests are refused meanwhile
        bool isConcluded = false; ///< by another entry, or by this one
        std::size_t sharedCrashes = 0; ///< crashes that other entries know as a conclusion
        std::size_t position = 0;
        SteadyTime trialAt;
        std::string trialRequest;
    };

    struct KnownReport
    {
        CrashReport report;
        std::uint64_t crash = 0;
    };

    struct KnownCrash
    {
        ServerCrash crash;
        std::uint64_t id = 0;
    };

    std::uint64_t crashOf(const ServerCrash &crash);
    TraitState &stateOf(RequestTrait trait);
    static void insertRun(TraitState &state, const CrashedRun &run);

    /// Returns whether a run of a trait has ended after one time and not after another.
    static bool hasRunBetween(const TraitState &state, SteadyTime after, SteadyTime until);
    static std::vector<const CrashedRun *> openRuns(const TraitState &state);
    std::vector<TraitEvidence> evidence() const;
    std::vector<CrashTime> crashTimes() const;
    void review(SteadyTime now);
    void applyChoice(RequestTrait trait, TraitState &state, const QuarantineChoice *choice, SteadyTime now);
    void setCrashes(RequestTrait trait, TraitState &state, std::size_t crashes);
    std::chrono::milliseconds settlingTimeOf(const QuarantineChoice &choice) const;
    void setChosen(TraitState &state, std::optional<SteadyTime> since);
    static bool contradicts(const TraitState &state, const QuarantineConclusion &conclusion);
    QuarantineConclusion conclude(RequestTrait trait, const TraitState &state) const;
    SteadyTime releaseTime(const TraitState &state) const;
    Quarantine describe(RequestTrait trait, const TraitState &state, SteadyTime now) const;
    Quarantine describeHold(RequestTrait trait, const TraitState &state, SteadyTime now) const;
    std::optional<Quarantine> findTraitQuarantine(RequestTrait trait, const std::string &requestId, SteadyTime now);
    const ServerCrash *findCrash(std::uint64_t id) const;
    void forget(const KnownReport &known);
    void pruneReports(SteadyTime now);
    bool supportsQuarantine(const KnownReport &known) const;

    const QuarantinePolicy m_policy;
    const double m_trialSpread;
    ResponseHistory m_history;
    std::deque<KnownReport> m_reports;
    std::deque<KnownCrash> m_crashes;
    std::unordered_map<RequestTrait, TraitState> m_traits;
    std::uint64_t m_nextCrash = 1;
    std::size_t m_quarantineCount = 0;
    std::size_t m_settlingCount = 0;
    bool m_concludes = true;
    bool m_mayShareCleared = false; ///< something has changed since takeClearedToShare()
    bool m_mayShareConclusions = false; ///< something has changed since takeConclusionsToShare()
    std::vector<QuarantineChange> m_changes;
};

} // namespace zinniadock
