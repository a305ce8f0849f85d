// Changes of the store that are larger than a response which an entry reads.

#include <algorithm>
#include <thread>

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include "boundfleet.h"
#include "fleet.h"

using namespace zinniadock;
using namespace zinniadock::standin;
using namespace zinniadock::test;
using std::chrono::milliseconds;

namespace
{

constexpr std::size_t mebibyte = 1U << 20U;

bool listServers(BoundFleet &fleet, double count)
{
    return std::all_of(fleet.entries.begin(), fleet.entries.end(), [&](const auto &entry) {
        return metric(*entry, "zinniadock_servers") == count;
    });
}

/// Has the store turn all entries away for as long as it exists, so that changes add up.
class Outage
{
public:
    explicit Outage(BoundFleet &fleet)
        : m_fleet(fleet)
    {
        m_fleet.setFault(0, m_fleet.entries.size(), AddressFault{ .prefix = "", .status = 503 });
        for (const auto &link : m_fleet.links) {
            link->cut();
        }
    }

    ~Outage()
    {
        m_fleet.setFault(0, m_fleet.entries.size(), std::nullopt);
    }

    Outage(const Outage &) = delete;
    Outage &operator=(const Outage &) = delete;

private:
    BoundFleet &m_fleet;
};

} // namespace

// Guards against entries that ask for the same changes again and again, since the response to a watch is too large.
TEST_CASE("entries follow the list of servers after records that are larger than a response")
{
    BoundFleet fleet(GENERATE(std::size_t{ 1 }, std::size_t{ 5 }, std::size_t{ 12 }));
    CAPTURE(fleet.entries.size());
    PlatformServer second("s2");
    fleet.store.put("servers/s2", second.record("shop"));
    REQUIRE(eventually([&] {
        return listServers(fleet, 2);
    }));
    {
        const Outage outage(fleet);
        for (int i = 0; i < 5; ++i) {
            fleet.store.put("servers/x" + std::to_string(i), std::string(mebibyte, 'x'));
        }
    }
    std::this_thread::sleep_for(fleet.bound);
    fleet.store.remove("servers/s2");
    std::this_thread::sleep_for(fleet.bound);
    const std::size_t before = second.startedRequests().size();
    for (const auto &entry : fleet.entries) {
        for (int i = 0; i < 6; ++i) {
            CHECK(sendRequest((*entry)->port(), { .target = "/order/1" }).status == 200);
        }
    }
    CHECK(second.startedRequests().size() == before);
}

// Guards against a burst of large versions that no entry can read until the history is gone.
TEST_CASE("a change is in force within its bound after versions that are larger than a response together")
{
    BoundFleet fleet(GENERATE(std::size_t{ 1 }, std::size_t{ 5 }));
    CAPTURE(fleet.entries.size());
    {
        const Outage outage(fleet);
        for (int i = 0; i < 6; ++i) {
            fleet.publish(mebibyte * 3 / 4);
        }
    }
    std::this_thread::sleep_for(fleet.bound);
    fleet.publish(mebibyte * 3 / 4);
    CHECK(fleet.isInForceWithinBound());
}

// Guards against many records that change while an entry can't read the store, as those of 3,000 servers do.
TEST_CASE("entries list new servers after more changes than a response has")
{
    constexpr int servers = 3000;
    constexpr int rounds = 12;
    BoundFleet fleet(GENERATE(std::size_t{ 1 }, std::size_t{ 12 }));
    CAPTURE(fleet.entries.size());
    PlatformServer second("s2");
    auto record = nlohmann::json::parse(second.record("shop"));
    record["state"] = "ready";
    {
        const Outage outage(fleet);
        for (int i = 0; i < servers * rounds; ++i) {
            record["address"]
                = "127.9." + std::to_string(i % servers / 200) + "." + std::to_string(i % 200 + 1) + ":80";
            record["seq"] = i;
            fleet.store.put("servers/many-" + std::to_string(i % servers), record.dump());
        }
    }
    CHECK(eventually(
        [&] {
            return listServers(fleet, servers + 1);
        },
        fleet.bound + fleet.bound));
}

// Guards against a response that is dated by the arrival of its last byte, and makes its followers trust an old view.
TEST_CASE("a configuration that took long to arrive is as old as its response")
{
    constexpr std::size_t text = 600000;
    constexpr std::size_t linkBytesPerSecond = 800000; // the text takes 1 s, encoded as in the store
    constexpr double minAge = 700; // ms; the entry looks 0.1 s after the version is in force at the latest
    BoundFleet fleet(1);
    RoleThread<ForwardingEntry> &entry = *fleet.entries.front();
    fleet.links.front()->setRate(linkBytesPerSecond);
    fleet.publish(text);
    double age = -1;
    REQUIRE(eventually([&] {
        const bool isInForce = metric(entry, "zinniadock_configuration_version") == fleet.version();
        age = isInForce ? metric(entry, "zinniadock_store_age_milliseconds{part=\"configuration\"}") : -1;
        return isInForce;
    }));
    CHECK(age >= minAge);
}
