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
#include "zinniadock/process/store/configurationeditor.h"
#include "zinniadock/process/store/configurationfollower.h"
#include "zinniadock/process/store/etcdstore.h"

ABSL_FLAG(std::string, store, "", "IP:port of the store");
ABSL_FLAG(std::string, store_control, "", "IP:port whose /control sets the faults of the store; empty for no faults");
ABSL_FLAG(std::vector<std::string>, admin, {}, "IP:port of the daemons whose revision is polled");
ABSL_FLAG(int, followers, 0, "number of configuration followers in this process");
ABSL_FLAG(int, operators, 1, "number of concurrent operators");
ABSL_FLAG(int, changes, 100, "total number of changes of all operators");
ABSL_FLAG(int, pause_ms, 0, "pause of each operator after a change, in milliseconds");
ABSL_FLAG(int, accounts, 20, "number of client accounts in the configuration; determines its size");
ABSL_FLAG(int, idle_ms, 0, "time without changes at the end in which store calls are counted, in milliseconds");
ABSL_FLAG(int, seed, 1, "seed of the store faults");
ABSL_FLAG(std::string, name_prefix, "", "prefix of the names of the results");
ABSL_FLAG(std::string, store_prefix, "publish", "prefix of the keys in the store");
ABSL_FLAG(std::string, json, "", "output file for the results in JSON");

namespace zinniadock::load
{

namespace
{

using Clock = std::chrono::steady_clock;
using Json = nlohmann::json;

constexpr std::chrono::milliseconds storeTimeout{ 1000 };
constexpr std::chrono::milliseconds retryPause{ 20 };
constexpr std::chrono::milliseconds pollInterval{ 5 };
constexpr std::chrono::milliseconds propagationTimeout{ 30000 };

/// Sends an HTTP request and returns the body of the response; empty if the request failed.
std::string sendHttpRequest(const Endpoint &target, const std::string &method, const std::string &path,
                            const std::string &body)
{
    std::string responseBody;
    try {
        Poco::Net::HTTPClientSession session(target.address, target.port);
        session.setTimeout(Poco::Timespan(2, 0));
        Poco::Net::HTTPRequest request(method, path, Poco::Net::HTTPMessage::HTTP_1_1);
        request.setContentLength(static_cast<std::streamsize>(body.size()));
        session.sendRequest(request) << body << std::flush;
        Poco::Net::HTTPResponse response;
        Poco::StreamCopier::copyToString(session.receiveResponse(response), responseBody);
    } catch (const Poco::Exception &) {
        responseBody.clear();
    }
    return responseBody;
}

/// Records when each revision was accepted and when it became active at each observer. An observer is a follower in
/// this process or a polled daemon. Thread-safe.
class PropagationTracker
{
public:
    void recordAccepted(std::uint64_t revision)
    {
        const std::lock_guard lock(m_mutex);
        m_acceptedAt.try_emplace(revision, Clock::now());
    }

    /// Records the active revision of an observer. A revision lower than the highest recorded one counts as a
    /// reversion.
    void recordActiveRevision(std::size_t observer, std::uint64_t revision)
    {
        const std::lock_guard lock(m_mutex);
        auto &revisions = m_activeSince[observer];
        m_reversions += !revisions.empty() && revision < revisions.rbegin()->first ? 1 : 0;
        revisions.try_emplace(revision, Clock::now());
    }

    /// Returns the highest active revision that was recorded for an observer; 0 if there is none.
    std::uint64_t highestRevision(std::size_t observer) const
    {
        const std::lock_guard lock(m_mutex);
        const auto position = m_activeSince.find(observer);
        return position == m_activeSince.end() || position->second.empty() ? 0 : position->second.rbegin()->first;
    }

    std::uint64_t reversions() const
    {
        const std::lock_guard lock(m_mutex);
        return m_reversions;
    }

