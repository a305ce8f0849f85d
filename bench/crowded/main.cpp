#include <atomic>
#include <iostream>
#include <memory>
#include <mutex>
#include <thread>

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>

#include "simulation.h"

ABSL_FLAG(int, seed, 1, "first seed");
ABSL_FLAG(int, seeds, 5, "number of consecutive seeds; each policy runs once per seed, workload and load");
ABSL_FLAG(int, seconds, 600, "simulated time of each run, in seconds");
ABSL_FLAG(std::string, json, "", "file to which the figures are written as JSON");

namespace zinniadock::crowded
{

double jainIndex(const std::vector<double> &values)
{
    double sum = 0;
    double squares = 0;
    for (const double value : values) {
        sum += value;
        squares += value * value;
    }
    return squares == 0 ? 1 : sum * sum / (static_cast<double>(values.size()) * squares);
}

std::vector<double> fairShares(const std::vector<double> &demands, double capacity)
{
    std::vector<double> shares(demands.size());
    std::set<std::size_t> unsatisfied;
    for (std::size_t i = 0; i < demands.size(); ++i) {
        unsatisfied.insert(i);
    }
    while (!unsatisfied.empty()) {
        const double equalShare = capacity / static_cast<double>(unsatisfied.size());
        std::vector<std::size_t> satisfied;
        for (const std::size_t i : unsatisfied) {
            if (demands[i] <= equalShare) {
                satisfied.push_back(i);
            }
        }
        if (satisfied.empty()) {
            for (const std::size_t i : unsatisfied) {
                shares[i] = equalShare;
            }
            break;
        }
        for (const std::size_t i : satisfied) {
            shares[i] = demands[i];
            capacity -= demands[i];
            unsatisfied.erase(i);
        }
    }
    return shares;
}

namespace
{

/// A combination of admission control and load balancing.
struct SimulatedPolicy
{
    std::string name;
    SimulationResult (*run)(SimulationPlan plan);
};

template <typename AdmissionControl, LoadBalancing Balancing>
SimulationResult runPolicy(SimulationPlan plan)
{
    plan.loadBalancing = Balancing;
    return Simulation<AdmissionControl>(plan).run();
}

const SimulatedPolicy policies[] = {
    { "round_robin", runPolicy<NoAdmissionControl, LoadBalancing::RoundRobin> },
    { "least_outstanding", runPolicy<NoAdmissionControl, LoadBalancing::LeastOutstanding> },
    { "reservation", runPolicy<ReservationAdmissionControl, LoadBalancing::LeastOutstanding> },
    { "clairvoyant", runPolicy<ClairvoyantAdmissionControl, LoadBalancing::LeastOutstanding> },
    { "zinniadock", runPolicy<DaemonAdmissionControl, LoadBalancing::Daemon> },
};

// Request rates of the runs, as multiples of the rate that fills the memory of all engines.
constexpr double loadFactors[] = { 0.7, 1.0, 1.5 };

standin::EngineModelSettings engineSettings()
{
    return { .totalBlocks = 2000,
             .blockTokens = 16,
             .maxBatch = 128,
             .prefillTokensPerStep = 2048,
             .stepBase = std::chrono::microseconds(22000),
             .stepPerSequence = std::chrono::microseconds(150),
             .prefillPerToken = std::chrono::microseconds(10) };
}

// Returns the request rate per second that fills the memory of all engines, at the step time of a typical batch.
double memorySaturationRate(const Workload &workload, const SimulationPlan &plan)
{
    constexpr double typicalBatchSize = 50;
    const double stepSeconds
        = Seconds(plan.engine.stepBase).count() + typicalBatchSize * Seconds(plan.engine.stepPerSequence).count();
    const double memoryTokens = static_cast<double>(plan.engine.totalBlocks) * plan.engine.blockTokens;
    return static_cast<double>(plan.serverCount) * memoryTokens / (meanTokenSteps(workload, 1) * stepSeconds);
}

/// One run of one policy.
struct SimulationJob
{
    std::string name;
    const SimulatedPolicy *policy = nullptr;
    SimulationPlan plan;
    SimulationResult result;
};

std::vector<SimulationJob> makeJobs()
{
    std::vector<SimulationJob> jobs;
    for (const Workload &workload : { trilhosWorkload(), qorganWorkload() }) {
        for (const double loadFactor : loadFactors) {
            for (int i = 0; i < absl::GetFlag(FLAGS_seeds); ++i) {
                SimulationPlan plan;
                plan.workload = workload;
                plan.engine = engineSettings();
                plan.duration = Seconds(absl::GetFlag(FLAGS_seconds));
                plan.seed = static_cast<std::uint64_t>(absl::GetFlag(FLAGS_seed)) + static_cast<std::uint64_t>(i);
                plan.arrivals = drawArrivals(workload, loadFactor * memorySaturationRate(workload, plan), plan.duration,
                                             plan.seed);
                for (const SimulatedPolicy &policy : policies) {
                    const std::string name
                        = workload.name + "_" + std::to_string(static_cast<int>(loadFactor * 100)) + "_" + policy.name;
                    jobs.push_back({ name, &policy, plan, {} });
                }
            }
        }
    }
    return jobs;
}

void runAll(std::vector<SimulationJob> &jobs)
{
    std::atomic<std::size_t> next{ 0 };
    std::vector<std::thread> threads;
    for (unsigned i = 0; i < std::thread::hardware_concurrency(); ++i) {
        threads.emplace_back([&] {
            for (std::size_t index = next++; index < jobs.size(); index = next++) {
                jobs[index].result = jobs[index].policy->run(jobs[index].plan);
            }
        });
    }
    for (std::thread &thread : threads) {
        thread.join();
    }
}

struct Metric
{
    const char *name;
    double (*value)(SimulationResult &result);
};

const Metric metrics[] = {
    { "preemptions_per_1000",
      [](SimulationResult &r) {
          return 1000.0 * static_cast<double>(r.preemptions) / static_cast<double>(r.requests);
      } },
    { "longest_stall_p50_ms",
      [](SimulationResult &r) {
          return r.maxStall.quantileMilliseconds(0.5);
      } },
    { "longest_stall_p99_ms",
      [](SimulationResult &r) {
          return r.maxStall.quantileMilliseconds(0.99);
      } },
    { "total_stall_p50_ms",
      [](SimulationResult &r) {
          return r.totalStall.quantileMilliseconds(0.5);
      } },
    { "total_stall_p99_ms",
      [](SimulationResult &r) {
          return r.totalStall.quantileMilliseconds(0.99);
      } },
    { "gap_p95_ms",
      [](SimulationResult &r) {
          return r.gap.quantileMilliseconds(0.95);
      } },
    { "gap_p99_ms",
      [](SimulationResult &r) {
          return r.gap.quantileMilliseconds(0.99);
      } },
    { "gap_max_ms",
      [](SimulationResult &r) {
          return r.gap.quantileMilliseconds(1);
      } },
    { "first_token_p95_ms",
      [](SimulationResult &r) {
          return r.firstToken.quantileMilliseconds(0.95);
      } },
    { "goodput_per_s",
      [](SimulationResult &r) {
          return r.goodputPerSecond;
      } },
    { "refused_share",
      [](SimulationResult &r) {
          return static_cast<double>(r.refused) / static_cast<double>(r.requests);
      } },
    { "jain",
      [](SimulationResult &r) {
          return r.accountJainIndex;
      } },
    { "least_fair_share",
      [](SimulationResult &r) {
          return r.minFairShareRatio;
      } },
};

// Adds the median, lowest and highest value of each metric over the seeds.
void report(std::vector<SimulationJob> &jobs, load::Figures &figures)
{
    std::map<std::string, std::vector<SimulationJob *>> byName;
    for (SimulationJob &job : jobs) {
        byName[job.name].push_back(&job);
    }
    for (auto &[name, runs] : byName) {
        for (const Metric &metric : metrics) {
            std::vector<double> values;
            for (SimulationJob *job : runs) {
                values.push_back(metric.value(job->result));
            }
            std::sort(values.begin(), values.end());
            figures.add(name + "_" + metric.name, values[values.size() / 2]);
            figures.add(name + "_" + metric.name + "_low", values.front());
            figures.add(name + "_" + metric.name + "_high", values.back());
        }
    }
}

} // namespace

} // namespace zinniadock::crowded

int main(int argc, char **argv)
{
    absl::ParseCommandLine(argc, argv);
    std::vector<zinniadock::crowded::SimulationJob> jobs = zinniadock::crowded::makeJobs();
    zinniadock::crowded::runAll(jobs);
    zinniadock::load::Figures figures;
    zinniadock::crowded::report(jobs, figures);
    figures.print();
    const std::string file = absl::GetFlag(FLAGS_json);
    return file.empty() || figures.write(file) ? 0 : 1;
}
