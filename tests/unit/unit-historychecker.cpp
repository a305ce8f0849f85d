#include <catch2/catch.hpp>

#include "historychecker.h"

using zinniadock::load::HistoryChecker;
using zinniadock::load::Violation;
using Json = nlohmann::json;

namespace
{

const std::string request(32, 'a');

Json response(const std::vector<std::string> &tokens, const std::string &end = "whole")
{
    return { { "event", "answer" }, { "request", request }, { "mark", "m" },
             { "end", end },        { "verdict", "ran" },   { "tokens", tokens } };
}

Json engineEnd(int generation, int tokens)
{
    return { { "event", "engine_end" }, { "key", request + "-" + std::to_string(generation) }, { "tokens", tokens } };
}

/// Returns the names of the rules that a history violates, one per violation.
std::vector<std::string> violatedRules(const std::vector<Json> &events)
{
    HistoryChecker checker;
    for (const Json &event : events) {
        checker.add(event);
    }
    std::vector<std::string> rules;
    for (const Violation &violation : checker.check()) {
        rules.push_back(violation.rule);
    }
    return rules;
}

using Rules = std::vector<std::string>;

} // namespace

TEST_CASE("history checker")
{
    SECTION("accepts a valid history")
    {
        CHECK(violatedRules({ response({ "m:2:0@17@9 ", "m:2:1 " }), engineEnd(2, 2) }).empty());
        CHECK(violatedRules({ response({ "m:1:0 " }, "error") }).empty());
    }

    SECTION("finds a token that is duplicated, missing, out of order, of another generation or of another prompt")
    {
        CHECK(violatedRules({ response({ "m:1:0 ", "m:1:0 " }, "error") }) == Rules{ "tokens" });
        CHECK(violatedRules({ response({ "m:1:0 ", "m:1:2 " }, "error") }) == Rules{ "tokens" });
        CHECK(violatedRules({ response({ "m:1:1 ", "m:1:0 " }, "error") }) == Rules{ "tokens" });
        CHECK(violatedRules({ response({ "m:1:0 ", "m:2:1 " }, "error") }) == Rules{ "tokens" });
        CHECK(violatedRules({ response({ "m:1:0 ", "x:1:1 " }, "error") }) == Rules{ "tokens" });
    }

    SECTION("finds a response that ended as complete without all tokens of its engine")
    {
        CHECK(violatedRules({ response({ "m:1:0 " }), engineEnd(1, 2) }) == Rules{ "whole" });
        CHECK(violatedRules({ response({ "m:1:0 " }) }) == Rules{ "whole" });
    }

    SECTION("finds a request that ran though it was reported as not run")
    {
        Json refused = response({}, "refused");
        refused["verdict"] = "not_run";
        CHECK(violatedRules({ refused, { { "event", "engine_start" }, { "key", request + "-1" } } })
              == Rules{ "not-run" });
        const Json call{ { "event", "call" }, { "request", request }, { "body", "b" }, { "verdict", "not_run" } };
        const Json run{ { "event", "service_run" }, { "request", request }, { "method", "POST" }, { "body", "b" } };
        CHECK(violatedRules({ call, run }) == Rules{ "not-run" });
    }

    SECTION("finds a call that ran twice, or did not run though it was reported as run")
    {
        const Json run{ { "event", "service_run" }, { "request", "r" }, { "method", "POST" }, { "body", "b" } };
        CHECK(violatedRules({ run, run }) == Rules{ "at-most-once" });
        CHECK(violatedRules({ { { "event", "call" }, { "request", "r" }, { "body", "c" }, { "verdict", "ran" } } })
              == Rules{ "at-most-once" });
    }

    SECTION("finds a generation that started on a server more than three seconds after it was told to drain")
    {
        const Json drain{ { "event", "leaving" }, { "server", "s" }, { "time", 1000000 } };
        const Json early{ { "event", "engine_start" }, { "server", "s" }, { "key", "k" }, { "time", 3900000 } };
        const Json late{ { "event", "engine_start" }, { "server", "s" }, { "key", "k" }, { "time", 4100000 } };
        CHECK(violatedRules({ drain, early }).empty());
        CHECK(violatedRules({ drain, late }) == Rules{ "leaving" });
    }

    SECTION("finds a revision that decreased within one incarnation")
    {
        const auto revision = [](const std::string &incarnation, int number, int time) {
            return Json{ { "event", "revision" },
                         { "instance", "e" },
                         { "incarnation", incarnation },
                         { "revision", number },
                         { "time", time } };
        };
        CHECK(violatedRules({ revision("1", 5, 1), revision("1", 4, 2) }) == Rules{ "revision" });
        CHECK(violatedRules({ revision("1", 5, 2), revision("1", 4, 1) }).empty());
        CHECK(violatedRules({ revision("1", 5, 1), revision("2", 4, 2) }).empty());
    }

    SECTION("finds a request that ended with an error although its engine was not killed")
    {
        const Json start{ { "event", "engine_start" }, { "key", request + "-1" }, { "server", "e" }, { "time", 10 } };
        Json failedResponse = response({ "m:1:0 " }, "error");
        failedResponse["time"] = 50;
        Json kill{ { "event", "fault" }, { "kind", "kill_engine" }, { "target", "e" }, { "time", 30 } };
        CHECK(violatedRules({ start, failedResponse, kill }).empty());
        CHECK(violatedRules({ start, failedResponse }) == Rules{ "lost" });
        kill["time"] = 5;
        CHECK(violatedRules({ start, failedResponse, kill }) == Rules{ "lost" });
        kill["time"] = 30;
        kill["target"] = "other";
        CHECK(violatedRules({ start, failedResponse, kill }) == Rules{ "lost" });
    }
}
