#include <catch2/catch.hpp>

#include <rapidcheck.h>

#include "zinniadock/process/settings.h"
#include "zinniadock/version/changeset.h"
#include "zinniadock/version/version.h"

using namespace zinniadock;

namespace
{

const std::string digest(64, 'a');

std::string valid()
{
    return "[model m]\n[version v]\nmodel = m\n[server s]\naddress = 127.0.0.1:9\ndata_centre = campina\n"
           "[pool p]\nservers = s\nversion = v\n[route r]\npool = p\n[account a]\nkey_digest = "
        + digest + "\n";
}

Problems problemsOf(const std::string &text)
{
    Problems problems;
    const Configuration configuration = parseConfiguration(text, "file.ini", problems);
    if (problems.empty()) {
        checkConfiguration(configuration, "file.ini", problems);
    }
    return problems;
}

bool hasProblem(const std::string &text, const std::string &section, const std::string &key)
{
    for (const Problem &problem : problemsOf(text)) {
        if (problem.section == section && problem.key == key) {
            return problem.file == "file.ini" && !problem.message.empty();
        }
    }
    return false;
}

} // namespace

TEST_CASE("configuration")
{
    SECTION("that is right has no problems")
    {
        for (const Problem &problem : problemsOf(valid())) {
            FAIL(problem.text());
        }
    }

    SECTION("names file, section and key of each mistake")
    {
        CHECK(hasProblem(valid() + "[route x]\npool = nowhere\n", "route x", "pool"));
        CHECK(hasProblem(valid() + "[version x]\nmodel = nothing\n", "version x", "model"));
        CHECK(hasProblem(valid() + "[pool x]\nservers = nobody\n", "pool x", "servers"));
        CHECK(hasProblem(valid() + "[pool x]\nservers = s\n", "pool x", "servers")); // already in pool p
        CHECK(hasProblem(valid() + "[pool x]\n", "pool x", "servers"));
        CHECK(hasProblem(valid() + "[account x]\nkey_digest = " + digest + "\n", "account x", "key_digest"));
        CHECK(hasProblem(valid() + "[account x]\nkey_digest = 12\n", "account x", "key_digest"));
        CHECK(hasProblem(valid() + "[account x]\n", "account x", "key_digest"));
        CHECK(hasProblem(valid() + "[route x]\npool = p\npath = /x\n", "route x", "pool")); // pool serves a version
        CHECK(hasProblem(valid() + "[route x]\npool = p\ndeadline_ms = 0\n", "route x", "deadline_ms"));
        CHECK(hasProblem(valid() + "[route x]\npool = p\nwait = 1\n", "route x", "wait"));
        CHECK(hasProblem(valid() + "[server x]\naddress = example.org:1\ndata_centre = c\n", "server x", "address"));
        CHECK(hasProblem(valid() + "[server x]\naddress = 127.0.0.1:9\ndata_centre = c\n", "server x", "address"));
        CHECK(hasProblem(valid() + "[policy default]\nweight_stall = -1\n", "policy default", "weight_stall"));
        CHECK(hasProblem(valid() + "[policy default]\nretry_budget = nan\n", "policy default", "retry_budget"));
        CHECK(hasProblem(valid() + "[planet x]\n", "planet x", ""));
        CHECK(hasProblem(valid() + "[model]\n", "model", ""));
        CHECK(hasProblem(valid() + "[model m]\n", "model m", ""));
        CHECK(hasProblem(valid() + "[model x]\nmax_tokens = 1\nmax_tokens = 2\n", "model x", "max_tokens"));
        CHECK(hasProblem(valid() + "[model x]\n# note\n", "model x", "# note"));
        CHECK(hasProblem("stray = 1\n" + valid(), "", "stray"));
    }

    SECTION("reports all mistakes at one time, with their lines")
    {
        const Problems problems = problemsOf("[model m]\nmax_tokens = x\n[model n]\nexpected_tokens = y\nz = 1\n");
        REQUIRE(problems.size() == 3);
        CHECK(problems[0].line == 1);
        CHECK(problems[1].line == 3);
    }

    SECTION("has a canonical text that reads back as itself")
    {
        Problems problems;
        const std::string once = formatConfiguration(parseConfiguration(valid(), "a", problems));
        const std::string twice = formatConfiguration(parseConfiguration(once, "b", problems));
        CHECK(once == twice);
        CHECK(problems.empty());
    }

    SECTION("never crashes the parser")
    {
        CHECK(rc::check([](const std::string &text) {
            Problems problems;
            parseConfiguration(text, "random", problems);
            Problems settingsProblems;
            parseSettings(text, "random", settingsProblems);
        }));
    }
}

