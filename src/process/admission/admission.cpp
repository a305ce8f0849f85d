#include "zinniadock/process/admission/admission.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace zinniadock
{

namespace
{

constexpr std::chrono::seconds reportWindow{ 2 };
constexpr double headroomPerPreemption = 0.005;
constexpr double maxHeadroom = 0.3;
constexpr double headroomDecayPerReport = 0.999;
constexpr double finishIntervalSmoothing = 0.1;
constexpr std::chrono::milliseconds minRetryAfter{ 1000 };
constexpr std::chrono::milliseconds maxRetryAfter{ 60000 };

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

AdmissionDecision Admission::submit(const AdmissionRequest &request, DecisionTime now)
{
    AdmissionDecision decision;
    if (m_closed) {
        decision.reason = RequestError::Draining;
        decision.explanation = "the backend server is draining";
        return decision;
    }
    if (blocksOf(request.promptTokens + 1, m_limits.blockTokens) > usableBlocks()) {
        decision.reason = RequestError::EngineRefused;
        decision.explanation = "the prompt of " + std::to_string(request.promptTokens)
            + " tokens does not fit into the " + std::to_string(static_cast<std::uint64_t>(usableBlocks()))
            + " usable memory blocks of the engine, each of " + std::to_string(m_limits.blockTokens) + " tokens";
        return decision;
    }
    if (m_waiting.empty() && fits(request)) {
        start(request, 0);
        decision.outcome = AdmissionOutcome::Admitted;
        return decision;
    }
    addActiveRequest(request.account);
    const auto timeToDeadline = std::chrono::duration_cast<std::chrono::milliseconds>(request.deadline - now);
    const auto limit = std::min(timeToDeadline, m_limits.maxWait);
    const auto wait = estimatedWait(waitingAheadOf(request) + 1);
    const bool full = m_waiting.size() >= m_limits.maxWaiting || estimatedWait(m_waiting.size() + 1) > m_limits.maxWait;
    const bool displacesLast = full && !m_waiting.empty() && precedes(request, m_waiting[lastWaitingIndex()].request);
    if (wait > limit || (full && !displacesLast)) {
        removeActiveRequest(request.account);
        decision.retryAfter = std::clamp(wait, minRetryAfter, maxRetryAfter);
        decision.explanation = std::to_string(m_waiting.size()) + " requests are queued; the expected wait is "
            + std::to_string(wait.count()) + " ms, the limit is " + std::to_string(limit.count()) + " ms";
        return decision;
    }
    if (displacesLast) {
        displace(lastWaitingIndex());
    }
    m_waiting.push_back({ request, now });
    decision.outcome = AdmissionOutcome::Queued;
    return decision;
}

std::vector<GenerationKey> Admission::admitReady()
{
    std::vector<GenerationKey> ready;
    while (!m_waiting.empty()) {
        const std::size_t index = nextWaitingIndex();
        const AdmissionRequest request = m_waiting[index].request;
        if (!fits(request)) {
            break;
        }
        m_waiting.erase(m_waiting.begin() + static_cast<std::ptrdiff_t>(index));
        removeActiveRequest(request.account);
        start(request, 0);
        ready.push_back(request.key);
    }
    return ready;
}

std::vector<DroppedRequest> Admission::takeDropped(DecisionTime now)
{
    std::vector<DroppedRequest> dropped = std::exchange(m_displaced, {});
    std::erase_if(m_waiting, [&](const WaitingRequest &waiting) {
        // The estimated wait may be too short, and later requests may have been admitted first. A request is therefore
        // also dropped after twice the maximum wait.
        if (std::min(waiting.request.deadline, waiting.queuedAt + 2 * m_limits.maxWait) > now) {
            return false;
        }
        dropped.push_back({ waiting.request.key, RequestError::DeadlineExceeded, minRetryAfter });
        removeActiveRequest(waiting.request.account);
        return true;
    });
    return dropped;
}

void Admission::recordToken(const GenerationKey &key)
{
    const auto position = m_running.find(key);
    if (position == m_running.end()) {
        return;
    }
    RunningRequest &running = position->second;
    ++running.emitted;
    ++m_committedTokens;
    AccountState &account = m_accounts[running.request.account];
    account.served += 1 / running.request.share;
}

void Admission::finish(const GenerationKey &key, bool isComplete, DecisionTime now)
{
    const auto position = m_running.find(key);
    if (position == m_running.end()) {
        std::erase_if(m_waiting, [&](const WaitingRequest &waiting) {
            if (waiting.request.key != key) {
                return false;
            }
            removeActiveRequest(waiting.request.account);
            return true;
        });
        return;
    }
    const RunningRequest running = std::move(position->second);
    m_running.erase(position);
    m_forecast.remove(running.contribution);
    m_committedTokens -= running.request.promptTokens + running.emitted;
    removeActiveRequest(running.request.account);
    if (isComplete) {
        m_lengths.record(running.contribution.lengthClass, running.emitted);
    }
    if (m_lastFinishTime) {
        const double interval = std::chrono::duration<double>(now - *m_lastFinishTime).count();
        m_meanFinishInterval = m_meanFinishInterval == 0
            ? interval
            : m_meanFinishInterval + finishIntervalSmoothing * (interval - m_meanFinishInterval);
    }
    m_lastFinishTime = now;
}

void Admission::applyEngineReport(std::uint32_t usedBlocks, std::uint32_t totalBlocks, std::uint64_t preemptions,
                                  DecisionTime now)
{
    if (totalBlocks > 0) {
        m_limits.totalBlocks = totalBlocks;
    }
    // The engine measured usedBlocks at an unknown time within reportWindow. usedBlocks minus the maximum of
    // committedBlocks() in the window is a lower bound of the blocks in external use. Subtracting a smaller value could
    // count blocks of this sidecar's own requests as external.
    m_blockCounts.push_back({ now, committedBlocks() });
    while (m_blockCounts.size() > 1 && now - m_blockCounts.front().time > reportWindow) {
        m_blockCounts.pop_front();
    }
    std::uint32_t maxOwnBlocks = 0;
    for (const BlockCountSample &sample : m_blockCounts) {
        maxOwnBlocks = std::max(maxOwnBlocks, sample.blocks);
    }
    m_externalBlocks = usedBlocks > maxOwnBlocks ? usedBlocks - maxOwnBlocks : 0;
    if (!m_preemptionBaseline || preemptions < *m_preemptionBaseline + m_preemptions) {
        m_preemptionBaseline = preemptions - std::min(preemptions, m_preemptions);
    }
    const std::uint64_t newPreemptions = preemptions - *m_preemptionBaseline - m_preemptions;
    m_preemptions += newPreemptions;
    m_headroom = std::min(
        maxHeadroom, m_headroom * headroomDecayPerReport + headroomPerPreemption * static_cast<double>(newPreemptions));
}

void Admission::adopt(const AdmissionRequest &request, std::uint32_t emittedTokens)
{
    start(request, emittedTokens);
}

std::vector<GenerationKey> Admission::close()
{
    m_closed = true;
    std::vector<GenerationKey> refused;
    for (const WaitingRequest &waiting : m_waiting) {
        refused.push_back(waiting.request.key);
        removeActiveRequest(waiting.request.account);
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
    // The last block of a request is half empty on average.
    const double tokens
        = static_cast<double>(m_committedTokens) + static_cast<double>(m_running.size()) * m_limits.blockTokens / 2;
    return static_cast<std::uint32_t>(tokens / m_limits.blockTokens);
}

double Admission::usableBlocks() const
{
    return std::max(0.0, m_limits.totalBlocks * (1 - m_headroom) - m_externalBlocks);
}

std::chrono::milliseconds Admission::expectedWait() const
{
    return m_waiting.empty() ? std::chrono::milliseconds(0) : estimatedWait(m_waiting.size() + 1);
}

std::uint64_t Admission::preemptions() const
{
    return m_preemptions;
}

// Returns whether the candidate can run beside the running requests at an acceptable risk of exceeding the memory: at
// each horizon, the mean of the forecast plus m_riskQuantile standard deviations must not exceed usableBlocks(). A
// candidate always fits if no request runs.
bool Admission::fits(const AdmissionRequest &candidate)
{
    if (m_running.size() >= m_limits.maxRunning) {
        return false;
    }
    if (m_running.empty()) {
        return true;
    }
    for (auto &[key, running] : m_running) {
        if (MemoryForecast::isStale(running.contribution, running.emitted)) {
            m_forecast.remove(running.contribution);
            running.contribution = contributionOf(running.request, running.emitted, running.contribution.lengthClass);
            m_forecast.add(running.contribution);
        }
    }
    const auto lengthClass = m_lengths.find({ candidate.account, candidate.route, candidate.version });
    return m_forecast.fitsWith(contributionOf(candidate, 0, lengthClass), usableBlocks(), m_riskQuantile);
}

MemoryForecast::Contribution Admission::contributionOf(const AdmissionRequest &request, std::uint32_t emitted,
                                                       const std::shared_ptr<LengthClass> &lengthClass) const
{
    return m_forecast.contributionOf(
        { .promptTokens = request.promptTokens, .maxTokens = request.maxTokens, .emitted = emitted }, lengthClass);
}

void Admission::start(const AdmissionRequest &request, std::uint32_t emitted)
{
    RunningRequest running;
    running.request = request;
    running.emitted = emitted;
    running.contribution
        = contributionOf(request, emitted, m_lengths.find({ request.account, request.route, request.version }));
    m_forecast.add(running.contribution);
    m_running[request.key] = std::move(running);
    m_committedTokens += request.promptTokens + emitted;
    addActiveRequest(request.account);
    AccountState &account = m_accounts[request.account];
    m_virtualTime = std::max(m_virtualTime, account.served);
    account.served += request.promptTokens / request.share;
}

// Returns whether the first request is admitted before the second. The order is by higher priority, then by the client
// account with the least service per share, then by the account with fewer active requests. Equal requests keep their
// order in the queue, so neither precedes the other.
bool Admission::precedes(const AdmissionRequest &first, const AdmissionRequest &second) const
{
    if (first.priority != second.priority) {
        return first.priority > second.priority;
    }
    if (first.account == second.account) {
        return false;
    }
    const AccountState &ofFirst = m_accounts.at(first.account);
    const AccountState &ofSecond = m_accounts.at(second.account);
    return ofFirst.served != ofSecond.served ? ofFirst.served < ofSecond.served
                                             : ofFirst.activeRequests < ofSecond.activeRequests;
}

std::size_t Admission::nextWaitingIndex() const
{
    std::size_t best = 0;
    for (std::size_t i = 1; i < m_waiting.size(); ++i) {
        best = precedes(m_waiting[i].request, m_waiting[best].request) ? i : best;
    }
    return best;
}

std::size_t Admission::lastWaitingIndex() const
{
    std::size_t last = 0;
    for (std::size_t i = 1; i < m_waiting.size(); ++i) {
        last = precedes(m_waiting[i].request, m_waiting[last].request) ? last : i;
    }
    return last;
}

std::size_t Admission::waitingAheadOf(const AdmissionRequest &request) const
{
    return static_cast<std::size_t>(
        std::count_if(m_waiting.begin(), m_waiting.end(), [&](const WaitingRequest &waiting) {
            return !precedes(request, waiting.request);
        }));
}

void Admission::displace(std::size_t index)
{
    const AdmissionRequest request = m_waiting[index].request;
    m_waiting.erase(m_waiting.begin() + static_cast<std::ptrdiff_t>(index));
    removeActiveRequest(request.account);
    const auto retryAfter = std::clamp(estimatedWait(m_waiting.size() + 1), minRetryAfter, maxRetryAfter);
    m_displaced.push_back({ request.key, RequestError::QueueFull, retryAfter });
}

// The service of a client account that becomes active again is raised to the least service of the active accounts, or
// to m_virtualTime if there are none, so that the account gains no credit while idle.
void Admission::addActiveRequest(const std::string &account)
{
    AccountState &state = m_accounts[account];
    if (state.activeRequests == 0) {
        double minServed = m_virtualTime;
        bool anyActive = false;
        for (const auto &[name, other] : m_accounts) {
            if (other.activeRequests > 0) {
                minServed = anyActive ? std::min(minServed, other.served) : other.served;
                anyActive = true;
            }
        }
        state.served = std::max(state.served, minServed);
    }
    ++state.activeRequests;
}

void Admission::removeActiveRequest(const std::string &account)
{
    const auto position = m_accounts.find(account);
    if (position != m_accounts.end() && position->second.activeRequests > 0) {
        --position->second.activeRequests;
    }
}

std::chrono::milliseconds Admission::estimatedWait(std::size_t requestsAhead) const
{
    const double seconds = m_meanFinishInterval * static_cast<double>(requestsAhead);
    return std::chrono::milliseconds(static_cast<std::int64_t>(seconds * 1000));
}

} // namespace zinniadock
