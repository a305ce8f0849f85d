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
#include "zinniadock/process/routing.h"

namespace zinniadock::crowded
{

/// How requests are spread over the servers.
enum class Spread {
    RoundRobin,
    LeastOutstanding,
    Daemon, ///< the routing code of the daemon
};

/// One run: some engines under one policy and one stream of requests.
struct SimulationPlan
{
    Workload workload;
    std::vector<Arrival> arrivals;
    Seconds length{ 600 };
    standin::EngineModelSettings engine;
    std::size_t servers = 4;
    std::uint64_t seed = 1;
    Spread spread = Spread::RoundRobin;
};

/// What the callers of a run saw.
struct SimulationResult
{
    load::Samples firstToken;
    load::Samples gap;
    load::Samples longestStall;
    load::Samples totalStall; ///< first token, and every gap's part beyond 47 ms
    std::uint64_t requests = 0;
    std::uint64_t whole = 0;
    std::uint64_t refused = 0;
    std::uint64_t preemptions = 0;
    double goodputPerSecond = 0; ///< whole answers
    double jain = 0; ///< over the served share of each client account's demand
    double leastFairShare = 0; ///< of the small accounts: served tokens over the max-min fair share
};

/// Returns Jain's index of fairness. \pre values is not empty
double jainIndex(const std::vector<double> &values);

/// Returns the max-min fair shares of a capacity under demands.
std::vector<double> fairShares(const std::vector<double> &demands, double capacity);

/// Steps engines and gates through the arrivals of a plan.
template <typename Gate>
class Simulation
{
public:
    explicit Simulation(const SimulationPlan &plan)
        : m_plan(plan)
        , m_calls(plan.arrivals.size() + 1)
        , m_random(plan.seed)
    {
        for (std::size_t i = 0; i < plan.servers; ++i) {
            m_servers.push_back(std::make_unique<Server>(plan));
        }
    }

    SimulationResult run()
    {
        std::size_t next = 0;
        while (true) {
            const std::size_t server = earliestStep();
            const Seconds step = m_servers[server]->stepEnd;
            const bool moreArrivals = next < m_plan.arrivals.size();
            if (!moreArrivals && (step == never || step > m_plan.length)) {
                break;
            }
            if (moreArrivals && m_plan.arrivals[next].time <= step) {
                m_now = m_plan.arrivals[next].time;
                arrive(m_plan.arrivals[next++]);
            } else {
                m_now = step;
                finishStep(*m_servers[server]);
            }
        }
        return result();
    }

private:
    static constexpr Seconds never{ 1e18 };
    static constexpr Seconds targetGap{ 0.047 };
    static constexpr Seconds viewInterval{ 0.1 };
    static constexpr Seconds reportInterval{ 0.2 };
    static constexpr Seconds reportLag{ 0.3 };
    static constexpr int mostOffers = 4;

    struct Server
    {
        explicit Server(const SimulationPlan &plan)
            : model(plan.engine)
            , gate(plan.workload, { plan.engine.totalBlocks, plan.engine.blockTokens })
        {
        }

        standin::EngineModel model;
        Gate gate;
        Seconds stepEnd = never;
        standin::EngineStep step;
        std::deque<std::pair<Seconds, std::pair<std::uint32_t, std::uint64_t>>>
            samples; ///< of used blocks and preemptions
        Seconds reportDue{ 0 };
        ServerView view;
    };

    struct CallState
    {
        Seconds last{ 0 };
        Seconds longest{ 0 };
        Seconds total{ 0 };
        std::uint32_t tokens = 0;
        bool done = false;
    };

    std::size_t earliestStep() const
    {
        std::size_t best = 0;
        for (std::size_t i = 1; i < m_servers.size(); ++i) {
            best = m_servers[i]->stepEnd < m_servers[best]->stepEnd ? i : best;
        }
        return best;
    }

    void arrive(const Arrival &arrival)
    {
        m_calls[arrival.id].last = arrival.time;
        std::set<std::size_t> tried;
        for (int offer = 0; offer < mostOffers && tried.size() < m_servers.size(); ++offer) {
            const std::size_t index = choose(arrival, tried);
            tried.insert(index);
            Server &server = *m_servers[index];
            const GateAnswer answer = server.gate.offer(arrival, m_now);
            if (answer == GateAnswer::Start) {
                submit(server, arrival.id);
            }
            if (answer != GateAnswer::Refuse) {
                return;
            }
        }
        refuse(arrival.id);
    }

    std::size_t choose(const Arrival &arrival, const std::set<std::size_t> &tried)
    {
        if (m_plan.spread == Spread::RoundRobin) {
            std::size_t index = m_turn++ % m_servers.size();
            while (tried.contains(index)) {
                index = m_turn++ % m_servers.size();
            }
            return index;
        }
        if (m_plan.spread == Spread::Daemon) {
            return chooseByDaemon(arrival, tried);
        }
        std::size_t best = m_servers.size();
        for (std::size_t i = 0; i < m_servers.size(); ++i) {
            const bool better
                = best == m_servers.size() || m_servers[i]->gate.outstanding() < m_servers[best]->gate.outstanding();
            best = !tried.contains(i) && better ? i : best;
        }
        return best;
    }

