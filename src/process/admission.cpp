#include "zinniadock/process/admission.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace zinniadock
{

namespace
{

constexpr std::chrono::seconds reportWindow{ 2 };
constexpr double headroomStep = 0.005;
constexpr double mostHeadroom = 0.3;
constexpr double headroomDecay = 0.999;
constexpr double endIntervalGain = 0.1;
constexpr std::chrono::milliseconds shortestRetryAfter{ 1000 };
constexpr std::chrono::milliseconds longestRetryAfter{ 60000 };

double blocksOf(double tokens, std::uint32_t blockTokens)
{
    return std::ceil(tokens / blockTokens);
}

} // namespace

Admission::Admission(EngineLimits limits, double expectedTokens)
    : m_limits(limits)
    , m_riskQuantile(normalQuantile(limits.memoryRisk))
    , m_lengths(expectedTokens)
    , m_forecast(limits.blockTokens)
{
}

AdmissionDecision Admission::offer(const AdmissionRequest &request, DecisionTime now)
{
    AdmissionDecision decision;
    if (m_closed) {
        decision.reason = RequestError::Draining;
        decision.explanation = "the backend server is leaving";
        return decision;
    }
    if (blocksOf(request.promptTokens + 1, m_limits.blockTokens) > usableBlocks()) {
        decision.reason = RequestError::EngineRefused;
        decision.explanation = "the prompt is larger than the engine memory";
        return decision;
    }
    if (m_waiting.empty() && fits(request)) {
        start(request, 0);
        decision.outcome = AdmissionOutcome::Admitted;
        return decision;
    }
    join(request.account);
    const auto patience = std::chrono::duration_cast<std::chrono::milliseconds>(request.deadline - now);
    const auto limit = std::min(patience, m_limits.maxWait);
    const auto wait = waitOf(waitingBefore(request) + 1);
    const bool full = m_waiting.size() >= m_limits.maxWaiting || waitOf(m_waiting.size() + 1) > m_limits.maxWait;
    const bool takesPlace = full && !m_waiting.empty() && goesBefore(request, m_waiting[lastWaiting()].request);
    if (wait > limit || (full && !takesPlace)) {
        leave(request.account);
        decision.retryAfter = std::clamp(wait, shortestRetryAfter, longestRetryAfter);
        decision.explanation = std::to_string(m_waiting.size()) + " requests wait, about "
            + std::to_string(wait.count()) + " ms; at most " + std::to_string(limit.count()) + " ms are allowed";
        return decision;
    }
    if (takesPlace) {
        displace(lastWaiting());
    }
    m_waiting.push_back({ request, now });
    decision.outcome = AdmissionOutcome::Queued;
    return decision;
}

std::vector<GenerationKey> Admission::admitReady()
{
    std::vector<GenerationKey> ready;
    while (!m_waiting.empty()) {
        const std::size_t index = nextWaiting();
        const AdmissionRequest request = m_waiting[index].request;
        if (!fits(request)) {
            break;
        }
        m_waiting.erase(m_waiting.begin() + static_cast<std::ptrdiff_t>(index));
        leave(request.account);
        start(request, 0);
        ready.push_back(request.key);
    }
    return ready;
}

std::vector<DroppedRequest> Admission::takeDropped(DecisionTime now)
{
    std::vector<DroppedRequest> withdrawn = std::exchange(m_displaced, {});
    std::erase_if(m_waiting, [&](const Waiting &waiting) {
        // The estimate may have been wrong, or others may have gone before; the wait is bounded in any case.
        if (std::min(waiting.request.deadline, waiting.since + 2 * m_limits.maxWait) > now) {
            return false;
        }
        withdrawn.push_back({ waiting.request.key, RequestError::DeadlineExceeded, shortestRetryAfter });
        leave(waiting.request.account);
        return true;
    });
    return withdrawn;
}

void Admission::recordToken(const GenerationKey &key)
{
    const auto position = m_running.find(key);
    if (position == m_running.end()) {
        return;
    }
    Running &running = position->second;
    ++running.emitted;
    ++m_committedTokens;
    AccountState &account = m_accounts[running.request.account];
    account.served += 1 / running.request.share;
}

void Admission::finish(const GenerationKey &key, bool whole, DecisionTime now)
{
    const auto position = m_running.find(key);
    if (position == m_running.end()) {
        std::erase_if(m_waiting, [&](const Waiting &waiting) {
            if (waiting.request.key != key) {
                return false;
            }
            leave(waiting.request.account);
            return true;
        });
        return;
    }
    const Running running = std::move(position->second);
    m_running.erase(position);
    m_forecast.remove(running.part);
    m_committedTokens -= running.request.promptTokens + running.emitted;
    leave(running.request.account);
    if (whole) {
        m_lengths.record(running.part.lengthClass, running.emitted);
    }
    if (m_lastEnd) {
        const double interval = std::chrono::duration<double>(now - *m_lastEnd).count();
        m_endInterval = m_endInterval == 0 ? interval : m_endInterval + endIntervalGain * (interval - m_endInterval);
    }
    m_lastEnd = now;
}

void Admission::applyEngineReport(std::uint32_t usedBlocks, std::uint32_t totalBlocks, std::uint64_t preemptions,
                                  DecisionTime now)
{
    if (totalBlocks > 0) {
        m_limits.totalBlocks = totalBlocks;
    }
    // The report is of some moment within the window. What others use is at least the report less the largest count
    // of that time; a smaller figure would blame others for this sidecar's own requests.
    m_counts.push_back({ now, committedBlocks() });
    while (m_counts.size() > 1 && now - m_counts.front().time > reportWindow) {
        m_counts.pop_front();
    }
    std::uint32_t largest = 0;
    for (const CountSample &sample : m_counts) {
        largest = std::max(largest, sample.blocks);
    }
    m_foreignBlocks = usedBlocks > largest ? usedBlocks - largest : 0;
    if (!m_preemptionsAtStart || preemptions < *m_preemptionsAtStart + m_preemptions) {
        m_preemptionsAtStart = preemptions - std::min(preemptions, m_preemptions);
    }
    const std::uint64_t fresh = preemptions - *m_preemptionsAtStart - m_preemptions;
    m_preemptions += fresh;
    m_headroom = std::min(mostHeadroom, m_headroom * headroomDecay + headroomStep * static_cast<double>(fresh));
}

void Admission::adopt(const AdmissionRequest &request, std::uint32_t emittedTokens)
{
    start(request, emittedTokens);
}

std::vector<GenerationKey> Admission::close()
{
    m_closed = true;
    std::vector<GenerationKey> refused;
    for (const Waiting &waiting : m_waiting) {
        refused.push_back(waiting.request.key);
        leave(waiting.request.account);
    }
    m_waiting.clear();
    return refused;
}

void Admission::setLimits(const EngineLimits &limits)
{
    const std::uint32_t totalBlocks = m_limits.totalBlocks;
    m_limits = limits;
    m_riskQuantile = normalQuantile(limits.memoryRisk);
    if (limits.totalBlocks == 0) {
        m_limits.totalBlocks = totalBlocks;
    }
}

std::uint32_t Admission::runningCount() const
{
    return static_cast<std::uint32_t>(m_running.size());
}

std::uint32_t Admission::waitingCount() const
{
    return static_cast<std::uint32_t>(m_waiting.size());
}

std::uint32_t Admission::committedBlocks() const
{
    // Half a block per request is the mean loss to a last block that is not full.
    const double tokens
        = static_cast<double>(m_committedTokens) + static_cast<double>(m_running.size()) * m_limits.blockTokens / 2;
    return static_cast<std::uint32_t>(tokens / m_limits.blockTokens);
}

double Admission::usableBlocks() const
{
    return std::max(0.0, m_limits.totalBlocks * (1 - m_headroom) - m_foreignBlocks);
}

std::chrono::milliseconds Admission::expectedWait() const
{
    return m_waiting.empty() ? std::chrono::milliseconds(0) : waitOf(m_waiting.size() + 1);
}

std::uint64_t Admission::preemptions() const
{
    return m_preemptions;
}

// Bounds the risk that the running set with the candidate outgrows the memory: at each horizon the mean of the
// forecast plus a quantile of its spread must fit.
bool Admission::fits(const AdmissionRequest &candidate)
{
    if (m_running.size() >= m_limits.maxRunning) {
        return false;
    }
    if (m_running.empty()) {
        return true;
    }
    for (auto &[key, running] : m_running) {
        if (MemoryForecast::isStale(running.part, running.emitted)) {
            m_forecast.remove(running.part);
            running.part = partOf(running.request, running.emitted, running.part.lengthClass);
            m_forecast.add(running.part);
        }
    }
    const auto lengthClass = m_lengths.find({ candidate.account, candidate.route, candidate.version });
    return m_forecast.fitsWith(partOf(candidate, 0, lengthClass), usableBlocks(), m_riskQuantile);
}

MemoryForecast::Part Admission::partOf(const AdmissionRequest &request, std::uint32_t emitted,
                                       const std::shared_ptr<LengthClass> &lengthClass) const
{
    return m_forecast.partOf(
        { .promptTokens = request.promptTokens, .maxTokens = request.maxTokens, .emitted = emitted }, lengthClass);
}

void Admission::start(const AdmissionRequest &request, std::uint32_t emitted)
{
    Running running;
    running.request = request;
    running.emitted = emitted;
    running.part = partOf(request, emitted, m_lengths.find({ request.account, request.route, request.version }));
    m_forecast.add(running.part);
    m_running[request.key] = std::move(running);
    m_committedTokens += request.promptTokens + emitted;
    join(request.account);
    AccountState &account = m_accounts[request.account];
    m_virtualTime = std::max(m_virtualTime, account.served);
    account.served += request.promptTokens / request.share;
}

// Higher priority first, then the client account that was served least for its share, then the one with fewer requests
// here. Among equals the one that has waited longer goes first, so neither goes before the other here.
bool Admission::goesBefore(const AdmissionRequest &first, const AdmissionRequest &second) const
{
    if (first.priority != second.priority) {
        return first.priority > second.priority;
    }
    if (first.account == second.account) {
        return false;
    }
    const AccountState &ofFirst = m_accounts.at(first.account);
    const AccountState &ofSecond = m_accounts.at(second.account);
    return ofFirst.served != ofSecond.served ? ofFirst.served < ofSecond.served : ofFirst.active < ofSecond.active;
}

std::size_t Admission::nextWaiting() const
{
    std::size_t best = 0;
    for (std::size_t i = 1; i < m_waiting.size(); ++i) {
        best = goesBefore(m_waiting[i].request, m_waiting[best].request) ? i : best;
    }
    return best;
}

std::size_t Admission::lastWaiting() const
{
    std::size_t last = 0;
    for (std::size_t i = 1; i < m_waiting.size(); ++i) {
        last = goesBefore(m_waiting[i].request, m_waiting[last].request) ? last : i;
    }
    return last;
}

std::size_t Admission::waitingBefore(const AdmissionRequest &request) const
{
    return static_cast<std::size_t>(std::count_if(m_waiting.begin(), m_waiting.end(), [&](const Waiting &waiting) {
        return !goesBefore(request, waiting.request);
    }));
}

void Admission::displace(std::size_t index)
{
    const AdmissionRequest request = m_waiting[index].request;
    m_waiting.erase(m_waiting.begin() + static_cast<std::ptrdiff_t>(index));
    leave(request.account);
    const auto retryAfter = std::clamp(waitOf(m_waiting.size() + 1), shortestRetryAfter, longestRetryAfter);
    m_displaced.push_back({ request.key, RequestError::QueueFull, retryAfter });
}

// A client account that comes back starts at the present virtual time, so that idleness saves up no credit.
void Admission::join(const std::string &account)
{
    AccountState &state = m_accounts[account];
    if (state.active == 0) {
        double least = m_virtualTime;
        bool anyActive = false;
        for (const auto &[name, other] : m_accounts) {
            if (other.active > 0) {
                least = anyActive ? std::min(least, other.served) : other.served;
                anyActive = true;
            }
        }
        state.served = std::max(state.served, least);
    }
    ++state.active;
}

void Admission::leave(const std::string &account)
{
    const auto position = m_accounts.find(account);
    if (position != m_accounts.end() && position->second.active > 0) {
        --position->second.active;
    }
}

std::chrono::milliseconds Admission::waitOf(std::size_t requestsAhead) const
{
    const double seconds = m_endInterval * static_cast<double>(requestsAhead);
    return std::chrono::milliseconds(static_cast<std::int64_t>(seconds * 1000));
}

} // namespace zinniadock
