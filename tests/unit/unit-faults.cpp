#include <catch2/catch.hpp>

#include <algorithm>
#include <atomic>

#include "fleet.h"

using namespace zinniadock;
using namespace zinniadock::test;

namespace
{

/// Streams a generation and calls \p fault once, when the client has received \p tokenCount tokens.
StreamResponse streamWithFault(Fleet &fleet, const std::string &prompt, std::size_t tokenCount,
                               const std::function<void()> &fault)
{
    return streamGeneration(fleet.entryPort(), prompt, [&](std::size_t count) {
        if (count == tokenCount) {
            fault();
        }
        return true;
    });
}

/// Returns 0 if the first engine runs a generation, otherwise 1.
std::size_t busyEngine(const Fleet &fleet)
{
    return fleet.engines[0]->running() > 0 ? 0 : 1;
}

} // namespace

TEST_CASE("a stream under faults")
{
    Fleet fleet;
    const std::string prompt = "under faults [tokens=1500]";

    SECTION("continues when its sidecar is replaced")
    {
        const StreamResponse response = streamWithFault(fleet, prompt, 100, [&] {
            fleet.restartSidecar(busyEngine(fleet));
        });
        CHECK(hasExpectedTokens(response, prompt, 1500));
        CHECK(fleet.engines[0]->started() + fleet.engines[1]->started() == 1);
        CHECK(fleet.sidecars[0]->status().adopted + fleet.sidecars[1]->status().adopted == 1);
    }

    SECTION("continues when its sidecar is replaced repeatedly")
    {
        const StreamResponse response = streamGeneration(fleet.entryPort(), prompt, [&](std::size_t count) {
            if (count % 300 == 50) {
                fleet.restartSidecar(busyEngine(fleet));
            }
            return true;
        });
        CHECK(hasExpectedTokens(response, prompt, 1500));
        CHECK(fleet.engines[0]->started() + fleet.engines[1]->started() == 1);
    }

    SECTION("continues when the engine closes its connections")
    {
        const StreamResponse response = streamWithFault(fleet, prompt, 100, [&] {
            fleet.engines[busyEngine(fleet)]->dropStreams();
        });
        CHECK(hasExpectedTokens(response, prompt, 1500));
        CHECK(fleet.engines[0]->started() + fleet.engines[1]->started() == 1);
    }

    SECTION("ends with an error event when its engine fails after the caller received tokens")
    {
        const StreamResponse response = streamWithFault(fleet, prompt, 100, [&] {
            fleet.restartEngine(busyEngine(fleet));
        });
        CHECK(response.failed);
        CHECK_FALSE(response.complete);
        CHECK(response.body.find("\"verdict\":\"ran\"") != std::string::npos);
        CHECK(fleet.engines[0]->started() + fleet.engines[1]->started() <= 1);
        for (std::size_t i = 0; i < response.tokens.size(); ++i) {
            CHECK(response.tokens[i] == standin::promptHash(prompt) + ":1:" + std::to_string(i) + " ");
        }
    }

    SECTION("restarts on another engine when its engine fails before the caller received a token")
    {
        fleet.engines[0]->setFrozen(true);
        fleet.engines[1]->setFrozen(true);
        StreamResponse response;
        std::thread caller([&] {
            response = streamGeneration(fleet.entryPort(), prompt);
        });
        REQUIRE(eventually([&] {
            return fleet.engines[0]->running() + fleet.engines[1]->running() == 1;
        }));
        const std::size_t busyIndex = busyEngine(fleet);
        fleet.engines[1 - busyIndex]->setFrozen(false);
        fleet.restartEngine(busyIndex);
        caller.join();
        CHECK(hasExpectedTokens(response, prompt, 1500));
        CHECK(response.tokens.front().find(":2:0") != std::string::npos);
    }
}

