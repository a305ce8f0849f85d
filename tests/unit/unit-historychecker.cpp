#include <catch2/catch.hpp>

#include "historychecker.h"

using zinniadock::load::HistoryChecker;
using zinniadock::load::Violation;
using Json = nlohmann::json;

namespace
{

const std::string request(32, 'a');

Json answer(const std::vector<std::string> &tokens, const std::string &end = "whole")
{
    return { { "event", "answer" }, { "request", request }, { "mark", "m" },
             { "end", end },        { "verdict", "ran" },   { "tokens", tokens } };
}

Json engineEnd(int generation, int tokens)
{
    return { { "event", "engine_end" }, { "key", request + "-" + std::to_string(generation) }, { "tokens", tokens } };
}

/// Returns the rules that a history breaks.
std::vector<std::string> brokenRules(const std::vector<Json> &events)
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
    SECTION("accepts a right history")
    {
        CHECK(brokenRules({ answer({ "m:2:0@17@9 ", "m:2:1 " }), engineEnd(2, 2) }).empty());
        CHECK(brokenRules({ answer({ "m:1:0 " }, "error") }).empty());
    }

    SECTION("finds a token shown twice, left out, out of order, of another generation or another prompt")
    {
        CHECK(brokenRules({ answer({ "m:1:0 ", "m:1:0 " }, "error") }) == Rules{ "tokens" });
        CHECK(brokenRules({ answer({ "m:1:0 ", "m:1:2 " }, "error") }) == Rules{ "tokens" });
        CHECK(brokenRules({ answer({ "m:1:1 ", "m:1:0 " }, "error") }) == Rules{ "tokens" });
        CHECK(brokenRules({ answer({ "m:1:0 ", "m:2:1 " }, "error") }) == Rules{ "tokens" });
        CHECK(brokenRules({ answer({ "m:1:0 ", "x:1:1 " }, "error") }) == Rules{ "tokens" });
    }

    SECTION("finds an answer that is not whole")
    {
        CHECK(brokenRules({ answer({ "m:1:0 " }), engineEnd(1, 2) }) == Rules{ "whole" });
        CHECK(brokenRules({ answer({ "m:1:0 " }) }) == Rules{ "whole" });
    }

    SECTION("finds a request that ran though it was answered as not run")
    {
        Json refused = answer({}, "refused");
        refused["verdict"] = "not_run";
        CHECK(brokenRules({ refused, { { "event", "engine_start" }, { "key", request + "-1" } } })
              == Rules{ "not-run" });
        const Json call{ { "event", "call" }, { "request", request }, { "body", "b" }, { "verdict", "not_run" } };
        const Json run{ { "event", "service_run" }, { "request", request }, { "method", "POST" }, { "body", "b" } };
        CHECK(brokenRules({ call, run }) == Rules{ "not-run" });
    }

    SECTION("finds a call that ran twice, or did not run though it was answered as run")
    {
        const Json run{ { "event", "service_run" }, { "request", "r" }, { "method", "POST" }, { "body", "b" } };
        CHECK(brokenRules({ run, run }) == Rules{ "at-most-once" });
        CHECK(brokenRules({ { { "event", "call" }, { "request", "r" }, { "body", "c" }, { "verdict", "ran" } } })
              == Rules{ "at-most-once" });
    }

    SECTION("finds new work on a server that was leaving for more than three seconds")
    {
        const Json leaving{ { "event", "leaving" }, { "server", "s" }, { "time", 1000000 } };
        const Json early{ { "event", "engine_start" }, { "server", "s" }, { "key", "k" }, { "time", 3900000 } };
        const Json late{ { "event", "engine_start" }, { "server", "s" }, { "key", "k" }, { "time", 4100000 } };
        CHECK(brokenRules({ leaving, early }).empty());
        CHECK(brokenRules({ leaving, late }) == Rules{ "leaving" });
    }

    SECTION("finds a revision that went back within one incarnation")
    {
        const auto revision = [](const std::string &incarnation, int number, int time) {
            return Json{ { "event", "revision" },
                         { "instance", "e" },
                         { "incarnation", incarnation },
                         { "revision", number },
                         { "time", time } };
        };
        CHECK(brokenRules({ revision("1", 5, 1), revision("1", 4, 2) }) == Rules{ "revision" });
        CHECK(brokenRules({ revision("1", 5, 2), revision("1", 4, 1) }).empty());
        CHECK(brokenRules({ revision("1", 5, 1), revision("2", 4, 2) }).empty());
    }

    SECTION("finds a generation that was given up while its engine lived")
    {
        const Json start{ { "event", "engine_start" }, { "key", request + "-1" }, { "server", "e" }, { "time", 10 } };
        Json given = answer({ "m:1:0 " }, "error");
        given["time"] = 50;
        Json kill{ { "event", "fault" }, { "kind", "kill_engine" }, { "target", "e" }, { "time", 30 } };
        CHECK(brokenRules({ start, given, kill }).empty());
        CHECK(brokenRules({ start, given }) == Rules{ "lost" });
        kill["time"] = 5;
        CHECK(brokenRules({ start, given, kill }) == Rules{ "lost" });
        kill["time"] = 30;
        kill["target"] = "other";
        CHECK(brokenRules({ start, given, kill }) == Rules{ "lost" });
    }
}
