#include "zinniadock/process/placing/placement.h"

#include <algorithm>
#include <limits>

#include "zinniadock/process/placing/enginetiers.h"
#include "zinniadock/process/placing/routing.h"

namespace zinniadock
{

namespace
{

/// Assumed output growth of a generation of another entry, in tokens.
constexpr double externalGrowthTokens = 350;

/// Share of the summed expected growth that is counted as needed memory. It is below 1, since generations do not all
/// end at the same time.
constexpr double growthShare = 0.6;

/// Assumed prompt length of a waiting request of another entry, in tokens.
constexpr double externalPromptTokens = 2500;

/// Parameters of the comparison of server loads, as fractions of the server's memory.
struct PlacementWeights
{
    double usableFraction = 0; ///< fraction that work may fill; the rest absorbs outputs longer than expected
    double remotePenalty = 0; ///< load added to a server in another data centre
    double randomSpread = 0; ///< width of the random part of the load
};

// The sidecar decides by a forecast, which admits short outputs at an engine with much growth to come.
constexpr PlacementWeights newWorkWeights{ .usableFraction = 0.95, .remotePenalty = 0.04, .randomSpread = 0.12 };

// The penalty is larger, since a copy to another data centre takes twice as long. The spread is larger, since copies to
// one target queue on its link: often two servers drain at the same time, and each entry chooses its targets
// independently.
constexpr PlacementWeights moveWeights{ .usableFraction = 1.15, .remotePenalty = 0.6, .randomSpread = 0.4 };

// A stream that could stay at its engine is moved only to an engine that has as much room as new work needs.
constexpr PlacementWeights keepingTargetWeights{ .usableFraction = 0.85, .remotePenalty = 0.6, .randomSpread = 0.3 };

/// Load of a waiting prompt token, relative to a committed token of memory. A waiting prompt weighs more, since the
/// engine reads it before the prompt of a new generation, which delays the first event.
constexpr double waitingPromptWeight = 4;

/// Assumed age of a load report when it arrives. A report contains an assignment only if it arrives more than this time
/// after the assignment.
constexpr std::chrono::milliseconds reportDelay{ 60 };

/// Load added to a plain service's server in another data centre, in slots.
constexpr double remotePenaltySlots = 0.5;

/// Width of the random part of the comparison of plain services, as a share of their slots.
constexpr double callRandomSpread = 0.06;

const EngineGeneration *findGeneration(const EngineLoad &load, const std::string &request)
{
    const auto found = std::find_if(load.generations.begin(), load.generations.end(),
                                    [&request](const EngineGeneration &generation) {
                                        return generation.request == request;
                                    });
    return found == load.generations.end() ? nullptr : &*found;
}

/// Returns whether the last report of a server was received late enough after an assignment to contain it.
bool isInReport(const TrackedServer &server, const Assignment &assignment)
{
    return server.loadReceivedAt && assignment.assignedAt + reportDelay < *server.loadReceivedAt;
}

bool hasLoadWithin(const TrackedServer &server, std::chrono::milliseconds age, SteadyTime now)
{
    return server.loadReceivedAt && now - *server.loadReceivedAt <= age;
}

/// Sums the values of a function over this entry's assignments that the last load report of a server does not contain
/// yet.
template <typename Figure>
double sumUnreported(const TrackedServer &server, Figure figure)
{
    double sum = 0;
    for (const auto &[number, assignment] : server.assignments) {
        sum += isInReport(server, assignment) ? 0 : figure(assignment);
    }
    return sum;
}

bool passesFilter(const PlacementRequest &request, const TrackedServer &server)
{
    return !request.maySend || request.maySend(server.record);
}

struct Candidate
{
    std::string id;
    double load = 0;
};

std::optional<double> engineLoad(const TrackedServer &server, const PlacementRequest &request,
                                 const EngineCapacity &limits, const PlacementWeights &weights)
{
    const double total = server.load.totalTokens > 0 ? server.load.totalTokens : limits.memoryTokens;
    const double committed = committedTokens(server);
    const std::size_t occupiedSlots
        = std::max<std::size_t>(server.load.running + server.load.queued, server.assignments.size());
    if (total <= 0
        || committed + neededTokens(request.promptTokens, request.expectedTokens) > weights.usableFraction * total
        || occupiedSlots >= limits.slots) {
        return std::nullopt;
    }
    const double remotePenalty = server.record.dataCentre == request.dataCentre ? 0 : weights.remotePenalty;
    return (committed + waitingPromptWeight * waitingPromptTokens(server)) / total + remotePenalty;
}

std::vector<Candidate> engineCandidates(const ServerDirectory &directory, const PlacementRequest &request,
                                        const EngineCapacity &limits, const std::set<std::string> &excluded,
                                        const PlacementWeights &weights, SteadyTime now, const RandomSource &draw)
{
    std::vector<Candidate> candidates;
    for (const auto &[id, server] : directory.servers()) {
        const bool isEligible = server.record.pool == request.pool && server.acceptsWork() && !excluded.contains(id);
        if (!isEligible || server.backoffUntil > now || server.fullUntil > now || server.isPaused(now)
            || !passesFilter(request, server)
            || (request.maxLoadAge && !hasLoadWithin(server, *request.maxLoadAge, now))) {
            continue;
        }
        if (const auto load = engineLoad(server, request, limits, weights)) {
            const double warmUpPenalty = warmUpTokens(server, now) > 0 ? 1 : 0;
            candidates.push_back({ id, *load + warmUpPenalty + weights.randomSpread * draw() });
        }
    }
    return candidates;
}

/// Keeps \p count candidates drawn at random.
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

/// Keeps the candidates that rank best for the stream of a request, if the engines differ in speed.
void keepBestRanked(const ServerDirectory &directory, const PlacementRequest &request,
                    std::vector<Candidate> &candidates)
{
    if (!request.stream) {
        return;
    }
    const EngineTiers tiers(directory, request.pool, *request.stream);
    if (!tiers.hasEffect()) {
        return;
    }
    const auto rank = [&directory, &tiers](const Candidate &candidate) {
        return tiers.rank(candidate.id, directory.servers().at(candidate.id));
    };
    int best = std::numeric_limits<int>::max();
    for (const Candidate &candidate : candidates) {
        best = std::min(best, rank(candidate));
    }
    std::erase_if(candidates, [&rank, best](const Candidate &candidate) {
        return rank(candidate) > best;
    });
}

/// Moves candidates that keep the bound on gaps of a long stream to the front, up to half of \p count, if the engines
/// differ in speed. The other half is chosen by load only: the stream is lost if no target has room.
void preferKeepingTargets(const ServerDirectory &directory, const PlacementRequest &request, std::size_t count,
                          std::vector<Candidate> &candidates)
{
    if (!request.stream || !request.stream->isLong) {
        return;
    }
    const EngineTiers tiers(directory, request.pool, *request.stream);
    if (!tiers.hasEffect()) {
        return;
    }
    std::vector<Candidate> preferred;
    std::vector<Candidate> others;
    for (const Candidate &candidate : candidates) {
        const bool keeps = tiers.keepsBound(candidate.id, directory.servers().at(candidate.id));
        (keeps && preferred.size() < count / 2 ? preferred : others).push_back(candidate);
    }
    preferred.insert(preferred.end(), others.begin(), others.end());
    candidates = std::move(preferred);
}

std::vector<std::string> firstIds(const std::vector<Candidate> &candidates, std::size_t count)
{
    std::vector<std::string> ids;
    for (std::size_t i = 0; i < count && i < candidates.size(); ++i) {
        ids.push_back(candidates[i].id);
    }
    return ids;
}

} // namespace

double neededTokens(std::uint32_t promptTokens, std::uint32_t expectedTokens)
{
    return promptTokens + growthShare * (static_cast<double>(expectedTokens) - promptTokens);
}

double committedTokens(const TrackedServer &server)
{
    if (server.load.committedTokens) {
        return *server.load.committedTokens + sumUnreported(server, [](const Assignment &assignment) {
            return neededTokens(assignment.promptTokens, assignment.expectedTokens);
        });
    }
    double tokens = server.load.usedTokens;
    std::size_t ownReported = 0;
    for (const auto &[number, assignment] : server.assignments) {
        const EngineGeneration *generation = findGeneration(server.load, assignment.request);
        const double expected = assignment.expectedTokens;
        if (generation) {
            tokens += growthShare * std::max(0.0, expected - generation->tokens);
        } else if (isInReport(server, assignment)) {
            tokens += growthShare * (expected - assignment.promptTokens);
        } else {
            tokens += neededTokens(assignment.promptTokens, assignment.expectedTokens);
        }
        ownReported += generation || isInReport(server, assignment) ? 1 : 0;
    }
    const std::size_t externalGenerations
        = server.load.running - std::min<std::size_t>(ownReported, server.load.running);
    return tokens + growthShare * externalGrowthTokens * static_cast<double>(externalGenerations)
        + externalPromptTokens * server.load.queued;
}

// An engine lists a generation in its load report from the first token on. A generation that the report counts but does
// not list has an unread prompt.
double waitingPromptTokens(const TrackedServer &server)
{
    if (server.load.waitingTokens) {
        return *server.load.waitingTokens + sumUnreported(server, [](const Assignment &assignment) {
            return assignment.hasStarted ? 0 : assignment.promptTokens;
        });
    }
    double tokens = 0;
    std::size_t ownReported = 0;
    for (const auto &[number, assignment] : server.assignments) {
        if (!assignment.hasStarted && !findGeneration(server.load, assignment.request)) {
            tokens += assignment.promptTokens;
            ownReported += isInReport(server, assignment) ? 1 : 0;
        }
    }
    const std::size_t running = server.load.running;
    const std::size_t reading = running - std::min(server.load.generations.size(), running) + server.load.queued;
    const std::size_t externalGenerations = reading - std::min(ownReported, reading);
    return tokens + externalPromptTokens * static_cast<double>(externalGenerations);
}

double warmUpTokens(const TrackedServer &server, SteadyTime now)
{
    const std::chrono::duration<double, std::milli> left = server.coldUntil - now;
    return std::max(0.0, left.count()) * promptTokensPerMillisecond;
}

bool hasRecentReport(const TrackedServer &server, SteadyTime now)
{
    return now - server.loadReceivedAt.value_or(server.listedAt) < maxSidecarSilence;
}

std::vector<std::string> enginesToProbe(const ServerDirectory &directory, const PlacementRequest &request,
                                        const std::set<std::string> &excluded, std::size_t count,
                                        std::chrono::milliseconds age, SteadyTime now, const RandomSource &draw)
{
    std::vector<Candidate> candidates;
    for (const auto &[id, server] : directory.servers()) {
        const bool isEligible = server.record.pool == request.pool && server.acceptsWork() && !excluded.contains(id);
        if (isEligible && server.backoffUntil <= now && !server.isPaused(now)) {
            candidates.push_back({ id, 0 });
        }
    }
    sample(candidates, count, draw);
    std::vector<std::string> toProbe;
    for (const Candidate &candidate : candidates) {
        if (!hasLoadWithin(directory.servers().at(candidate.id), age, now)) {
            toProbe.push_back(candidate.id);
        }
    }
    return toProbe;
}

std::size_t sampleSizeFor(std::size_t servers, std::uint32_t entries)
{
    constexpr std::size_t minSampleSize = 2;
    return std::max(minSampleSize, (servers + entries - 1) / entries);
}

std::optional<std::string> placeGeneration(const ServerDirectory &directory, const PlacementRequest &request,
                                           const EngineCapacity &limits, const std::set<std::string> &excluded,
                                           SteadyTime now, const RandomSource &draw)
{
    auto candidates = engineCandidates(directory, request, limits, excluded, newWorkWeights, now, draw);
    keepBestRanked(directory, request, candidates);
    if (request.sampleSize > 0) {
        sample(candidates, request.sampleSize, draw);
    }
    const auto best = std::min_element(candidates.begin(), candidates.end(), hasLessLoad);
    return best == candidates.end() ? std::nullopt : std::optional(best->id);
}

namespace
{

/// Returns a rank from 0 to 1 that is the same at all entries (rendezvous hashing).
double hashedRank(std::uint64_t key, const std::string &server)
{
    const std::uint64_t hash = stableHash(server + std::to_string(key));
    return static_cast<double>(hash) / static_cast<double>(std::numeric_limits<std::uint64_t>::max());
}

} // namespace

std::optional<std::string> placeCall(const ServerDirectory &directory, const PlacementRequest &request,
                                     const std::set<std::string> &excluded, SteadyTime now, const RandomSource &draw)
{
    std::vector<Candidate> candidates;
    for (const auto &[id, server] : directory.servers()) {
        const bool isEligible = server.record.pool == request.pool && server.acceptsWork() && !excluded.contains(id);
        if (!isEligible || server.isPaused(now) || !passesFilter(request, server)) {
            continue;
        }
        const double slots = std::max(server.record.slots, 1U);
        const double remotePenalty = server.record.dataCentre == request.dataCentre ? 0 : remotePenaltySlots / slots;
        const double backoffPenalty = server.backoffUntil > now ? 100 : 0;
        const double work = static_cast<double>(server.assignments.size()) / slots;
        const double load = request.commonServerKey ? hashedRank(*request.commonServerKey, id)
                                                    : work + remotePenalty + callRandomSpread * draw();
        candidates.push_back({ id, load + backoffPenalty });
    }
    const auto best = std::min_element(candidates.begin(), candidates.end(), hasLessLoad);
    return best == candidates.end() ? std::nullopt : std::optional(best->id);
}

std::optional<SteadyTime> earliestPauseEnd(const ServerDirectory &directory, const std::string &pool, SteadyTime now)
{
    std::optional<SteadyTime> first;
    for (const auto &[id, server] : directory.servers()) {
        if (server.record.pool != pool || !server.acceptsWork()) {
            continue;
        }
        if (server.pausedUntil <= now) {
            return std::nullopt;
        }
        first = std::min(first.value_or(server.pausedUntil), server.pausedUntil);
    }
    return first;
}

bool isPoolLimited(const ServerDirectory &directory, const std::string &pool, const ServerFilter &maySend,
                   SteadyTime now)
{
    bool isLimited = false;
    for (const auto &[id, server] : directory.servers()) {
        if (server.record.pool != pool || !server.acceptsWork() || server.isPaused(now)) {
            continue;
        }
        if (maySend(server.record)) {
            return false;
        }
        isLimited = true;
    }
    return isLimited;
}

bool isPoolEvacuated(const ServerDirectory &directory, const std::string &pool)
{
    bool hasEvacuated = false;
    for (const auto &[id, server] : directory.servers()) {
        if (server.record.pool != pool || server.isDraining()) {
            continue;
        }
        if (!server.isEvacuated) {
            return false;
        }
        hasEvacuated = true;
    }
    return hasEvacuated;
}

std::vector<std::string> moveTargets(const ServerDirectory &directory, const PlacementRequest &request,
                                     const EngineCapacity &limits, const std::string &source, std::size_t count,
                                     SteadyTime now, const RandomSource &draw)
{
    auto candidates = engineCandidates(directory, request, limits, { source }, moveWeights, now, draw);
    std::sort(candidates.begin(), candidates.end(), hasLessLoad);
    preferKeepingTargets(directory, request, count, candidates);
    return firstIds(candidates, count);
}

std::vector<std::string> keepingTargets(const ServerDirectory &directory, const PlacementRequest &request,
                                        const EngineCapacity &limits, const std::string &source, std::size_t count,
                                        SteadyTime now, const RandomSource &draw)
{
    const auto server = directory.servers().find(source);
    if (!request.stream || !request.stream->isLong || server == directory.servers().end()) {
        return {};
    }
    const EngineTiers tiers(directory, request.pool, *request.stream);
    if (!tiers.hasEffect() || tiers.keepsBound(source, server->second)) {
        return {};
    }
    auto candidates = engineCandidates(directory, request, limits, { source }, keepingTargetWeights, now, draw);
    std::erase_if(candidates, [&directory, &tiers](const Candidate &candidate) {
        return !tiers.keepsBound(candidate.id, directory.servers().at(candidate.id));
    });
    std::sort(candidates.begin(), candidates.end(), hasLessLoad);
    return firstIds(candidates, count);
}

} // namespace zinniadock
