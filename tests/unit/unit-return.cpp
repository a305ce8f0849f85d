// The time from the start of the processes until requests are served, after all of them have ended at once.

#include <algorithm>
#include <memory>

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

/// Bound for the sum of the hops of docs/design/return.md.
constexpr milliseconds returnBudget{ 5000 };

/// Writes records of servers that do not run, beside those that do.
void addServers(PlatformStore &store, PlatformServer &server, int count)
{
    auto record = nlohmann::json::parse(server.record("other"));
    for (int i = 0; i < count; ++i) {
        record["address"] = "127.9." + std::to_string(i / 200) + "." + std::to_string(i % 200 + 1) + ":80";
        store.put("servers/other-" + std::to_string(i), record.dump());
    }
}

/// Returns whether each entry is ready and serves a call before a time.
bool allServeBefore(BoundFleet &fleet, std::chrono::steady_clock::time_point end)
{
    return std::all_of(fleet.entries.begin(), fleet.entries.end(), [end](const auto &entry) {
        const auto left = std::chrono::duration_cast<milliseconds>(end - std::chrono::steady_clock::now());
        return eventually(
            [&] {
                return isReady(*entry)
                    && sendRequest((*entry)->port(), { .target = "/order/1", .id = "first" }).status == 200;
            },
            left);
    });
}

} // namespace

// Guards against a return that takes longer with the number of servers, of entries, or on a narrow link.
TEST_CASE("all entries serve within the budget after all of them have ended at once")
{
    constexpr std::size_t narrowLink = 1250000; // bytes a second
    const int servers = GENERATE(50, 3000);
    const std::size_t size = GENERATE(std::size_t{ 1 }, std::size_t{ 5 }, std::size_t{ 28 });
    CAPTURE(servers, size);
    BoundFleet fleet(size);
    addServers(fleet.store, fleet.server, servers);
    for (const auto &link : fleet.links) {
        link->setRate(narrowLink);
    }
    const auto startedAt = std::chrono::steady_clock::now();
    fleet.restartAll();
    CHECK(allServeBefore(fleet, startedAt + returnBudget));
}

// Guards against a return that waits for the store longer than the store is away.
TEST_CASE("all entries serve within the budget after a store that was away at their start is back")
{
    constexpr milliseconds outage{ 2000 };
    const int status = GENERATE(503, 429, 0);
    const std::size_t size = GENERATE(std::size_t{ 5 }, std::size_t{ 28 });
    CAPTURE(status, size);
    BoundFleet fleet(size);
    fleet.setFault(0, size, AddressFault{ .prefix = "", .status = status });
    fleet.restartAll();
    std::this_thread::sleep_for(outage);
    fleet.setFault(0, size, std::nullopt);
    CHECK(allServeBefore(fleet, std::chrono::steady_clock::now() + returnBudget));
}

// Guards against entries that wait for other entries which the store serves no better than them.
TEST_CASE("all entries serve within the budget if the store turns a part of them away at their start")
{
    const std::size_t size = GENERATE(std::size_t{ 5 }, std::size_t{ 28 });
    CAPTURE(size);
    BoundFleet fleet(size);
    fleet.setFault(0, size * 3 / 4, AddressFault{ .prefix = "", .status = 503 });
    const auto startedAt = std::chrono::steady_clock::now();
    fleet.restartAll();
    CHECK(allServeBefore(fleet, startedAt + returnBudget));
}
