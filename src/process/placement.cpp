#include "zinniadock/process/placement.h"

#include <algorithm>

namespace zinniadock
{

namespace
{

/// Output that a run of unknown length is expected to add, in tokens.
constexpr double expectedGrowth = 350;

/// Share of their outputs to come that runs are taken to need at one time: they don't all end at the same moment.
constexpr double growthShare = 0.6;

/// Prompt of a waiting request of another entry, in tokens.
constexpr double foreignPromptTokens = 2500;

/// How the load of servers is compared, as shares of their memory.
struct Comparison
{
    double usable = 0; ///< share that new work may fill; the rest takes up outputs longer than expected
    double distance = 0; ///< load that a server in another data centre is taken to have more
    double spread = 0; ///< width of the random part
};

constexpr Comparison forNewWork{ .usable = 0.9, .distance = 0.04, .spread = 0.12 };

// A copy to another data centre takes twice as long, and copies to one target queue on its link: servers often leave
// two at a time, and each entry chooses by itself.
constexpr Comparison forMoves{ .usable = 1.15, .distance = 0.6, .spread = 0.4 };

/// Load that waiting prompt tokens are taken for, per token of memory. They count for more, since each prompt that is
/// read first delays the first event.
constexpr double promptWeight = 4;

/// Age of a report when it arrives.
constexpr std::chrono::milliseconds reportDelay{ 60 };

/// Load that a plain service's server in another data centre is taken to have more, in slots.
constexpr double distantSlots = 0.5;

/// Width of the random part of the comparison of plain services, as a share of their slots.
constexpr double callSpread = 0.06;

/// Prompt tokens that an engine reads in a millisecond beside the outputs that it produces.
constexpr double readPerMillisecond = 7;

const EngineRun *findRun(const EngineLoad &load, const std::string &request)
{
    const auto found = std::find_if(load.runs.begin(), load.runs.end(), [&request](const EngineRun &run) {
        return run.request == request;
    });
    return found == load.runs.end() ? nullptr : &*found;
}

/// Says whether a server's report is from after it got a request.
bool isInReport(const TrackedServer &server, const Assignment &assignment)
{
    return server.loadReceivedAt && assignment.assignedAt + reportDelay < *server.loadReceivedAt;
}

bool hasLoadWithin(const TrackedServer &server, std::chrono::milliseconds age, SteadyTime now)
{
    return server.loadReceivedAt && now - *server.loadReceivedAt <= age;
}

/// Sums up a figure over the own work that a server's report does not hold yet.
template <typename Figure>
double unreported(const TrackedServer &server, Figure figure)
{
    double sum = 0;
    for (const auto &[number, assignment] : server.assignments) {
        sum += isInReport(server, assignment) ? 0 : figure(assignment);
    }
    return sum;
}

struct Candidate
{
    std::string id;
    double load = 0;
};

std::optional<double> engineLoad(const TrackedServer &server, const PlacementRequest &need,
                                 const EngineCapacity &limits, const Comparison &comparison)
{
    const double total = server.load.totalTokens > 0 ? server.load.totalTokens : limits.memoryTokens;
    const double committed = committedTokens(server);
    const std::size_t busy = std::max<std::size_t>(server.load.running + server.load.queued, server.assignments.size());
    if (total <= 0 || committed + neededTokens(need.promptTokens, need.expectedTokens) > comparison.usable * total
        || busy >= limits.slots) {
        return std::nullopt;
    }
    const double distance = server.record.dataCentre == need.dataCentre ? 0 : comparison.distance;
    return (committed + promptWeight * waitingPromptTokens(server)) / total + distance;
}

std::vector<Candidate> engineCandidates(const ServerDirectory &directory, const PlacementRequest &need,
                                        const EngineCapacity &limits, const std::set<std::string> &excluded,
                                        const Comparison &comparison, SteadyTime now, const RandomSource &draw)
{
    std::vector<Candidate> candidates;
    for (const auto &[id, server] : directory.servers()) {
        const bool serves = server.record.pool == need.pool && !server.isDraining() && !excluded.contains(id);
        if (!serves || server.backoffUntil > now || server.fullUntil > now || server.isPaused(now)
            || (need.maxLoadAge && !hasLoadWithin(server, *need.maxLoadAge, now))) {
            continue;
        }
        if (const auto load = engineLoad(server, need, limits, comparison)) {
            const double cold = warmUpTokens(server, now) > 0 ? 1 : 0;
            candidates.push_back({ id, *load + cold + comparison.spread * draw() });
        }
    }
    return candidates;
}

/// Keeps some candidates drawn at random.
void sample(std::vector<Candidate> &candidates, std::size_t count, const RandomSource &draw)
{
    for (std::size_t i = 0; i < count && i < candidates.size(); ++i) {
        const double rest = static_cast<double>(candidates.size() - i);
        std::swap(candidates[i], candidates[i + static_cast<std::size_t>(draw() * rest)]);
    }
    candidates.resize(std::min(count, candidates.size()));
}

bool hasLessLoad(const Candidate &left, const Candidate &right)
{
    return left.load < right.load;
}

} // namespace

double neededTokens(std::uint32_t promptTokens, std::uint32_t expectedTokens)
{
    return promptTokens + growthShare * (static_cast<double>(expectedTokens) - promptTokens);
}

double committedTokens(const TrackedServer &server)
{
    if (server.load.committedTokens) {
        return *server.load.committedTokens + unreported(server, [](const Assignment &assignment) {
            return neededTokens(assignment.promptTokens, assignment.expectedTokens);
        });
    }
    double tokens = server.load.usedTokens;
    std::size_t ownReported = 0;
    for (const auto &[number, assignment] : server.assignments) {
        const EngineRun *run = findRun(server.load, assignment.request);
        const double expected = assignment.expectedTokens;
        if (run) {
            tokens += growthShare * std::max(0.0, expected - run->tokens);
        } else if (isInReport(server, assignment)) {
            tokens += growthShare * (expected - assignment.promptTokens);
        } else {
            tokens += neededTokens(assignment.promptTokens, assignment.expectedTokens);
        }
        ownReported += run || isInReport(server, assignment) ? 1 : 0;
    }
    const std::size_t foreign = server.load.running - std::min<std::size_t>(ownReported, server.load.running);
    return tokens + growthShare * expectedGrowth * static_cast<double>(foreign)
        + foreignPromptTokens * server.load.queued;
}

// An engine lists a run from its first token on; what it runs beyond those reads its prompt.
double waitingPromptTokens(const TrackedServer &server)
{
    if (server.load.waitingTokens) {
        return *server.load.waitingTokens + unreported(server, [](const Assignment &assignment) {
            return assignment.hasStarted ? 0 : assignment.promptTokens;
        });
    }
    double tokens = 0;
    std::size_t ownReported = 0;
    for (const auto &[number, assignment] : server.assignments) {
        if (!assignment.hasStarted && !findRun(server.load, assignment.request)) {
            tokens += assignment.promptTokens;
            ownReported += isInReport(server, assignment) ? 1 : 0;
        }
    }
    const std::size_t running = server.load.running;
    const std::size_t reading = running - std::min(server.load.runs.size(), running) + server.load.queued;
    const std::size_t foreign = reading - std::min(ownReported, reading);
    return tokens + foreignPromptTokens * static_cast<double>(foreign);
}

double warmUpTokens(const TrackedServer &server, SteadyTime now)
{
    const std::chrono::duration<double, std::milli> left = server.listedAt + server.record.warmUpDuration - now;
    return std::max(0.0, left.count()) * readPerMillisecond;
}

std::vector<std::string> enginesToProbe(const ServerDirectory &directory, const PlacementRequest &need,
                                        const std::set<std::string> &excluded, std::size_t count,
                                        std::chrono::milliseconds age, SteadyTime now, const RandomSource &draw)
{
    std::vector<Candidate> candidates;
    for (const auto &[id, server] : directory.servers()) {
        const bool serves = server.record.pool == need.pool && !server.isDraining() && !excluded.contains(id);
        if (serves && server.backoffUntil <= now && !server.isPaused(now)) {
            candidates.push_back({ id, 0 });
        }
    }
    sample(candidates, count, draw);
    std::vector<std::string> unknown;
    for (const Candidate &candidate : candidates) {
        if (!hasLoadWithin(directory.servers().at(candidate.id), age, now)) {
            unknown.push_back(candidate.id);
        }
    }
    return unknown;
}

std::size_t sampleSizeFor(std::size_t servers, std::uint32_t entries)
{
    constexpr std::size_t fewest = 2;
    return std::max(fewest, (servers + entries - 1) / entries);
}

std::optional<std::string> placeGeneration(const ServerDirectory &directory, const PlacementRequest &need,
                                           const EngineCapacity &limits, const std::set<std::string> &excluded,
                                           SteadyTime now, const RandomSource &draw)
{
    auto candidates = engineCandidates(directory, need, limits, excluded, forNewWork, now, draw);
    if (need.sampleSize > 0) {
        sample(candidates, need.sampleSize, draw);
    }
    const auto best = std::min_element(candidates.begin(), candidates.end(), hasLessLoad);
    return best == candidates.end() ? std::nullopt : std::optional(best->id);
}

std::optional<std::string> placeCall(const ServerDirectory &directory, const PlacementRequest &need,
                                     const std::set<std::string> &excluded, SteadyTime now, const RandomSource &draw)
{
    std::vector<Candidate> candidates;
    for (const auto &[id, server] : directory.servers()) {
        const bool serves = server.record.pool == need.pool && !server.isDraining() && !excluded.contains(id);
        if (!serves || server.isPaused(now)) {
            continue;
        }
        const double slots = std::max(server.record.slots, 1U);
        const double distance = server.record.dataCentre == need.dataCentre ? 0 : distantSlots / slots;
        const double avoided = server.backoffUntil > now ? 100 : 0;
        const double work = static_cast<double>(server.assignments.size()) / slots;
        candidates.push_back({ id, work + distance + avoided + callSpread * draw() });
    }
    const auto best = std::min_element(candidates.begin(), candidates.end(), hasLessLoad);
    return best == candidates.end() ? std::nullopt : std::optional(best->id);
}

std::optional<SteadyTime> earliestPauseEnd(const ServerDirectory &directory, const std::string &pool, SteadyTime now)
{
    std::optional<SteadyTime> first;
    for (const auto &[id, server] : directory.servers()) {
        if (server.record.pool != pool || server.isDraining()) {
            continue;
        }
        if (server.pausedUntil <= now) {
            return std::nullopt;
        }
        first = std::min(first.value_or(server.pausedUntil), server.pausedUntil);
    }
    return first;
}

std::vector<std::string> moveTargets(const ServerDirectory &directory, const PlacementRequest &need,
                                     const EngineCapacity &limits, const std::string &source, std::size_t count,
                                     SteadyTime now, const RandomSource &draw)
{
    auto candidates = engineCandidates(directory, need, limits, { source }, forMoves, now, draw);
    std::sort(candidates.begin(), candidates.end(), hasLessLoad);
    std::vector<std::string> targets;
    for (const Candidate &candidate : candidates) {
        if (targets.size() < count) {
            targets.push_back(candidate.id);
        }
    }
    return targets;
}

} // namespace zinniadock
