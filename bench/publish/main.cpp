#include <algorithm>
#include <atomic>
#include <csignal>
#include <iostream>
#include <map>
#include <memory>
#include <mutex>
#include <random>
#include <thread>

#include <Poco/Exception.h>
#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/StreamCopier.h>
#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <nlohmann/json.hpp>

#include "figures.h"
#include "processusage.h"
#include "zinniadock/process/configurationeditor.h"
#include "zinniadock/process/configurationfollower.h"
#include "zinniadock/process/etcdstore.h"

ABSL_FLAG(std::string, store, "", "IP:port of the store");
ABSL_FLAG(std::string, store_control, "", "IP:port whose /control sets the store's faults; empty for none");
ABSL_FLAG(std::vector<std::string>, admin, {}, "IP:port of daemons whose revision is polled");
ABSL_FLAG(int, followers, 0, "followers in this process");
ABSL_FLAG(int, operators, 1, "operators that race");
ABSL_FLAG(int, changes, 100, "changes over all operators");
ABSL_FLAG(int, pause_ms, 0, "pause of each operator after a change");
ABSL_FLAG(int, accounts, 20, "client accounts in the configuration, which sets its size");
ABSL_FLAG(int, idle_ms, 0, "quiet time at the end in which store calls are counted");
ABSL_FLAG(int, seed, 1, "seed");
ABSL_FLAG(std::string, name_prefix, "", "prefix of the figures' names");
ABSL_FLAG(std::string, store_prefix, "publish", "prefix of the keys");
ABSL_FLAG(std::string, json, "", "file for the figures");

namespace zinniadock::load
{

namespace
{

using Clock = std::chrono::steady_clock;
using Json = nlohmann::json;

constexpr std::chrono::milliseconds storeTimeout{ 1000 };
constexpr std::chrono::milliseconds retryPause{ 20 };
constexpr std::chrono::milliseconds pollPause{ 5 };
constexpr std::chrono::milliseconds settleTimeout{ 30000 };

std::string http(const Endpoint &target, const std::string &method, const std::string &path, const std::string &body)
{
    std::string answer;
    try {
        Poco::Net::HTTPClientSession session(target.address, target.port);
        session.setTimeout(Poco::Timespan(2, 0));
        Poco::Net::HTTPRequest request(method, path, Poco::Net::HTTPMessage::HTTP_1_1);
        request.setContentLength(static_cast<std::streamsize>(body.size()));
        session.sendRequest(request) << body << std::flush;
        Poco::Net::HTTPResponse response;
        Poco::StreamCopier::copyToString(session.receiveResponse(response), answer);
    } catch (const Poco::Exception &) {
        answer.clear();
    }
    return answer;
}

/// When each revision was accepted, and when each place had it in force.
class Spread
{
public:
    void accepted(std::uint64_t revision)
    {
        const std::lock_guard lock(m_mutex);
        m_accepted.try_emplace(revision, Clock::now());
    }

    /// Notes the revision in force at a place. A lower one than before is a reversion.
    void inForce(std::size_t place, std::uint64_t revision)
    {
        const std::lock_guard lock(m_mutex);
        auto &seen = m_inForce[place];
        m_reversions += !seen.empty() && revision < seen.rbegin()->first ? 1 : 0;
        seen.try_emplace(revision, Clock::now());
    }

    std::uint64_t highest(std::size_t place) const
    {
        const std::lock_guard lock(m_mutex);
        const auto position = m_inForce.find(place);
        return position == m_inForce.end() || position->second.empty() ? 0 : position->second.rbegin()->first;
    }

    std::uint64_t reversions() const
    {
        const std::lock_guard lock(m_mutex);
        return m_reversions;
    }