TEST_CASE("an engine that sends events of another generation")
{
    Fleet fleet(1, 1);

    SECTION("delivers no token of another generation to a caller")
    {
        const std::string prompt = "crossed [tokens=600]";
        const std::string otherPrompt = "neighbour [tokens=600]";
        StreamResponse other;
        std::thread otherCaller([&] {
            other = streamGeneration(fleet.entryPort(), otherPrompt);
        });
        const StreamResponse response = streamWithFault(fleet, prompt, 100, [&] {
            REQUIRE(eventually([&] {
                return fleet.engines[0]->running() == 2;
            }));
            fleet.engines[0]->injectForeignEvents(10);
        });
        otherCaller.join();
        CHECK(hasExpectedTokens(response, prompt, 600));
        CHECK(hasExpectedTokens(other, otherPrompt, 600));
        CHECK(fleet.engines[0]->started() == 2);
        const auto events = fleet.sidecars[0]->timeline().events({});
        CHECK(std::any_of(events.begin(), events.end(), [](const TimelineEvent &event) {
            return event.kind == EventKind::StreamReopened;
        }));
    }
}

TEST_CASE("a link that delivers no data")
{
    Fleet fleet(1, 1);
    fleet.insertRelays();
    const std::string prompt = "silent link [tokens=1500]";
    const auto checkReplaced = [&](standin::BlockedDirections directions) {
        const StreamResponse response = streamWithFault(fleet, prompt, 100, [&] {
            fleet.relays[0]->setBlockedDirections(directions);
            REQUIRE(eventually([&] {
                return fleet.entries[0]->status().links.pingTimeouts > 0;
            }));
            fleet.relays[0]->setBlockedDirections({});
        });
        CHECK(hasExpectedTokens(response, prompt, 1500));
        CHECK(fleet.engines[0]->started() == 1);
    };

    SECTION("towards the entry is replaced, and late frames of the old link repeat no token")
    {
        checkReplaced({ .toClient = true });
    }

    SECTION("towards the sidecar is replaced")
    {
        checkReplaced({ .toServer = true });
    }

    SECTION("in both directions is replaced")
    {
        checkReplaced({ .toServer = true, .toClient = true });
    }

    SECTION("is cut repeatedly, and the stream continues")
    {
        const StreamResponse response = streamGeneration(fleet.entryPort(), prompt, [&](std::size_t count) {
            if (count % 200 == 50) {
                fleet.relays[0]->cut();
            }
            return true;
        });
        CHECK(hasExpectedTokens(response, prompt, 1500));
        CHECK(fleet.engines[0]->started() == 1);
    }

    SECTION("never runs a call twice and never reports a call that ran as not run")
    {
        for (int i = 0; i < 4; ++i) {
            const std::string body = "order " + std::to_string(i);
            CallResponse response;
            std::thread caller([&] {
                response = send(fleet.entryPort(), { .path = "/work-orders", .body = body });
            });
            fleet.service->setDelay(std::chrono::milliseconds(50));
            if (i % 2 == 0) {
                eventually([&] {
                    return fleet.service->runs(body) > 0;
                });
            }
            fleet.relays.back()->cut();
            caller.join();
            CHECK(fleet.service->runs(body) <= 1);
            CHECK((response.verdict != "not_run" || fleet.service->runs(body) == 0));
            CHECK((response.verdict != "ran" || fleet.service->runs(body) == 1));
            fleet.waitUntilLinked();
        }
    }
}

TEST_CASE("a link that delivers no data in one direction")
{
    Fleet fleet(1, 1, std::chrono::microseconds(25000));
    fleet.insertRelays();

    SECTION("is replaced while another stream still uses the other direction")
    {
        const std::string busyPrompt = "busy [tokens=330]";
        std::atomic<std::size_t> receivedTokens{ 0 };
        StreamResponse other;
        std::thread otherCaller([&] {
            other = streamGeneration(fleet.entryPort(), busyPrompt, [&](std::size_t count) {
                receivedTokens = count;
                return true;
            });
        });
        REQUIRE(eventually([&] {
            return receivedTokens >= 100;
        }));
        fleet.relays[0]->setBlockedDirections({ .toServer = true });
        StreamResponse response;
        std::thread late([&] {
            response = streamGeneration(fleet.entryPort(), "late [tokens=20]");
        });
        CHECK(eventually([&] {
            return fleet.entries[0]->status().links.pingTimeouts > 0;
        }));
        // Without acknowledgements the other stream stops at the end of the replay window, after token 300.
        CHECK(receivedTokens < 300);
        fleet.relays[0]->setBlockedDirections({});
        otherCaller.join();
        late.join();
        CHECK(hasExpectedTokens(other, busyPrompt, 330));
        CHECK(hasExpectedTokens(response, "late [tokens=20]", 20));
    }
}

