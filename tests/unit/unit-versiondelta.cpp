#include <catch2/catch.hpp>

#include <rapidcheck.h>

#include "fakestore.h"
#include "fleet.h"
#include "zinniadock/process/configurationeditor.h"
#include "zinniadock/version/versiondelta.h"

using namespace zinniadock;
using namespace zinniadock::test;

namespace
{

std::string canonical(const std::string &text)
{
    Problems problems;
    return formatConfiguration(parseConfiguration(text, "test", problems));
}

std::string models(const std::map<int, int> &limits)
{
    std::string text;
    for (const auto &[number, limit] : limits) {
        text += "[model m" + std::to_string(number) + "]\nmax_tokens = " + std::to_string(limit) + "\n";
    }
    return canonical(text);
}

} // namespace

TEST_CASE("version delta")
{
    SECTION("turns one configuration into the next, whatever changed")
    {
        CHECK(rc::check(
            [](const std::map<std::uint8_t, std::uint8_t> &before, const std::map<std::uint8_t, std::uint8_t> &after) {
                std::map<int, int> first;
                std::map<int, int> second;
                for (const auto &[number, limit] : before) {
                    first[number % 20] = 1 + limit % 3;
                }
                for (const auto &[number, limit] : after) {
                    second[number % 20] = 1 + limit % 3;
                }
                const auto base = makeVersion(7, sha256(models(first)), models(first));
                const std::string wanted = models(second);
                const auto next = makeNextVersion(*base, 8, sha256(wanted), deltaBetween(base->text, wanted));
                RC_ASSERT(next);
                RC_ASSERT(next->text == wanted);
                RC_ASSERT(next->delta.base == 7);
            }));
    }

    SECTION("is refused on another base, and where it is damaged")
    {
        const std::string one = models({ { 1, 1 }, { 2, 2 } });
        const std::string two = models({ { 1, 1 }, { 2, 3 } });
        const std::string delta = deltaBetween(one, two);
        const auto other = makeVersion(1, sha256(models({ { 9, 9 } })), models({ { 9, 9 } }));
        const auto base = makeVersion(1, sha256(one), one);
        CHECK(makeNextVersion(*base, 2, sha256(two), delta));
        CHECK_FALSE(makeNextVersion(*other, 2, sha256(two), delta));
        CHECK_FALSE(makeNextVersion(*base, 2, sha256(two), delta + "max_tokens = x\n"));
        CHECK_FALSE(makeNextVersion(*base, 2, sha256(two), ""));
    }
}

TEST_CASE("long texts in the store")
{
    FakeStore store;
    std::string text;
    while (text.size() < 2 * maxStoreValueSize + 1000) {
        text += "[model m" + std::to_string(text.size()) + "]\nmax_tokens = 5\n";
    }
    const std::string wanted = canonical(text);
    ConfigurationEditor<FakeStore> editor(store, "test");

    SECTION("are cut into values below the platform's limit and read back whole")
    {
        std::size_t longest = 0;
        store.onWrite = [&longest](const std::string & /*key*/, const std::string &value) {
            longest = std::max(longest, value.size());
        };
        const EditOutcome outcome = editor.replace(wanted, "c1", "ana");
        REQUIRE(outcome.publish.result == PublishResult::Accepted);
        CHECK(longest <= maxStoreValueSize);
        CHECK(outcome.publish.head.delta.empty());
        CHECK(editor.publisher().readText(outcome.publish.head.digest) == wanted);
    }
}

TEST_CASE("configuration changes over a fleet")
{
    Fleet fleet(2, 2);

    SECTION("travel as deltas, and as the whole text to a sidecar that missed one")
    {
        const LinkPoolStatus before = fleet.entries[0]->status().links;
        for (int change = 1; change <= 5; ++change) {
            fleet.publish(fleet.configurationText() + "[model extra]\nmax_tokens = " + std::to_string(change) + "\n");
        }
        const LinkPoolStatus after = fleet.entries[0]->status().links;
        const LinkPoolStatus other = fleet.entries[1]->status().links;
        CHECK(after.configurationDeltas + other.configurationDeltas >= 5);
        CHECK(after.fullConfigurations == before.fullConfigurations);
        fleet.restartSidecar(0);
        REQUIRE(eventually([&] {
            return fleet.sidecars[0]->revision() == 6;
        }));
        fleet.publish(fleet.configurationText());
        CHECK(fleet.sidecars[0]->revision() == 7);
    }
}
