#include <catch2/catch.hpp>

#include <cmath>
#include <random>
#include <set>

#include <rapidcheck.h>

#include "zinniadock/process/admission/admission.h"

using namespace zinniadock;

namespace
{

const DecisionTime start = DecisionTime(std::chrono::hours(1));

AdmissionRequest request(std::uint64_t id, const std::string &account = "a", std::uint32_t prompt = 100)
{
    return AdmissionRequest{ .key = { .request = { .high = 0, .low = id }, .generation = 1 },
                             .account = account,
                             .route = "r",
                             .version = "v",
                             .promptTokens = prompt,
                             .deadline = start + std::chrono::hours(1) };
}

EngineLimits limits(std::uint32_t blocks)
{
    return EngineLimits{ .totalBlocks = blocks,
                         .maxRunning = 1000,
                         .maxWaiting = 1000,
                         .memoryRisk = 0.01,
                         .maxWait = std::chrono::hours(1) };
}

// Runs a number of requests with outputs of one length, which the length statistics record.
void recordOutputs(Admission &admission, std::uint32_t tokens, int outputs, const std::string &account = "a")
{
    for (int i = 0; i < outputs; ++i) {
        const AdmissionRequest sample = request(1000000 + static_cast<std::uint64_t>(i), account, 1);
        REQUIRE(admission.submit(sample, start).outcome == AdmissionOutcome::Admitted);
        for (std::uint32_t token = 0; token < tokens; ++token) {
            admission.recordToken(sample.key);
        }
        admission.finish(sample.key, true, start);
    }
}

std::uint32_t admittedOf(Admission &admission, int requestCount, const std::string &account = "a")
{
    std::uint32_t admitted = 0;
    for (int i = 0; i < requestCount; ++i) {
        admitted += admission.submit(request(static_cast<std::uint64_t>(i), account), start).outcome
            == AdmissionOutcome::Admitted;
    }
    return admitted;
}

} // namespace

TEST_CASE("length forecasts")
{
    SECTION("of a class depend only on the outputs of this class")
    {
        LengthStatistics statistics(400);
        const auto shortOutputs = statistics.find({ "a", "check", "v" });
        const auto longOutputs = statistics.find({ "a", "brief", "v" });
        for (int i = 0; i < 64; ++i) {
            statistics.record(shortOutputs, 20);
            statistics.record(longOutputs, 2000);
        }
        CHECK(shortOutputs->forecast.survival(100) < 0.1);
        CHECK(longOutputs->forecast.survival(100) > 0.9);
        CHECK(longOutputs->forecast.remaining(1000).survival(200) > 0.9);
        CHECK(longOutputs->forecast.remaining(1000).survival(4000) < 0.1);
    }

    SECTION("of an account without recorded outputs use the outputs of its route")
    {
        LengthStatistics statistics(400);
        const auto known = statistics.find({ "a", "check", "v" });
        for (int i = 0; i < 64; ++i) {
            statistics.record(known, 20);
        }
        CHECK(statistics.find({ "new", "check", "v" })->forecast.survival(200) < 0.1);
    }

    SECTION("follow a change of the lengths within 128 outputs")
    {
        LengthStatistics statistics(400);
        const auto changed = statistics.find({ "a", "brief", "v" });
        for (int i = 0; i < 1000; ++i) {
            statistics.record(changed, 100);
        }
        CHECK(changed->forecast.survival(500) < 0.1);
        for (int i = 0; i < 128; ++i) {
            statistics.record(changed, 1000);
        }
        CHECK(changed->forecast.survival(500) > 0.75);
    }

    SECTION("of an output longer than all recorded ones expect its length to about double")
    {
        LengthStatistics statistics(400);
        const auto known = statistics.find({ "a", "check", "v" });
        for (int i = 0; i < 64; ++i) {
            statistics.record(known, 20);
        }
        CHECK(known->forecast.remaining(5000).survival(5000) == Approx(0.5).margin(0.1));
    }

    SECTION("are probabilities that never increase with the length")
    {
        CHECK(rc::check([] {
            LengthHistogram histogram;
            for (const auto length :
                 *rc::gen::nonEmpty(rc::gen::container<std::vector<int>>(rc::gen::inRange(1, 70000)))) {
                histogram.add(length);
            }
            const LengthForecast forecast(histogram.curve(), histogram.weight());
            const double emitted = *rc::gen::inRange(0, 40000);
            double last = 1;
            for (double more = 0; more < 60000; more = more * 2 + 1) {
                const double now = forecast.remaining(emitted).survival(more);
                RC_ASSERT(now >= 0 && now <= last + 1e-9);
                last = now;
            }
        }));
    }
}

