#include <catch2/catch.hpp>

#include <memory>
#include <thread>

#include "fleet.h"
#include "forwardingfixture.h"

using namespace zinniadock;
using namespace zinniadock::standin;
using namespace zinniadock::test;

namespace
{

using EntryThread = RoleThread<ForwardingEntry>;

/// Time in which a changed configuration must be in force.
constexpr std::chrono::milliseconds configurationBound{ 2000 };

/// Time in which servers that the store has lost register again.
constexpr std::chrono::milliseconds registrationBound{ 2000 };

bool hasVersion(EntryThread &entry, int version)
{
    return metric(entry, "zinniadock_configuration_version") == version;
}

int statusOf(EntryThread &entry, const std::string &key = "k1")
{
    return sendRequest(entry->port(), { .target = "/order/1", .key = key }).status;
}

/// A store, a plain service with two servers, and entries that are ready.
struct Deployment
{
    explicit Deployment(std::size_t entryCount = 1)
    {
        store.put("servers/s1", first.record("shop"));
        store.put("op/config", configuration(3));
        for (std::size_t i = 0; i < entryCount; ++i) {
            addEntry();
        }
    }

    EntryThread &addEntry(std::vector<Endpoint> seeds = {})
    {
        entries.push_back(std::make_unique<EntryThread>(entrySettings(store.port(), 1, std::move(seeds))));
        EntryThread &entry = *entries.back();
        REQUIRE(eventually([&] {
            return isReady(entry);
        }));
        return entry;
    }

    /// Writes unrelated keys, so that the revision of the store rises.
    void raiseRevision(int writes)
    {
        for (int i = 0; i < writes; ++i) {
            store.put("other/" + std::to_string(i), "x");
        }
        store.put("servers/none", "{}");
        store.put("op/other", "{}");
    }

    /// Takes the store away for a moment and brings it back from a copy.
    void restore(const PlatformStore::Copy &copy)
    {
        constexpr std::chrono::milliseconds away{ 300 };
        store.setDown(true);
        std::this_thread::sleep_for(away);
        store.restore(copy);
        store.setDown(false);
    }

    PlatformServer first{ "s1" };
    PlatformServer second{ "s2" };
    PlatformStore store;
    std::vector<std::unique_ptr<EntryThread>> entries;
};

} // namespace

// Guards against entries that ignore a configuration because its revision is lower than one before the store went back.
TEST_CASE("a configuration that is written after the store went back is in force in time")
{
    const bool isAway = GENERATE(true, false);
    Deployment deployment;
    EntryThread &entry = *deployment.entries.front();
    const PlatformStore::Copy copy = deployment.store.copy();
    deployment.raiseRevision(20);
    deployment.store.put("op/config", configuration(5));
    REQUIRE(eventually([&] {
        return hasVersion(entry, 5);
    }));
    if (isAway) {
        deployment.restore(copy);
    } else {
        deployment.store.restore(copy);
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(500));
    CHECK(hasVersion(entry, 5));
    deployment.store.put("op/config", configuration(7));
    CHECK(eventually(
        [&] {
            return hasVersion(entry, 7);
        },
        configurationBound));
}

// Guards against entries that call the store again and again while it does not have the revision that they know.
TEST_CASE("entries call a store that went back hardly more often than before")
{
    constexpr std::size_t entryCount = 5;
    constexpr std::chrono::seconds span{ 3 };
    Deployment deployment(entryCount);
    const PlatformStore::Copy copy = deployment.store.copy();
    deployment.raiseRevision(20);
    std::this_thread::sleep_for(std::chrono::milliseconds(500));
    const std::uint64_t atStart = deployment.store.calls();
    std::this_thread::sleep_for(span);
    const std::uint64_t before = deployment.store.calls() - atStart;
    deployment.restore(copy);
    const std::uint64_t atRestore = deployment.store.calls();
    std::this_thread::sleep_for(span);
    const std::uint64_t after = deployment.store.calls() - atRestore;
    // Per entry: one read and one repeated watch of each of three prefixes, and a new lease and registration.
    constexpr std::uint64_t callsOfRestore = 8;
    CHECK(after <= before + callsOfRestore * entryCount);
}

