#include <algorithm>
#include <memory>
#include <thread>

#include <catch2/catch.hpp>

#include "fleet.h"
#include "forwardingfixture.h"
#include "linkrelay.h"

using namespace zinniadock;
using namespace zinniadock::standin;
using namespace zinniadock::test;

namespace
{

constexpr std::size_t fleetSize = 28;

/// Time after which an evacuation must be in force at each entry.
constexpr std::chrono::milliseconds evacuationBound{ 5000 };

using EntryThread = RoleThread<ForwardingEntry>;

} // namespace

// Guards against entries that ask only some of the others while the store does not respond to them, and so never find
// the one that reaches it.
TEST_CASE("an evacuation reaches all entries if only one of them reaches the store")
{
    PlatformStore store;
    PlatformServer server("s1");
    server.setDataCentre("south");
    store.put("servers/s1", server.record("shop"));
    store.put("op/config", configuration(3));
    std::vector<std::unique_ptr<LinkRelay>> links;
    std::vector<std::unique_ptr<EntryThread>> entries;
    for (std::size_t i = 0; i < fleetSize; ++i) {
        links.push_back(
            std::make_unique<LinkRelay>(LinkRelaySettings{ .server = "127.0.0.1:" + std::to_string(store.port()) }));
        Settings settings = entrySettings(links.back()->port(), 1);
        // The last entry is the last one that the others would choose as their source.
        settings.forwarding.capacity = 1.0 - 0.01 * static_cast<double>(i);
        entries.push_back(std::make_unique<EntryThread>(settings));
    }
    const auto allHave = [&entries](const std::string &name, double value) {
        return std::all_of(entries.begin(), entries.end(), [&](const auto &entry) {
            return metric(*entry, name) == value;
        });
    };
    REQUIRE(eventually([&] {
        return allHave("zinniadock_known_entries", fleetSize) && allHave("zinniadock_configuration_version", 3)
            && allHave("zinniadock_servers", 1);
    }));
    for (std::size_t i = 0; i + 1 < fleetSize; ++i) {
        links[i].reset();
    }
    std::this_thread::sleep_for(GENERATE(std::chrono::seconds(0), std::chrono::seconds(4)));
    REQUIRE(eventually([&] {
        return metric(*entries.back(), "zinniadock_store_reader") == 1
            && metric(*entries.back(), "zinniadock_store_fresh") == 1;
    }));
    store.put("op/evacuate/south", "{}");
    const auto askedAt = std::chrono::steady_clock::now();
    CHECK(eventually(
        [&] {
            return allHave("zinniadock_evacuated_data_centres", 1);
        },
        evacuationBound));
    const auto took = std::chrono::steady_clock::now() - askedAt;
    WARN("in force at all entries after " << std::chrono::duration_cast<std::chrono::milliseconds>(took).count()
                                          << " ms");
    for (const auto &entry : entries) {
        CHECK(sendRequest((*entry)->port(), { .target = "/order/1" }).status == 503);
    }
    CHECK(server.startedRequests().empty());
}
