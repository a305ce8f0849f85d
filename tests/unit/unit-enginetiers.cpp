#include <catch2/catch.hpp>

#include <random>

#include "speedpool.h"
#include "zinniadock/process/placing/enginetiers.h"
#include "zinniadock/process/placing/placement.h"

using namespace zinniadock;
using namespace zinniadock::test;
using std::chrono::milliseconds;

namespace
{

const StreamNeed longNeed{
    .isLong = true, .gapBound = streamBound, .targetLatency = milliseconds(4000), .shortShare = 0.5
};
const StreamNeed shortNeed{
    .isLong = false, .gapBound = streamBound, .targetLatency = milliseconds(1500), .shortShare = 0.5
};

PlacementRequest longStream()
{
    return { .pool = "engines",
             .promptTokens = 3079,
             .expectedTokens = 3823,
             .sampleSize = 2,
             .dataCentre = "north",
             .stream = longNeed };
}

PlacementRequest shortOutput()
{
    return { .pool = "engines",
             .promptTokens = 2550,
             .expectedTokens = 2562,
             .sampleSize = 2,
             .dataCentre = "north",
             .stream = shortNeed };
}

/// Places generations by one entry, which draws its candidates at random.
class Placer
{
public:
    explicit Placer(ServerDirectory &directory)
        : m_directory(directory)
    {
    }

    std::optional<std::string> choose(const PlacementRequest &request)
    {
        return placeGeneration(m_directory, request, speedLimits, {}, testNow, [this] {
            return std::uniform_real_distribution<double>(0, 1)(m_random);
        });
    }

    /// Places a generation that does not end.
    std::string place(const PlacementRequest &request, bool isPromptRead)
    {
        const auto server = choose(request);
        REQUIRE(server);
        const Assignment assignment{ .request = std::to_string(m_random()),
                                     .promptTokens = request.promptTokens,
                                     .expectedTokens = request.expectedTokens,
                                     .hasStarted = isPromptRead,
                                     .assignedAt = testNow };
        m_directory.assign(*server, assignment);
        return *server;
    }

private:
    ServerDirectory &m_directory;
    std::minstd_rand m_random{ 7 };
};

struct UnevenPool
{
    UnevenPool()
    {
        addEngines(directory, 10, loadOfSpeed(0.55));
        addEngines(directory, 28, loadOfSpeed(1.2));
    }

    bool isFast(const std::string &id) const
    {
        return directory.servers().at(id).load.eventTimes.alone->typical < milliseconds(25);
    }

    ServerDirectory directory;
};

} // namespace

TEST_CASE("placing generations among engines of different speed")
{
    UnevenPool pool;
    Placer placer(pool.directory);
    const EngineTiers tiers(pool.directory, "engines", longNeed);
    REQUIRE(tiers.hasEffect());

    SECTION("90 long streams fill the 10 engines of 38 that keep the bound, and avoid the engines for short outputs")
    {
        int fast = 0;
        std::map<std::string, int> slow;
        for (int i = 0; i < 90; ++i) {
            const std::string server = placer.place(longStream(), true);
            pool.isFast(server) ? ++fast : ++slow[server];
        }
        constexpr int streamsPerEngine = 7; // fit into the share of an engine's memory that new work may use
        CHECK(fast == 10 * streamsPerEngine);
        for (const auto &[server, streams] : slow) {
            CHECK_FALSE(tiers.isForShortOutputs(server));
            CHECK(streams <= 6);
        }
    }
    SECTION("short outputs gather on their engines while their first events stay in time")
    {
        for (int i = 0; i < 14; ++i) {
            CHECK(tiers.isForShortOutputs(placer.place(shortOutput(), false)));
        }
    }
    SECTION("short outputs avoid the engines for long streams when prompts wait at their own engines")
    {
        for (int i = 0; i < 40; ++i) {
            const std::string server = placer.place(shortOutput(), false);
            CHECK((pool.isFast(server) || tiers.isForShortOutputs(server)));
        }
    }
    SECTION("a long stream avoids an engine that keeps the bound when prompts for a second and more wait there")
    {
        for (int i = 0; i < 10; ++i) {
            EngineLoad load = loadOfSpeed(0.55);
            load.waitingTokens = 12000;
            pool.directory.updateLoad(engineName(i), load, testNow);
        }
        const auto server = placer.choose(longStream());
        REQUIRE(server);
        CHECK_FALSE(pool.isFast(*server));
        CHECK_FALSE(tiers.isForShortOutputs(*server));
    }
    SECTION("a long stream goes to any engine if the others are full")
    {
        for (int i = 0; i < 120; ++i) {
            placer.place(longStream(), true);
        }
        int forShortOutputs = 0;
        for (int i = 0; i < 60; ++i) {
            forShortOutputs += tiers.isForShortOutputs(placer.place(longStream(), true)) ? 1 : 0;
        }
        CHECK(forShortOutputs > 0);
    }
    SECTION("entries with about the same traffic agree on the engines for short outputs")
    {
        StreamNeed other = longNeed;
        other.shortShare = 0.54;
        const EngineTiers otherTiers(pool.directory, "engines", other);
        int forShortOutputs = 0;
        int differences = 0;
        for (int i = 0; i < 38; ++i) {
            const std::string id = engineName(i);
            forShortOutputs += tiers.isForShortOutputs(id) ? 1 : 0;
            differences += tiers.isForShortOutputs(id) != otherTiers.isForShortOutputs(id) ? 1 : 0;
        }
        CHECK(forShortOutputs == 14);
        CHECK(differences <= 2);
    }
}

