#include "zinniadock/process/crashes/quarantinechoice.h"

#include <algorithm>
#include <map>
#include <optional>
#include <set>
#include <utility>

namespace zinniadock
{

namespace
{

using Runs = std::vector<const CrashedRun *>;
using RunKey = std::pair<std::uint64_t, std::uint64_t>; ///< report and run

/// Two runs of different requests are one after another only if there is this time between them, since the clocks of
/// two entries are compared through messages.
constexpr std::chrono::milliseconds minGapBetweenRuns{ 50 };

/// Crashes that a trait with earlier responses needs in addition: a sound request may run at several kills of servers.
constexpr std::size_t additionalCrashesAfterResponse = 2;

/// A single crash never speaks against a request, however many copies of it were running.
constexpr std::size_t minServers = 2;

/// Servers that crash within this time have crashed at the same time. Entries see one event at different moments.
constexpr std::chrono::milliseconds sameEventTime{ 100 };

/// Time in which one or several requests crash all servers of a small pool.
constexpr std::chrono::milliseconds outageTime{ 1000 };

/// Part of one event that a trait must explain. A trait without a response may run beside another one that crashes
/// servers: it must explain two of three. The sums of fractions are rounded.
constexpr double minExplainedEvents = 0.99;
constexpr double minExplainedUnanswered = 0.6;

struct Candidate
{
    const TraitEvidence *evidence = nullptr;
    std::size_t weight = 0;
    std::size_t position = 0;
    Runs runs; ///< that no chosen trait explains
};

RunKey keyOf(const CrashedRun &run)
{
    return { run.report, run.id };
}

std::set<RunKey> keysOf(const Runs &runs)
{
    std::set<RunKey> keys;
    for (const CrashedRun *run : runs) {
        keys.insert(keyOf(*run));
    }
    return keys;
}

std::set<std::uint64_t> crashesOf(const Runs &runs)
{
    std::set<std::uint64_t> crashes;
    for (const CrashedRun *run : runs) {
        crashes.insert(run->crash);
    }
    return crashes;
}

std::size_t countRequests(const Runs &runs)
{
    std::set<std::size_t> requests;
    for (const CrashedRun *run : runs) {
        requests.insert(run->request);
    }
    return requests.size();
}

/// Returns the runs for which \p isLeftOut returns false.
template <typename Predicate>
Runs without(Runs runs, Predicate isLeftOut)
{
    std::erase_if(runs, isLeftOut);
    return runs;
}

std::size_t firstPosition(const Runs &runs)
{
    const auto first = std::min_element(runs.begin(), runs.end(), [](const CrashedRun *left, const CrashedRun *right) {
        return left->position < right->position;
    });
    return (*first)->position;
}

/// Returns the number of runs, if a request counts once for each crash.
std::size_t countEndedRequests(const Runs &runs)
{
    std::set<std::pair<std::uint64_t, std::size_t>> ended;
    for (const CrashedRun *run : runs) {
        ended.emplace(run->crash, run->request);
    }
    return ended.size();
}

/// Returns how much speaks against a trait without a response: the crashes, or the requests that ended with servers if
/// they are several. A request that is repeated at once may end two servers with many copies of it.
std::size_t weighUnanswered(const Runs &runs, std::size_t minCrashes)
{
    const std::size_t crashes = countCrashes(runs);
    const bool isRepeated = crashes >= minServers && countRequests(runs) >= minCrashes;
    return isRepeated ? countEndedRequests(runs) : crashes;
}

/// Returns how much speaks against a trait, in crashes.
std::size_t weigh(const TraitEvidence &evidence, const Runs &runs, std::size_t minCrashes)
{
    const std::size_t crashes = countCrashes(runs);
    if (evidence.isConcluded) {
        return crashes >= minServers ? std::max(crashes, minCrashes) : crashes;
    }
    if (!evidence.hadResponse) {
        return weighUnanswered(runs, minCrashes);
    }
    const std::size_t sequential = countSequential(runs);
    return sequential - std::min(sequential, additionalCrashesAfterResponse);
}

bool explainsMore(const Candidate &left, const Candidate &right)
{
    if (left.weight != right.weight) {
        return left.weight > right.weight;
    }
    if (left.evidence->isConcluded != right.evidence->isConcluded) {
        return left.evidence->isConcluded;
    }
    if (left.runs.size() != right.runs.size()) {
        return left.runs.size() > right.runs.size();
    }
    return left.position != right.position ? left.position < right.position
                                           : left.evidence->trait < right.evidence->trait;
}

/// Chooses traits by what they explain, see chooseQuarantines().
class Chooser
{
public:
    Chooser(const std::vector<TraitEvidence> &evidence, const std::vector<CrashTime> &crashes, std::size_t minCrashes)
        : m_evidence(evidence)
        , m_crashes(crashes)
        , m_minCrashes(minCrashes)
    {
    }

