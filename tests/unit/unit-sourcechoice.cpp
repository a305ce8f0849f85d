// Choice of the entries through which an entry follows the store.

#include <set>

#include <catch2/catch.hpp>

#include "zinniadock/process/store/readerchoice.h"
#include "zinniadock/process/store/sourcechoice.h"

using namespace zinniadock;
using std::chrono::milliseconds;

namespace
{

using Time = SourceChoice::Time;

constexpr Time start{};
constexpr milliseconds skipTime{ 300 };

double drawFirst()
{
    return 0;
}

double drawLast()
{
    return 0.999;
}

} // namespace

TEST_CASE("an entry follows readers first, and each of its slots another entry")
{
    SourceChoice sources;
    CHECK_FALSE(sources.choose(0, start, true, drawFirst));
    sources.setRanking({ "r1", "r2", "a", "b", "c" }, 2, 3);
    CHECK(sources.choose(0, start, true, drawLast) == "r1");
    CHECK(sources.choose(1, start, true, drawLast) == "r2");

    SECTION("a slot that is released leaves its source to the other one")
    {
        sources.release(0);
        CHECK(sources.choose(1, start, true, drawLast) == "r1");
    }
    SECTION("a source that has failed is not chosen while it is skipped")
    {
        sources.skip("r1", start + skipTime);
        CHECK(sources.choose(0, start, true, drawFirst) == "a");
        CHECK(sources.choose(0, start + skipTime, true, drawFirst) == "r1");
    }
    SECTION("the choice follows a new ranking")
    {
        sources.setRanking({ "r3", "a" }, 1, 1);
        CHECK(sources.choose(0, start, true, drawLast) == "r3");
    }
}

// Guards against an entry that asks a failed reader again and again, while another entry has a current view.
TEST_CASE("an entry whose view is stale asks each other entry before it asks one again")
{
    SourceChoice sources;
    sources.setRanking({ "r1", "r2", "a", "b", "c" }, 2, 2);
    std::set<std::string> asked;
    Time now = start;
    for (int query = 0; query < 5; ++query) {
        const auto peer = sources.choose(0, now, false, query % 2 == 0 ? drawFirst : drawLast);
        REQUIRE(peer);
        CHECK(asked.insert(*peer).second);
        sources.skip(*peer, now + skipTime);
        sources.release(0);
        now += skipTime;
    }
    CHECK(sources.choose(0, now, false, drawFirst) == "r1");
    sources.release(0);

    SECTION("a useful source is kept while the readers have failed")
    {
        sources.recordUseful(0, "c");
        CHECK(sources.choose(0, now, false, drawFirst) == "c");
    }
    SECTION("a reader that has failed is asked again once the view is fresh")
    {
        sources.recordUseful(0, "c");
        CHECK(sources.choose(0, now, true, drawFirst) == "r1");
    }
}

// Guards against entries that follow each other while none of them reads the store.
TEST_CASE("of two entries only the one that is later in the order of readers stops reading the store for the other")
{
    const std::size_t size = GENERATE(std::size_t{ 9 }, std::size_t{ 28 }, std::size_t{ 103 });
    std::vector<EntryMember> members;
    for (std::size_t i = 0; i < size; ++i) {
        members.push_back({ .peer = "10.0.0." + std::to_string(i) + ":7200", .capacity = i % 7 == 0 ? 0.5 : 0.09 });
    }
    const std::vector<std::string> order = readerRanking(members);
    std::vector<SourceChoice> sources(size);
    for (std::size_t rank = 0; rank < size; ++rank) {
        sources[rank].setRanking(sourceRanking(order[rank], members), readerCount(size), rank);
    }
    for (std::size_t later = readerCount(size); later < size; ++later) {
        CHECK(readerRank(order[later], members) == later);
        for (std::size_t earlier = 0; earlier < later; ++earlier) {
            CHECK(sources[later].precedes(order[earlier]));
            CHECK((earlier < readerCount(size) || !sources[earlier].precedes(order[later])));
        }
    }
    CHECK_FALSE(sources.back().precedes("unknown"));
}
