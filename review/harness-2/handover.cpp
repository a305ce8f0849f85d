// Stops entries in turn, some seconds after a server has crashed and the machine of another entry was lost, and checks
// that no request is cut that an entry has passed on to a server.

#include <array>
#include <atomic>
#include <csignal>
#include <filesystem>
#include <map>
#include <memory>
#include <random>
#include <thread>
#include <vector>

#include <arpa/inet.h>
#include <platformstandin.h>
#include <sys/socket.h>
#include <unistd.h>

#include "appserver.h"
#include "daemon.h"
#include "httpclient.h"
#include "record.h"

namespace zinniadock::review
{

namespace
{

using Clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

constexpr std::size_t entryCount = 3;
constexpr std::size_t serverCount = 3;
constexpr std::size_t clientCount = 48;

/// Requests of all clients in one second. The sheet has 20.3 for the one entry of a data centre.
constexpr double requestsPerSecond = 60;

/// Bounds of the deployment.
constexpr milliseconds stableWindow{ 3000 };
constexpr milliseconds graceTime{ 8000 };
constexpr milliseconds afterGrace{ 1000 };

/// A server is replaced after this time, and its record expires after three heartbeats.
constexpr milliseconds replacementDelay{ 3000 };
constexpr milliseconds expiryDelay{ 3600 };

/// A process that has ended is started again after this time.
constexpr milliseconds restartDelay{ 300 };

/// A machine without power in place of an entry: nothing that is sent to it is answered.
class DarkMachine
{
public:
    explicit DarkMachine(const std::string &address)
        : m_listener(::socket(AF_INET, SOCK_STREAM, 0))
    {
        const int enabled = 1;
        ::setsockopt(m_listener, SOL_SOCKET, SO_REUSEADDR, &enabled, sizeof enabled);
        sockaddr_in name{};
        name.sin_family = AF_INET;
        name.sin_port = htons(peerPort);
        ::inet_pton(AF_INET, address.c_str(), &name.sin_addr);
        static_cast<void>(::bind(m_listener, reinterpret_cast<sockaddr *>(&name), sizeof name));
        ::listen(m_listener, 1);
    }

    ~DarkMachine()
    {
        ::close(m_listener);
    }

    DarkMachine(const DarkMachine &) = delete;
    DarkMachine &operator=(const DarkMachine &) = delete;

private:
    const int m_listener;
};

/// What became of a request of a client.
struct Outcome
{
    std::string id;
    std::size_t entry = 0;
    SteadyTime sentAt;
    SteadyTime endedAt;
    Answer answer;
};

/// A stop of an entry by the platform.
struct Stop
{
    std::size_t entry = 0;
    SteadyTime at;
};

class HandoverCase
{
public:
    HandoverCase(const std::string &program, const std::string &directory, const std::string &recordPath,
                 bool hasTrouble)
        : m_record(recordPath)
        , m_hasTrouble(hasTrouble)
    {
        m_store.put("op/config", configurationText());
        for (std::size_t i = 0; i < serverCount; ++i) {
            startServer();
        }
        std::string seeds;
        for (std::size_t i = 0; i < entryCount; ++i) {
            seeds += (i > 0 ? "," : "") + endpointOf(addressOf(1, i), peerPort);
        }
        for (std::size_t i = 0; i < entryCount; ++i) {
            const std::string name = "entry-" + std::to_string(i);
            m_entries.push_back(std::make_unique<Daemon>(
                program, directory + "/" + name,
                entrySettings(name, addressOf(1, i), endpointOf("127.0.0.1", m_store.port()), seeds)));
            m_entries.back()->start();
        }
    }

    int run()
    {
        std::thread platform([this] {
            pollReadiness();
        });
        std::vector<std::thread> clients;
        int code = 2;
        if (waitUntilReady({ 0, 1, 2 })) {
            for (std::size_t i = 0; i < clientCount; ++i) {
                clients.emplace_back([this, i] {
                    runClient(i);
                });
            }
            playStops();
            code = 0;
        }
        m_hasEnded = true;
        platform.join();
        for (std::thread &client : clients) {
            client.join();
        }
        m_entries.clear();
        return code == 0 ? judge() : code;
    }

private:
    void startServer()
    {
        const std::size_t number = m_servers.size();
        m_servers.push_back(std::make_unique<AppServer>("server-" + std::to_string(number), addressOf(2, number)));
        m_store.put("servers/" + m_servers.back()->id(), m_servers.back()->record());
    }