TEST_CASE("versions")
{
    Problems problems;
    const std::string text = formatConfiguration(parseConfiguration(valid(), "a", problems));

    SECTION("are made only where text and digest agree")
    {
        CHECK(makeVersion(1, sha256(text), text) != nullptr);
        CHECK(makeVersion(1, sha256(text), text + " ") == nullptr);
        CHECK(makeVersion(1, sha256("[x y]\n"), "[x y]\n") == nullptr);
    }

    SECTION("only move up")
    {
        VersionHolder holder;
        CHECK(holder.install(makeVersion(5, sha256(text), text)));
        CHECK_FALSE(holder.install(makeVersion(4, sha256(text), text)));
        CHECK_FALSE(holder.install(makeVersion(5, sha256(text), text)));
        CHECK_FALSE(holder.install(nullptr));
        CHECK(holder.revision() == 5);
    }
}

TEST_CASE("policy")
{
    SECTION("takes more risk with memory the more it minds stalls")
    {
        const double stalls = Policy{ .weightStall = 10, .weightPreemption = 1 }.memoryRisk();
        const double even = Policy().memoryRisk();
        const double preemptions = Policy{ .weightStall = 1, .weightPreemption = 10 }.memoryRisk();
        CHECK(stalls > even);
        CHECK(even > preemptions);
        CHECK(Policy{ .weightStall = 0, .weightPreemption = 1 }.memoryRisk() > 0);
        CHECK(Policy{ .weightStall = 1, .weightPreemption = 0 }.memoryRisk() < 0.5);
    }
}

TEST_CASE("change sets")
{
    const ObjectTexts base = splitObjects("[model a]\nmax_tokens = 1\n\n[model b]\nmax_tokens = 2\n\n");

    SECTION("leave other objects as they are")
    {
        const ChangeSet change{ .replaced = { { "model b", "[model b]\nmax_tokens = 3\n" } }, .removed = {} };
        const ObjectTexts after = splitObjects(applyChanges(base, change));
        REQUIRE(diffObjects(base, after).size() == 1);
        CHECK(diffObjects(base, after)[0].heading == "model b");
        CHECK(after.at("model a") == base.at("model a"));
    }

    SECTION("conflict only where another change touched the same object")
    {
        const ChangeSet change{ .replaced = { { "model b", "[model b]\nmax_tokens = 3\n" } },
                                .removed = { "model c" } };
        ObjectTexts now = base;
        now["model a"] = "[model a]\nmax_tokens = 9\n";
        CHECK(findConflicts(change, base, now).empty());
        now["model b"] = "[model b]\nmax_tokens = 9\n";
        CHECK(findConflicts(change, base, now).size() == 1);
        now["model b"] = "[model b]\nmax_tokens = 3\n";
        CHECK(findConflicts(change, base, now).empty());
    }
}

TEST_CASE("settings")
{
    SECTION("need what their role needs")
    {
        Problems problems;
        parseSettings("[daemon]\nrole = entry\ninstance = e\ndata_centre = c\nadmin = 127.0.0.1:0\n", "f", problems);
        REQUIRE(problems.size() == 2);
        CHECK(problems[0].section == "store");
        CHECK(problems[1].section == "entry");
    }

    SECTION("refuse an unknown role, level, kind and section")
    {
        Problems problems;
        parseSettings(
            "[daemon]\nrole = king\ninstance = e\ndata_centre = c\nadmin = 127.0.0.1:0\nlog_level = loud\n[extra]\n",
            "f", problems);
        REQUIRE(problems.size() == 3);
        CHECK(problems[0].section == "extra");
        CHECK(problems[1].key == "role");
        CHECK(problems[2].key == "log_level");
    }
}
