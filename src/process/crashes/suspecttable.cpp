#include "zinniadock/process/crashes/suspecttable.h"

#include <algorithm>
#include <functional>
#include <map>
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

/// Time in which the reports of other entries on the same crashes arrive.
constexpr std::chrono::milliseconds settlingTime{ 250 };

/// Time in which all entries report their responses to a suspect.
constexpr std::chrono::milliseconds longSettlingTime{ 1000 };

/// Max number of crashes that a conclusion names. It bounds the size of messages.
constexpr std::size_t maxConcludedCrashes = 8;

/// Max number of crashes whose servers are kept, to recognise them in later reports.
constexpr std::size_t maxCrashes = 1024;

} // namespace

SuspectTable::SuspectTable(const QuarantinePolicy &policy, double trialSpread)
    : m_policy(policy)
    , m_trialSpread(trialSpread)
{
}

void SuspectTable::setConcludes(bool concludes)
{
    m_concludes = concludes;
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
    const std::uint64_t crash = crashOf({ report.server, report.serverStartTimeMs, report.at });
    std::uint64_t runId = 0;
    for (const EndedRun &ended : report.runs) {
        ++runId;
        for (std::size_t position = 0; position < ended.traits.size(); ++position) {
            insertRun(stateOf(ended.traits[position]),
                      { .crash = crash,
                        .report = report.id,
                        .id = runId,
                        .request = std::hash<std::string>()(ended.requestId),
                        .position = position,
                        .begin = report.at - ended.duration,
                        .end = report.at });
        }
    }
    m_reports.push_back({ report, crash });
    m_mayShareCleared = true;
    review(now);
    return true;
}

bool SuspectTable::recordConclusion(const QuarantineConclusion &conclusion, SteadyTime now)
{
    if (conclusion.crashes.empty() || now - conclusion.crashes.back().at > quarantineRetention) {
        return false;
    }
    TraitState &state = stateOf(conclusion.trait);
    if (contradicts(state, conclusion)) {
        state.isAsked = true;
        state.sharedClearedAt = SteadyTime();
        m_mayShareCleared = true;
        return false;
    }
    bool isNews = !state.isConcluded && state.crashes == 0;
    for (const ServerCrash &each : conclusion.crashes) {
        const std::uint64_t crash = crashOf(each);
        const bool isKnown = std::any_of(state.runs.begin(), state.runs.end(), [crash](const CrashedRun &run) {
            return run.crash == crash;
        });
        if (!isKnown) {
            const std::string id = each.server + toText(conclusion.trait);
            insertRun(state,
                      { .crash = crash,
                        .report = 0,
                        .id = std::hash<std::string>()(id),
                        .request = std::hash<std::string>()(each.server),
                        .position = conclusion.position,
                        .begin = each.at,
                        .end = each.at });
            isNews = true;
        }
    }
    if (openRuns(state).empty()) {
        return false;
    }
    state.isConcluded = true;
    state.sharedCrashes = std::max(state.sharedCrashes, conclusion.crashes.size());
    review(now);
    return isNews;
}

// The entry that has concluded does not know of a response. It decides again when it does.
bool SuspectTable::contradicts(const TraitState &state, const QuarantineConclusion &conclusion)
{
    return !conclusion.hadResponse && state.clearedAt != SteadyTime();
}

// What a report says of a crash replaces what a conclusion says of it.
void SuspectTable::insertRun(TraitState &state, const CrashedRun &run)
{
    std::erase_if(state.runs, [&run](const CrashedRun &each) {
        return each.report == 0 && each.crash == run.crash;
    });
    const auto later = std::find_if(state.runs.begin(), state.runs.end(), [&run](const CrashedRun &each) {
        return each.end > run.end;
    });
    state.runs.insert(later, run);
}

SuspectTable::TraitState &SuspectTable::stateOf(RequestTrait trait)
{
    const auto [position, isNew] = m_traits.try_emplace(trait);
    if (isNew) {
        position->second.clearedAt = m_history.lastResponse(trait).value_or(SteadyTime());
    }
    return position->second;
}

std::uint64_t SuspectTable::crashOf(const ServerCrash &crash)
{
    const auto same = std::find_if(m_crashes.begin(), m_crashes.end(), [&crash](const KnownCrash &known) {
        return isSameCrash(known.crash, crash);
    });
    if (same != m_crashes.end()) {
        return same->id;
    }
    if (m_crashes.size() >= maxCrashes) {
        m_crashes.pop_front();
    }
    m_crashes.push_back({ crash, m_nextCrash });
    return m_nextCrash++;
}