    /// Returns for each accepted revision the time until the last place had it, or a later one, in force.
    Samples times() const
    {
        const std::lock_guard lock(m_mutex);
        Samples samples;
        for (const auto &[revision, begin] : m_accepted) {
            Clock::time_point last = begin;
            for (const auto &[place, seen] : m_inForce) {
                const auto position = seen.lower_bound(revision);
                last = position == seen.end() ? Clock::now() : std::max(last, position->second);
            }
            samples.add(std::chrono::duration_cast<Microseconds>(last - begin));
        }
        return samples;
    }

private:
    mutable std::mutex m_mutex;
    std::map<std::uint64_t, Clock::time_point> m_accepted;
    std::map<std::size_t, std::map<std::uint64_t, Clock::time_point>> m_inForce;
    std::uint64_t m_reversions = 0;
};

/// One follower as a daemon has it.
struct Follower
{
    Follower(const Endpoint &endpoint, const std::string &prefix, Spread &spread, std::size_t place)
        : store(endpoint, storeTimeout)
        , follower(
              store, prefix, versions, timeline,
              [this, &spread, place] {
                  spread.inForce(place, versions.revision());
              },
              [] {})
    {
    }

    EtcdStore store;
    VersionHolder versions;
    Timeline timeline;
    ConfigurationFollower<EtcdStore> follower;
};

std::string baseConfiguration(int accounts)
{
    std::string text;
    for (int i = 0; i < accounts; ++i) {
        text += "[account a" + std::to_string(i) + "]\nkey_digest = " + sha256(std::to_string(i)) + "\n";
    }
    return text;
}

ChangeSet changeOf(int operatorNumber, int value)
{
    const std::string heading = "model m" + std::to_string(operatorNumber);
    return ChangeSet{ .replaced = { { heading, "[" + heading + "]\nmax_tokens = " + std::to_string(value) + "\n" } },
                      .removed = {} };
}

struct OperatorResult
{
    std::map<std::string, std::uint64_t> accepted; ///< revision by change id
    std::uint64_t unavailable = 0;
    std::uint64_t unknown = 0;
    std::uint64_t other = 0;
    std::uint64_t calls = 0;
};

OperatorResult operate(const Endpoint &endpoint, const std::string &prefix, int number, int changes, Spread &spread)
{
    EtcdStore store(endpoint, storeTimeout);
    ConfigurationEditor<EtcdStore> editor(store, prefix, retryPause);
    OperatorResult result;
    for (int value = 1; value <= changes; ++value) {
        const std::string id = std::to_string(number) + "/" + std::to_string(value);
        EditOutcome outcome = editor.applyChangeSet(changeOf(number, value), id, "operator");
        // Nothing was accepted, so the operator asks again once the store answers.
        while (outcome.publish.result == PublishResult::Unavailable) {
            ++result.unavailable;
            std::this_thread::sleep_for(retryPause);
            outcome = editor.applyChangeSet(changeOf(number, value), id, "operator");
        }
        switch (outcome.publish.result) {
        case PublishResult::Accepted:
            spread.accepted(outcome.publish.head.revision);
            result.accepted[id] = outcome.publish.head.revision;
            break;
        case PublishResult::Unknown:
            ++result.unknown;
            break;
        default:
            ++result.other;
        }
        std::this_thread::sleep_for(std::chrono::milliseconds(absl::GetFlag(FLAGS_pause_ms)));
    }
    result.calls = store.calls();
    return result;
}

/// Sets faults of the store, one after the other, until it is told to stop.
void troubleStore(const Endpoint &control, std::uint64_t seed, const std::atomic<bool> &stop)
{
    std::mt19937_64 random(seed);
    const char *faults[] = { R"({"lose_answers":0.3})",
                             R"({"down":true})",
                             R"({"delay_ms":20})",
                             "{}",
                             "{}",
                             "{}",
                             "{}",
                             "{}",
                             "{}",
                             "{}",
                             "{}",
                             "{}" };
    while (!stop) {
        http(control, "POST", "/control", faults[random() % std::size(faults)]);
        std::this_thread::sleep_for(std::chrono::milliseconds(100 + random() % 400));
    }
    http(control, "POST", "/control", "{}");
}

/// Counts accepted changes that the chain of heads does not hold, or holds twice, or at another place.
std::uint64_t lostChanges(const Endpoint &endpoint, const std::string &prefix, const OperatorResult &all)
{
    EtcdStore store(endpoint, storeTimeout);
    Publisher<EtcdStore> publisher(store, prefix);
    std::map<std::string, std::uint64_t> chain;
    std::optional<ConfigurationHead> entry = publisher.readHead().head;
    std::uint64_t lost = entry ? 0 : all.accepted.size();
    std::string parent;
    while (entry) {
        lost += parent.empty() || parent == entry->digest ? 0 : 1;
        parent = entry->parent;
        lost += chain.try_emplace(entry->changeId, entry->revision).second ? 0 : 1;
        entry = entry->revision > 1 ? publisher.readHistory(entry->revision - 1) : std::nullopt;
    }
    for (const auto &[id, revision] : all.accepted) {
        const auto position = chain.find(id);
        lost += position == chain.end() || position->second != revision ? 1 : 0;
    }
    return lost;
}

std::uint64_t revisionOf(const Endpoint &admin)
{
    const Json status = Json::parse(http(admin, "GET", "/status", ""), nullptr, false);
    return status.is_object() ? status.value("revision", std::uint64_t()) : 0;
}

bool readEndpoints(const std::vector<std::string> &texts, std::vector<Endpoint> &endpoints)
{
    return std::all_of(texts.begin(), texts.end(), [&endpoints](const std::string &text) {
        return detail::parseValue(text, detail::Range{}, endpoints.emplace_back());
    });
}

int run()
{
    std::vector<Endpoint> stores;
    std::vector<Endpoint> controls;
    std::vector<Endpoint> admins;
    const std::string control = absl::GetFlag(FLAGS_store_control);
    if (!readEndpoints({ absl::GetFlag(FLAGS_store) }, stores) || !readEndpoints(absl::GetFlag(FLAGS_admin), admins)
        || (!control.empty() && !readEndpoints({ control }, controls))) {
        std::cerr << "zinniadock-publish: expected IP:port in --store, --store_control and --admin\n";
        return 2;
    }
    const Endpoint &endpoint = stores.front();
    const std::string prefix = absl::GetFlag(FLAGS_store_prefix);
    Spread spread;
    EtcdStore store(endpoint, storeTimeout);
    ConfigurationEditor<EtcdStore> editor(store, prefix);
    if (absl::GetFlag(FLAGS_admin).empty()) {
        editor.replace(baseConfiguration(absl::GetFlag(FLAGS_accounts)), "base", "bench");
    }
    std::vector<std::unique_ptr<Follower>> followers;
    for (int i = 0; i < absl::GetFlag(FLAGS_followers); ++i) {
        followers.push_back(std::make_unique<Follower>(endpoint, prefix, spread, followers.size()));
    }
    const std::uint64_t first = editor.publisher().readHead().head.value_or(ConfigurationHead()).revision;
    const auto everywhere = [&](std::uint64_t revision) {
        for (std::size_t place = 0; place < followers.size() + admins.size(); ++place) {
            if (spread.highest(place) < revision) {
                return false;
            }
        }
        return true;
    };
    std::atomic<bool> stop{ false };
    std::vector<std::thread> helpers;
    for (std::size_t i = 0; i < admins.size(); ++i) {
        helpers.emplace_back([&, i] {
            while (!stop) {
                if (const std::uint64_t revision = revisionOf(admins[i]); revision > 0) {
                    spread.inForce(followers.size() + i, revision);
                }
                std::this_thread::sleep_for(pollPause);
            }
        });
    }
    const auto settle = [&](std::uint64_t revision) {
        const auto until = Clock::now() + settleTimeout;
        while (!everywhere(revision) && Clock::now() < until) {
            std::this_thread::sleep_for(pollPause);
        }
    };
    settle(first);
    const auto followerCalls = [&] {
        std::uint64_t calls = 0;
        for (const auto &follower : followers) {
            calls += follower->store.calls();
        }
        return calls;
    };
    const std::uint64_t callsBefore = followerCalls();
    const ProcessUsage usageBefore = readUsage(getpid());
    const auto begin = Clock::now();
    if (!controls.empty()) {
        helpers.emplace_back([&] {
            troubleStore(controls.front(), static_cast<std::uint64_t>(absl::GetFlag(FLAGS_seed)), stop);
        });
    }
    const int operators = absl::GetFlag(FLAGS_operators);
    std::vector<std::thread> threads;
    std::mutex mutex;
    OperatorResult all;
    for (int number = 0; number < operators; ++number) {
        threads.emplace_back([&, number] {
            OperatorResult result = operate(endpoint, prefix, number, absl::GetFlag(FLAGS_changes) / operators, spread);
            const std::lock_guard lock(mutex);
            all.accepted.merge(result.accepted);
            all.unavailable += result.unavailable;
            all.unknown += result.unknown;
            all.other += result.other;
            all.calls += result.calls;
        });
    }
    for (std::thread &thread : threads) {
        thread.join();
    }
    const double seconds = std::chrono::duration<double>(Clock::now() - begin).count();
    std::uint64_t last = first;
    for (const auto &[id, revision] : all.accepted) {
        last = std::max(last, revision);
    }
    const std::uint64_t followerCallsOfChanges = followerCalls() - callsBefore;
    if (!controls.empty()) {
        stop = true;
        helpers.back().join();
        helpers.pop_back();
        stop = false;
    }
    settle(last);
    const std::uint64_t idleBefore = followerCalls();
    const std::chrono::milliseconds idle(absl::GetFlag(FLAGS_idle_ms));
    std::this_thread::sleep_for(idle);
    const std::uint64_t idleCalls = followerCalls() - idleBefore;
    stop = true;
    for (std::thread &helper : helpers) {
        helper.join();
    }
    const std::string name = absl::GetFlag(FLAGS_name_prefix);
    const auto accepted = static_cast<double>(std::max<std::size_t>(1, all.accepted.size()));
    const auto places = static_cast<double>(std::max<std::size_t>(1, followers.size()));
    Samples times = spread.times();
    Figures figures;
    figures.add(name + "changes_accepted", static_cast<double>(all.accepted.size()));
    figures.add(name + "changes_unavailable", static_cast<double>(all.unavailable));
    figures.add(name + "changes_unknown", static_cast<double>(all.unknown));
    figures.add(name + "changes_other", static_cast<double>(all.other));
    figures.add(name + "changes_lost", static_cast<double>(lostChanges(endpoint, prefix, all)));
    figures.add(name + "reversions", static_cast<double>(spread.reversions()));
    figures.add(name + "changes_per_s", accepted / seconds);
    figures.add(name + "in_force_p50_ms", times.milliseconds(0.5));
    figures.add(name + "in_force_p99_ms", times.milliseconds(0.99));
    figures.add(name + "in_force_max_ms", times.milliseconds(1));
    figures.add(name + "operator_calls_per_change", static_cast<double>(all.calls) / accepted);
    if (!followers.empty()) {
        std::uint64_t fullTextReads = 0;
        for (const auto &follower : followers) {
            fullTextReads += follower->follower.fullTextReads();
        }
        const ProcessUsage usage = readUsage(getpid());
        const auto used = static_cast<double>((usage.processor - usageBefore.processor).count());
        figures.add(name + "follower_calls_per_change",
                    static_cast<double>(followerCallsOfChanges) / accepted / places);
        figures.add(name + "whole_reads_per_follower", static_cast<double>(fullTextReads) / places);
        figures.add(name + "cpu_us_per_change_and_follower", used / accepted / places);
        if (idle.count() > 0) {
            figures.add(name + "calls_per_idle_minute_and_follower",
                        static_cast<double>(idleCalls) / places * 60000 / static_cast<double>(idle.count()));
        }
    }
    figures.print();
    const std::string file = absl::GetFlag(FLAGS_json);
    return file.empty() || figures.write(file) ? 0 : 2;
}

} // namespace

} // namespace zinniadock::load

int main(int argc, char **argv)
{
    absl::SetProgramUsageMessage("Publishes changes and measures how they spread: zinniadock-publish --store IP:PORT");
    static_cast<void>(std::signal(SIGPIPE, SIG_IGN));
    absl::ParseCommandLine(argc, argv);
    return zinniadock::load::run();
}