    /// Returns for each accepted revision the time until this or a later revision was active at every observer. A
    /// revision that is not active everywhere yet counts with the time up to now. Observers without any recorded
    /// revision are ignored.
    DurationSamples propagationTimes() const
    {
        const std::lock_guard lock(m_mutex);
        DurationSamples samples;
        for (const auto &[revision, acceptedAt] : m_acceptedAt) {
            Clock::time_point last = acceptedAt;
            for (const auto &[observer, revisions] : m_activeSince) {
                const auto position = revisions.lower_bound(revision);
                last = position == revisions.end() ? Clock::now() : std::max(last, position->second);
            }
            samples.add(std::chrono::duration_cast<Microseconds>(last - acceptedAt));
        }
        return samples;
    }

private:
    mutable std::mutex m_mutex;
    std::map<std::uint64_t, Clock::time_point> m_acceptedAt; ///< by revision
    std::map<std::size_t, std::map<std::uint64_t, Clock::time_point>> m_activeSince; ///< by observer and revision
    std::uint64_t m_reversions = 0;
};

/// A configuration follower with the store client, version holder and timeline that it uses in a daemon.
struct InProcessFollower
{
    InProcessFollower(const Endpoint &endpoint, const std::string &prefix, PropagationTracker &tracker,
                      std::size_t observer)
        : store(endpoint, storeTimeout)
        , follower(
              store, prefix, versions, timeline,
              [this, &tracker, observer] {
                  tracker.recordActiveRevision(observer, versions.revision());
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

ChangeSet makeChangeSet(int operatorNumber, int value)
{
    const std::string heading = "model m" + std::to_string(operatorNumber);
    return ChangeSet{ .replaced = { { heading, "[" + heading + "]\nmax_tokens = " + std::to_string(value) + "\n" } },
                      .removed = {} };
}

struct OperatorResult
{
    std::map<std::string, std::uint64_t> accepted; ///< revision by change id
    std::uint64_t unavailableCount = 0; ///< attempts that failed because the store was unavailable
    std::uint64_t unknownCount = 0; ///< changes whose result is unknown
    std::uint64_t otherCount = 0; ///< changes that ended with Unchanged or Conflict
    std::uint64_t storeCalls = 0;
};

/// Publishes the changes of one operator, one after another.
OperatorResult runOperator(const Endpoint &endpoint, const std::string &prefix, int operatorNumber, int changeCount,
                           PropagationTracker &tracker)
{
    EtcdStore store(endpoint, storeTimeout);
    ConfigurationEditor<EtcdStore> editor(store, prefix, retryPause);
    OperatorResult result;
    for (int value = 1; value <= changeCount; ++value) {
        const std::string id = std::to_string(operatorNumber) + "/" + std::to_string(value);
        EditOutcome outcome = editor.applyChangeSet(makeChangeSet(operatorNumber, value), id, "operator");
        // Unavailable guarantees that the change was not accepted, so a retry cannot apply it twice.
        while (outcome.publish.result == PublishResult::Unavailable) {
            ++result.unavailableCount;
            std::this_thread::sleep_for(retryPause);
            outcome = editor.applyChangeSet(makeChangeSet(operatorNumber, value), id, "operator");
        }
        switch (outcome.publish.result) {
        case PublishResult::Accepted:
            tracker.recordAccepted(outcome.publish.head.revision);
            result.accepted[id] = outcome.publish.head.revision;
            break;
        case PublishResult::Unknown:
            ++result.unknownCount;
            break;
        default:
            ++result.otherCount;
        }
        std::this_thread::sleep_for(std::chrono::milliseconds(absl::GetFlag(FLAGS_pause_ms)));
    }
    result.storeCalls = store.calls();
    return result;
}

/// Sets a random fault of the store every 100 to 500 ms until \p stop is true, then clears the fault. The choice "{}"
/// clears all faults. It is 9 of the 12 choices, so that the store works most of the time.
void injectStoreFaults(const Endpoint &control, std::uint64_t seed, const std::atomic<bool> &stop)
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
        sendHttpRequest(control, "POST", "/control", faults[random() % std::size(faults)]);
        std::this_thread::sleep_for(std::chrono::milliseconds(100 + random() % 400));
    }
    sendHttpRequest(control, "POST", "/control", "{}");
}

/// Returns the number of errors in the history of the configuration: accepted changes that are missing or have another
/// revision, change ids that occur twice, and entries whose digest differs from the parent digest of their successor.
/// If the head cannot be read, every accepted change counts twice: once for the head and once as missing.
std::uint64_t countLostChanges(const Endpoint &endpoint, const std::string &prefix, const OperatorResult &totals)
{
    EtcdStore store(endpoint, storeTimeout);
    Publisher<EtcdStore> publisher(store, prefix);
    std::map<std::string, std::uint64_t> revisionByChangeId;
    std::optional<ConfigurationHead> entry = publisher.readHead().head;
    std::uint64_t lost = entry ? 0 : totals.accepted.size();
    std::string parentDigest;
    while (entry) {
        lost += parentDigest.empty() || parentDigest == entry->digest ? 0 : 1;
        parentDigest = entry->parent;
        lost += revisionByChangeId.try_emplace(entry->changeId, entry->revision).second ? 0 : 1;
        entry = entry->revision > 1 ? publisher.readHistory(entry->revision - 1) : std::nullopt;
    }
    for (const auto &[id, revision] : totals.accepted) {
        const auto position = revisionByChangeId.find(id);
        lost += position == revisionByChangeId.end() || position->second != revision ? 1 : 0;
    }
    return lost;
}

/// Returns the active revision that a daemon reports under /status; 0 if the daemon does not respond.
std::uint64_t fetchRevision(const Endpoint &admin)
{
    const Json status = Json::parse(sendHttpRequest(admin, "GET", "/status", ""), nullptr, false);
    return status.is_object() ? status.value("revision", std::uint64_t()) : 0;
}

/// Parses endpoints and appends them. Returns whether all texts are valid.
bool parseEndpoints(const std::vector<std::string> &texts, std::vector<Endpoint> &endpoints)
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
    if (!parseEndpoints({ absl::GetFlag(FLAGS_store) }, stores) || !parseEndpoints(absl::GetFlag(FLAGS_admin), admins)
        || (!control.empty() && !parseEndpoints({ control }, controls))) {
        std::cerr << "zinniadock-publish: expected IP:port in --store, --store_control and --admin\n";
        return 2;
    }
    const Endpoint &endpoint = stores.front();
    const std::string prefix = absl::GetFlag(FLAGS_store_prefix);
    PropagationTracker tracker;
    EtcdStore store(endpoint, storeTimeout);
    ConfigurationEditor<EtcdStore> editor(store, prefix);
    if (absl::GetFlag(FLAGS_admin).empty()) {
        editor.replace(baseConfiguration(absl::GetFlag(FLAGS_accounts)), "base", "bench");
    }
    std::vector<std::unique_ptr<InProcessFollower>> followers;
    for (int i = 0; i < absl::GetFlag(FLAGS_followers); ++i) {
        followers.push_back(std::make_unique<InProcessFollower>(endpoint, prefix, tracker, followers.size()));
    }
    const std::uint64_t firstRevision = editor.publisher().readHead().head.value_or(ConfigurationHead()).revision;
    const auto isActiveEverywhere = [&](std::uint64_t revision) {
        for (std::size_t observer = 0; observer < followers.size() + admins.size(); ++observer) {
            if (tracker.highestRevision(observer) < revision) {
                return false;
            }
        }
        return true;
    };
    std::atomic<bool> stop{ false };
    std::vector<std::thread> backgroundThreads;
    for (std::size_t i = 0; i < admins.size(); ++i) {
        backgroundThreads.emplace_back([&, i] {
            while (!stop) {
                if (const std::uint64_t revision = fetchRevision(admins[i]); revision > 0) {
                    tracker.recordActiveRevision(followers.size() + i, revision);
                }
                std::this_thread::sleep_for(pollInterval);
            }
        });
    }
    const auto waitForRevision = [&](std::uint64_t revision) {
        const auto deadline = Clock::now() + propagationTimeout;
        while (!isActiveEverywhere(revision) && Clock::now() < deadline) {
            std::this_thread::sleep_for(pollInterval);
        }
    };
    waitForRevision(firstRevision);
    const auto countFollowerCalls = [&] {
        std::uint64_t calls = 0;
        for (const auto &follower : followers) {
            calls += follower->store.calls();
        }
        return calls;
    };
    const std::uint64_t callsBefore = countFollowerCalls();
    const ProcessUsage usageBefore = readUsage(getpid());
    const auto begin = Clock::now();
    if (!controls.empty()) {
        backgroundThreads.emplace_back([&] {
            injectStoreFaults(controls.front(), static_cast<std::uint64_t>(absl::GetFlag(FLAGS_seed)), stop);
        });
    }
    const int operators = absl::GetFlag(FLAGS_operators);
    std::vector<std::thread> threads;
    std::mutex mutex;
    OperatorResult totals;
    for (int number = 0; number < operators; ++number) {
        threads.emplace_back([&, number] {
            OperatorResult result
                = runOperator(endpoint, prefix, number, absl::GetFlag(FLAGS_changes) / operators, tracker);
            const std::lock_guard lock(mutex);
            totals.accepted.merge(result.accepted);
            totals.unavailableCount += result.unavailableCount;
            totals.unknownCount += result.unknownCount;
            totals.otherCount += result.otherCount;
            totals.storeCalls += result.storeCalls;
        });
    }
    for (std::thread &thread : threads) {
        thread.join();
    }
    const double seconds = std::chrono::duration<double>(Clock::now() - begin).count();
    std::uint64_t lastRevision = firstRevision;
    for (const auto &[id, revision] : totals.accepted) {
        lastRevision = std::max(lastRevision, revision);
    }
    const std::uint64_t followerCallsDuringChanges = countFollowerCalls() - callsBefore;
    if (!controls.empty()) {
        stop = true;
        backgroundThreads.back().join();
        backgroundThreads.pop_back();
        stop = false;
    }
    waitForRevision(lastRevision);
    const std::uint64_t callsBeforeIdle = countFollowerCalls();
    const std::chrono::milliseconds idleTime(absl::GetFlag(FLAGS_idle_ms));
    std::this_thread::sleep_for(idleTime);
    const std::uint64_t idleCalls = countFollowerCalls() - callsBeforeIdle;
    stop = true;
    for (std::thread &thread : backgroundThreads) {
        thread.join();
    }
    const std::string namePrefix = absl::GetFlag(FLAGS_name_prefix);
    const auto acceptedCount = static_cast<double>(std::max<std::size_t>(1, totals.accepted.size()));
    const auto followerCount = static_cast<double>(std::max<std::size_t>(1, followers.size()));
    DurationSamples propagationTimes = tracker.propagationTimes();
    Figures figures;
    figures.add(namePrefix + "changes_accepted", static_cast<double>(totals.accepted.size()));
    figures.add(namePrefix + "changes_unavailable", static_cast<double>(totals.unavailableCount));
    figures.add(namePrefix + "changes_unknown", static_cast<double>(totals.unknownCount));
    figures.add(namePrefix + "changes_other", static_cast<double>(totals.otherCount));
    figures.add(namePrefix + "changes_lost", static_cast<double>(countLostChanges(endpoint, prefix, totals)));
    figures.add(namePrefix + "reversions", static_cast<double>(tracker.reversions()));
    figures.add(namePrefix + "changes_per_s", acceptedCount / seconds);
    figures.add(namePrefix + "in_force_p50_ms", propagationTimes.quantileMilliseconds(0.5));
    figures.add(namePrefix + "in_force_p99_ms", propagationTimes.quantileMilliseconds(0.99));
    figures.add(namePrefix + "in_force_max_ms", propagationTimes.quantileMilliseconds(1));
    figures.add(namePrefix + "operator_calls_per_change", static_cast<double>(totals.storeCalls) / acceptedCount);
    if (!followers.empty()) {
        std::uint64_t fullTextReads = 0;
        for (const auto &follower : followers) {
            fullTextReads += follower->follower.fullTextReads();
        }
        const ProcessUsage usage = readUsage(getpid());
        const auto usedMicroseconds = static_cast<double>((usage.cpuTime - usageBefore.cpuTime).count());
        figures.add(namePrefix + "follower_calls_per_change",
                    static_cast<double>(followerCallsDuringChanges) / acceptedCount / followerCount);
        figures.add(namePrefix + "whole_reads_per_follower", static_cast<double>(fullTextReads) / followerCount);
        figures.add(namePrefix + "cpu_us_per_change_and_follower", usedMicroseconds / acceptedCount / followerCount);
        if (idleTime.count() > 0) {
            figures.add(namePrefix + "calls_per_idle_minute_and_follower",
                        static_cast<double>(idleCalls) / followerCount * 60000 / static_cast<double>(idleTime.count()));
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
    absl::SetProgramUsageMessage(
        "Publishes configuration changes and measures the time until they are active everywhere: "
        "zinniadock-publish --store IP:PORT");
    static_cast<void>(std::signal(SIGPIPE, SIG_IGN));
    absl::ParseCommandLine(argc, argv);
    return zinniadock::load::run();
}
