#include "zinniadock/process/suspecttable.h"

#include <algorithm>
#include <functional>
#include <map>
#include <set>
#include <utility>

namespace zinniadock
{

namespace
{

constexpr std::chrono::minutes retention{ 60 };

/// Retention of crashes that a quarantined trait explains. It is longer than any time until a trial.
constexpr std::chrono::minutes quarantineRetention{ 120 };

constexpr std::size_t maxReports = 256;

/// Max number of times that the delay until a trial is doubled.
constexpr std::size_t maxDoublings = 5;

/// Time for the trial request to get a response. Then another request may be the trial.
constexpr std::chrono::milliseconds trialTimeout{ 15000 };

/// Entries see the crash of one server at most this far apart.
constexpr std::chrono::milliseconds sameCrashTolerance{ 1000 };

/// Two runs of different requests count as one after another only if there is this time between them, since the clocks
/// of two entries are compared through messages.
constexpr std::chrono::milliseconds minGapBetweenRuns{ 50 };

} // namespace

SuspectTable::SuspectTable(const QuarantinePolicy &policy, double trialSpread)
    : m_policy(policy)
    , m_trialSpread(trialSpread)
{
}

bool SuspectTable::recordCrash(const CrashReport &report, SteadyTime now)
{
    const bool isKnown = std::any_of(m_reports.begin(), m_reports.end(), [&report](const KnownReport &known) {
        return known.report.id == report.id;
    });
    if (isKnown || now - report.at > retention) {
        return false;
    }
    prune(now);
    const std::uint64_t crash = crashOf(report);
    std::uint64_t runId = 0;
    for (const EndedRun &ended : report.runs) {
        ++runId;
        for (std::size_t position = 0; position < ended.traits.size(); ++position) {
            std::vector<Run> &runs = m_traits[ended.traits[position]].runs;
            const Run run{ .crash = crash,
                           .report = report.id,
                           .id = runId,
                           .request = std::hash<std::string>()(ended.requestId),
                           .position = position,
                           .begin = report.at - ended.duration,
                           .end = report.at };
            const auto later = std::find_if(runs.begin(), runs.end(), [&run](const Run &each) {
                return each.end > run.end;
            });
            runs.insert(later, run);
        }
    }
    m_reports.push_back({ report, crash });
    m_mayShare = true;
    review();
    return true;
}

std::uint64_t SuspectTable::crashOf(const CrashReport &report)
{
    const auto same = std::find_if(m_reports.begin(), m_reports.end(), [&report](const KnownReport &known) {
        const auto apart = std::chrono::abs(known.report.at - report.at);
        return known.report.server == report.server && apart <= sameCrashTolerance;
    });
    return same == m_reports.end() ? m_nextCrash++ : same->crash;
}

void SuspectTable::recordResponse(const RequestTraits &traits, SteadyTime at)
{
    if (m_traits.empty()) {
        return;
    }
    bool clearsRuns = false;
    for (const RequestTrait trait : traits) {
        const auto found = m_traits.find(trait);
        if (found == m_traits.end() || found->second.clearedAt >= at) {
            continue;
        }
        clearsRuns = clearsRuns || !openRuns(found->second, {}).empty();
        found->second.clearedAt = at;
        m_mayShare = true;
    }
    if (clearsRuns) {
        review();
    }
}

bool SuspectTable::recordCleared(const ClearedTrait &cleared, SteadyTime now)
{
    const bool isSuspected = m_traits.contains(cleared.trait);
    if (now - cleared.at > retention) {
        return false;
    }
    TraitState &state = m_traits[cleared.trait];
    // Others may not have seen the response by which this process has cleared the trait.
    const bool isNews = !isSuspected || hasRunBetween(state, state.sharedClearedAt, cleared.at);
    state.sharedClearedAt = std::max(state.sharedClearedAt, cleared.at);
    if (state.clearedAt < cleared.at) {
        state.clearedAt = cleared.at;
        review();
    }
    return isNews;
}

bool SuspectTable::hasRunBetween(const TraitState &state, SteadyTime after, SteadyTime until)
{
    return std::any_of(state.runs.begin(), state.runs.end(), [after, until](const Run &run) {
        return run.end > after && run.end <= until;
    });
}

std::vector<const SuspectTable::Run *> SuspectTable::openRuns(const TraitState &state,
                                                              const std::vector<std::uint64_t> &explained) const
{
    std::vector<const Run *> runs;
    for (const Run &run : state.runs) {
        const bool isExplained = std::find(explained.begin(), explained.end(), run.crash) != explained.end();
        if (run.end > state.clearedAt && !isExplained) {
            runs.push_back(&run);
        }
    }
    return runs;
}

namespace
{

/// Returns the number of runs that ended one after another. An attempt of a request always follows its attempt before.
/// \pre runs are sorted by their end
template <typename Run>
std::size_t countSequential(const std::vector<const Run *> &runs)
{
    std::size_t count = 0;
    SteadyTime lastEnd;
    std::map<std::size_t, SteadyTime> attemptEnds; ///< end of the last run of each request
    for (const Run *run : runs) {
        const auto attempt = attemptEnds.find(run->request);
        const bool isNextAttempt = attempt != attemptEnds.end() && run->begin >= attempt->second;
        if (count == 0 || isNextAttempt || run->begin >= lastEnd + minGapBetweenRuns) {
            ++count;
            lastEnd = run->end;
        }
        attemptEnds[run->request] = run->end;
    }
    return count;
}

template <typename Run>
std::set<std::pair<std::uint64_t, std::uint64_t>> runKeys(const std::vector<const Run *> &runs)
{
    std::set<std::pair<std::uint64_t, std::uint64_t>> keys;
    for (const Run *run : runs) {
        keys.emplace(run->report, run->id);
    }
    return keys;
}

} // namespace

std::vector<SuspectTable::Candidate> SuspectTable::candidates(const std::vector<std::uint64_t> &explained) const
{
    std::vector<Candidate> found;
    for (const auto &[trait, state] : m_traits) {
        Candidate candidate{ .trait = trait, .crashes = 0, .position = 0, .runs = openRuns(state, explained) };
        candidate.crashes = countSequential(candidate.runs);
        if (candidate.crashes < m_policy.minCrashes) {
            continue;
        }
        const auto first
            = std::min_element(candidate.runs.begin(), candidate.runs.end(), [](const Run *left, const Run *right) {
                  return left->position < right->position;
              });
        candidate.position = (*first)->position;
        found.push_back(std::move(candidate));
    }
    std::sort(found.begin(), found.end(), [](const Candidate &left, const Candidate &right) {
        if (left.crashes != right.crashes) {
            return left.crashes > right.crashes;
        }
        if (left.runs.size() != right.runs.size()) {
            return left.runs.size() > right.runs.size();
        }
        return left.position != right.position ? left.position < right.position : left.trait < right.trait;
    });
    return found;
}

// Another request may have run on the same servers each time, for example because its caller retries at the same time.
// The next crash shows which of the two it is.
bool SuspectTable::isAmbiguous(const Candidate &best, const std::vector<Candidate> &others) const
{
    const auto bestRuns = runKeys(best.runs);
    std::set<std::uint64_t> crashes;
    for (const Run *run : best.runs) {
        crashes.insert(run->crash);
    }
    return std::any_of(others.begin(), others.end(), [&](const Candidate &other) {
        const auto otherRuns = runKeys(other.runs);
        const bool hasSameRequests
            = std::includes(bestRuns.begin(), bestRuns.end(), otherRuns.begin(), otherRuns.end());
        std::vector<const Run *> remaining = other.runs;
        std::erase_if(remaining, [&crashes](const Run *run) {
            return crashes.contains(run->crash);
        });
        return other.crashes == best.crashes && !hasSameRequests && countSequential(remaining) < m_policy.minCrashes;
    });
}

std::optional<SuspectTable::Candidate> SuspectTable::chooseCandidate(const std::vector<std::uint64_t> &explained) const
{
    const std::vector<Candidate> all = candidates(explained);
    const auto chosen = std::find_if(all.begin(), all.end(), [this, &all](const Candidate &candidate) {
        return candidate.crashes > m_policy.minCrashes || !isAmbiguous(candidate, all);
    });
    return chosen == all.end() ? std::nullopt : std::optional(*chosen);
}

// Chooses the trait that explains most crashes, then the one that explains most of the others, and so on. A trait of
// sound requests that were running at the same crashes has nothing left to explain.
void SuspectTable::review()
{
    std::map<RequestTrait, std::size_t> chosen;
    std::vector<std::uint64_t> explained;
    while (const auto candidate = chooseCandidate(explained)) {
        chosen[candidate->trait] = candidate->crashes;
        for (const Run *run : candidate->runs) {
            explained.push_back(run->crash);
        }
    }
    for (auto &[trait, state] : m_traits) {
        const auto found = chosen.find(trait);
        setCrashes(trait, state, found == chosen.end() ? 0 : found->second);
    }
}

void SuspectTable::setCrashes(RequestTrait trait, TraitState &state, std::size_t crashes)
{
    const bool wasQuarantined = state.crashes > 0;
    const bool isQuarantined = crashes > 0;
    state.crashes = crashes;
    if (wasQuarantined && !isQuarantined) {
        m_changes.push_back({ describe(trait, state, state.clearedAt), false });
        --m_quarantineCount;
    }
    if (isQuarantined && !wasQuarantined) {
        m_changes.push_back({ describe(trait, state, state.runs.back().end), true });
        ++m_quarantineCount;
    }
}

SteadyTime SuspectTable::releaseTime(const TraitState &state) const
{
    const std::size_t doublings = std::min(state.crashes - m_policy.minCrashes, maxDoublings);
    const auto delay = (1U << doublings) * m_policy.firstTrialDelay;
    const auto spread = std::chrono::duration_cast<std::chrono::milliseconds>(m_trialSpread * delay);
    return state.runs.back().end + delay + spread;
}

Quarantine SuspectTable::describe(RequestTrait trait, const TraitState &state, SteadyTime now) const
{
    const auto last = std::find_if(m_reports.rbegin(), m_reports.rend(), [&state](const KnownReport &known) {
        return !state.runs.empty() && known.report.id == state.runs.back().report;
    });
    const SteadyTime release = state.crashes > 0 ? releaseTime(state) : now;
    return { .trait = trait,
             .position = 0,
             .crashes = state.crashes,
             .lastServer = last == m_reports.rend() ? std::string() : last->report.server,
             .timeLeft = std::chrono::duration_cast<std::chrono::milliseconds>(std::max(release, now) - now) };
}

std::optional<Quarantine> SuspectTable::findQuarantine(const RequestTraits &traits, const std::string &requestId,
                                                       SteadyTime now)
{
    if (m_quarantineCount == 0) {
        return std::nullopt;
    }
    for (std::size_t position = 0; position < traits.size(); ++position) {
        const auto found = m_traits.find(traits[position]);
        if (found == m_traits.end() || found->second.crashes == 0) {
            continue;
        }
        TraitState &state = found->second;
        const bool isTrialDue = now >= releaseTime(state);
        if (isTrialDue && now - state.trialAt > trialTimeout) {
            state.trialAt = now;
            state.trialRequest = requestId;
        }
        if (!isTrialDue || state.trialRequest != requestId) {
            Quarantine quarantine = describe(traits[position], state, now);
            quarantine.position = position;
            const auto trialEnd = state.trialAt + trialTimeout;
            const auto untilTrialEnd = std::chrono::duration_cast<std::chrono::milliseconds>(trialEnd - now);
            quarantine.timeLeft = std::max(quarantine.timeLeft, untilTrialEnd);
            return quarantine;
        }
    }
    return std::nullopt;
}

std::size_t SuspectTable::crashCount(const RequestTraits &traits) const
{
    std::size_t count = 0;
    for (const RequestTrait trait : traits) {
        const auto found = m_traits.find(trait);
        if (found != m_traits.end()) {
            count = std::max(count, countSequential(openRuns(found->second, {})));
        }
    }
    return count;
}

bool SuspectTable::isEmpty() const
{
    return m_traits.empty();
}

// One crash alone quarantines nothing, so a trait is worth a message from the second crash on.
std::vector<ClearedTrait> SuspectTable::takeClearedToShare()
{
    std::vector<ClearedTrait> cleared;
    if (!std::exchange(m_mayShare, false)) {
        return cleared;
    }
    for (auto &[trait, state] : m_traits) {
        const auto &runs = state.runs;
        const bool hasSeveralCrashes = std::any_of(runs.begin(), runs.end(), [&runs](const Run &run) {
            return run.crash != runs.front().crash;
        });
        const bool isNew = hasRunBetween(state, state.sharedClearedAt, state.clearedAt);
        if (hasSeveralCrashes && isNew) {
            state.sharedClearedAt = state.clearedAt;
            cleared.push_back({ trait, state.clearedAt });
        }
    }
    return cleared;
}

std::vector<QuarantineChange> SuspectTable::takeChanges()
{
    return std::exchange(m_changes, {});
}

std::size_t SuspectTable::quarantineCount() const
{
    return m_quarantineCount;
}

std::size_t SuspectTable::reportCount() const
{
    return m_reports.size();
}

bool SuspectTable::supportsQuarantine(const KnownReport &known) const
{
    const auto &runs = known.report.runs;
    return std::any_of(runs.begin(), runs.end(), [this](const EndedRun &run) {
        return std::any_of(run.traits.begin(), run.traits.end(), [this](RequestTrait trait) {
            const auto found = m_traits.find(trait);
            return found != m_traits.end() && found->second.crashes > 0;
        });
    });
}

void SuspectTable::forget(const KnownReport &known)
{
    for (const EndedRun &run : known.report.runs) {
        for (const RequestTrait trait : run.traits) {
            const auto found = m_traits.find(trait);
            if (found != m_traits.end()) {
                std::erase_if(found->second.runs, [&known](const Run &each) {
                    return each.report == known.report.id;
                });
            }
        }
    }
}

void SuspectTable::prune(SteadyTime now)
{
    const std::size_t before = m_reports.size();
    for (auto known = m_reports.begin(); known != m_reports.end();) {
        const bool isSupporting = supportsQuarantine(*known);
        const auto age = now - known->report.at;
        const bool isOld = age > (isSupporting ? quarantineRetention : retention);
        const bool isSurplus = m_reports.size() >= maxReports && !isSupporting;
        if (isOld || isSurplus) {
            forget(*known);
        }
        known = isOld || isSurplus ? m_reports.erase(known) : std::next(known);
    }
    while (m_reports.size() >= maxReports) {
        forget(m_reports.front());
        m_reports.pop_front();
    }
    if (m_reports.size() != before) {
        review();
    }
    std::erase_if(m_traits, [now](const auto &each) {
        return each.second.runs.empty() && now - each.second.clearedAt > retention;
    });
}

} // namespace zinniadock