TEST_CASE("admission")
{
    SECTION("reserves memory for the expected growth of running requests")
    {
        Admission admission(limits(1000), 400); // 16000 tokens
        recordOutputs(admission, 900, 64);
        const std::uint32_t admitted = admittedOf(admission, 50);
        CHECK(admitted >= 8); // 16 requests of 1000 tokens fill the memory
        CHECK(admitted <= 16);
    }

    SECTION("admits many requests if the expected outputs are short")
    {
        Admission admission(limits(1000), 400);
        recordOutputs(admission, 10, 64);
        CHECK(admittedOf(admission, 200) >= 90); // 145 requests of 110 tokens fill the memory
    }

    SECTION("admits a request of any expected length if no other runs")
    {
        Admission admission(limits(100), 100000);
        CHECK(admission.submit(request(1), start).outcome == AdmissionOutcome::Admitted);
    }

    SECTION("refuses a prompt that can never fit")
    {
        Admission admission(limits(100), 400);
        const AdmissionDecision decision = admission.submit(request(1, "a", 2000), start);
        CHECK(decision.outcome == AdmissionOutcome::Refused);
        CHECK(decision.reason == RequestError::EngineRefused);
    }

    SECTION("refuses with a retry time if the expected wait is longer than the deadline")
    {
        Admission admission(limits(100), 400);
        DecisionTime now = start;
        for (std::uint64_t i = 0; i < 20; ++i) { // one request ends every 2 s
            admission.submit(request(500 + i), now);
            now += std::chrono::seconds(2);
            admission.finish(request(500 + i).key, true, now);
            admission.admitReady();
        }
        AdmissionRequest patient = request(1, "a", 800);
        patient.deadline = now + std::chrono::hours(1);
        CHECK(admission.submit(patient, now).outcome == AdmissionOutcome::Admitted);
        std::uint64_t id = 2;
        for (; id < 7; ++id) {
            AdmissionRequest next = request(id, "a", 800);
            next.deadline = now + std::chrono::hours(1);
            CHECK(admission.submit(next, now).outcome == AdmissionOutcome::Queued);
        }
        AdmissionRequest hasty = request(id, "a", 800);
        hasty.deadline = now + std::chrono::seconds(3);
        const AdmissionDecision decision = admission.submit(hasty, now);
        CHECK(decision.outcome == AdmissionOutcome::Refused);
        CHECK(decision.retryAfter >= std::chrono::seconds(1));
        CHECK(decision.retryAfter <= std::chrono::seconds(60));
    }

    SECTION("serves higher priority first, then the account that was served least")
    {
        Admission admission(limits(100), 400); // one request of 800 tokens at a time
        admission.submit(request(1, "large", 800), start);
        for (std::uint64_t id = 2; id < 10; ++id) {
            CHECK(admission.submit(request(id, "large", 800), start).outcome == AdmissionOutcome::Queued);
        }
        admission.submit(request(20, "small", 800), start);
        AdmissionRequest urgent = request(30, "large", 800);
        urgent.priority = 5;
        admission.submit(urgent, start);
        std::vector<std::uint64_t> order;
        GenerationKey running = request(1).key;
        for (int i = 0; i < 3; ++i) {
            admission.finish(running, false, start);
            const auto ready = admission.admitReady();
            REQUIRE(ready.size() == 1);
            running = ready.front();
            order.push_back(running.request.low);
        }
        CHECK(order == std::vector<std::uint64_t>{ 30, 20, 2 });
    }

    SECTION("subtracts the memory that the engine reports as used by others")
    {
        Admission admission(limits(1000), 400);
        recordOutputs(admission, 10, 64);
        admission.applyEngineReport(900, 1000, 0, start);
        CHECK(admission.usableBlocks() == Approx(100));
        CHECK(admittedOf(admission, 200) <= 14);
    }

    SECTION("does not count its own requests as external use when the report is stale")
    {
        Admission admission(limits(1000), 400);
        recordOutputs(admission, 10, 64);
        admittedOf(admission, 100);
        admission.applyEngineReport(0, 1000, 0, start);
        const std::uint32_t committed = admission.committedBlocks();
        for (std::uint64_t id = 0; id < 100; ++id) {
            admission.finish(request(id).key, true, start);
        }
        admission.applyEngineReport(committed, 1000, 0, start + std::chrono::milliseconds(500));
        CHECK(admission.usableBlocks() == Approx(1000));
    }

    SECTION("keeps more memory free after preemptions, and uses it again later")
    {
        Admission admission(limits(1000), 400);
        admission.applyEngineReport(0, 1000, 10, start);
        CHECK(admission.usableBlocks() == Approx(1000));
        admission.applyEngineReport(0, 1000, 13, start);
        CHECK(admission.usableBlocks() < 990);
        for (int i = 0; i < 5000; ++i) {
            admission.applyEngineReport(0, 1000, 13, start + std::chrono::milliseconds(i));
        }
        CHECK(admission.usableBlocks() > 998);
    }

    SECTION("returns the waiting requests when it closes, and admits nothing afterwards")
    {
        Admission admission(limits(100), 400);
        admission.submit(request(1, "a", 800), start);
        admission.submit(request(2, "a", 800), start);
        CHECK(admission.close().size() == 1);
        CHECK(admission.submit(request(3), start).reason == RequestError::Draining);
        admission.finish(request(1).key, true, start);
        CHECK(admission.admitReady().empty());
    }
}

