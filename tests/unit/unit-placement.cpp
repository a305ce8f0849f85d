#include <catch2/catch.hpp>

#include <random>

#include "zinniadock/process/placing/placement.h"

using namespace zinniadock;

namespace
{

constexpr SteadyTime now{ std::chrono::hours(1) };
const EngineCapacity limits{ .slots = 8, .memoryTokens = 30000, .supportsMoves = true };

ServerRecord engine(const std::string &id, const std::string &dataCentre = "north")
{
    return { .id = id,
             .pool = "engines",
             .address = { .address = "10.0.0." + std::to_string(id.back()), .port = 80 },
             .dataCentre = dataCentre,
             .slots = 8,
             .startTimeMs = 1000 };
}

EngineLoad load(std::uint32_t used, std::uint32_t running, std::uint32_t queued = 0)
{
    EngineLoad result;
    result.usedTokens = used;
    result.totalTokens = 30000;
    result.running = running;
    result.queued = queued;
    result.startTimeMs = 1000;
    return result;
}

double zeroDraw()
{
    return 0;
}

PlacementRequest newGeneration()
{
    return { .pool = "engines", .promptTokens = 3000, .expectedTokens = 4000, .dataCentre = "north" };
}

std::optional<std::string> place(const ServerDirectory &directory, const std::set<std::string> &excluded = {})
{
    return placeGeneration(directory, newGeneration(), limits, excluded, now, zeroDraw);
}

} // namespace

TEST_CASE("placing a generation")
{
    ServerDirectory directory;
    directory.addOrUpdate(engine("a"), now);
    directory.addOrUpdate(engine("b"), now);

    SECTION("chooses the engine with the most free memory after present and expected use")
    {
        directory.updateLoad("a", load(12000, 3), now);
        directory.updateLoad("b", load(9000, 2), now);
        CHECK(place(directory) == "b");
    }
    SECTION("counts requests of this entry that no report shows yet, so that a burst does not go to one engine")
    {
        std::map<std::string, int> chosen;
        for (int i = 0; i < 8; ++i) {
            const auto server = place(directory);
            REQUIRE(server);
            ++chosen[*server];
            directory.assign(*server, { .request = std::to_string(i), .promptTokens = 3000, .expectedTokens = 4000 });
        }
        CHECK(chosen["a"] == 4);
        CHECK(chosen["b"] == 4);
    }
    SECTION("chooses no engine if none has enough free memory for the expected output")
    {
        directory.updateLoad("a", load(25000, 6), now);
        directory.updateLoad("b", load(26000, 6), now);
        CHECK_FALSE(place(directory));
    }
    SECTION("counts the prompts of other entries that wait at an engine")
    {
        directory.updateLoad("a", load(15000, 4, 5), now);
        directory.updateLoad("b", load(16000, 4, 0), now);
        CHECK(place(directory) == "b");
    }
    SECTION("counts the prompts that an engine still processes, which it does not list as generations")
    {
        directory.updateLoad("a", load(9000, 3), now);
        EngineLoad decoding = load(12000, 3);
        decoding.generations = { { "r1", 4000, 9 }, { "r2", 4000, 9 }, { "r3", 4000, 9 } };
        directory.updateLoad("b", decoding, now);
        CHECK(waitingPromptTokens(*directory.find("a")) > 0);
        CHECK(waitingPromptTokens(*directory.find("b")) == 0);
        CHECK(place(directory) == "b");
    }
    SECTION("does not count a request of this entry twice once a report includes it")
    {
        const SteadyTime before = now - std::chrono::seconds(1);
        directory.assign("a", { .request = "r", .promptTokens = 3000, .expectedTokens = 4000, .assignedAt = before });
        directory.updateLoad("a", load(3000, 1), now);
        CHECK(committedTokens(*directory.find("a")) < 4001);
        CHECK(waitingPromptTokens(*directory.find("a")) == 3000);
    }
    SECTION("chooses no engine if every slot is taken")
    {
        directory.updateLoad("a", load(1000, 8), now);
        directory.updateLoad("b", load(1000, 5, 3), now);
        CHECK_FALSE(place(directory));
    }
    SECTION("skips engines that are draining, that were just marked as full, or that refused the request")
    {
        EngineLoad draining = load(0, 0);
        draining.isDraining = true;
        directory.updateLoad("a", draining, now);
        CHECK(place(directory) == "b");
        CHECK_FALSE(place(directory, { "b" }));
        directory.markFull("b", now);
        CHECK_FALSE(place(directory));
    }
    SECTION("prefers an engine in the entry's data centre, unless its load is much higher")
    {
        directory.addOrUpdate(engine("c", "south"), now);
        directory.updateLoad("a", load(3000, 1), now);
        directory.updateLoad("b", load(3000, 1), now);
        directory.updateLoad("c", load(3000, 1), now);
        CHECK(place(directory) != "c");
        directory.updateLoad("a", load(16000, 4), now);
        directory.updateLoad("b", load(16000, 4), now);
        CHECK(place(directory) == "c");
    }
    SECTION("chooses an engine in warm-up only if no other engine has enough free memory")
    {
        ServerRecord cold = engine("c");
        cold.warmUpDuration = std::chrono::milliseconds(1000);
        directory.addOrUpdate(cold, now);
        directory.updateLoad("a", load(9000, 2), now);
        directory.updateLoad("b", load(9000, 2), now);
        CHECK(place(directory) != "c");
        directory.updateLoad("a", load(29000, 2), now);
        directory.updateLoad("b", load(29000, 2), now);
        CHECK(place(directory) == "c");
    }
    SECTION("chooses among equal engines at random, because many entries see the same reports")
    {
        std::map<std::string, int> chosen;
        double next = 0;
        for (int i = 0; i < 100; ++i) {
            const auto server = placeGeneration(directory, newGeneration(), limits, {}, now, [&next] {
                next += 0.37;
                next -= static_cast<int>(next);
                return next;
            });
            ++chosen[server.value_or("")];
        }
        CHECK(chosen["a"] > 20);
        CHECK(chosen["b"] > 20);
    }
}

