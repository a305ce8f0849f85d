#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <queue>
#include <set>
#include <string>
#include <vector>

#include "enginemodel.h"
#include "figures.h"
#include "gates.h"
#include "workload.h"
#include "zinniadock/process/placing/routing.h"

namespace zinniadock::crowded
{

/// Algorithm that selects the server of a request.
enum class LoadBalancing {
    RoundRobin,
    LeastOutstanding,
    Daemon, ///< the routing code of the daemon
};

/// Settings of one run: the engines, the load balancing and the stream of requests.
struct SimulationPlan
{
    Workload workload;
    std::vector<Arrival> arrivals;
    Seconds duration{ 600 };
    standin::EngineModelSettings engine;
    std::size_t serverCount = 4;
    std::uint64_t seed = 1;
    LoadBalancing loadBalancing = LoadBalancing::RoundRobin;
};

/// Results that the callers of a run measured.
struct SimulationResult
{
    load::DurationSamples firstToken;
    load::DurationSamples gap;
    /// Per request that received a token: longest wait for a token. For an unfinished request, this includes the wait
    /// from its last token to the end of the run.
    load::DurationSamples maxStall;
    /// Per completed request: wait for the first token, plus the part of each gap beyond 47 ms.
    load::DurationSamples totalStall;
    std::uint64_t requests = 0;
    std::uint64_t completed = 0;
    std::uint64_t refused = 0;
    std::uint64_t preemptions = 0;
    double goodputPerSecond = 0; ///< completed responses per second
    double accountJainIndex = 0; ///< Jain's index of the fractions of each account's demand that were served
    /// Minimum ratio of served tokens to the max-min fair share, over all client accounts except the first. The first
    /// account has the largest demand.
    double minFairShareRatio = 0;
};

/// Returns Jain's fairness index. \pre values is not empty
double jainIndex(const std::vector<double> &values);

/// Returns the max-min fair share of each demand in a capacity.
std::vector<double> fairShares(const std::vector<double> &demands, double capacity);

/// Runs the engines of a plan, each with its admission control, as a discrete-event simulation over the arrivals of the
/// plan.
template <typename AdmissionControl>
class Simulation
{
public:
    explicit Simulation(const SimulationPlan &plan)
        : m_plan(plan)
        , m_calls(plan.arrivals.size() + 1)
        , m_random(plan.seed)
    {
        for (std::size_t i = 0; i < plan.serverCount; ++i) {
            m_servers.push_back(std::make_unique<Server>(plan));
        }
    }

    SimulationResult run()
    {
        std::size_t next = 0;
        while (true) {
            const std::size_t server = earliestStepServer();
            const Seconds step = m_servers[server]->stepEnd;
            const bool hasMoreArrivals = next < m_plan.arrivals.size();
            if (!hasMoreArrivals && (step == never || step > m_plan.duration)) {
                break;
            }
            if (hasMoreArrivals && m_plan.arrivals[next].time <= step) {
                m_now = m_plan.arrivals[next].time;
                handleArrival(m_plan.arrivals[next++]);
            } else {
                m_now = step;
                finishStep(*m_servers[server]);
            }
        }
        return result();
    }

private:
    static constexpr Seconds never{ 1e18 }; ///< end of the step of an idle engine
    static constexpr Seconds targetGap{ 0.047 }; ///< a longer gap between tokens counts as a stall
    static constexpr Seconds viewInterval{ 0.1 }; ///< time between updates of the load that routing uses
    static constexpr Seconds reportInterval{ 0.2 }; ///< time between engine load reports
    static constexpr Seconds reportDelay{ 0.3 }; ///< minimum age of the load in a report, except at the start of a run
    static constexpr int maxOffers = 4; ///< a request fails after this number of servers refused it

    struct Server
    {
        explicit Server(const SimulationPlan &plan)
            : model(plan.engine)
            , admissionControl(plan.workload, { plan.engine.totalBlocks, plan.engine.blockTokens })
        {
        }

        standin::EngineModel model;
        AdmissionControl admissionControl;
        Seconds stepEnd = never;
        standin::EngineStep step;
        std::deque<std::pair<Seconds, std::pair<std::uint32_t, std::uint64_t>>>
            loadSamples; ///< time, used blocks and preemptions
        Seconds nextReport{ 0 };
        ServerView view;
    };

    struct CallState
    {
        Seconds lastTokenTime{ 0 }; ///< arrival time until the first token
        Seconds maxWait{ 0 };
        Seconds totalStall{ 0 };
        std::uint32_t receivedTokens = 0;
        bool isDone = false;
    };

