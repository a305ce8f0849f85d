#include <catch2/catch.hpp>

#include "zinniadock/process/links/sidecarmessages.h"
#include "zinniadock/process/membership/entryknowledge.h"
#include "zinniadock/process/placing/placement.h"
#include "zinniadock/process/servers/evacuations.h"

using namespace zinniadock;

namespace
{

constexpr SteadyTime now{ std::chrono::hours(1) };
const EngineCapacity limits{ .slots = 8, .memoryTokens = 30000, .supportsMoves = true };

double zeroDraw()
{
    return 0;
}

Evacuation evacuation(const std::string &dataCentre, std::int64_t revision, wire::StoreEra era = 1)
{
    return { .dataCentre = dataCentre, .position = { .era = era, .revision = revision } };
}

ServerRecord server(const std::string &id, const std::string &dataCentre, const std::string &pool = "engines")
{
    return { .id = id,
             .pool = pool,
             .address = { .address = "10.0.0.1", .port = static_cast<std::uint16_t>(id.back()) },
             .dataCentre = dataCentre,
             .slots = 8,
             .startTimeMs = 1000 };
}

/// Two servers in the data centre "south" and one in "north".
ServerDirectory directoryOf(const std::string &pool)
{
    ServerDirectory directory;
    directory.addOrUpdate(server("a", "south", pool), now);
    directory.addOrUpdate(server("b", "south", pool), now);
    directory.addOrUpdate(server("c", "north", pool), now);
    return directory;
}

} // namespace

// Guards against an evacuation that is missed, ends too early or outlasts its key.
TEST_CASE("evacuations follow the keys of the store")
{
    Evacuations evacuations;
    REQUIRE(evacuations.applyStore({ evacuation("south", 5) }, { 1, 6 }, now)
            == std::vector<EvacuationChange>{ { "south", true, 5 } });

    SECTION("an evacuation that is requested again goes on with the later revision and without an event")
    {
        CHECK(evacuations.applyStore({ evacuation("south", 9) }, { 1, 9 }, now + std::chrono::seconds(1)).empty());
        CHECK(evacuations.all().at("south").position.revision == 9);
        CHECK(evacuations.all().at("south").startedAt == now);
    }
    SECTION("evacuations overlap and end independently")
    {
        CHECK(evacuations.applyStore({ evacuation("south", 5), evacuation("north", 7) }, { 1, 7 }, now)
              == std::vector<EvacuationChange>{ { "north", true, 7 } });
        CHECK(evacuations.applyStore({ evacuation("north", 7) }, { 1, 8 }, now)
              == std::vector<EvacuationChange>{ { "south", false, 8 } });
        CHECK(evacuations.all().size() == 1);
    }
    SECTION("an older state of the store changes nothing")
    {
        CHECK(evacuations.applyStore({}, { 1, 5 }, now).empty());
        CHECK(evacuations.applyStore({}, { 0, 90 }, now).empty());
        CHECK(evacuations.all().size() == 1);
    }
    SECTION("after the store came back from a copy, a key that it does not have ends its evacuation")
    {
        CHECK(evacuations.applyStore({}, { 2, 3 }, now) == std::vector<EvacuationChange>{ { "south", false, 3 } });
    }
}

// Guards against an entry that keeps an evacuation which another entry reported, although the store does not have it.
TEST_CASE("an evacuation that another entry reports counts until the store is known as far")
{
    Evacuations evacuations;
    REQUIRE(evacuations.learn({ evacuation("south", 5) }, now).size() == 1);
    CHECK(evacuations.hasUnconfirmed());

    SECTION("an unknown state of the store does not end it")
    {
        CHECK(evacuations.applyStore({}, {}, now).empty());
        CHECK(evacuations.all().size() == 1);
    }
    SECTION("the store confirms it")
    {
        CHECK(evacuations.applyStore({ evacuation("south", 5) }, { 1, 5 }, now).empty());
        CHECK_FALSE(evacuations.hasUnconfirmed());
        CHECK(evacuations.all().size() == 1);
    }
    SECTION("the store does not have the key any more")
    {
        CHECK(evacuations.applyStore({}, { 1, 6 }, now).size() == 1);
        CHECK(evacuations.all().empty());
        CHECK(evacuations.learn({ evacuation("south", 5) }, now).empty());
        CHECK(evacuations.all().empty());
    }
    SECTION("the store came back from a copy without it")
    {
        CHECK(evacuations.applyStore({}, { 2, 2 }, now).size() == 1);
        CHECK(evacuations.learn({ evacuation("south", 5) }, now).empty());
    }
}