TEST_CASE("many entries that place generations by the same load reports")
{
    constexpr int servers = 48;
    constexpr std::uint32_t entries = 24;
    ServerDirectory directory;
    for (int i = 0; i < servers; ++i) {
        const std::string id = "e" + std::to_string(i);
        ServerRecord record = engine(id);
        record.address.port = static_cast<std::uint16_t>(1000 + i);
        directory.addOrUpdate(record, now);
        directory.updateLoad(id, load(i == 0 ? 0 : 9000, 2), now);
    }
    std::minstd_rand random(1);
    const RandomSource draw = [&random] {
        return std::uniform_real_distribution<>(0, 1)(random);
    };
    PlacementRequest request = newGeneration();
    const auto maxOnOneEngine = [&] {
        std::map<std::string, int> chosen;
        for (std::uint32_t entry = 0; entry < entries; ++entry) {
            ++chosen[placeGeneration(directory, request, limits, {}, now, draw).value_or("")];
        }
        int most = 0;
        for (const auto &[id, count] : chosen) {
            most = std::max(most, count);
        }
        return most;
    };

    SECTION("all choose the least loaded engine if each compares all engines")
    {
        CHECK(maxOnOneEngine() == entries);
    }
    SECTION("spread over the engines if each compares a random sample")
    {
        request.sampleSize = sampleSizeFor(servers, entries);
        CHECK(request.sampleSize == 2);
        CHECK(maxOnOneEngine() <= 4);
    }
    SECTION("a single entry compares all engines")
    {
        CHECK(sampleSizeFor(servers, 1) == servers);
    }
}

TEST_CASE("moving a running generation to another engine")
{
    ServerDirectory directory;
    for (const char *id : { "a", "b", "c" }) {
        directory.addOrUpdate(engine(id), now);
    }
    directory.addOrUpdate(engine("d", "south"), now);

    SECTION("never returns the source engine, and returns engines in the same data centre first")
    {
        const auto targets = moveTargets(directory, newGeneration(), limits, "a", 4, now, zeroDraw);
        REQUIRE(targets.size() == 3);
        CHECK(targets.back() == "d");
        CHECK(std::find(targets.begin(), targets.end(), "a") == targets.end());
    }
    SECTION("may use the memory that new generations must leave free")
    {
        for (const char *id : { "b", "c", "d" }) {
            directory.updateLoad(id, load(24000, 6), now);
        }
        CHECK_FALSE(placeGeneration(directory, newGeneration(), limits, { "a" }, now, zeroDraw));
        CHECK(moveTargets(directory, newGeneration(), limits, "a", 4, now, zeroDraw).size() == 3);
    }
}