    std::size_t earliestStepServer() const
    {
        std::size_t best = 0;
        for (std::size_t i = 1; i < m_servers.size(); ++i) {
            best = m_servers[i]->stepEnd < m_servers[best]->stepEnd ? i : best;
        }
        return best;
    }

    void handleArrival(const Arrival &arrival)
    {
        m_calls[arrival.id].lastTokenTime = arrival.time;
        std::set<std::size_t> tried;
        for (int offer = 0; offer < maxOffers && tried.size() < m_servers.size(); ++offer) {
            const std::size_t index = chooseServerIndex(arrival, tried);
            tried.insert(index);
            Server &server = *m_servers[index];
            const StartDecision decision = server.admissionControl.submit(arrival, m_now);
            if (decision == StartDecision::Start) {
                submit(server, arrival.id);
            }
            if (decision != StartDecision::Refuse) {
                return;
            }
        }
        refuseRequest(arrival.id);
    }

    std::size_t chooseServerIndex(const Arrival &arrival, const std::set<std::size_t> &tried)
    {
        if (m_plan.loadBalancing == LoadBalancing::RoundRobin) {
            std::size_t index = m_nextRoundRobinIndex++ % m_servers.size();
            while (tried.contains(index)) {
                index = m_nextRoundRobinIndex++ % m_servers.size();
            }
            return index;
        }
        if (m_plan.loadBalancing == LoadBalancing::Daemon) {
            return chooseByDaemonRouting(arrival, tried);
        }
        std::size_t best = m_servers.size();
        for (std::size_t i = 0; i < m_servers.size(); ++i) {
            const bool isLessLoaded = best == m_servers.size()
                || m_servers[i]->admissionControl.outstandingCount()
                    < m_servers[best]->admissionControl.outstandingCount();
            best = !tried.contains(i) && isLessLoaded ? i : best;
        }
        return best;
    }

    std::size_t chooseByDaemonRouting(const Arrival &arrival, const std::set<std::size_t> &tried)
    {
        if constexpr (std::is_same_v<AdmissionControl, DaemonAdmissionControl>) {
            if (m_now >= m_nextViewUpdate) {
                m_nextViewUpdate = m_now + viewInterval;
                for (std::size_t i = 0; i < m_servers.size(); ++i) {
                    const Admission &admission = m_servers[i]->admissionControl.admission();
                    m_servers[i]->view
                        = ServerView{ .name = "server-" + std::to_string(i),
                                      .running = admission.runningCount(),
                                      .waiting = admission.waitingCount(),
                                      .memoryUse = admission.committedBlocks() / admission.usableBlocks(),
                                      .expectedWait = admission.expectedWait() };
                }
            }
            std::vector<ServerView> views;
            for (std::size_t i = 0; i < m_servers.size(); ++i) {
                views.push_back(m_servers[i]->view);
                views.back().isUsable = !tried.contains(i);
            }
            const std::size_t index = *chooseServer(views, stableHash(std::to_string(arrival.prefixHash)),
                                                    m_plan.engine.prefillPerToken * arrival.promptTokens, m_random());
            ++m_servers[index]->view.sentSinceReport;
            return index;
        }
        return 0;
    }

    void submit(Server &server, std::uint64_t id)
    {
        const Arrival &arrival = m_plan.arrivals[id - 1];
        server.model.submit({ .id = id,
                              .promptTokens = arrival.promptTokens,
                              .outputTokens = arrival.outputTokens,
                              .priority = m_plan.workload.classes[arrival.requestClass].priority,
                              .prefixHash = arrival.prefixHash });
        if (server.stepEnd == never) {
            beginStep(server);
        }
    }

    void beginStep(Server &server)
    {
        server.stepEnd = never;
        while (!server.model.idle()) {
            server.step = server.model.step();
            if (!server.step.emitted.empty()) {
                server.stepEnd = m_now + server.step.duration;
                return;
            }
        }
    }

    void finishStep(Server &server)
    {
        for (const std::uint64_t id : server.step.emitted) {
            recordToken(server, id);
        }
        for (const std::uint64_t id : server.step.finished) {
            server.admissionControl.finish(id, true, m_now);
            completeRequest(id);
        }
        server.loadSamples.push_back({ m_now, { server.model.usedBlocks(), server.model.preemptions() } });
        reportEngineLoad(server);
        for (const std::uint64_t id : server.admissionControl.takeExpired(m_now)) {
            refuseRequest(id);
        }
        cancelTimedOutRequests(server);
        for (const std::uint64_t id : server.admissionControl.admitReady(m_now)) {
            submit(server, id);
        }
        beginStep(server);
    }