TEST_CASE("waiting for admission")
{
    EngineLimits engine = limits(100); // one request of 800 tokens at a time
    engine.maxWait = std::chrono::milliseconds(2000);
    Admission admission(engine, 400);
    DecisionTime now = start;
    for (std::uint64_t i = 0; i < 20; ++i) { // one request ends every 500 ms
        admission.submit(request(500 + i, "large"), now);
        now += std::chrono::milliseconds(500);
        admission.finish(request(500 + i, "large").key, true, now);
        admission.admitReady();
    }
    const auto submit = [&](std::uint64_t id, const std::string &account) {
        AdmissionRequest submitted = request(id, account, 800);
        submitted.deadline = now + std::chrono::hours(1);
        return admission.submit(submitted, now);
    };
    REQUIRE(submit(1, "large").outcome == AdmissionOutcome::Admitted);
    std::uint64_t id = 2;
    while (submit(id, "large").outcome == AdmissionOutcome::Queued) {
        ++id;
    }

    SECTION("is refused if the expected wait exceeds the maximum wait, whatever the deadline")
    {
        CHECK(admission.waitingCount() <= 4);
        CHECK(admission.waitingCount() >= 2);
        CHECK(submit(50, "large").retryAfter >= std::chrono::seconds(1));
    }

    SECTION("a request of an account that was served less displaces the last queued request")
    {
        const std::uint32_t waiting = admission.waitingCount();
        CHECK(submit(60, "small").outcome == AdmissionOutcome::Queued);
        CHECK(admission.waitingCount() == waiting);
        const std::vector<DroppedRequest> dropped = admission.takeDropped(now);
        REQUIRE(dropped.size() == 1);
        CHECK(dropped[0].reason == RequestError::QueueFull);
        CHECK(dropped[0].retryAfter >= std::chrono::seconds(1));
        CHECK(dropped[0].key.request.low == id - 1);
    }

    SECTION("ends after twice the maximum wait even if the estimate was wrong")
    {
        const std::uint32_t waiting = admission.waitingCount();
        CHECK(admission.takeDropped(now + std::chrono::milliseconds(3900)).empty());
        CHECK(admission.takeDropped(now + std::chrono::milliseconds(4000)).size() == waiting);
    }
}

