// Lets another writer put unreadable records beside those of the servers, then a server leave, and checks that no
// request reaches it when the entries must know that it has left.

#include <array>
#include <atomic>
#include <memory>
#include <random>
#include <thread>
#include <vector>

#include <platformstandin.h>

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
/// Clients with a request each now and then, one in a second together.
constexpr std::size_t quietClients = 8;
constexpr double requestsPerSecond = 1;

/// Clients that send a request each, all at once.
constexpr std::size_t burstClients = 24;

/// Unreadable records, each as large as the store allows (valueBytes).
constexpr std::size_t recordCount = 4;
constexpr std::size_t recordBytes = 1048576;

/// Time from the records to the departure. All is shorter than the history of the store (20 s).
constexpr milliseconds settlingTime{ 4000 };

/// The server goes on serving for drainDeadlineMs and a little longer, and then exits.
constexpr milliseconds drainDeadline{ 2000 };
constexpr milliseconds burstDelay{ 2200 };
constexpr milliseconds servingTime{ 2240 };

struct Outcome
{
    std::string id;
    SteadyTime sentAt;
    Answer answer;
};

class StaleServersCase
{
public:
    StaleServersCase(const std::string &program, const std::string &directory, const std::string &recordPath,
                     bool hasTrouble)
        : m_record(recordPath)
        , m_hasTrouble(hasTrouble)
    {
        m_store.put("op/config", configurationText());
        for (std::size_t i = 0; i < serverCount; ++i) {
            m_servers.at(i) = std::make_unique<AppServer>("server-" + std::to_string(i), addressOf(7, i));
            m_store.put("servers/" + m_servers.at(i)->id(), m_servers.at(i)->record());
        }
        std::string seeds;
        for (std::size_t i = 0; i < entryCount; ++i) {
            seeds += (i > 0 ? "," : "") + endpointOf(addressOf(6, i), peerPort);
        }
        for (std::size_t i = 0; i < entryCount; ++i) {
            const std::string name = "entry-" + std::to_string(i);
            m_entries.at(i) = std::make_unique<Daemon>(
                program, directory + "/" + name,
                entrySettings(name, addressOf(6, i), endpointOf("127.0.0.1", m_store.port()), seeds));
            m_entries.at(i)->start();
        }
    }

    int run()
    {
        std::this_thread::sleep_for(std::chrono::seconds(4));
        for (std::size_t i = 0; i < entryCount; ++i) {
            const Answer ready = sendRequest(addressOf(6, i), readyPort,
                                             "GET /-/readiness HTTP/1.1\r\nHost: ready\r\n\r\n", milliseconds(500));
            if (ready.status != 200) {
                return 2;
            }
        }
        std::vector<std::thread> clients;
        for (std::size_t i = 0; i < quietClients; ++i) {
            clients.emplace_back([this, i] {
                runQuietClient(i);
            });
        }
        std::this_thread::sleep_for(std::chrono::seconds(2));
        if (m_hasTrouble) {
            writeUnreadableRecords();
        }
        std::this_thread::sleep_for(settlingTime);
        m_servers[0]->leave();
        m_store.remove("servers/" + m_servers[0]->id());
        m_leftAt = Clock::now();
        m_record.report("the store has removed server-0");
        std::this_thread::sleep_until(m_leftAt + burstDelay);
        for (std::size_t i = 0; i < burstClients; ++i) {
            clients.emplace_back([this, i] {
                sendOrder("burst-" + std::to_string(i), i % entryCount);
            });
        }
        std::this_thread::sleep_until(m_leftAt + servingTime);
        m_servers[0]->exit();
        m_record.report("server-0 has exited");
        std::this_thread::sleep_for(std::chrono::seconds(2));
        m_hasEnded = true;
        for (std::thread &client : clients) {
            client.join();
        }
        return judge();
    }

private:
    void writeUnreadableRecords()
    {
        std::mt19937_64 random(1);
        for (std::size_t i = 0; i < recordCount; ++i) {
            std::string bytes(recordBytes, '\0');
            for (char &byte : bytes) {
                byte = static_cast<char>(random());
            }
            m_store.put("servers/other-" + std::to_string(i), bytes);
        }
        m_record.report("another writer has written 4 records that can't be read");
    }

    void runQuietClient(std::size_t client)
    {
        std::mt19937_64 random(client + 1);
        std::exponential_distribution<> pause(requestsPerSecond / quietClients);
        for (int number = 1; !m_hasEnded; ++number) {
            const auto sendAt = Clock::now() + std::chrono::duration<double>(pause(random));
            while (!m_hasEnded && Clock::now() < sendAt) {
                std::this_thread::sleep_for(milliseconds(5));
            }
            if (!m_hasEnded) {
                sendOrder("c" + std::to_string(client) + "-" + std::to_string(number), random() % entryCount);
            }
        }
    }

    void sendOrder(const std::string &name, std::size_t entry)
    {
        Outcome outcome{ .id = name + "-e" + std::to_string(entry), .sentAt = Clock::now(), .answer = {} };
        outcome.answer = sendRequest(addressOf(6, entry), callerPort, orderRequest(outcome.id), deadline);
        const std::lock_guard lock(m_mutex);
        m_outcomes.push_back(std::move(outcome));
    }

    int judge()
    {
        std::size_t failed = 0;
        for (const Outcome &outcome : m_outcomes) {
            const bool hasFailed = outcome.answer.status != 200 || !outcome.answer.isComplete;
            const bool hasRunAtLeaver = m_servers[0]->hasRun(outcome.id);
            failed += hasFailed && hasRunAtLeaver ? 1 : 0;
            m_record.write("request " + outcome.id + " sent " + m_record.seconds(outcome.sentAt) + ": "
                           + std::to_string(outcome.answer.status) + (hasRunAtLeaver ? ", ran at server-0" : ""));
        }
        std::size_t late = 0;
        for (const SteadyTime arrival : m_servers[0]->arrivals()) {
            late += arrival > m_leftAt + drainDeadline ? 1 : 0;
        }
        m_record.report("requests: " + std::to_string(m_outcomes.size()));
        m_record.report("requests that reached server-0 later than 2 s after the store had removed it (rule DRAIN): "
                        + std::to_string(late));
        m_record.report("requests that ran at server-0 and got no answer of it: " + std::to_string(failed));
        return late > 0 ? 1 : 0;
    }

    Record m_record;
    const bool m_hasTrouble;
    standin::PlatformStore m_store;
    std::array<std::unique_ptr<AppServer>, serverCount> m_servers;
    std::array<std::unique_ptr<Daemon>, entryCount> m_entries;
    std::atomic<bool> m_hasEnded{ false };
    SteadyTime m_leftAt;
    std::mutex m_mutex;
    std::vector<Outcome> m_outcomes;
};

} // namespace

} // namespace zinniadock::review

int main(int argc, char **argv)
{
    if (argc != 5) {
        return 2;
    }
    zinniadock::review::StaleServersCase play(argv[1], argv[2], argv[3], std::string(argv[4]) != "0");
    return play.run();
}
