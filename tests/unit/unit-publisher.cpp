#include <catch2/catch.hpp>

#include <thread>

#include "fakestore.h"
#include "zinniadock/process/store/configurationeditor.h"

using namespace zinniadock;
using namespace zinniadock::test;

namespace
{

ChangeSet modelChange(int operatorNumber, int value)
{
    const std::string heading = "model m" + std::to_string(operatorNumber);
    return ChangeSet{ .replaced = { { heading, "[" + heading + "]\nmax_tokens = " + std::to_string(value) + "\n" } },
                      .removed = {} };
}

// Publishes a change of a second operator once, between the read and the compare-and-swap of the first operator.
void raceBeforeSwap(FakeStore &store, const ChangeSet &change)
{
    store.beforeWrite = [&store, change, raced = false](const std::string &key) mutable {
        if (key == headKey("test") && !raced) {
            raced = true;
            ConfigurationEditor<FakeStore> other(store, "test");
            REQUIRE(other.applyChangeSet(change, "second", "bo").publish.result == PublishResult::Accepted);
        }
    };
}

// Records all heads in the order in which their writes take effect, and checks that each continues the previous one.
class HeadHistory
{
public:
    explicit HeadHistory(FakeStore &store)
    {
        store.onWrite = [this](const std::string &key, const std::string &value) {
            if (key == headKey("test")) {
                add(*decodeHead(value));
            }
        };
    }

    bool isUnbroken() const
    {
        return m_isUnbroken;
    }

    std::size_t count(const std::string &changeId) const
    {
        return static_cast<std::size_t>(std::count(m_changeIds.begin(), m_changeIds.end(), changeId));
    }

    std::size_t size() const
    {
        return m_changeIds.size();
    }

private:
    void add(const ConfigurationHead &head)
    {
        m_isUnbroken = m_isUnbroken && head.revision == m_last.revision + 1 && head.parent == m_last.digest;
        m_last = head;
        m_changeIds.push_back(head.changeId);
    }

    ConfigurationHead m_last;
    std::vector<std::string> m_changeIds;
    bool m_isUnbroken = true;
};

} // namespace

TEST_CASE("publishing")
{
    FakeStore store;
    ConfigurationEditor<FakeStore> editor(store, "test");

    SECTION("numbers the revisions and keeps their history")
    {
        CHECK(editor.replace("[model a]\n", "c1", "ana").publish.head.revision == 1);
        CHECK(editor.replace("[model a]\nmax_tokens = 5\n", "c2", "ana").publish.head.revision == 2);
        CHECK(editor.publisher().readHistory(1)->changeId == "c1");
        CHECK(editor.replace("[model a]\nmax_tokens = 5\n", "c3", "ana").publish.result == PublishResult::Unchanged);
    }

    SECTION("publishes no configuration that has errors")
    {
        const EditOutcome outcome = editor.replace("[version v]\nmodel = none\n", "c1", "ana");
        CHECK(outcome.problems.size() == 1);
        CHECK_FALSE(editor.publisher().readHead().head.has_value());
    }

    SECTION("checks the configuration that results from a change, not only the change")
    {
        editor.replace("[model a]\n[version v]\nmodel = a\n", "c1", "ana");
        const EditOutcome outcome
            = editor.applyChangeSet(ChangeSet{ .replaced = {}, .removed = { "model a" } }, "c2", "ana");
        CHECK(outcome.problems.size() == 1);
        CHECK(editor.publisher().readHead().head->revision == 1);
    }

    SECTION("reports a store that does not respond as unavailable")
    {
        store.unavailableRate = 1;
        CHECK(editor.replace("[model a]\n", "c1", "ana").publish.result == PublishResult::Unavailable);
    }
}

TEST_CASE("concurrent operators")
{
    SECTION("lose no accepted change on a store that loses responses and has outages")
    {
        for (std::uint64_t seed = 1; seed <= 3; ++seed) {
            FakeStore store(seed);
            HeadHistory history(store);
            store.lostAfterWriteRate = 0.1;
            store.lostBeforeWriteRate = 0.1;
            store.unavailableRate = 0.02;
            constexpr int operators = 8;
            constexpr int changes = 25;
            std::array<std::vector<std::pair<std::string, PublishResult>>, operators> results;
            std::array<int, operators> lastAccepted{};
            std::vector<std::thread> threads;
            for (int number = 0; number < operators; ++number) {
                threads.emplace_back([&, number] {
                    ConfigurationEditor<FakeStore> editor(store, "test", std::chrono::milliseconds(1));
                    for (int value = 1; value <= changes; ++value) {
                        const std::string id = std::to_string(number) + "/" + std::to_string(value);
                        const EditOutcome outcome = editor.applyChangeSet(modelChange(number, value), id, "op");
                        results[static_cast<std::size_t>(number)].emplace_back(id, outcome.publish.result);
                        if (outcome.publish.result == PublishResult::Accepted) {
                            lastAccepted[static_cast<std::size_t>(number)] = value;
                        }
                    }
                });
            }
            for (std::thread &thread : threads) {
                thread.join();
            }
            CHECK(history.isUnbroken());
            for (const auto &operatorResults : results) {
                for (const auto &[id, result] : operatorResults) {
                    INFO(id);
                    if (result == PublishResult::Accepted) {
                        CHECK(history.count(id) == 1);
                    } else if (result == PublishResult::Unavailable) {
                        CHECK(history.count(id) == 0);
                    } else {
                        CHECK(history.count(id) <= 1);
                    }
                }
            }
            store.lostAfterWriteRate = 0;
            store.lostBeforeWriteRate = 0;
            store.unavailableRate = 0;
            ConfigurationEditor<FakeStore> reader(store, "test");
            const HeadRead head = reader.publisher().readHead();
            const ObjectTexts objects = splitObjects(*reader.publisher().readText(head.head->digest));
            for (std::size_t number = 0; number < operators; ++number) {
                const std::string &text = objects.at("model m" + std::to_string(number));
                const int value = std::atoi(text.substr(text.find("max_tokens = ") + 13).c_str());
                CHECK(value >= lastAccepted[number]);
            }
        }
    }

    SECTION("conflict if they change one object, and get its base and its newer definition")
    {
        FakeStore store;
        ConfigurationEditor<FakeStore> editor(store, "test");
        editor.replace("[model m0]\nmax_tokens = 1\n", "base", "ana");
        raceBeforeSwap(store, modelChange(0, 3));
        const EditOutcome outcome = editor.applyChangeSet(modelChange(0, 2), "first", "ana");
        CHECK(outcome.publish.result == PublishResult::Conflict);
        REQUIRE(outcome.conflicts.size() == 1);
        CHECK(outcome.conflicts[0].before.find("max_tokens = 1") != std::string::npos);
        CHECK(outcome.conflicts[0].after.find("max_tokens = 3") != std::string::npos);
    }

    SECTION("are rebased if they change different objects")
    {
        FakeStore store;
        ConfigurationEditor<FakeStore> editor(store, "test");
        editor.replace("[model m0]\nmax_tokens = 1\n", "base", "ana");
        raceBeforeSwap(store, modelChange(1, 3));
        const EditOutcome outcome = editor.applyChangeSet(modelChange(0, 2), "first", "ana");
        CHECK(outcome.publish.result == PublishResult::Accepted);
        CHECK(outcome.publish.head.revision == 3);
        CHECK(outcome.changes.size() == 1);
    }
}
