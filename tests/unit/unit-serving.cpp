#include <catch2/catch.hpp>

#include <atomic>

#include <nlohmann/json.hpp>

#include "fleet.h"

using namespace zinniadock;
using namespace zinniadock::test;
using Json = nlohmann::json;

namespace
{

Call completion(const std::string &prompt, bool chat = false)
{
    Json body{ { "model", "fitting-brief" } };
    if (chat) {
        body["messages"] = { { { "role", "user" }, { "content", prompt } } };
    } else {
        body["prompt"] = prompt;
    }
    return Call{ .path = chat ? "/v1/chat/completions" : "/v1/completions", .body = body.dump() };
}

} // namespace

TEST_CASE("serving a generation")
{
    Fleet fleet;

    SECTION("streams every token once and in order")
    {
        const std::string prompt = "a brief [tokens=500]";
        CHECK(hasExpectedTokens(streamGeneration(fleet.entryPort(), prompt), prompt, 500));
    }

    SECTION("returns the complete response without streaming, for text and chat completions")
    {
        const CallResponse text = send(fleet.entryPort(), completion("[tokens=7]"));
        REQUIRE(text.status == 200);
        CHECK(text.verdict == "ran");
        const Json textBody = Json::parse(text.body);
        CHECK(textBody["object"] == "text_completion");
        CHECK(textBody["usage"]["completion_tokens"] == 7);
        CHECK(textBody["choices"][0]["finish_reason"] == "stop");
        CHECK(textBody["choices"][0]["text"].get<std::string>().ends_with(":6 "));

        const CallResponse chat = send(fleet.entryPort(), completion("[tokens=3]", true));
        REQUIRE(chat.status == 200);
        CHECK(Json::parse(chat.body)["choices"][0]["message"]["role"] == "assistant");
    }

    SECTION("gives each of many concurrent callers its own response")
    {
        constexpr int callers = 24;
        std::atomic<int> right{ 0 };
        std::vector<std::thread> threads;
        for (int i = 0; i < callers; ++i) {
            threads.emplace_back([&fleet, &right, i] {
                const std::string prompt
                    = "caller " + std::to_string(i) + " [tokens=" + std::to_string(20 + 10 * i) + "]";
                right += hasExpectedTokens(streamGeneration(fleet.entryPort(), prompt), prompt,
                                           20 + 10 * static_cast<std::size_t>(i));
            });
        }
        for (std::thread &thread : threads) {
            thread.join();
        }
        CHECK(right == callers);
    }

    SECTION("cancels a generation whose caller disconnected")
    {
        streamGeneration(fleet.entryPort(), "[tokens=50000]", [](std::size_t count) {
            return count < 10;
        });
        CHECK(eventually([&] {
            return fleet.engines[0]->cancelled() + fleet.engines[1]->cancelled() == 1;
        }));
        CHECK(eventually([&] {
            return fleet.sidecars[0]->status().sessions + fleet.sidecars[1]->status().sessions == 0;
        }));
    }
}

TEST_CASE("serving a plain service")
{
    Fleet fleet(1, 2);

    SECTION("forwards a call to the service and its response to the caller")
    {
        const CallResponse response = send(fleet.entryPort(), { .path = "/work-orders", .body = "order" });
        CHECK(response.status == 200);
        CHECK(response.verdict == "ran");
        CHECK(fleet.service->runs("order") == 1);
    }

    SECTION("runs a keyed call once over all entries")
    {
        const Call call{ .path = "/work-orders", .body = "crew", .idempotencyKey = "key-1" };
        const CallResponse first = send(fleet.entryPort(0), call);
        const CallResponse second = send(fleet.entryPort(1), call);
        CHECK(first.status == 200);
        CHECK(second.body == first.body);
        CHECK(second.replayed);
        CHECK(fleet.service->runs("crew") == 1);
    }

    SECTION("refuses a different call with the same key")
    {
        send(fleet.entryPort(), { .path = "/work-orders", .body = "one", .idempotencyKey = "key-2" });
        const CallResponse other
            = send(fleet.entryPort(), { .path = "/work-orders", .body = "two", .idempotencyKey = "key-2" });
        CHECK(other.status == 422);
        CHECK(other.verdict == "not_run");
        CHECK(fleet.service->runs("two") == 0);
    }

    SECTION("runs a keyed call once when many callers send it concurrently")
    {
        std::vector<std::thread> threads;
        std::atomic<int> responded{ 0 };
        for (std::size_t i = 0; i < 16; ++i) {
            threads.emplace_back([&, i] {
                const CallResponse response = send(
                    fleet.entryPort(i % 2), { .path = "/work-orders", .body = "race", .idempotencyKey = "key-3" });
                responded
                    += response.status == 200 || (response.status == 409 && response.verdict == "may_have_run") ? 1 : 0;
            });
        }
        for (std::thread &thread : threads) {
            thread.join();
        }
        CHECK(responded == 16);
        CHECK(fleet.service->runs("race") == 1);
    }

    SECTION("keeps the outcome unknown if the service runs the call but closes the connection without a response")
    {
        fleet.service->setDropResponses(true);
        const Call call{ .path = "/work-orders", .body = "lost", .idempotencyKey = "key-4" };
        const CallResponse first = send(fleet.entryPort(), call);
        CHECK(first.verdict == "may_have_run");
        fleet.service->setDropResponses(false);
        const CallResponse second = send(fleet.entryPort(), call);
        CHECK(second.status == 409);
        CHECK(second.verdict == "may_have_run");
        CHECK(fleet.service->runs("lost") == 1);
    }

    SECTION("never resends a call without a key")
    {
        fleet.service->setDropResponses(true);
        const CallResponse response = send(fleet.entryPort(), { .path = "/work-orders", .body = "unkeyed" });
        CHECK(response.verdict == "may_have_run");
        CHECK(fleet.service->runs("unkeyed") == 1);
    }

    SECTION("refuses keyed calls as not run while the store is down, and serves other requests")
    {
        fleet.store->setFaults({ .down = true });
        const CallResponse keyed
            = send(fleet.entryPort(), { .path = "/work-orders", .body = "down", .idempotencyKey = "key-5" });
        CHECK(keyed.status == 503);
        CHECK(keyed.verdict == "not_run");
        CHECK(fleet.service->runs("down") == 0);
        CHECK(send(fleet.entryPort(), { .method = "GET", .path = "/status/1" }).status == 200);
        CHECK(hasExpectedTokens(streamGeneration(fleet.entryPort(), "[tokens=20]"), "[tokens=20]", 20));
    }

    SECTION("runs a keyed call at most once although the store loses responses")
    {
        fleet.store->setFaults({ .responseLossRate = 0.5 });
        for (int i = 0; i < 20; ++i) {
            const std::string body = "lossy " + std::to_string(i);
            const Call call{ .path = "/work-orders", .body = body, .idempotencyKey = "lossy-" + std::to_string(i) };
            const CallResponse first = send(fleet.entryPort(0), call);
            const CallResponse second = send(fleet.entryPort(1), call);
            CHECK(fleet.service->runs(body) <= 1);
            const bool ran = first.verdict == "ran" || second.verdict == "ran";
            CHECK(fleet.service->runs(body) >= (ran ? 1U : 0U));
        }
    }
}
