#pragma once

#include <chrono>
#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "zinniadock/process/crashreport.h"

namespace zinniadock
{

/// When requests are quarantined.
struct QuarantinePolicy
{
    /// Crashes, one after another, after which requests with a trait are quarantined.
    std::size_t minCrashes = 3;

    /// Time without a crash after which one request is let through as a trial. It doubles with each further crash.
    std::chrono::milliseconds firstTrialDelay{ 60000 };
};

/// Why a request is not sent to servers.
struct Quarantine
{
    RequestTrait trait = 0;
    std::size_t position = 0; ///< of the trait among the traits of the request
    std::size_t crashes = 0; ///< crashes, one after another, that the trait explains
    std::string lastServer; ///< ID of the last server that crashed
    std::chrono::milliseconds timeLeft{ 0 }; ///< until the next trial
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

/// Determines which requests crash servers, from reports of crashes and from responses.
///
/// A trait is quarantined after \c minCrashes runs of requests with it that ended in a crash, one after another, and if
/// no server has responded to such a request since. Runs that overlap count once, since a single event may end several
/// servers, and with them frequent requests on each of them. If several traits explain the same crashes, the one is
/// quarantined that explains most; if they explain the same number, one further crash is awaited, unless the other
/// trait only occurs in the same requests.
///
/// Has no network, clock or thread of its own. Not thread-safe.
class SuspectTable
{
public:
    /// \param trialSpread  0 to 1; extends the time until a trial, so that tables of different processes do not let
    ///                     requests through at the same moment
    explicit SuspectTable(const QuarantinePolicy &policy = {}, double trialSpread = 0);

    /// Records a crash. Returns whether it was not known. Complexity: linear in the known runs.
    bool recordCrash(const CrashReport &report, SteadyTime now);

    /// Records that a server responded to a request with these traits.
    /// Complexity: constant if none of them is suspected.
    void recordResponse(const RequestTraits &traits, SteadyTime at);

    /// Records that a trait was cleared elsewhere. Returns whether this is new.
    bool recordCleared(const ClearedTrait &cleared, SteadyTime now);

    /// Returns the quarantine of a request, or nothing if it may be sent to a server. Lets one request through for a
    /// trial if it is time. Complexity: constant for each trait.
    /// \param requestId  the request of a trial may be checked several times
    std::optional<Quarantine> findQuarantine(const RequestTraits &traits, const std::string &requestId, SteadyTime now);

    /// Returns the max number of crashes, one after another, that a trait of a request has in common.
    std::size_t crashCount(const RequestTraits &traits) const;

    /// Returns whether no crash is known, so that no request needs to be checked.
    bool isEmpty() const;

    /// Returns the cleared traits that other processes may suspect and have not been told about, once each.
    std::vector<ClearedTrait> takeClearedToShare();

    /// Returns the changes of quarantined traits since the last call.
    std::vector<QuarantineChange> takeChanges();

    /// Returns the number of traits in quarantine.
    std::size_t quarantineCount() const;

    /// Returns the number of known crash reports.
    std::size_t reportCount() const;

    /// Forgets crashes that are too long ago.
    void prune(SteadyTime now);

private:
    /// A run that ended in a crash, as it concerns one trait.
    struct Run
    {
        std::uint64_t crash = 0; ///< the same for all reports of one crash
        std::uint64_t report = 0;
        std::uint64_t id = 0; ///< of the run in its report
        std::size_t request = 0; ///< hash of the request ID
        std::size_t position = 0; ///< of the trait in the request
        SteadyTime begin;
        SteadyTime end;
    };

    struct TraitState
    {
        std::vector<Run> runs; ///< by end
        SteadyTime clearedAt;
        SteadyTime sharedClearedAt;
        std::size_t crashes = 0; ///< crashes that the trait explains if it is in quarantine, otherwise 0
        SteadyTime trialAt;
        std::string trialRequest;
    };

    struct KnownReport
    {
        CrashReport report;
        std::uint64_t crash = 0;
    };

    /// A trait that may explain crashes.
    struct Candidate
    {
        RequestTrait trait = 0;
        std::size_t crashes = 0;
        std::size_t position = 0;
        std::vector<const Run *> runs;
    };

    std::uint64_t crashOf(const CrashReport &report);

    /// Returns whether a run of a trait has ended after one time and not after another.
    static bool hasRunBetween(const TraitState &state, SteadyTime after, SteadyTime until);
    void review();
    std::vector<Candidate> candidates(const std::vector<std::uint64_t> &explained) const;
    std::vector<const Run *> openRuns(const TraitState &state, const std::vector<std::uint64_t> &explained) const;
    std::optional<Candidate> chooseCandidate(const std::vector<std::uint64_t> &explained) const;
    bool isAmbiguous(const Candidate &best, const std::vector<Candidate> &others) const;
    void setCrashes(RequestTrait trait, TraitState &state, std::size_t crashes);
    SteadyTime releaseTime(const TraitState &state) const;
    Quarantine describe(RequestTrait trait, const TraitState &state, SteadyTime now) const;
    void forget(const KnownReport &known);
    bool supportsQuarantine(const KnownReport &known) const;

    const QuarantinePolicy m_policy;
    const double m_trialSpread;
    std::deque<KnownReport> m_reports;
    std::unordered_map<RequestTrait, TraitState> m_traits;
    std::uint64_t m_nextCrash = 1;
    std::size_t m_quarantineCount = 0;
    bool m_mayShare = false; ///< something has changed since takeClearedToShare()
    std::vector<QuarantineChange> m_changes;
};

} // namespace zinniadock
