#include <catch2/catch.hpp>

#include <rapidcheck.h>

#include "zinniadock/process/settings.h"
#include "zinniadock/version/changeset.h"
#include "zinniadock/version/version.h"

using namespace zinniadock;

namespace
{

const std::string digest(64, 'a');

std::string validText()
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
    SECTION("that is valid has no problems")
    {
        for (const Problem &problem : problemsOf(validText())) {
            FAIL(problem.text());
        }
    }

    SECTION("errors name the file, the section and the key")
    {
        CHECK(hasProblem(validText() + "[route x]\npool = nowhere\n", "route x", "pool"));
        CHECK(hasProblem(validText() + "[version x]\nmodel = nothing\n", "version x", "model"));
        CHECK(hasProblem(validText() + "[pool x]\nservers = nobody\n", "pool x", "servers"));
        CHECK(hasProblem(validText() + "[pool x]\nservers = s\n", "pool x", "servers")); // already in pool p
        CHECK(hasProblem(validText() + "[pool x]\n", "pool x", "servers"));
        CHECK(hasProblem(validText() + "[account x]\nkey_digest = " + digest + "\n", "account x", "key_digest"));
        CHECK(hasProblem(validText() + "[account x]\nkey_digest = 12\n", "account x", "key_digest"));
        CHECK(hasProblem(validText() + "[account x]\n", "account x", "key_digest"));
        CHECK(hasProblem(validText() + "[route x]\npool = p\npath = /x\n", "route x", "pool")); // pool serves a version
        CHECK(hasProblem(validText() + "[route x]\npool = p\ndeadline_ms = 0\n", "route x", "deadline_ms"));
        CHECK(hasProblem(validText() + "[route x]\npool = p\nwait = 1\n", "route x", "wait"));
        CHECK(
            hasProblem(validText() + "[server x]\naddress = example.org:1\ndata_centre = c\n", "server x", "address"));
        CHECK(hasProblem(validText() + "[server x]\naddress = 127.0.0.1:9\ndata_centre = c\n", "server x", "address"));
        CHECK(hasProblem(validText() + "[policy default]\nweight_stall = -1\n", "policy default", "weight_stall"));
        CHECK(hasProblem(validText() + "[policy default]\nretry_budget = nan\n", "policy default", "retry_budget"));
        CHECK(hasProblem(validText() + "[planet x]\n", "planet x", ""));
        CHECK(hasProblem(validText() + "[model]\n", "model", ""));
        CHECK(hasProblem(validText() + "[model m]\n", "model m", ""));
        CHECK(hasProblem(validText() + "[model x]\nmax_tokens = 1\nmax_tokens = 2\n", "model x", "max_tokens"));
        CHECK(hasProblem(validText() + "[model x]\n# note\n", "model x", "# note"));
        CHECK(hasProblem("stray = 1\n" + validText(), "", "stray"));
    }

    SECTION("parsing reports all errors, with their lines")
    {
        const Problems problems = problemsOf("[model m]\nmax_tokens = x\n[model n]\nexpected_tokens = y\nz = 1\n");
        REQUIRE(problems.size() == 3);
        CHECK(problems[0].line == 1);
        CHECK(problems[1].line == 3);
    }

    SECTION("has a canonical text that parses to the same canonical text")
    {
        Problems problems;
        const std::string canonicalText = formatConfiguration(parseConfiguration(validText(), "a", problems));
        const std::string reparsedText = formatConfiguration(parseConfiguration(canonicalText, "b", problems));
        CHECK(canonicalText == reparsedText);
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
    const std::string text = formatConfiguration(parseConfiguration(validText(), "a", problems));

    SECTION("are made only if the digest matches the text and the text is valid")
    {
        CHECK(makeVersion(1, sha256(text), text) != nullptr);
        CHECK(makeVersion(1, sha256(text), text + " ") == nullptr);
        CHECK(makeVersion(1, sha256("[x y]\n"), "[x y]\n") == nullptr);
    }

    SECTION("are installed only with a higher revision")
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
    SECTION("accepts a higher memory risk the higher the weight of stalls is")
    {
        const double stallHeavyRisk = Policy{ .weightStall = 10, .weightPreemption = 1 }.memoryRisk();
        const double defaultRisk = Policy().memoryRisk();
        const double preemptionHeavyRisk = Policy{ .weightStall = 1, .weightPreemption = 10 }.memoryRisk();
        CHECK(stallHeavyRisk > defaultRisk);
        CHECK(defaultRisk > preemptionHeavyRisk);
        CHECK(Policy{ .weightStall = 0, .weightPreemption = 1 }.memoryRisk() > 0);
        CHECK(Policy{ .weightStall = 1, .weightPreemption = 0 }.memoryRisk() < 0.5);
    }
}

TEST_CASE("change sets")
{
    const ObjectTexts base = splitObjects("[model a]\nmax_tokens = 1\n\n[model b]\nmax_tokens = 2\n\n");

    SECTION("leave other objects unchanged")
    {
        const ChangeSet change{ .replaced = { { "model b", "[model b]\nmax_tokens = 3\n" } }, .removed = {} };
        const ObjectTexts after = splitObjects(applyChanges(base, change));
        REQUIRE(diffObjects(base, after).size() == 1);
        CHECK(diffObjects(base, after)[0].heading == "model b");
        CHECK(after.at("model a") == base.at("model a"));
    }

    SECTION("conflict only if the current version changes the same object in a different way")
    {
        const ChangeSet change{ .replaced = { { "model b", "[model b]\nmax_tokens = 3\n" } },
                                .removed = { "model c" } };
        ObjectTexts current = base;
        current["model a"] = "[model a]\nmax_tokens = 9\n";
        CHECK(findConflicts(change, base, current).empty());
        current["model b"] = "[model b]\nmax_tokens = 9\n";
        CHECK(findConflicts(change, base, current).size() == 1);
        current["model b"] = "[model b]\nmax_tokens = 3\n";
        CHECK(findConflicts(change, base, current).empty());
    }
}

TEST_CASE("settings")
{
    SECTION("require the sections of their role")
    {
        Problems problems;
        parseSettings("[daemon]\nrole = entry\ninstance = e\ndata_centre = c\nadmin = 127.0.0.1:0\n", "f", problems);
        REQUIRE(problems.size() == 2);
        CHECK(problems[0].section == "store");
        CHECK(problems[1].section == "entry");
    }

    SECTION("reject an unknown role, log level and section")
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
