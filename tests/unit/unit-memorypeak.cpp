#include <catch2/catch.hpp>

#include "zinniadock/detail/cbormessage.h"
#include "zinniadock/process/admission/engineadmission.h"
#include "zinniadock/process/admission/memorypeak.h"
#include "zinniadock/process/links/sidecarmessages.h"

using namespace zinniadock;

namespace
{

constexpr SteadyTime start{ std::chrono::hours(1) };
constexpr std::uint32_t memory = 26901;
constexpr std::uint32_t draftPrompt = 3079;
constexpr std::uint32_t draftOutput = 748;
constexpr double noBound = 1e9;

AdmissionQuery draft(const std::string &request)
{
    return { .request = request,
             .promptTokens = draftPrompt,
             .expectedTokens = draftPrompt + draftOutput,
             .maxTokens = draftPrompt + 2 * draftOutput,
             .slots = 24,
             .usableFraction = 0.88,
             .forecastFraction = 0.95,
             .maxWaitingTokens = 100000 };
}

AdmissionQuery verdict()
{
    AdmissionQuery query = draft("verdict");
    query.promptTokens = 2550;
    query.expectedTokens = 2550 + 12;
    query.maxTokens = 2550 + 24;
    return query;
}

/// Admits drafts of which each has the share \p progress of its output, and reports them as running.
void runDrafts(EngineAdmission &admission, const std::vector<double> &progress)
{
    EngineLoad load;
    load.totalTokens = memory;
    load.startTimeMs = 1000;
    admission.update(load, start);
    for (const double share : progress) {
        const std::string request = std::to_string(load.running++);
        AdmissionQuery query = draft(request);
        query.usableFraction = 2;
        query.forecastFraction = 0;
        REQUIRE(admission.admit(query, start).admitted);
        const auto tokens = draftPrompt + static_cast<std::uint32_t>(share * draftOutput);
        load.generations.push_back({ request, tokens, 1 });
        load.usedTokens += tokens;
    }
    admission.update(load, start + std::chrono::milliseconds(100));
}

} // namespace

// Guards against short requests that are refused while memory is kept for growth that comes after their end.
TEST_CASE("a short request uses memory that is kept for later growth")
{
    EngineAdmission admission;
    runDrafts(admission, { 0, 0, 0, 0, 0, 0 });
    const double committed = admission.committedTokens() / memory;
    CHECK(committed > 0.75);
    AdmissionQuery byShare = verdict();
    byShare.forecastFraction = 0;
    CHECK_FALSE(admission.admit(byShare, start).admitted);
    CHECK(admission.admit(verdict(), start).admitted);
}

// Guards against preemptions: the estimates of outputs are too uncertain to count on the ends of generations.
TEST_CASE("the forecast does not admit a long request beyond the usable share")
{
    EngineAdmission admission;
    runDrafts(admission, { 0.9, 0.75, 0.6, 0.45, 0.3, 0.15 });
    CHECK(admission.admit(draft("long"), start).reason == "not enough free memory");
}

// Guards against an engine whose memory is full of short requests.
TEST_CASE("short requests are admitted only while the growth until their end fits")
{
    EngineAdmission admission;
    runDrafts(admission, { 0.9, 0.9, 0.9, 0.9, 0.9, 0.9 });
    CHECK(admission.admit(verdict(), start).admitted);
    AdmissionQuery second = verdict();
    second.request = "second";
    CHECK_FALSE(admission.admit(second, start).admitted);
}

// Guards against a change for queries of entries of an earlier version, and for moves.
TEST_CASE("without a forecast the usable share decides")
{
    EngineAdmission admission;
    runDrafts(admission, { 0, 0, 0, 0, 0, 0 });
    AdmissionQuery moved = verdict();
    moved.heldTokens = moved.promptTokens;
    CHECK_FALSE(admission.admit(moved, start).admitted);
    AdmissionQuery earlier = verdict();
    earlier.forecastFraction = 0;
    CHECK_FALSE(admission.admit(earlier, start).admitted);
    earlier.usableFraction = 1;
    CHECK(admission.admit(earlier, start).admitted);
}

// Guards against a forecast that counts memory as free although outputs grow.
TEST_CASE("the memory peak includes the growth until the candidate ends")
{
    const GenerationMemory candidate{ .held = 1000, .growth = 100, .maxGrowth = noBound };
    CHECK(peakTokens({}, candidate, 500, 0) == Approx(1800));
    CHECK(peakTokens({}, { .held = 1000, .growth = 100, .maxGrowth = 150 }, 500, 0) == Approx(1650));
    CHECK(peakTokens({ { .held = 2000, .growth = 0, .maxGrowth = 10 } }, candidate, 0, 0) == Approx(3310));
    CHECK(peakTokens({ { .held = 2000, .growth = 50, .maxGrowth = noBound } }, candidate, 0, 0) == Approx(3600));
    // The running generation grows while the engine reads unread prompts.
    CHECK(peakTokens({ { .held = 2000, .growth = 0, .maxGrowth = noBound } }, candidate, 0, 1000) == Approx(3620));
}

// Guards against a sidecar that refuses the queries of entries of an earlier version during an update.
TEST_CASE("a query without a forecast is understood")
{
    const std::string message = encode(draft("a"));
    CHECK(decodeAdmissionQuery(message)->forecastFraction == 0.95);
    nlohmann::json earlier = nlohmann::json::from_cbor(message);
    REQUIRE(earlier.erase("forecast_usable") == 1);
    const auto query = decodeAdmissionQuery(detail::toCbor(earlier));
    REQUIRE(query);
    CHECK(query->forecastFraction == 0);
    CHECK(query->usableFraction == 0.88);
}