    std::vector<QuarantineChoice> run()
    {
        while (const auto candidate = nextUnexplained()) {
            const bool isSequential = countSequential(candidate->runs) >= m_minCrashes;
            choose(*candidate, isSequential || candidate->evidence->isConcluded ? Settling::None : Settling::Short);
        }
        for (const Candidate &candidate : explainedCandidates()) {
            const Runs own = ownRuns(candidate);
            if (isFrequent(own)) {
                const bool isCertain = countCrashes(own) > m_minCrashes || candidate.evidence->isConcluded;
                choose(candidate, isCertain ? Settling::None : Settling::Long);
            }
        }
        return std::move(m_choices);
    }

private:
    /// Returns the traits that may explain crashes which no chosen trait explains.
    std::vector<Candidate> unexplainedCandidates() const
    {
        std::vector<Candidate> found;
        for (const TraitEvidence &evidence : m_evidence) {
            const auto isExplained = [this](const CrashedRun *run) {
                return m_explained.contains(run->crash);
            };
            addCandidate(evidence, without(evidence.runs, isExplained), found);
        }
        std::sort(found.begin(), found.end(), explainsMore);
        return found;
    }

    /// Adds a trait to the candidates if enough speaks against it.
    /// \param runs  those of its runs that count
    void addCandidate(const TraitEvidence &evidence, Runs runs, std::vector<Candidate> &found) const
    {
        Candidate candidate{ .evidence = &evidence, .weight = 0, .position = 0, .runs = std::move(runs) };
        candidate.weight = weigh(evidence, candidate.runs, m_minCrashes);
        if (candidate.weight >= m_minCrashes && explainsAnEvent(candidate)) {
            candidate.position = firstPosition(candidate.runs);
            found.push_back(std::move(candidate));
        }
    }

    /// Returns whether the crashes of a candidate are a large enough part of all crashes at the same times.
    bool explainsAnEvent(const Candidate &candidate) const
    {
        if (candidate.evidence->isConcluded) {
            return true;
        }
        const auto own = crashesOf(candidate.runs);
        double events = 0;
        for (const CrashTime &crash : m_crashes) {
            events += own.contains(crash.crash) ? 1.0 / static_cast<double>(countAtSameTime(crash, own)) : 0.0;
        }
        return events >= (candidate.evidence->hadResponse ? minExplainedEvents : minExplainedUnanswered);
    }

    /// Returns the number of servers that crashed together with one. A crash that a chosen trait explains is no part of
    /// an event with another cause, unless it is among \p own.
    std::size_t countAtSameTime(const CrashTime &crash, const std::set<std::uint64_t> &own) const
    {
        const auto first = std::lower_bound(m_crashes.begin(), m_crashes.end(), crash.at - sameEventTime,
                                            [](const CrashTime &each, SteadyTime time) {
                                                return each.at < time;
                                            });
        std::size_t count = 0;
        for (auto each = first; each != m_crashes.end() && each->at <= crash.at + sameEventTime; ++each) {
            count += own.contains(each->crash) || !m_explained.contains(each->crash) ? 1 : 0;
        }
        return count;
    }

    std::optional<Candidate> nextUnexplained() const
    {
        const std::vector<Candidate> all = unexplainedCandidates();
        const auto next = std::find_if(all.begin(), all.end(), [this, &all](const Candidate &candidate) {
            return candidate.weight > m_minCrashes || candidate.evidence->isConcluded || !isAmbiguous(candidate, all);
        });
        return next == all.end() ? std::nullopt : std::optional(*next);
    }