    /// Asks each entry once a second whether it is ready. After two misses it is out of rotation until it is ready.
    void pollReadiness()
    {
        std::array<int, entryCount> misses{};
        while (!m_hasEnded) {
            for (std::size_t i = 0; i < entryCount; ++i) {
                const Answer answer = sendRequest(
                    addressOf(1, i), readyPort, "GET /-/readiness HTTP/1.1\r\nHost: ready\r\n\r\n", milliseconds(500));
                misses.at(i) = answer.status == 200 ? 0 : misses.at(i) + 1;
                const bool isInRotation = answer.status == 200 || (m_isInRotation.at(i) && misses.at(i) < 2);
                if (isInRotation != m_isInRotation.at(i).exchange(isInRotation)) {
                    m_record.write("platform: entry-" + std::to_string(i)
                                   + (isInRotation ? " in rotation" : " out of rotation"));
                }
            }
            std::this_thread::sleep_for(milliseconds(1000));
        }
    }

    bool waitUntilReady(const std::vector<std::size_t> &entries)
    {
        constexpr std::chrono::seconds limit{ 15 };
        const auto end = Clock::now() + limit;
        const auto isReady = [&] {
            return std::all_of(entries.begin(), entries.end(), [this](std::size_t entry) {
                return m_isInRotation.at(entry).load();
            });
        };
        while (!isReady() && Clock::now() < end) {
            std::this_thread::sleep_for(milliseconds(20));
        }
        return isReady();
    }

    /// Returns the entry that the platform chooses for a new connection. If fewer than half of a zone's entries are in
    /// rotation, it uses all of them.
    std::size_t chooseEntry(double draw) const
    {
        std::vector<std::size_t> used;
        for (std::size_t i = 0; i < entryCount; ++i) {
            if (m_isInRotation.at(i)) {
                used.push_back(i);
            }
        }
        if (2 * used.size() < entryCount) {
            used = { 0, 1, 2 };
        }
        return used[static_cast<std::size_t>(draw * static_cast<double>(used.size()))];
    }

    void runClient(std::size_t client)
    {
        std::mt19937_64 random(client + 1);
        std::exponential_distribution<> pause(requestsPerSecond / clientCount);
        std::uniform_real_distribution<> draw;
        for (int number = 1; !m_hasEnded; ++number) {
            std::this_thread::sleep_for(std::chrono::duration<double>(pause(random)));
            Outcome outcome;
            outcome.entry = chooseEntry(draw(random));
            outcome.id
                = "c" + std::to_string(client) + "-" + std::to_string(number) + "-e" + std::to_string(outcome.entry);
            outcome.sentAt = Clock::now();
            outcome.answer = sendRequest(addressOf(1, outcome.entry), callerPort, orderRequest(outcome.id), deadline);
            outcome.endedAt = Clock::now();
            const std::lock_guard lock(m_mutex);
            m_outcomes.push_back(std::move(outcome));
        }
    }

    /// Stops both entries that are left in turn, twice, each time after a crash of a server.
    void playStops()
    {
        std::this_thread::sleep_for(milliseconds(2000));
        for (std::size_t round = 0; round < 2; ++round) {
            if (m_hasTrouble) {
                playTrouble(round);
            }
            std::this_thread::sleep_for(milliseconds(1500));
            for (const std::size_t entry : { 0U, 1U }) {
                stopEntry(entry);
            }
        }
    }

    /// Lets a server crash while it runs requests of both entries, and the machine of the third entry be lost.
    void playTrouble(std::size_t round)
    {
        AppServer &server = *m_servers[round];
        const auto end = Clock::now() + std::chrono::seconds(10);
        while (!server.runsFor({ 0, 1 }) && Clock::now() < end) {
            std::this_thread::sleep_for(std::chrono::microseconds(200));
        }
        server.exit();
        m_record.report(server.id() + " crashes");
        if (!m_darkMachine) {
            m_entries[2]->kill();
            m_darkMachine = std::make_unique<DarkMachine>(addressOf(1, 2));
            m_record.report("the machine of entry-2 is lost");
        }
        m_troubles.push_back(Clock::now());
        std::this_thread::sleep_for(replacementDelay);
        startServer();
        m_troubles.push_back(Clock::now());
        std::this_thread::sleep_for(expiryDelay - replacementDelay);
        m_store.remove("servers/" + server.id());
    }

