#include <catch2/catch.hpp>

#include <algorithm>
#include <map>
#include <random>

#include "zinniadock/process/membership/entryregistration.h"
#include "zinniadock/process/store/readerchoice.h"

using namespace zinniadock;

namespace
{

/// Returns a fleet in which every seventh entry has a capacity of 0.5 processors and the others of 0.09.
std::vector<EntryMember> fleet(std::size_t entries)
{
    std::vector<EntryMember> members;
    for (std::size_t i = 0; i < entries; ++i) {
        members.push_back({ .peer = "10.0." + std::to_string(i / 250) + "." + std::to_string(i % 250) + ":7200",
                            .capacity = i % 7 == 0 ? 0.5 : 0.09 });
    }
    return members;
}

} // namespace

TEST_CASE("choice of the entries that read the store for the others")
{
    SECTION("in a small fleet every entry reads the store")
    {
        for (const EntryMember &member : fleet(maxSmallFleetSize)) {
            CHECK(isReader(member.peer, fleet(maxSmallFleetSize)));
        }
    }
    SECTION("an entry that knows no other entry reads the store")
    {
        CHECK(isReader("10.0.0.1:1", { { .peer = "10.0.0.1:1" } }));
        CHECK(sourceRanking("10.0.0.1:1", { { .peer = "10.0.0.1:1" } }).empty());
    }
    SECTION("all entries choose the same readers, in whatever order they list the members")
    {
        std::vector<EntryMember> members = fleet(103);
        const auto order = readerRanking(members);
        std::mt19937 random(1);
        for (int round = 0; round < 10; ++round) {
            std::shuffle(members.begin(), members.end(), random);
            CHECK(readerRanking(members) == order);
        }
    }
    SECTION("entries with a high capacity are chosen before those with a low capacity")
    {
        const auto members = fleet(103);
        for (const EntryMember &member : members) {
            CHECK((!isReader(member.peer, members) || member.capacity > 0.4));
        }
    }
    SECTION("removal of an entry keeps the order of the others")
    {
        // With the same order, at most one entry of a large fleet becomes a reader.
        auto members = fleet(103);
        const auto before = readerRanking(members);
        std::erase_if(members, [&](const EntryMember &member) {
            return member.peer == before[0];
        });
        const auto after = readerRanking(members);
        CHECK(std::vector<std::string>(before.begin() + 1, before.end()) == after);
    }
    SECTION("malformed registrations are refused")
    {
        const std::string prefix = registrationPrefix();
        CHECK(parseRegistration({ .key = prefix + "10.0.0.1:7", .value = R"({"capacity":0.5})" }));
        for (const char *value : { "", "x", "[]", "{}", R"({"capacity":"much"})" }) {
            CHECK_FALSE(parseRegistration({ .key = prefix + "10.0.0.1:7", .value = value }));
        }
        CHECK_FALSE(parseRegistration({ .key = prefix + "nowhere", .value = R"({"capacity":0.5})" }));
    }
}

TEST_CASE("load of the few readers of fleets of 100 to 1,000 entries")
{
    const std::size_t entries = GENERATE(100, 300, 1000);
    const auto members = fleet(entries);
    const std::size_t readers = readerCount(entries);
    CHECK(readers * 16 <= entries);
    std::map<std::string, std::size_t> followers;
    for (const EntryMember &member : members) {
        const auto order = sourceRanking(member.peer, members);
        REQUIRE(order.size() == entries - 1);
        if (isReader(member.peer, members)) {
            continue;
        }
        for (std::size_t place = 0; place < 2; ++place) {
            CHECK(isReader(order[place], members));
            ++followers[order[place]];
        }
    }
    // Each follower has two sources, so the mean is about 2 * entries / readers. Each reader has between half and twice
    // the mean.
    CHECK(followers.size() == readers);
    for (const auto &[peer, count] : followers) {
        CHECK(count <= 4 * entries / readers);
        CHECK(count >= entries / readers);
    }
}