// Guards against work that is placed in an evacuated data centre.
TEST_CASE("servers of an evacuated data centre get no new work")
{
    ServerDirectory directory = directoryOf("engines");
    PlacementRequest request{ .pool = "engines", .promptTokens = 3000, .expectedTokens = 4000, .dataCentre = "south" };
    CHECK(directory.setEvacuated("south", true) == 2);

    SECTION("generations, moves and probes choose from the others")
    {
        CHECK(placeGeneration(directory, request, limits, {}, now, zeroDraw) == "c");
        CHECK(moveTargets(directory, request, limits, "a", 5, now, zeroDraw) == std::vector<std::string>{ "c" });
        CHECK(enginesToProbe(directory, request, {}, 5, std::chrono::milliseconds(100), now, zeroDraw)
              == std::vector<std::string>{ "c" });
    }
    SECTION("calls choose from the others, also if those are in backoff")
    {
        ServerDirectory services = directoryOf("shop");
        services.setEvacuated("south", true);
        request.pool = "shop";
        services.recordConnectionFailure("c", now);
        CHECK(placeCall(services, request, {}, now, zeroDraw) == "c");
        CHECK_FALSE(placeCall(services, request, { "c" }, now, zeroDraw));
    }
    SECTION("capacity does not count them")
    {
        directory.pause("c", now + std::chrono::seconds(2));
        CHECK(earliestPauseEnd(directory, "engines", now) == now + std::chrono::seconds(2));
        const ServerFilter rejectsAll = [](const ServerRecord &) {
            return false;
        };
        CHECK_FALSE(isPoolLimited(directory, "engines", rejectsAll, now));
    }
    SECTION("a server that is listed or changes its record meanwhile gets none either")
    {
        directory.addOrUpdate(server("d", "south"), now);
        directory.addOrUpdate(server("a", "south"), now);
        CHECK(placeGeneration(directory, request, limits, { "c" }, now, zeroDraw) == std::nullopt);
    }
    SECTION("a pool is evacuated if all its data centres are")
    {
        CHECK_FALSE(isPoolEvacuated(directory, "engines"));
        directory.setEvacuated("north", true);
        CHECK(isPoolEvacuated(directory, "engines"));
        CHECK_FALSE(isPoolEvacuated(directory, "shop"));
        directory.setEvacuated("south", false);
        CHECK_FALSE(isPoolEvacuated(directory, "engines"));
        CHECK(placeGeneration(directory, request, limits, {}, now, zeroDraw) == "a");
    }
    SECTION("a name without servers changes nothing")
    {
        CHECK(directory.setEvacuated("nowhere", true) == 0);
        CHECK(placeGeneration(directory, request, limits, {}, now, zeroDraw) == "c");
    }
}

// Guards against entries and sidecars of different versions that don't understand each other.
TEST_CASE("messages carry evacuations and the time for a move as optional fields")
{
    EntryKnowledge knowledge;
    knowledge.evacuations = { evacuation("south", 5, 2) };
    const auto decoded = decodeEntryKnowledge(encode(knowledge, now), now);
    REQUIRE(decoded);
    CHECK(decoded->evacuations == knowledge.evacuations);

    MoveOrder order;
    CHECK_FALSE(decodeMoveOrder(encode(order))->timeLeft);
    order.timeLeft = std::chrono::milliseconds(700);
    CHECK(decodeMoveOrder(encode(order))->timeLeft == std::chrono::milliseconds(700));
}