    void stopEntry(std::size_t entry)
    {
        Daemon &daemon = *m_entries[entry];
        m_stops.push_back({ entry, Clock::now() });
        daemon.sendSignal(SIGTERM);
        const auto killAt = Clock::now() + graceTime;
        while (daemon.isRunning() && Clock::now() < killAt) {
            std::this_thread::sleep_for(milliseconds(5));
        }
        daemon.kill();
        const std::chrono::duration<double> took = Clock::now() - m_stops.back().at;
        m_record.report("entry-" + std::to_string(entry) + " was stopped, and ended after "
                        + std::to_string(took.count()) + " s with " + std::to_string(daemon.exitCode().value_or(-1)));
        std::this_thread::sleep_for(restartDelay);
        daemon.start();
        m_isInRotation.at(entry) = false;
        waitUntilReady({ entry });
    }

    bool hasRun(const std::string &request)
    {
        return std::any_of(m_servers.begin(), m_servers.end(), [&request](const auto &server) {
            return server->hasRun(request);
        });
    }

    /// Returns whether the rule covers a request: its entry was being stopped, and nothing unplanned has happened from
    /// stableWindow before it on.
    bool isCovered(const Outcome &outcome) const
    {
        const bool isCalm = !m_hasTrouble || std::all_of(m_troubles.begin(), m_troubles.end(), [&](SteadyTime trouble) {
            return outcome.sentAt - stableWindow > trouble || outcome.endedAt < trouble;
        });
        return isCalm && std::any_of(m_stops.begin(), m_stops.end(), [&outcome](const Stop &stop) {
                   return stop.entry == outcome.entry && outcome.endedAt > stop.at
                       && outcome.endedAt < stop.at + graceTime + afterGrace;
               });
    }

    int judge()
    {
        std::size_t lost = 0;
        std::map<std::string, std::size_t> counts;
        for (const Outcome &outcome : m_outcomes) {
            const Answer &answer = outcome.answer;
            const std::string end = answer.isComplete ? std::to_string(answer.status)
                : !answer.isConnected                 ? "no connection"
                : answer.hasTimedOut                  ? "given up"
                                                      : "cut";
            ++counts[end];
            const bool wasPassedOn = hasRun(outcome.id);
            const bool isLost = end == "cut" && wasPassedOn && isCovered(outcome);
            lost += isLost ? 1 : 0;
            m_record.write("request " + outcome.id + " sent " + m_record.seconds(outcome.sentAt) + " ended "
                           + m_record.seconds(outcome.endedAt) + ": " + end + (wasPassedOn ? ", ran" : ", not run")
                           + (isLost ? ", LOST" : ""));
        }
        for (const auto &[end, count] : counts) {
            m_record.report("requests " + end + ": " + std::to_string(count));
        }
        m_record.report("requests passed on to a server and cut by a stop (rule LOST): " + std::to_string(lost));
        return lost > 0 ? 1 : 0;
    }

    Record m_record;
    const bool m_hasTrouble;
    standin::PlatformStore m_store;
    std::vector<std::unique_ptr<AppServer>> m_servers;
    std::vector<std::unique_ptr<Daemon>> m_entries;
    std::unique_ptr<DarkMachine> m_darkMachine;
    std::array<std::atomic<bool>, entryCount> m_isInRotation{};
    std::atomic<bool> m_hasEnded{ false };
    std::mutex m_mutex;
    std::vector<Outcome> m_outcomes;
    std::vector<Stop> m_stops;
    std::vector<SteadyTime> m_troubles; ///< begins and ends of the unplanned disruptions
};

} // namespace

} // namespace zinniadock::review

int main(int argc, char **argv)
{
    if (argc != 5) {
        return 2;
    }
    zinniadock::review::HandoverCase play(argv[1], argv[2], argv[3], std::string(argv[4]) != "0");
    return play.run();
}
