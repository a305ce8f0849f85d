#include <catch2/catch.hpp>

#include <rapidcheck.h>

#include "fakestore.h"
#include "fleet.h"
#include "zinniadock/process/store/configurationeditor.h"
#include "zinniadock/version/versiondelta.h"

using namespace zinniadock;
using namespace zinniadock::test;

namespace
{

std::string canonicalText(const std::string &text)
{
    Problems problems;
    return formatConfiguration(parseConfiguration(text, "test", problems));
}

std::string textOfModels(const std::map<int, int> &limits)
{
    std::string text;
    for (const auto &[number, limit] : limits) {
        text += "[model m" + std::to_string(number) + "]\nmax_tokens = " + std::to_string(limit) + "\n";
    }
    return canonicalText(text);
}

} // namespace

TEST_CASE("version delta")
{
    SECTION("turns one configuration into the next for any changes")
    {
        CHECK(rc::check([](const std::map<std::uint8_t, std::uint8_t> &before,
                           const std::map<std::uint8_t, std::uint8_t> &after) {
            std::map<int, int> first;
            std::map<int, int> second;
            for (const auto &[number, limit] : before) {
                first[number % 20] = 1 + limit % 3;
            }
            for (const auto &[number, limit] : after) {
                second[number % 20] = 1 + limit % 3;
            }
            const auto base = makeVersion(7, sha256(textOfModels(first)), textOfModels(first));
            const std::string expectedText = textOfModels(second);
            const auto next = makeNextVersion(*base, 8, sha256(expectedText), computeDelta(base->text, expectedText));
            RC_ASSERT(next);
            RC_ASSERT(next->text == expectedText);
            RC_ASSERT(next->delta.baseRevision == 7);
        }));
    }

    SECTION("is rejected if it is damaged or applied to another base")
    {
        const std::string firstText = textOfModels({ { 1, 1 }, { 2, 2 } });
        const std::string secondText = textOfModels({ { 1, 1 }, { 2, 3 } });
        const std::string delta = computeDelta(firstText, secondText);
        const auto other = makeVersion(1, sha256(textOfModels({ { 9, 9 } })), textOfModels({ { 9, 9 } }));
        const auto base = makeVersion(1, sha256(firstText), firstText);
        CHECK(makeNextVersion(*base, 2, sha256(secondText), delta));
        CHECK_FALSE(makeNextVersion(*other, 2, sha256(secondText), delta));
        CHECK_FALSE(makeNextVersion(*base, 2, sha256(secondText), delta + "max_tokens = x\n"));
        CHECK_FALSE(makeNextVersion(*base, 2, sha256(secondText), ""));
    }
}

TEST_CASE("long texts in the store")
{
    FakeStore store;
    std::string text;
    while (text.size() < 2 * maxStoreValueSize + 1000) {
        text += "[model m" + std::to_string(text.size()) + "]\nmax_tokens = 5\n";
    }
    const std::string expectedText = canonicalText(text);
    ConfigurationEditor<FakeStore> editor(store, "test");

    SECTION("are split into values below the size limit of the platform and read back completely")
    {
        std::size_t maxValueSize = 0;
        store.onWrite = [&maxValueSize](const std::string & /*key*/, const std::string &value) {
            maxValueSize = std::max(maxValueSize, value.size());
        };
        const EditOutcome outcome = editor.replace(expectedText, "c1", "ana");
        REQUIRE(outcome.publish.result == PublishResult::Accepted);
        CHECK(maxValueSize <= maxStoreValueSize);
        CHECK(outcome.publish.head.delta.empty());
        CHECK(editor.publisher().readText(outcome.publish.head.digest) == expectedText);
    }
}

TEST_CASE("configuration changes over a fleet")
{
    Fleet fleet(2, 2);

    SECTION("are sent as deltas, and as the complete text to a sidecar that missed a delta")
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