const ServerCrash *SuspectTable::findCrash(std::uint64_t id) const
{
    const auto found = std::find_if(m_crashes.begin(), m_crashes.end(), [id](const KnownCrash &known) {
        return known.id == id;
    });
    return found == m_crashes.end() ? nullptr : &found->crash;
}

void SuspectTable::recordResponse(const RequestTraits &traits, SteadyTime at)
{
    bool clearsRuns = false;
    for (const RequestTrait trait : traits) {
        m_history.record(trait, at);
        const auto found = m_traits.find(trait);
        if (found == m_traits.end() || found->second.clearedAt >= at) {
            continue;
        }
        clearsRuns = clearsRuns || !openRuns(found->second).empty();
        found->second.clearedAt = at;
        found->second.isConcluded = false;
        m_mayShareCleared = true;
    }
    if (clearsRuns) {
        review(at);
    }
}

bool SuspectTable::recordCleared(const ClearedTrait &cleared, SteadyTime now)
{
    const bool isSuspected = m_traits.contains(cleared.trait);
    if (now - cleared.at > retention) {
        return false;
    }
    TraitState &state = stateOf(cleared.trait);
    // Others may not have seen the response by which this process has cleared the trait.
    const bool isFirst = state.sharedClearedAt == SteadyTime();
    const bool isNews = !isSuspected || isFirst || hasRunBetween(state, state.sharedClearedAt, cleared.at);
    state.sharedClearedAt = std::max(state.sharedClearedAt, cleared.at);
    if (state.clearedAt < cleared.at) {
        state.clearedAt = cleared.at;
        state.isConcluded = false;
        review(now);
    }
    return isNews;
}

bool SuspectTable::hasRunBetween(const TraitState &state, SteadyTime after, SteadyTime until)
{
    return std::any_of(state.runs.begin(), state.runs.end(), [after, until](const CrashedRun &run) {
        return run.end > after && run.end <= until;
    });
}

std::vector<const CrashedRun *> SuspectTable::openRuns(const TraitState &state)
{
    std::vector<const CrashedRun *> runs;
    for (const CrashedRun &run : state.runs) {
        if (run.end > state.clearedAt) {
            runs.push_back(&run);
        }
    }
    return runs;
}

// Traits with fewer crashes can't be chosen.
std::vector<TraitEvidence> SuspectTable::evidence() const
{
    std::vector<TraitEvidence> all;
    for (const auto &[trait, state] : m_traits) {
        if (!state.isConcluded && (state.runs.size() < m_policy.minCrashes || !m_concludes)) {
            continue;
        }
        TraitEvidence each{ .trait = trait, .runs = openRuns(state), .hadResponse = false, .isConcluded = false };
        if (each.runs.size() >= m_policy.minCrashes || state.isConcluded) {
            each.hadResponse = state.clearedAt != SteadyTime();
            each.isConcluded = state.isConcluded;
            all.push_back(std::move(each));
        }
    }
    return all;
}

std::vector<CrashTime> SuspectTable::crashTimes() const
{
    std::vector<CrashTime> times;
    for (const KnownCrash &known : m_crashes) {
        times.push_back({ .crash = known.id, .at = known.crash.at });
    }
    std::sort(times.begin(), times.end(), [](const CrashTime &left, const CrashTime &right) {
        return left.at < right.at;
    });
    return times;
}

void SuspectTable::review(SteadyTime now)
{
    const std::vector<QuarantineChoice> choices = chooseQuarantines(evidence(), crashTimes(), m_policy.minCrashes);
    std::map<RequestTrait, const QuarantineChoice *> chosen;
    for (const QuarantineChoice &choice : choices) {
        chosen[choice.trait] = &choice;
    }
    for (auto &[trait, state] : m_traits) {
        const auto found = chosen.find(trait);
        applyChoice(trait, state, found == chosen.end() ? nullptr : found->second, now);
    }
}

void SuspectTable::applyChoice(RequestTrait trait, TraitState &state, const QuarantineChoice *choice, SteadyTime now)
{
    if (!choice) {
        setChosen(state, std::nullopt);
        setCrashes(trait, state, 0);
        state.isConcluded = state.isConcluded && !openRuns(state).empty();
        return;
    }
    state.position = choice->position;
    const SteadyTime since = state.chosenSince.value_or(now);
    if (state.crashes > 0 || state.isConcluded || now - since >= settlingTimeOf(*choice)) {
        setChosen(state, std::nullopt);
        setCrashes(trait, state, choice->crashes);
        state.isConcluded = true;
        return;
    }
    setChosen(state, since);
    state.isHeld = choice->settling != Settling::Long;
}