    void recordToken(Server &server, std::uint64_t id)
    {
        server.admissionControl.recordToken(id);
        CallState &call = m_calls[id];
        const Seconds waitedTime = m_now - call.lastTokenTime;
        (call.receivedTokens == 0 ? m_result.firstToken : m_result.gap).add(microseconds(waitedTime));
        call.maxWait = std::max(call.maxWait, waitedTime);
        call.totalStall += call.receivedTokens == 0 ? waitedTime : std::max(Seconds(0), waitedTime - targetGap);
        call.lastTokenTime = m_now;
        ++call.receivedTokens;
    }

    // Cancels requests that did not receive a first token within the maximum wait. Each admission control drops
    // requests that wait too long in its own queue. The baseline without admission control has no queue, so all of its
    // requests wait in the engines.
    void cancelTimedOutRequests(Server &server)
    {
        if constexpr (std::is_same_v<AdmissionControl, NoAdmissionControl>) {
            while (m_nextTimeoutCandidate < m_plan.arrivals.size()
                   && m_now - m_plan.arrivals[m_nextTimeoutCandidate].time > maxFirstTokenWait) {
                const std::uint64_t id = m_plan.arrivals[m_nextTimeoutCandidate++].id;
                if (m_calls[id].receivedTokens == 0 && !m_calls[id].isDone) {
                    for (auto &each : m_servers) {
                        each->model.cancel(id);
                    }
                    server.admissionControl.finish(id, false, m_now);
                    refuseRequest(id);
                }
            }
        }
    }

    void reportEngineLoad(Server &server)
    {
        if (m_now < server.nextReport) {
            return;
        }
        server.nextReport = m_now + reportInterval;
        while (server.loadSamples.size() > 1 && server.loadSamples[1].first <= m_now - reportDelay) {
            server.loadSamples.pop_front();
        }
        const auto &[used, preemptions] = server.loadSamples.front().second;
        server.admissionControl.applyEngineReport(used, m_plan.engine.totalBlocks, preemptions, m_now);
    }

    void completeRequest(std::uint64_t id)
    {
        CallState &call = m_calls[id];
        call.isDone = true;
        ++m_result.completed;
        m_result.maxStall.add(microseconds(call.maxWait));
        m_result.totalStall.add(microseconds(call.totalStall));
    }

    void refuseRequest(std::uint64_t id)
    {
        m_calls[id].isDone = true;
        ++m_result.refused;
    }

    SimulationResult result()
    {
        std::vector<double> demand(m_plan.workload.accountShares.size());
        std::vector<double> served(m_plan.workload.accountShares.size());
        for (const Arrival &arrival : m_plan.arrivals) {
            demand[arrival.account] += arrival.promptTokens + arrival.outputTokens;
            served[arrival.account] += m_calls[arrival.id].receivedTokens > 0
                ? arrival.promptTokens + m_calls[arrival.id].receivedTokens
                : 0;
            const CallState &call = m_calls[arrival.id];
            if (!call.isDone && call.receivedTokens > 0) {
                m_result.maxStall.add(microseconds(std::max(call.maxWait, m_plan.duration - call.lastTokenTime)));
            }
        }
        double total = 0;
        std::vector<double> shares;
        for (std::size_t i = 0; i < demand.size(); ++i) {
            total += served[i];
            shares.push_back(demand[i] > 0 ? served[i] / demand[i] : 1);
        }
        const std::vector<double> fair = fairShares(demand, total);
        m_result.minFairShareRatio = 1;
        for (std::size_t i = 1; i < demand.size(); ++i) {
            m_result.minFairShareRatio = std::min(m_result.minFairShareRatio, fair[i] > 0 ? served[i] / fair[i] : 1);
        }
        m_result.accountJainIndex = jainIndex(shares);
        m_result.requests = m_plan.arrivals.size();
        m_result.goodputPerSecond = static_cast<double>(m_result.completed) / m_plan.duration.count();
        for (const auto &server : m_servers) {
            m_result.preemptions += server->model.preemptions();
        }
        return m_result;
    }

    static load::Microseconds microseconds(Seconds duration)
    {
        return std::chrono::duration_cast<load::Microseconds>(duration);
    }

    const SimulationPlan &m_plan;
    std::vector<std::unique_ptr<Server>> m_servers;
    std::vector<CallState> m_calls; ///< by request id
    std::mt19937_64 m_random;
    Seconds m_now{ 0 };
    Seconds m_nextViewUpdate{ 0 };
    std::size_t m_nextRoundRobinIndex = 0;
    std::size_t m_nextTimeoutCandidate = 0;
    SimulationResult m_result;
};

} // namespace zinniadock::crowded