TEST_CASE("unavailable servers")
{
    Fleet fleet(3, 1);

    SECTION("cause at most 1.2 offers per request if one of three is stopped or if all reject")
    {
        constexpr int requests = 200;
        const bool allRefuse = GENERATE(false, true);
        const auto offers = [&] {
            std::uint64_t sum = 0;
            for (std::size_t i = 0; i < fleet.engines.size(); ++i) {
                sum += fleet.sidecars[i]->status().offers;
            }
            return sum;
        };
        // The sidecar of a stopped engine still responds. The load reports of rejecting engines show free capacity.
        if (allRefuse) {
            for (const auto &engine : fleet.engines) {
                engine->setRefusing(true);
            }
        } else {
            fleet.engines[0]->stop();
        }
        std::vector<std::thread> callers;
        callers.reserve(4);
        for (int caller = 0; caller < 4; ++caller) {
            callers.emplace_back([&] {
                for (int i = 0; i < requests / 4; ++i) {
                    streamGeneration(fleet.entryPort(), "storm " + std::to_string(i) + " [tokens=3]");
                }
            });
        }
        for (std::thread &caller : callers) {
            caller.join();
        }
        CHECK(offers() >= requests);
        CHECK(offers() <= requests * 12 / 10);
    }
}

TEST_CASE("a slow caller")
{
    Fleet fleet(1, 1, std::chrono::microseconds(50));

    SECTION("stalls no other caller and loses no token")
    {
        std::atomic<bool> isReleased{ false };
        StreamResponse slowResponse;
        std::thread slowCaller([&] {
            slowResponse = streamGeneration(fleet.entryPort(), "slow [tokens=20000]", [&](std::size_t count) {
                return count > 5 || eventually([&] {
                           return isReleased.load();
                       });
            });
        });
        const std::string prompt = "quick [tokens=300]";
        CHECK(hasExpectedTokens(streamGeneration(fleet.entryPort(), prompt), prompt, 300));
        isReleased = true;
        slowCaller.join();
        CHECK(hasExpectedTokens(slowResponse, "slow [tokens=20000]", 20000));
    }
}

TEST_CASE("planned stops")
{
    Fleet fleet(2, 2);
    const std::string prompt = "planned [tokens=800]";

    SECTION("of a sidecar close no stream, and the sidecar accepts no new generation")
    {
        std::size_t drained = 0;
        const StreamResponse response = streamWithFault(fleet, prompt, 50, [&] {
            drained = busyEngine(fleet);
            fleet.sidecars[drained]->drain();
        });
        CHECK(hasExpectedTokens(response, prompt, 800));
        CHECK(fleet.sidecars[drained]->waitUntilIdle(std::chrono::seconds(30)));
        const std::uint64_t before = fleet.engines[drained]->started();
        for (int i = 0; i < 20; ++i) {
            CHECK(hasExpectedTokens(streamGeneration(fleet.entryPort(), "[tokens=5]"), "[tokens=5]", 5));
        }
        CHECK(fleet.engines[drained]->started() == before);
    }

    SECTION("of an entry close no stream, and its health page reports 503")
    {
        const StreamResponse response = streamWithFault(fleet, prompt, 50, [&] {
            fleet.entries[0]->drain();
        });
        CHECK(hasExpectedTokens(response, prompt, 800));
        CHECK(fleet.entries[0]->waitUntilIdle(std::chrono::seconds(30)));
        CHECK(send(fleet.entryPort(0), { .method = "GET", .path = "/health" }).status == 503);
        const CallResponse refused = send(fleet.entryPort(0), { .path = "/work-orders", .body = "late" });
        CHECK(refused.status == 503);
        CHECK(refused.verdict == "not_run");
        CHECK(fleet.service->runs("late") == 0);
        CHECK(send(fleet.entryPort(1), { .method = "GET", .path = "/health" }).status == 200);
    }
}

TEST_CASE("the loss of an entry")
{
    Fleet fleet(1, 2);

    SECTION("frees the engine memory of its generations")
    {
        std::thread caller([&] {
            streamGeneration(fleet.entryPort(0), "orphan [tokens=60000]", [&](std::size_t count) {
                return count < 20;
            });
        });
        REQUIRE(eventually([&] {
            return fleet.engines[0]->running() == 1;
        }));
        caller.join();
        fleet.entries[0].reset();
        CHECK(eventually([&] {
            return fleet.engines[0]->running() == 0;
        }));
        CHECK(fleet.engines[0]->cancelled() == 1);
    }
}