// Guards against new work for a server that drained, or left, after the copy of the store was made.
TEST_CASE("a server that was seen draining or gone gets no work after the store went back")
{
    const bool isGone = GENERATE(true, false);
    Deployment deployment;
    EntryThread &entry = *deployment.entries.front();
    deployment.store.put("servers/s2", deployment.second.record("shop"));
    REQUIRE(eventually([&] {
        return metric(entry, "zinniadock_servers") == 2;
    }));
    const PlatformStore::Copy copy = deployment.store.copy();
    if (isGone) {
        deployment.store.remove("servers/s1");
    } else {
        deployment.store.put("servers/s1", deployment.first.record("shop", "draining"));
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(300));
    const auto servedByFirst = [&] {
        const std::size_t ran = deployment.first.startedRequests().size();
        for (int i = 0; i < 10; ++i) {
            statusOf(entry);
        }
        return deployment.first.startedRequests().size() - ran;
    };
    REQUIRE(servedByFirst() == 0);
    for (int restores = 0; restores < 2; ++restores) {
        deployment.restore(copy);
        std::this_thread::sleep_for(std::chrono::milliseconds(500));
        CHECK(servedByFirst() == 0);
    }
    deployment.first.setStartTime(2000);
    deployment.store.put("servers/s1", deployment.first.record("shop"));
    CHECK(eventually([&] {
        return servedByFirst() > 0;
    }));
}

// Guards against a server that is dropped because the store has lost its record, and against one that is kept for good.
TEST_CASE("a server that registered after the copy was made keeps its work while it registers again")
{
    const bool registersAgain = GENERATE(true, false);
    Deployment deployment;
    EntryThread &entry = *deployment.entries.front();
    deployment.store.remove("servers/s1");
    const PlatformStore::Copy copy = deployment.store.copy();
    deployment.store.put("servers/s2", deployment.second.record("shop"));
    REQUIRE(eventually([&] {
        return statusOf(entry) == 200 && !deployment.second.startedRequests().empty();
    }));
    deployment.restore(copy);
    const auto restoredAt = std::chrono::steady_clock::now();
    while (std::chrono::steady_clock::now() - restoredAt < registrationBound - std::chrono::milliseconds(200)) {
        CHECK(statusOf(entry) == 200);
        std::this_thread::sleep_for(std::chrono::milliseconds(100));
    }
    if (registersAgain) {
        deployment.store.put("servers/s2", deployment.second.record("shop"));
        std::this_thread::sleep_for(std::chrono::milliseconds(1500));
        CHECK(statusOf(entry) == 200);
    } else {
        CHECK(eventually(
            [&] {
                return statusOf(entry) == 503;
            },
            registrationBound));
    }
}

// Guards against an older configuration, and a key that was taken away, at an entry that starts after the store went
// back.
TEST_CASE("an entry that starts after the store went back takes the configuration in force from the others")
{
    Deployment deployment;
    EntryThread &running = *deployment.entries.front();
    const PlatformStore::Copy copy = deployment.store.copy();
    deployment.store.put("servers/s2", deployment.second.record("shop"));
    deployment.store.put("servers/s1", deployment.first.record("shop", "draining"));
    deployment.store.put("op/config", configuration(5, "k2"));
    REQUIRE(eventually([&] {
        return hasVersion(running, 5) && metric(running, "zinniadock_servers") == 2;
    }));
    // The running entry can tell of the drain only after it has seen it.
    REQUIRE(eventually([&] {
        const std::size_t before = deployment.first.startedRequests().size();
        for (int i = 0; i < 5; ++i) {
            statusOf(running, "k2");
        }
        return deployment.first.startedRequests().size() == before;
    }));
    deployment.restore(copy);
    const Endpoint peer{ "127.0.0.1", running->peerPort() };
    EntryThread &started = deployment.addEntry({ peer });
    CHECK(hasVersion(started, 5));
    CHECK(statusOf(started, "k1") == 401);
    const std::size_t ran = deployment.first.startedRequests().size();
    for (int i = 0; i < 5; ++i) {
        statusOf(started, "k2");
    }
    CHECK(deployment.first.startedRequests().size() == ran);
}