std::chrono::milliseconds SuspectTable::settlingTimeOf(const QuarantineChoice &choice) const
{
    switch (choice.settling) {
    case Settling::None:
        return m_policy.alwaysSettles ? settlingTime : std::chrono::milliseconds(0);
    case Settling::Short:
        return settlingTime;
    case Settling::Long:
        break;
    }
    return longSettlingTime;
}

void SuspectTable::setChosen(TraitState &state, std::optional<SteadyTime> since)
{
    m_settlingCount += since && !state.chosenSince ? 1 : 0;
    m_settlingCount -= !since && state.chosenSince ? 1 : 0;
    state.chosenSince = since;
    state.isHeld = state.isHeld && since;
}

void SuspectTable::settle(SteadyTime now)
{
    if (m_settlingCount > 0) {
        review(now);
    }
}

void SuspectTable::setCrashes(RequestTrait trait, TraitState &state, std::size_t crashes)
{
    const bool wasQuarantined = state.crashes > 0;
    const bool isQuarantined = crashes > 0;
    state.crashes = crashes;
    m_mayShareConclusions = m_mayShareConclusions || isQuarantined;
    if (wasQuarantined && !isQuarantined) {
        state.sharedCrashes = 0;
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
    const std::size_t further = std::max(state.crashes, m_policy.minCrashes) - m_policy.minCrashes;
    const std::size_t doublings = std::min(further, maxDoublings);
    const auto delay = (1U << doublings) * m_policy.firstTrialDelay;
    const auto spread = std::chrono::duration_cast<std::chrono::milliseconds>(m_trialSpread * delay);
    return state.runs.back().end + delay + spread;
}

Quarantine SuspectTable::describe(RequestTrait trait, const TraitState &state, SteadyTime now) const
{
    const ServerCrash *last = state.runs.empty() ? nullptr : findCrash(state.runs.back().crash);
    const SteadyTime release = state.crashes > 0 ? releaseTime(state) : now;
    return { .trait = trait,
             .position = state.position,
             .crashes = state.crashes,
             .lastServer = last ? last->server : std::string(),
             .timeLeft = std::chrono::duration_cast<std::chrono::milliseconds>(std::max(release, now) - now) };
}

Quarantine SuspectTable::describeHold(RequestTrait trait, const TraitState &state, SteadyTime now) const
{
    const auto left = std::chrono::ceil<std::chrono::milliseconds>(*state.chosenSince + settlingTime - now);
    Quarantine quarantine = describe(trait, state, now);
    quarantine.crashes = countCrashes(openRuns(state));
    quarantine.timeLeft = std::max(left, std::chrono::milliseconds(0));
    quarantine.isProvisional = true;
    return quarantine;
}

std::optional<Quarantine> SuspectTable::findQuarantine(const RequestTraits &traits, const std::string &requestId,
                                                       SteadyTime now)
{
    settle(now);
    if (m_quarantineCount + m_settlingCount == 0) {
        return std::nullopt;
    }
    for (std::size_t position = 0; position < traits.size(); ++position) {
        if (auto quarantine = findTraitQuarantine(traits[position], requestId, now)) {
            quarantine->position = position;
            return quarantine;
        }
    }
    return std::nullopt;
}

std::optional<Quarantine> SuspectTable::findTraitQuarantine(RequestTrait trait, const std::string &requestId,
                                                            SteadyTime now)
{
    const auto found = m_traits.find(trait);
    if (found == m_traits.end()) {
        return std::nullopt;
    }
    TraitState &state = found->second;
    if (state.isHeld) {
        return describeHold(trait, state, now);
    }
    if (state.crashes == 0) {
        return std::nullopt;
    }
    const bool isTrialDue = now >= releaseTime(state);
    if (isTrialDue && now - state.trialAt > trialTimeout) {
        state.trialAt = now;
        state.trialRequest = requestId;
    }
    if (isTrialDue && state.trialRequest == requestId) {
        return std::nullopt;
    }
    Quarantine quarantine = describe(trait, state, now);
    const auto untilTrialEnd
        = std::chrono::duration_cast<std::chrono::milliseconds>(state.trialAt + trialTimeout - now);
    quarantine.timeLeft = std::max(quarantine.timeLeft, untilTrialEnd);
    return quarantine;
}

std::size_t SuspectTable::crashCount(const RequestTraits &traits) const
{
    std::size_t count = 0;
    for (const RequestTrait trait : traits) {
        const auto found = m_traits.find(trait);
        if (found != m_traits.end()) {
            const auto runs = openRuns(found->second);
            const bool hadResponse = found->second.clearedAt != SteadyTime();
            count = std::max(count, hadResponse ? countSequential(runs) : countCrashes(runs));
        }
    }
    return count;
}

bool SuspectTable::isSuspect(const RequestTraits &traits) const
{
    return std::any_of(traits.begin(), traits.end(), [this](RequestTrait trait) {
        const auto found = m_traits.find(trait);
        return found != m_traits.end() && found->second.clearedAt == SteadyTime() && !found->second.runs.empty();
    });
}

bool SuspectTable::hadResponses(const RequestTraits &traits) const
{
    return std::all_of(traits.begin(), traits.end(), [this](RequestTrait trait) {
        return m_history.lastResponse(trait).has_value();
    });
}

bool SuspectTable::isEmpty() const
{
    return m_traits.empty();
}

// One crash alone quarantines nothing, so a trait is worth a message from the second crash on.
std::vector<ClearedTrait> SuspectTable::takeClearedToShare()
{
    std::vector<ClearedTrait> cleared;
    if (!std::exchange(m_mayShareCleared, false)) {
        return cleared;
    }
    for (auto &[trait, state] : m_traits) {
        const auto &runs = state.runs;
        const bool isAsked = std::exchange(state.isAsked, false);
        const bool hasSeveralCrashes = isAsked || std::any_of(runs.begin(), runs.end(), [&runs](const CrashedRun &run) {
                                           return run.crash != runs.front().crash;
                                       });
        const bool isFirst = state.sharedClearedAt == SteadyTime() && state.clearedAt != SteadyTime();
        const bool isNew = isFirst || hasRunBetween(state, state.sharedClearedAt, state.clearedAt);
        if (hasSeveralCrashes && isNew) {
            state.sharedClearedAt = state.clearedAt;
            cleared.push_back({ trait, state.clearedAt });
        }
    }
    return cleared;
}

std::vector<QuarantineConclusion> SuspectTable::takeConclusionsToShare()
{
    std::vector<QuarantineConclusion> conclusions;
    if (!std::exchange(m_mayShareConclusions, false)) {
        return conclusions;
    }
    for (auto &[trait, state] : m_traits) {
        const std::size_t crashes = std::min(state.crashes, maxConcludedCrashes);
        if (crashes <= state.sharedCrashes) {
            continue;
        }
        QuarantineConclusion conclusion = conclude(trait, state);
        state.sharedCrashes = std::max(crashes, conclusion.crashes.size());
        if (!conclusion.crashes.empty()) {
            conclusions.push_back(std::move(conclusion));
        }
    }
    return conclusions;
}

// Names the last crashes: a response in the meantime may clear the first ones.
QuarantineConclusion SuspectTable::conclude(RequestTrait trait, const TraitState &state) const
{
    QuarantineConclusion conclusion{
        .trait = trait, .position = state.position, .hadResponse = state.clearedAt != SteadyTime(), .crashes = {}
    };
    std::vector<std::uint64_t> named;
    const auto runs = openRuns(state);
    for (auto run = runs.rbegin(); run != runs.rend() && named.size() < maxConcludedCrashes; ++run) {
        const ServerCrash *crash = findCrash((*run)->crash);
        if (crash && std::find(named.begin(), named.end(), (*run)->crash) == named.end()) {
            named.push_back((*run)->crash);
            conclusion.crashes.push_back(*crash);
        }
    }
    std::reverse(conclusion.crashes.begin(), conclusion.crashes.end());
    return conclusion;
}

std::vector<QuarantineChange> SuspectTable::takeChanges()
{
    return std::exchange(m_changes, {});
}

bool SuspectTable::isQuarantined(RequestTrait trait) const
{
    const auto found = m_traits.find(trait);
    return found != m_traits.end() && found->second.crashes > 0;
}

std::size_t SuspectTable::quarantineCount() const
{
    return m_quarantineCount;
}

std::size_t SuspectTable::settlingCount() const
{
    return m_settlingCount;
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
                std::erase_if(found->second.runs, [&known](const CrashedRun &each) {
                    return each.report == known.report.id;
                });
            }
        }
    }
}

void SuspectTable::prune(SteadyTime now)
{
    const std::size_t before = m_reports.size();
    pruneReports(now);
    while (!m_crashes.empty() && now - m_crashes.front().crash.at > quarantineRetention) {
        m_crashes.pop_front();
    }
    bool hasForgotten = m_reports.size() != before;
    for (auto &[trait, state] : m_traits) {
        const std::size_t old = std::erase_if(state.runs, [now](const CrashedRun &run) {
            return now - run.end > quarantineRetention;
        });
        hasForgotten = hasForgotten || old > 0;
    }
    if (hasForgotten) {
        review(now);
    }
    settle(now);
    std::erase_if(m_traits, [now](const auto &each) {
        return each.second.runs.empty() && now - each.second.clearedAt > retention;
    });
}

void SuspectTable::pruneReports(SteadyTime now)
{
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
}

} // namespace zinniadock