    // Another request may have run on the same servers each time, for example because its caller retries at the same
    // time. The next crash shows which of the two it is.
    bool isAmbiguous(const Candidate &best, const std::vector<Candidate> &others) const
    {
        const auto bestRuns = keysOf(best.runs);
        const auto crashes = crashesOf(best.runs);
        return std::any_of(others.begin(), others.end(), [&](const Candidate &other) {
            const auto otherRuns = keysOf(other.runs);
            const bool hasSameRequests
                = std::includes(bestRuns.begin(), bestRuns.end(), otherRuns.begin(), otherRuns.end());
            const Runs remaining = without(other.runs, [&crashes](const CrashedRun *run) {
                return crashes.contains(run->crash);
            });
            return other.weight == best.weight && !hasSameRequests
                && weigh(*other.evidence, remaining, m_minCrashes) < m_minCrashes;
        });
    }

    /// Returns the traits without a response that are not chosen, with all their runs.
    std::vector<Candidate> explainedCandidates() const
    {
        std::vector<Candidate> found;
        for (const TraitEvidence &evidence : m_evidence) {
            const bool isChosen
                = std::any_of(m_choices.begin(), m_choices.end(), [&evidence](const QuarantineChoice &choice) {
                      return choice.trait == evidence.trait;
                  });
            if (!isChosen && !evidence.hadResponse) {
                addCandidate(evidence, evidence.runs, found);
            }
        }
        std::sort(found.begin(), found.end(), explainsMore);
        return found;
    }

    /// Returns the runs of requests without a chosen trait.
    Runs ownRuns(const Candidate &candidate) const
    {
        return without(candidate.runs, [this](const CrashedRun *run) {
            return m_chosenRuns.contains(keyOf(*run));
        });
    }

    /// Returns whether a sound trait with such runs would have got a response by now.
    bool isFrequent(const Runs &own) const
    {
        if (countCrashes(own) < m_minCrashes || countRequests(own) < m_minCrashes) {
            return false;
        }
        return countCrashes(own) > m_minCrashes || own.back()->end - own.front()->end <= outageTime;
    }

    void choose(const Candidate &candidate, Settling settling)
    {
        m_choices.push_back({ .trait = candidate.evidence->trait,
                              .crashes = countCrashes(candidate.runs),
                              .position = candidate.position,
                              .settling = settling });
        for (const CrashedRun *run : candidate.evidence->runs) {
            m_chosenRuns.insert(keyOf(*run));
        }
        for (const CrashedRun *run : candidate.runs) {
            m_explained.insert(run->crash);
        }
    }

    const std::vector<TraitEvidence> &m_evidence;
    const std::vector<CrashTime> &m_crashes;
    const std::size_t m_minCrashes;
    std::set<std::uint64_t> m_explained; ///< crashes
    std::set<RunKey> m_chosenRuns; ///< of requests with a chosen trait
    std::vector<QuarantineChoice> m_choices;
};

} // namespace

std::size_t countCrashes(const std::vector<const CrashedRun *> &runs)
{
    return crashesOf(runs).size();
}

std::size_t countSequential(const std::vector<const CrashedRun *> &runs)
{
    std::size_t count = 0;
    SteadyTime lastEnd;
    std::map<std::size_t, std::uint64_t> lastCrashes; ///< by request
    for (const CrashedRun *run : runs) {
        const auto last = lastCrashes.find(run->request);
        const bool isNextAttempt = last != lastCrashes.end() && last->second != run->crash;
        if (count == 0 || isNextAttempt || run->begin >= lastEnd + minGapBetweenRuns) {
            ++count;
            lastEnd = run->end;
        }
        lastCrashes[run->request] = run->crash;
    }
    return count;
}

std::vector<QuarantineChoice> chooseQuarantines(const std::vector<TraitEvidence> &evidence,
                                                const std::vector<CrashTime> &crashes, std::size_t minCrashes)
{
    return Chooser(evidence, crashes, minCrashes).run();
}

} // namespace zinniadock
