#include <catch2/catch.hpp>

#include <rapidcheck.h>

#include "zinniadock/process/store/relaymessages.h"
#include "zinniadock/process/store/storemirror.h"

using namespace zinniadock;

namespace
{

wire::StoreItem written(const std::string &key, std::int64_t revision, const std::string &value = "v")
{
    return { .key = key, .value = value, .revision = revision };
}

wire::StoreItem deleted(const std::string &key, std::int64_t revision)
{
    return { .key = key, .value = {}, .revision = revision };
}

/// A history of the keys with one prefix of the store. Each revision writes or deletes one key.
class History
{
public:
    explicit History(const std::vector<std::pair<int, bool>> &changes)
    {
        for (const auto &[key, isDeletion] : changes) {
            const std::int64_t revision = last() + 1;
            const std::string name = "k" + std::to_string(key);
            m_items.push_back(isDeletion ? deleted(name, revision) : written(name, revision));
        }
    }

    std::int64_t last() const
    {
        return static_cast<std::int64_t>(m_items.size());
    }

    StoreChanges between(std::int64_t after, std::int64_t until) const
    {
        StoreChanges changes{ .isSnapshot = false, .revision = until, .items = {} };
        for (const wire::StoreItem &item : m_items) {
            if (item.revision > after && item.revision <= until) {
                changes.items.push_back(item);
            }
        }
        return changes;
    }

    StoreChanges whole(std::int64_t until) const
    {
        StoreMirror mirror;
        mirror.apply(between(0, until));
        return { .isSnapshot = true, .revision = until, .items = mirror.items() };
    }

private:
    std::vector<wire::StoreItem> m_items;
};

bool same(const std::vector<wire::StoreItem> &left, const std::vector<wire::StoreItem> &right)
{
    return std::equal(left.begin(), left.end(), right.begin(), right.end(),
                      [](const wire::StoreItem &one, const wire::StoreItem &other) {
                          return one.key == other.key && one.value == other.value && one.revision == other.revision;
                      });
}

} // namespace

TEST_CASE("store mirror")
{
    StoreMirror mirror;

    SECTION("the highest revision of each key is kept, in any order of arrival")
    {
        mirror.apply({ .isSnapshot = true, .revision = 5, .items = { written("a", 3), written("b", 5) } });
        CHECK(mirror.apply({ .revision = 9, .items = { deleted("a", 9) } }).size() == 1);
        CHECK(mirror.apply({ .revision = 7, .items = { written("a", 7) } }).empty());
        CHECK(mirror.position().revision == 9);
        REQUIRE(mirror.items().size() == 1);
        CHECK(mirror.items()[0].key == "b");
    }
    SECTION("a snapshot removes the keys that it does not have, and an older snapshot changes nothing")
    {
        mirror.apply({ .isSnapshot = true, .revision = 5, .items = { written("a", 3), written("b", 5) } });
        const auto changedItems = mirror.apply({ .isSnapshot = true, .revision = 9, .items = { written("b", 5) } });
        REQUIRE(changedItems.size() == 1);
        CHECK(changedItems[0].key == "a");
        CHECK_FALSE(changedItems[0].value);
        const auto older
            = mirror.apply({ .isSnapshot = true, .revision = 6, .items = { written("a", 3), written("d", 6) } });
        CHECK(older.empty());
        CHECK(mirror.items().size() == 1);
        CHECK(mirror.position().revision == 9);
    }
    SECTION("the empty snapshot of a source without data removes nothing")
    {
        mirror.apply({ .isSnapshot = true, .revision = 5, .items = { written("a", 3) } });
        CHECK(mirror.apply(StoreMirror().changesAfter({ 0, 5 })).empty());
        CHECK(mirror.items().size() == 1);
        CHECK(mirror.position().revision == 5);
    }
    SECTION("the number of kept deletions is limited, and a mirror that is too far behind gets a snapshot")
    {
        constexpr std::int64_t many = 3000;
        for (std::int64_t revision = 1; revision <= many; ++revision) {
            mirror.apply({ .revision = revision, .items = { deleted("k" + std::to_string(revision), revision) } });
        }
        CHECK(mirror.changesAfter({ 0, 1 }).isSnapshot);
        const StoreChanges recent = mirror.changesAfter({ 0, many - 10 });
        CHECK_FALSE(recent.isSnapshot);
        CHECK(recent.items.size() == 10);
    }
    SECTION(
        "a mirror gets a snapshot from one that has read a later snapshot, which does not show all deletions before")
    {
        StoreMirror follower;
        follower.apply({ .isSnapshot = true, .revision = 5, .items = { written("a", 3), written("b", 5) } });
        mirror.apply({ .isSnapshot = true, .revision = 9, .items = { written("b", 5) } });
        follower.apply(mirror.changesAfter(follower.position()));
        CHECK(follower.position().revision == 9);
        CHECK(same(follower.items(), mirror.items()));
    }
    SECTION("with random histories and sources no key reverts, and all sources lead to the same content")
    {
        const bool holds = rc::check([] {
            const auto changes = *rc::gen::container<std::vector<std::pair<int, bool>>>(
                rc::gen::pair(rc::gen::inRange(0, 6), rc::gen::arbitrary<bool>()));
            const History history(changes);
            StoreMirror reader;
            StoreMirror follower;
            std::map<std::string, std::int64_t> seen;
            const auto steps = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 1000));
            for (const int step : steps) {
                const std::int64_t until = history.last() > 0 ? step % (history.last() + 1) : 0;
                if (step % 3 == 0) {
                    reader.apply(until > reader.position().revision ? history.between(reader.position().revision, until)
                                                                    : history.whole(until));
                    continue;
                }
                const StoreChanges relayed
                    = step % 3 == 1 ? reader.changesAfter(follower.position()) : history.whole(until);
                for (const wire::StoreItem &item : follower.apply(relayed)) {
                    RC_ASSERT(item.revision > seen[item.key]);
                    seen[item.key] = item.revision;
                }
            }
            reader.apply(history.between(reader.position().revision, history.last()));
            follower.apply(reader.changesAfter(follower.position()));
            RC_ASSERT(same(follower.items(), history.whole(history.last()).items));
        });
        CHECK(holds);
    }
}