TEST_CASE("placing a call")
{
    ServerDirectory directory;
    directory.addOrUpdate(engine("a"), now);
    directory.addOrUpdate(engine("b"), now);
    const PlacementRequest request{ .pool = "engines", .dataCentre = "north" };

    SECTION("chooses the server with the fewest requests of this entry")
    {
        directory.assign("a", { .request = "1" });
        CHECK(placeCall(directory, request, {}, now, zeroDraw) == "b");
    }
    SECTION("skips a server that just failed, but uses it if there is no other")
    {
        directory.recordConnectionFailure("a", now);
        directory.assign("b", { .request = "1" });
        CHECK(placeCall(directory, request, {}, now, zeroDraw) == "b");
        CHECK(placeCall(directory, request, { "b" }, now, zeroDraw) == "a");
    }
    SECTION("finds no server while all are paused, and returns the time at which the first pause ends")
    {
        for (const char *id : { "a", "b" }) {
            directory.pause(id, now + std::chrono::seconds(id[0] == 'a' ? 2 : 1));
        }
        CHECK_FALSE(placeCall(directory, request, {}, now, zeroDraw));
        CHECK(earliestPauseEnd(directory, "engines", now) == now + std::chrono::seconds(1));
        const SteadyTime after = now + std::chrono::milliseconds(1001);
        CHECK(placeCall(directory, request, {}, after, zeroDraw) == "b");
        CHECK_FALSE(earliestPauseEnd(directory, "engines", after));
    }
    SECTION("finds no server if all are draining")
    {
        directory.markUnlisted("a", now);
        directory.markUnlisted("b", now);
        CHECK_FALSE(placeCall(directory, request, {}, now, zeroDraw));
    }
}

TEST_CASE("many entries with more engines than each entry can monitor")
{
    constexpr std::size_t engines = 128;
    constexpr std::size_t probes = 4;
    ServerDirectory directory;
    for (std::size_t i = 0; i < engines; ++i) {
        directory.addOrUpdate(engine("e" + std::to_string(i)), now);
    }
    std::minstd_rand random(1);
    const RandomSource draw = [&random] {
        return std::uniform_real_distribution<>(0, 1)(random);
    };
    const PlacementRequest request = newGeneration();
    const std::chrono::milliseconds age(350);

    SECTION("probe the given number of engines for one request, spread over all of them")
    {
        std::set<std::string> asked;
        for (int attempt = 0; attempt < 300; ++attempt) {
            const auto chosen = enginesToProbe(directory, request, {}, probes, age, now, draw);
            CHECK(chosen.size() == probes);
            asked.insert(chosen.begin(), chosen.end());
        }
        CHECK(asked.size() == engines);
    }
    SECTION("probe neither engines that are draining, paused or failed, nor those whose load they know")
    {
        for (std::size_t i = 0; i < engines; ++i) {
            const std::string id = "e" + std::to_string(i);
            if (i % 4 == 0) {
                directory.markDraining(id);
            } else if (i % 4 == 1) {
                directory.pause(id, now + std::chrono::seconds(1));
            } else if (i % 4 == 2) {
                directory.recordConnectionFailure(id, now);
            } else {
                directory.updateLoad(id, load(0, 0), now);
            }
        }
        CHECK(enginesToProbe(directory, request, {}, engines, age, now, draw).empty());
        CHECK(enginesToProbe(directory, request, {}, engines, age, now + 2 * age, draw).size() == engines / 4);
    }
    SECTION("use only fresh load reports: an engine that is empty in an old report is not chosen")
    {
        directory.updateLoad("e1", load(0, 0), now - 2 * age);
        directory.updateLoad("e2", load(9000, 3), now);
        PlacementRequest fresh = request;
        fresh.maxLoadAge = age;
        CHECK(placeGeneration(directory, fresh, limits, {}, now, zeroDraw) == "e2");
        CHECK_FALSE(placeGeneration(directory, fresh, limits, { "e2" }, now, zeroDraw));
    }
}