TEST_CASE("properties of admission")
{
    // Applies random submissions, tokens, ends, cancellations and times. Each request must be admitted, expired or
    // refused once.
    SECTION("every request gets one outcome, and all counts return to zero")
    {
        CHECK(rc::check([] {
            Admission admission(limits(static_cast<std::uint32_t>(*rc::gen::inRange(20, 400))), 200);
            std::set<std::uint64_t> running;
            std::set<std::uint64_t> waiting;
            DecisionTime now = start;
            std::uint64_t id = 0;
            const auto take = [&](const std::vector<GenerationKey> &keys, bool run) {
                for (const GenerationKey &key : keys) {
                    RC_ASSERT(waiting.erase(key.request.low) == 1U);
                    if (run) {
                        running.insert(key.request.low);
                    }
                }
            };
            const auto steps = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 100));
            for (const int step : steps) {
                now += std::chrono::milliseconds(step);
                if (step < 40) {
                    AdmissionRequest submitted
                        = request(++id, step % 2 == 0 ? "a" : "b", static_cast<std::uint32_t>(10 + step * 5));
                    submitted.deadline = now + std::chrono::milliseconds(step * 20);
                    const AdmissionDecision decision = admission.submit(submitted, now);
                    if (decision.outcome == AdmissionOutcome::Admitted) {
                        RC_ASSERT(waiting.empty());
                        running.insert(id);
                    } else if (decision.outcome == AdmissionOutcome::Queued) {
                        waiting.insert(id);
                    } else {
                        RC_ASSERT(decision.retryAfter.count() >= 0);
                    }
                } else if (step < 70 && !running.empty()) {
                    admission.recordToken(request(*running.begin()).key);
                } else if (step < 90 && !running.empty()) {
                    admission.finish(request(*running.begin()).key, step % 2 == 0, now);
                    running.erase(running.begin());
                }
                std::vector<GenerationKey> dropped;
                for (const DroppedRequest &droppedRequest : admission.takeDropped(now)) {
                    dropped.push_back(droppedRequest.key);
                }
                take(dropped, false);
                take(admission.admitReady(), true);
                RC_ASSERT(admission.runningCount() == running.size());
                RC_ASSERT(admission.waitingCount() == waiting.size());
                RC_ASSERT(!running.empty() || waiting.empty());
            }
            for (const std::uint64_t left : running) {
                admission.finish(request(left).key, true, now);
            }
            for (const std::uint64_t left : waiting) {
                admission.finish(request(left).key, false, now);
            }
            RC_ASSERT(admission.runningCount() == 0U);
            RC_ASSERT(admission.waitingCount() == 0U);
            RC_ASSERT(admission.committedBlocks() == 0U);
        }));
    }

    // Draws the output lengths from the distribution of the recorded outputs. The memory may be exceeded in 2% of the
    // trials, which is twice the configured risk.
    SECTION("memory is exceeded at most twice as often as the risk bound allows")
    {
        std::mt19937_64 random(7);
        std::lognormal_distribution<double> length(std::log(200), 0.8);
        constexpr std::uint32_t blocks = 2000;
        constexpr int trials = 400;
        int exceeded = 0;
        EngineLimits engine = limits(blocks);
        engine.memoryRisk = 0.01;
        Admission trained(engine, 400);
        for (int i = 0; i < 300; ++i) {
            recordOutputs(trained, static_cast<std::uint32_t>(std::ceil(length(random))), 1);
        }
        for (int trial = 0; trial < trials; ++trial) {
            Admission admission = trained;
            std::vector<double> lengths;
            for (std::uint64_t id = 0; id < 1000; ++id) {
                if (admission.submit(request(id), start).outcome != AdmissionOutcome::Admitted) {
                    break;
                }
                lengths.push_back(std::ceil(length(random)));
            }
            double peak = 0;
            for (double time = 0; time < 8000; time += 8) {
                double used = 0;
                for (const double total : lengths) {
                    used += total > time ? std::ceil((100 + time) / 16) : 0;
                }
                peak = std::max(peak, used);
            }
            exceeded += peak > blocks ? 1 : 0;
        }
        CHECK(exceeded <= trials * 0.02);
    }
}