// Guards against a registration whose lease is renewed by a number that another client of the store got after the
// restore.
TEST_CASE("an entry registers again after the store went back and never uses a lease of another")
{
    Deployment deployment;
    EntryThread &entry = *deployment.entries.front();
    const std::string key = "zinniadock/entries/127.0.0.1:" + std::to_string(entry->peerPort());
    REQUIRE(eventually([&] {
        return deployment.store.leaseOf(key) > 0;
    }));
    const std::int64_t first = deployment.store.leaseOf(key);
    PlatformStore::Copy copy = deployment.store.copy();
    copy.itemsByKey.erase(key);
    copy.leases.clear();
    copy.lastLease = first - 1;
    deployment.store.restore(copy);
    const std::int64_t ofOther = deployment.store.grantLease();
    REQUIRE(ofOther == first);
    CHECK(eventually(
        [&] {
            const std::int64_t lease = deployment.store.leaseOf(key);
            return lease > 0 && lease != ofOther;
        },
        registrationBound));
    entry.post([&] {
        entry->drain(std::chrono::milliseconds(5000));
    });
    CHECK(eventually([&] {
        return deployment.store.leaseOf(key) == 0;
    }));
    CHECK(deployment.store.copy().leases.count(ofOther) == 1);
}

// Guards against entries that no longer count each other, and so share limits wrongly, until all are registered again.
TEST_CASE("entries whose registrations the store has lost still count while they register again")
{
    constexpr std::size_t entryCount = 3;
    PlatformStore empty;
    const PlatformStore::Copy copy = empty.copy();
    Deployment deployment(entryCount);
    const auto allKnown = [&] {
        return std::all_of(deployment.entries.begin(), deployment.entries.end(), [](const auto &entry) {
            return metric(*entry, "zinniadock_known_entries") == entryCount;
        });
    };
    REQUIRE(eventually(allKnown));
    deployment.restore(copy);
    const auto restoredAt = std::chrono::steady_clock::now();
    while (std::chrono::steady_clock::now() - restoredAt < std::chrono::seconds(3)) {
        CHECK(allKnown());
        std::this_thread::sleep_for(std::chrono::milliseconds(50));
    }
}

TEST_CASE("messages on what entries know")
{
    EntryKnowledge knowledge;
    knowledge.configurationVersion = 7;
    knowledge.configuration = std::string("\0\xff", 2);
    knowledge.departures = { { .server = "s", .startTimeMs = 5, .sequence = 6, .isDraining = true, .era = 2 },
                             { .server = "t", .isGone = true } };
    const SteadyTime now{ std::chrono::hours(100) };
    knowledge.evidence.conclusions
        = { { .trait = 4,
              .crashes = { { .server = "s", .serverStartTimeMs = 5, .at = now - std::chrono::seconds(1) } } } };
    const std::string bytes = encode(knowledge, now);
    const auto decoded = decodeEntryKnowledge(bytes, now);
    REQUIRE(decoded);
    CHECK(decoded->configurationVersion == knowledge.configurationVersion);
    CHECK(decoded->configuration == knowledge.configuration);
    CHECK(decoded->departures == knowledge.departures);
    REQUIRE(decoded->evidence.conclusions.size() == 1);
    CHECK(decoded->evidence.conclusions[0].trait == 4);
    CHECK(decoded->evidence.conclusions[0].crashes[0].at == now - std::chrono::seconds(1));
    for (std::size_t length = 0; length < bytes.size(); ++length) {
        CHECK_FALSE(decodeEntryKnowledge(bytes.substr(0, length), now));
    }
    for (std::size_t at = 0; at < bytes.size(); ++at) {
        std::string changed = bytes;
        changed[at] = static_cast<char>(changed[at] ^ 0x55);
        static_cast<void>(decodeEntryKnowledge(changed, now));
    }
}

// Guards against an entry that keeps an older configuration than the others, since the store lost the newer one before
// the entry had read it.
TEST_CASE("an entry takes a newer configuration from the others after the store went back")
{
    Deployment newer;
    newer.store.put("op/config", configuration(5));
    EntryThread &other = *newer.entries.front();
    REQUIRE(eventually([&] {
        return hasVersion(other, 5);
    }));
    Deployment older;
    EntryThread &entry = *older.entries.front();
    older.store.put("zinniadock/entries/127.0.0.1:" + std::to_string(other->peerPort()), R"({"capacity":1})");
    REQUIRE(eventually([&] {
        return metric(entry, "zinniadock_known_entries") == 2;
    }));
    CHECK(hasVersion(entry, 3));
    older.restore(older.store.copy());
    CHECK(eventually(
        [&] {
            return hasVersion(entry, 5);
        },
        configurationBound));
}