TEST_CASE("placing generations among engines that do not differ in speed")
{
    const auto checkUnchanged = [](ServerDirectory &directory) {
        ServerDirectory plainDirectory = directory;
        Placer placer(directory);
        Placer plainPlacer(plainDirectory);
        for (int i = 0; i < 100; ++i) {
            const PlacementRequest request = i % 3 == 0 ? shortOutput() : longStream();
            PlacementRequest plain = request;
            plain.stream.reset();
            REQUIRE(placer.place(request, true) == plainPlacer.place(plain, true));
        }
    };
    ServerDirectory directory;

    SECTION("does not depend on the gaps if all engines are equal")
    {
        addEngines(directory, 38, loadOfSpeed(1));
        checkUnchanged(directory);
    }
    SECTION("does not depend on the gaps if the number of streams makes a small difference")
    {
        for (int i = 0; i < 38; ++i) {
            addEngines(directory, 1, loadOfSpeed(0.9 + 0.01 * i));
        }
        checkUnchanged(directory);
    }
    SECTION("does not depend on the gaps without reports")
    {
        EngineLoad load = loadOfSpeed(1);
        load.eventTimes = {};
        addEngines(directory, 38, load);
        checkUnchanged(directory);
    }
}

TEST_CASE("moving a long stream away from an engine that may exceed its bound")
{
    UnevenPool pool;
    const EngineTiers tiers(pool.directory, "engines", longNeed);
    std::string forShort;
    std::string forLong;
    for (const auto &[id, server] : pool.directory.servers()) {
        if (!pool.isFast(id)) {
            (tiers.isForShortOutputs(id) ? forShort : forLong) = id;
        }
    }
    const auto targets = [&pool](const std::string &source, const PlacementRequest &request) {
        return keepingTargets(pool.directory, request, speedLimits, source, 38, testNow, [] {
            return 0.0;
        });
    };

    SECTION("an engine for short outputs has the others as targets, and none for short outputs")
    {
        const auto found = targets(forShort, longStream());
        CHECK(found.size() == 24);
        for (const std::string &id : found) {
            CHECK_FALSE(tiers.isForShortOutputs(id));
        }
    }
    SECTION("an engine that keeps the bound has no targets")
    {
        CHECK(targets(engineName(0), longStream()).empty());
    }
    SECTION("an engine for long streams has targets only while a prompt waits there")
    {
        CHECK(targets(forLong, longStream()).empty());
        EngineLoad load = loadOfSpeed(1.2);
        load.waitingTokens = 3000;
        pool.directory.updateLoad(forLong, load, testNow);
        CHECK(targets(forLong, longStream()).size() == 23);
    }
    SECTION("a stream stays if no target has room")
    {
        for (int i = 0; i < 38; ++i) {
            EngineLoad load = pool.directory.servers().at(engineName(i)).load;
            load.committedTokens = 22000;
            pool.directory.updateLoad(engineName(i), load, testNow);
        }
        CHECK(targets(forShort, longStream()).empty());
    }
    SECTION("a short output stays")
    {
        CHECK(targets(forShort, shortOutput()).empty());
    }
    SECTION("a stream stays if the engines do not differ")
    {
        for (int i = 0; i < 38; ++i) {
            pool.directory.updateLoad(engineName(i), loadOfSpeed(1.2), testNow);
        }
        CHECK(targets(forShort, longStream()).empty());
    }
    SECTION("a stream whose engine drains prefers engines that keep the bound for half of its targets")
    {
        for (int i = 0; i < 10; ++i) {
            EngineLoad load = loadOfSpeed(0.55);
            load.committedTokens = 10000;
            pool.directory.updateLoad(engineName(i), load, testNow);
        }
        const auto found = moveTargets(pool.directory, longStream(), speedLimits, forShort, 6, testNow, [] {
            return 0.0;
        });
        REQUIRE(found.size() == 6);
        for (std::size_t i = 0; i < 3; ++i) {
            CHECK_FALSE(tiers.isForShortOutputs(found[i]));
        }
    }
}

TEST_CASE("the mix of long streams and short outputs at an entry")
{
    StreamMix mix;

    SECTION("states no need before the first long stream")
    {
        mix.recordShort(2550, testNow);
        CHECK_FALSE(mix.need(false, milliseconds(1500), testNow));
    }
    SECTION("states the share of the prompt work, adapted over a minute")
    {
        for (int i = 0; i < 10; ++i) {
            mix.recordLong(3000, streamBound, testNow);
            mix.recordShort(3000, testNow);
        }
        CHECK(mix.need(true, milliseconds(0), testNow)->shortShare == Approx(0.5));
        CHECK(mix.need(true, milliseconds(0), testNow)->gapBound == streamBound);
        mix.recordShort(3000, testNow + std::chrono::seconds(5));
        CHECK(mix.need(true, milliseconds(0), testNow)->shortShare < 0.55);
    }
    SECTION("states no need after minutes without a long stream")
    {
        mix.recordLong(3000, streamBound, testNow);
        CHECK(mix.need(false, milliseconds(0), testNow + std::chrono::minutes(1)));
        CHECK_FALSE(mix.need(false, milliseconds(0), testNow + std::chrono::minutes(5)));
    }
    SECTION("counts a stream as long by its events, and only with a bound")
    {
        CHECK(StreamMix::isLongStream(streamBound, 186));
        CHECK_FALSE(StreamMix::isLongStream(streamBound, 3));
        CHECK_FALSE(StreamMix::isLongStream(milliseconds(0), 186));
    }
}