TEST_CASE("messages between entries")
{
    RelayResponse response;
    response.readsStore = true;
    response.age = std::chrono::milliseconds(40);
    response.storeRecoveredAgo = std::chrono::milliseconds(900);
    response.changes[1] = { .isSnapshot = true, .revision = 9, .items = { written("a", 3, std::string("\0\xff", 2)) } };
    response.changes[2] = { .isSnapshot = false, .revision = 7, .items = { deleted("b", 7) } };
    response.announcements["s1"] = "bytes";
    const auto decoded = decodeRelayResponse(encode(response));
    REQUIRE(decoded);
    CHECK(decoded->readsStore);
    CHECK(decoded->age == response.age);
    CHECK(decoded->storeRecoveredAgo == response.storeRecoveredAgo);
    CHECK(same(decoded->changes[1].items, response.changes[1].items));
    CHECK(same(decoded->changes[2].items, response.changes[2].items));
    CHECK(decoded->changes[1].isSnapshot);
    CHECK(decoded->announcements == response.announcements);
    RelayQuery query;
    query.known = { StorePosition{ 1, 5 }, StorePosition{ 2, 6 }, StorePosition{ 2, 7 } };
    const auto decodedQuery = decodeRelayQuery(encode(query));
    REQUIRE(decodedQuery);
    CHECK(decodedQuery->known == query.known);

    SECTION("malformed bytes, missing fields and fields of another type are refused")
    {
        const std::string whole = encode(response);
        for (std::size_t length = 0; length < whole.size(); ++length) {
            CHECK_FALSE(decodeRelayResponse(whole.substr(0, length)));
        }
        for (std::size_t at = 0; at < whole.size(); ++at) {
            std::string changed = whole;
            changed[at] = static_cast<char>(changed[at] ^ 0x55);
            static_cast<void>(decodeRelayResponse(changed));
            static_cast<void>(decodeRelayQuery(changed));
        }
    }
}

// Guards against records of any writer that make the responses between entries larger than an entry reads.
TEST_CASE("values that are longer than a record are cleared, and deletions stay deletions")
{
    constexpr std::size_t maxBytes = 8;
    StoreChanges changes;
    changes.items = { { .key = "short", .value = "12345678", .revision = 1 },
                      { .key = "long", .value = "123456789", .revision = 2 },
                      { .key = "deleted", .value = {}, .revision = 3 } };
    clearLongValues(changes, maxBytes);
    CHECK(changes.items[0].value == "12345678");
    CHECK(changes.items[1].value == "");
    CHECK_FALSE(changes.items[2].value);
}