    std::size_t chooseByDaemon(const Arrival &arrival, const std::set<std::size_t> &tried)
    {
        if constexpr (std::is_same_v<Gate, DaemonGate>) {
            if (m_now >= m_viewsDue) {
                m_viewsDue = m_now + viewInterval;
                for (std::size_t i = 0; i < m_servers.size(); ++i) {
                    const Admission &admission = m_servers[i]->gate.admission();
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
            take(server, id);
        }
        for (const std::uint64_t id : server.step.finished) {
            server.gate.ended(id, true, m_now);
            finish(id);
        }
        server.samples.push_back({ m_now, { server.model.usedBlocks(), server.model.preemptions() } });
        reportLoad(server);
        for (const std::uint64_t id : server.gate.expired(m_now)) {
            refuse(id);
        }
        giveUpUnstarted(server);
        for (const std::uint64_t id : server.gate.ready(m_now)) {
            submit(server, id);
        }
        beginStep(server);
    }

    void take(Server &server, std::uint64_t id)
    {
        server.gate.emitted(id);
        CallState &call = m_calls[id];
        const Seconds waited = m_now - call.last;
        (call.tokens == 0 ? m_result.firstToken : m_result.gap).add(microseconds(waited));
        call.longest = std::max(call.longest, waited);
        call.total += call.tokens == 0 ? waited : std::max(Seconds(0), waited - targetGap);
        call.last = m_now;
        ++call.tokens;
    }

    // A caller without its first token leaves when its patience ends, also where there is no gate to tell it.
    void giveUpUnstarted(Server &server)
    {
        if constexpr (std::is_same_v<Gate, OpenGate>) {
            while (m_oldest < m_plan.arrivals.size() && m_now - m_plan.arrivals[m_oldest].time > patience) {
                const std::uint64_t id = m_plan.arrivals[m_oldest++].id;
                if (m_calls[id].tokens == 0 && !m_calls[id].done) {
                    for (auto &each : m_servers) {
                        each->model.cancel(id);
                    }
                    server.gate.ended(id, false, m_now);
                    refuse(id);
                }
            }
        }
    }

    void reportLoad(Server &server)
    {
        if (m_now < server.reportDue) {
            return;
        }
        server.reportDue = m_now + reportInterval;
        while (server.samples.size() > 1 && server.samples[1].first <= m_now - reportLag) {
            server.samples.pop_front();
        }
        const auto &[used, preemptions] = server.samples.front().second;
        server.gate.report(used, m_plan.engine.totalBlocks, preemptions, m_now);
    }

    void finish(std::uint64_t id)
    {
        CallState &call = m_calls[id];
        call.done = true;
        ++m_result.whole;
        m_result.longestStall.add(microseconds(call.longest));
        m_result.totalStall.add(microseconds(call.total));
    }

    void refuse(std::uint64_t id)
    {
        m_calls[id].done = true;
        ++m_result.refused;
    }

    SimulationResult result()
    {
        std::vector<double> demand(m_plan.workload.accountShares.size());
        std::vector<double> served(m_plan.workload.accountShares.size());
        for (const Arrival &arrival : m_plan.arrivals) {
            demand[arrival.account] += arrival.promptTokens + arrival.outputTokens;
            served[arrival.account]
                += m_calls[arrival.id].tokens > 0 ? arrival.promptTokens + m_calls[arrival.id].tokens : 0;
            const CallState &call = m_calls[arrival.id];
            if (!call.done && call.tokens > 0) {
                m_result.longestStall.add(microseconds(std::max(call.longest, m_plan.length - call.last)));
            }
        }
        double total = 0;
        std::vector<double> shares;
        for (std::size_t i = 0; i < demand.size(); ++i) {
            total += served[i];
            shares.push_back(demand[i] > 0 ? served[i] / demand[i] : 1);
        }
        const std::vector<double> fair = fairShares(demand, total);
        m_result.leastFairShare = 1;
        for (std::size_t i = 1; i < demand.size(); ++i) {
            m_result.leastFairShare = std::min(m_result.leastFairShare, fair[i] > 0 ? served[i] / fair[i] : 1);
        }
        m_result.jain = jainIndex(shares);
        m_result.requests = m_plan.arrivals.size();
        m_result.goodputPerSecond = static_cast<double>(m_result.whole) / m_plan.length.count();
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
    Seconds m_viewsDue{ 0 };
    std::size_t m_turn = 0;
    std::size_t m_oldest = 0;
    SimulationResult m_result;
};

} // namespace zinniadock::crowded
