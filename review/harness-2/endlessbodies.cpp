// Lets some engines send bytes without end in the bodies of their responses, and checks that the entry before them
// stays within the memory of its machine. A process that exceeds it is killed, as on the users' machines.

#include <atomic>
#include <map>
#include <memory>
#include <random>
#include <thread>
#include <vector>

#include <platformstandin.h>

#include "daemon.h"
#include "engine.h"
#include "httpclient.h"
#include "record.h"

namespace zinniadock::review
{

namespace
{

using Clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

constexpr std::size_t engineCount = 14;

/// Engines that send bytes without end. The largest share of servers with spoiled responses in the site file is 0.6.
constexpr std::size_t brokenCount = 8;

/// Generations of both kinds in the sheet, before 14 engines.
constexpr double generationsPerSecond = 12.92;

constexpr milliseconds troubleTime{ 20000 };
constexpr std::size_t clientCount = 220;

/// Clients leave a stream after a gap of this time: four times the target latency.
constexpr milliseconds patience{ 7200 };

class EndlessBodiesCase
{
public:
    EndlessBodiesCase(const std::string &program, const std::string &directory, const std::string &recordPath,
                      bool hasTrouble)
        : m_record(recordPath)
        , m_hasTrouble(hasTrouble)
    {
        m_store.put("op/config", engineConfigurationText());
        const std::string seeds = endpointOf(addressOf(4, 0), peerPort);
        for (std::size_t i = 0; i < engineCount; ++i) {
            const std::string name = "engine-" + std::to_string(i);
            const std::string address = addressOf(5, i);
            m_engines.push_back(std::make_unique<Engine>(name, address, m_record));
            m_sidecars.push_back(std::make_unique<Daemon>(
                program, directory + "/sidecar-" + std::to_string(i),
                sidecarSettings(name, address, m_engines.back()->endpoint(), "brief-models", seeds)));
            m_sidecars.back()->start();
            m_store.put("servers/" + name, m_engines.back()->record());
        }
        m_entry = std::make_unique<Daemon>(
            program, directory + "/entry",
            entrySettings("entry-0", addressOf(4, 0), endpointOf("127.0.0.1", m_store.port()), seeds));
        m_entry->start();
    }

    int run()
    {
        std::this_thread::sleep_for(std::chrono::seconds(3));
        const Answer ready = sendRequest(addressOf(4, 0), readyPort, "GET /-/readiness HTTP/1.1\r\nHost: ready\r\n\r\n",
                                         milliseconds(500));
        if (ready.status != 200) {
            return 2;
        }
        std::vector<std::thread> clients;
        for (std::size_t i = 0; i < clientCount; ++i) {
            clients.emplace_back([this, i] {
                runClient(i);
            });
        }
        watch(std::chrono::seconds(5));
        for (std::size_t i = 0; i < brokenCount; ++i) {
            m_engines[i]->setBroken(m_hasTrouble);
        }
        m_record.report(m_hasTrouble ? "8 of 14 engines send bytes without end" : "no trouble");
        watch(troubleTime);
        m_hasEnded = true;
        const bool hasSurvived = m_entry->isRunning();
        m_entry->kill();
        for (std::thread &client : clients) {
            client.join();
        }
        m_sidecars.clear();
        return report(hasSurvived);
    }

private:
    /// Watches the memory of the entry for a time, as the machine does.
    void watch(milliseconds time)
    {
        constexpr milliseconds interval{ 10 };
        const auto end = Clock::now() + time;
        auto nextLine = Clock::now();
        while (Clock::now() < end && m_entry->isRunning()) {
            const double memory = m_entry->allocatedMb();
            m_maxMemory = std::max(m_maxMemory, memory);
            if (Clock::now() >= nextLine) {
                nextLine += std::chrono::seconds(1);
                m_record.write("memory of the entry: " + std::to_string(memory) + " MB");
            }
            if (memory > entryMemoryMb) {
                m_record.report("the entry has " + std::to_string(memory) + " MB and is killed");
                m_entry->kill();
            }
            std::this_thread::sleep_for(interval);
        }
    }

    void runClient(std::size_t client)
    {
        const std::vector<GenerationKind> kinds = generationKinds();
        std::mt19937_64 random(client + 1);
        std::exponential_distribution<> pause(generationsPerSecond / clientCount);
        std::discrete_distribution<std::size_t> choice{ 5.38, 7.54 };
        for (int number = 1; !m_hasEnded; ++number) {
            const auto sendAt = Clock::now() + std::chrono::duration<double>(pause(random));
            while (!m_hasEnded && Clock::now() < sendAt) {
                std::this_thread::sleep_for(milliseconds(5));
            }
            if (m_hasEnded) {
                break;
            }
            const GenerationKind &kind = kinds[choice(random)];
            const std::string id = "c" + std::to_string(client) + "-" + std::to_string(number);
            const Answer answer
                = sendRequest(addressOf(4, 0), callerPort, generationRequest(kind, id, random()), patience);
            const std::string end = answer.isComplete ? std::to_string(answer.status)
                : !answer.isConnected                 ? "no connection"
                : answer.hasTimedOut                  ? "given up"
                                                      : "cut";
            m_record.write("request " + id + " " + kind.path + ": " + end);
            const std::lock_guard lock(m_mutex);
            ++m_ends[end];
        }
    }

    int report(bool hasSurvived)
    {
        std::uint64_t endlessBytes = 0;
        for (const auto &engine : m_engines) {
            endlessBytes += engine->endlessBytes();
        }
        for (const auto &[end, count] : m_ends) {
            m_record.report("requests " + end + ": " + std::to_string(count));
        }
        m_record.report("endless bytes: " + std::to_string(endlessBytes));
        m_record.report("most memory of the entry: " + std::to_string(m_maxMemory) + " of "
                        + std::to_string(entryMemoryMb) + " MB");
        m_record.report(hasSurvived ? "the entry kept running" : "the entry ended");
        return hasSurvived ? 0 : 1;
    }

    Record m_record;
    const bool m_hasTrouble;
    standin::PlatformStore m_store;
    std::vector<std::unique_ptr<Engine>> m_engines;
    std::vector<std::unique_ptr<Daemon>> m_sidecars;
    std::unique_ptr<Daemon> m_entry;
    std::atomic<bool> m_hasEnded{ false };
    double m_maxMemory = 0;
    std::mutex m_mutex;
    std::map<std::string, std::size_t> m_ends;
};

} // namespace

} // namespace zinniadock::review

int main(int argc, char **argv)
{
    if (argc != 5) {
        return 2;
    }
    zinniadock::review::EndlessBodiesCase play(argv[1], argv[2], argv[3], std::string(argv[4]) != "0");
    return play.run();
}
