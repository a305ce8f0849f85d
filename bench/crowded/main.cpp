#include <atomic>
#include <iostream>
#include <memory>
#include <mutex>
#include <thread>

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>

#include "simulation.h"

ABSL_FLAG(int, seed, 1, "first seed");
ABSL_FLAG(int, seeds, 5, "number of seeds");
ABSL_FLAG(int, seconds, 600, "simulated time of each run");
ABSL_FLAG(std::string, json, "", "file for the figures");

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
    std::set<std::size_t> open;
    for (std::size_t i = 0; i < demands.size(); ++i) {
        open.insert(i);
    }
    while (!open.empty()) {
        const double each = capacity / static_cast<double>(open.size());
        std::vector<std::size_t> satisfied;
        for (const std::size_t i : open) {
            if (demands[i] <= each) {
                satisfied.push_back(i);
            }
        }
        if (satisfied.empty()) {
            for (const std::size_t i : open) {
                shares[i] = each;
            }
            break;
        }
        for (const std::size_t i : satisfied) {
            shares[i] = demands[i];
            capacity -= demands[i];
            open.erase(i);
        }
    }
    return shares;
}

namespace
{

struct Policy
{
    std::string name;
    SimulationResult (*run)(SimulationPlan plan);
};

template <typename Gate, Spread How>
SimulationResult runPolicy(SimulationPlan plan)
{
    plan.spread = How;
    return Simulation<Gate>(plan).run();
}

const Policy policies[] = {
    { "round_robin", runPolicy<OpenGate, Spread::RoundRobin> },
    { "least_outstanding", runPolicy<OpenGate, Spread::LeastOutstanding> },
    { "reservation", runPolicy<ReservationGate, Spread::LeastOutstanding> },
    { "clairvoyant", runPolicy<ClairvoyantGate, Spread::LeastOutstanding> },
    { "zinniadock", runPolicy<DaemonGate, Spread::Daemon> },
};

constexpr double loads[] = { 0.7, 1.0, 1.5 };

standin::EngineModelSettings crowdedEngine()
{
    return { .totalBlocks = 2000,
             .blockTokens = 16,
             .maxBatch = 128,
             .prefillTokensPerStep = 2048,
             .stepBase = std::chrono::microseconds(22000),
             .stepPerSequence = std::chrono::microseconds(150),
             .prefillPerToken = std::chrono::microseconds(10) };
}

// The rate at which requests fill the memory of all engines, at the step time of a usual batch.
double fullRate(const Workload &workload, const SimulationPlan &plan)
{
    constexpr double usualBatch = 50;
    const double step
        = Seconds(plan.engine.stepBase).count() + usualBatch * Seconds(plan.engine.stepPerSequence).count();
    const double memory = static_cast<double>(plan.engine.totalBlocks) * plan.engine.blockTokens;
    return static_cast<double>(plan.servers) * memory / (meanMemorySteps(workload, 1) * step);
}

struct Job
{
    std::string name;
    const Policy *policy = nullptr;
    SimulationPlan plan;
    SimulationResult result;
};

std::vector<Job> makeJobs()
{
    std::vector<Job> jobs;
    for (const Workload &workload : { trilhos(), qorgan() }) {
        for (const double factor : loads) {
            for (int i = 0; i < absl::GetFlag(FLAGS_seeds); ++i) {
                SimulationPlan plan;
                plan.workload = workload;
                plan.engine = crowdedEngine();
                plan.length = Seconds(absl::GetFlag(FLAGS_seconds));
                plan.seed = static_cast<std::uint64_t>(absl::GetFlag(FLAGS_seed)) + static_cast<std::uint64_t>(i);
                plan.arrivals = drawArrivals(workload, factor * fullRate(workload, plan), plan.length, plan.seed);
                for (const Policy &policy : policies) {
                    const std::string name
                        = workload.name + "_" + std::to_string(static_cast<int>(factor * 100)) + "_" + policy.name;
                    jobs.push_back({ name, &policy, plan, {} });
                }
            }
        }
    }
    return jobs;
}

void runAll(std::vector<Job> &jobs)
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

struct Measure
{
    const char *name;
    double (*read)(SimulationResult &result);
};

const Measure measures[] = {
    { "preemptions_per_1000",
      [](SimulationResult &r) {
          return 1000.0 * static_cast<double>(r.preemptions) / static_cast<double>(r.requests);
      } },
    { "longest_stall_p50_ms",
      [](SimulationResult &r) {
          return r.longestStall.quantileMilliseconds(0.5);
      } },
    { "longest_stall_p99_ms",
      [](SimulationResult &r) {
          return r.longestStall.quantileMilliseconds(0.99);
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
          return r.jain;
      } },
    { "least_fair_share",
      [](SimulationResult &r) {
          return r.leastFairShare;
      } },
};

// Reports the median over the seeds, and the spread as lowest and highest.
void report(std::vector<Job> &jobs, load::Figures &figures)
{
    std::map<std::string, std::vector<Job *>> byName;
    for (Job &job : jobs) {
        byName[job.name].push_back(&job);
    }
    for (auto &[name, runs] : byName) {
        for (const Measure &measure : measures) {
            std::vector<double> values;
            for (Job *job : runs) {
                values.push_back(measure.read(job->result));
            }
            std::sort(values.begin(), values.end());
            figures.add(name + "_" + measure.name, values[values.size() / 2]);
            figures.add(name + "_" + measure.name + "_low", values.front());
            figures.add(name + "_" + measure.name + "_high", values.back());
        }
    }
}

} // namespace

} // namespace zinniadock::crowded

int main(int argc, char **argv)
{
    absl::ParseCommandLine(argc, argv);
    std::vector<zinniadock::crowded::Job> jobs = zinniadock::crowded::makeJobs();
    zinniadock::crowded::runAll(jobs);
    zinniadock::load::Figures figures;
    zinniadock::crowded::report(jobs, figures);
    figures.print();
    const std::string file = absl::GetFlag(FLAGS_json);
    return file.empty() || figures.write(file) ? 0 : 1;
}