TEST_CASE("backend servers that have stopped")
{
    Fleet fleet(2, 1);

    SECTION("are skipped, and if no server is left, a request is rejected as not run")
    {
        // With a retry budget of 1 each request adds one retry. With the default of 0.1 the ten requests may use up
        // the budget.
        fleet.publish(fleet.configurationText() + "[policy default]\nretry_budget = 1\n");
        fleet.engines[0]->stop();
        for (int i = 0; i < 10; ++i) {
            CHECK(hasExpectedTokens(streamGeneration(fleet.entryPort(), "[tokens=4]"), "[tokens=4]", 4));
        }
        fleet.engines[1]->stop();
        const StreamResponse refused = streamGeneration(fleet.entryPort(), "[tokens=4]");
        CHECK(refused.status >= 500);
        CHECK(refused.verdict == "not_run");
    }
}

TEST_CASE("configuration without the store")
{
    Fleet fleet(1, 1);
    fleet.store->setFaults({ .down = true });
    fleet.entries.clear();
    Settings settings;
    settings.daemon.instance = "late";
    settings.daemon.dataCentre = "campina";
    settings.store.endpoint = Endpoint{ .address = "127.0.0.1", .port = fleet.store->port() };
    settings.entry.listen = Endpoint{ .address = "127.0.0.1", .port = 0 };

    SECTION("is taken from a sidecar by an entry that starts while the store is down")
    {
        settings.entry.peers = { Endpoint{ .address = "127.0.0.1", .port = fleet.sidecars[0]->port() } };
        Entry late(settings);
        REQUIRE_FALSE(late.start());
        REQUIRE(eventually([&] {
            return late.status().revision == 1 && late.status().links.open == 2 && late.status().links.down == 0;
        }));
        CHECK(hasExpectedTokens(streamGeneration(late.port(), "[tokens=9]"), "[tokens=9]", 9));
    }

    SECTION("reaches an entry without peers once the store is back")
    {
        Entry late(settings);
        REQUIRE_FALSE(late.start());
        const CallResponse response = send(late.port(), { .method = "GET", .path = "/health" });
        CHECK(response.status == 503);
        fleet.store->setFaults({});
        CHECK(eventually([&] {
            return late.status().revision == 1;
        }));
    }
}

TEST_CASE("a request that crashes each engine it runs on")
{
    Fleet fleet(5, 2);
    const std::string crashingPrompt = "poison [crash]";
    const auto crashedEngines = [&] {
        return std::count_if(fleet.engines.begin(), fleet.engines.end(), [](const auto &engine) {
            return engine->crashed();
        });
    };

    SECTION("crashes at most two engines, even if its caller retries through each entry and the store is down")
    {
        fleet.store->setFaults({ .down = true });
        for (std::size_t i = 0; i < 8; ++i) {
            CHECK_FALSE(streamGeneration(fleet.entryPort(i % 2), crashingPrompt).complete);
        }
        CHECK(crashedEngines() == 2);
        const StreamResponse refused = streamGeneration(fleet.entryPort(1), crashingPrompt);
        CHECK(refused.status == 422);
        CHECK(refused.verdict == "not_run");
    }

    SECTION("is known to an entry that starts later, even if the store is down")
    {
        fleet.addEntry();
        streamGeneration(fleet.entryPort(0), crashingPrompt);
        streamGeneration(fleet.entryPort(1), crashingPrompt);
        REQUIRE(crashedEngines() == 2);
        fleet.addEntry();
        fleet.store->setFaults({ .down = true });
        CHECK(streamGeneration(fleet.entryPort(fleet.entries.size() - 1), crashingPrompt).verdict == "not_run");
        CHECK(crashedEngines() == 2);
    }

    SECTION("does not fail other requests")
    {
        streamGeneration(fleet.entryPort(0), crashingPrompt);
        for (int i = 0; i < 10; ++i) {
            CHECK(hasExpectedTokens(streamGeneration(fleet.entryPort(1), "[tokens=5]"), "[tokens=5]", 5));
        }
    }
}
