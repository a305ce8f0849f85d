#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "zinniadock/process/crashes/abandonedruns.h"
#include "zinniadock/process/crashes/sharedsuspects.h"
#include "zinniadock/process/membership/entrymessages.h"

namespace zinniadock::test
{

/// Time in which all entries must know what they have seen together.
constexpr std::chrono::milliseconds knowledgeTime{ 3000 };

/// Crashes of one request after which it may reach servers only a few times more, and how often.
constexpr std::size_t allowedCrashes = 3;
constexpr std::size_t maxLateArrivals = 3;

/// Max bytes that an entry may exchange about crashes in a second.
constexpr double maxBytesPerSecond = 2048;

/// Requests of one kind that the callers of a SuspectFleet send.
struct CallerGroup
{
    double perSecond = 0;
    bool isDeadly = false; ///< crash each server that begins to respond to them
    std::size_t distinct = 0; ///< number of different requests that come again and again; 0 if no two are alike
    RequestTraits sharedTraits; ///< of all requests of the group, besides the trait of each request itself
    std::chrono::milliseconds duration{ 30 }; ///< from the arrival at a server until the response begins
    int attempts = 1; ///< servers that one request may be sent to
    std::size_t copies = 1; ///< callers that send the same request at once, each at an entry of its own choice
    std::chrono::milliseconds patience{ 0 }; ///< callers leave after this time without a response; 0 if they stay
};

/// Parameters of a simulated fleet.
struct SuspectFleetSetup
{
    std::size_t entries = 5;
    std::size_t servers = 14;
    std::vector<CallerGroup> groups;
    std::chrono::milliseconds returnDelay{ 3000 }; ///< from the crash of a server until it is back
    std::uint64_t seed = 1;
    bool spreadsRetries = false; ///< each deadly request goes to the entry after the one that got the deadly one before
    std::chrono::milliseconds maxMessageDelay{ 10 }; ///< messages between entries take from one step to this time
};

/// Simulates entries that share a suspect table, servers that crash, and callers. The clock and the network are
/// simulated. Requests to a frozen entry are lost. A server goes on with a request whose caller has left.
class SuspectFleet
{
public:
    explicit SuspectFleet(const SuspectFleetSetup &setup);

    void run(std::chrono::milliseconds duration);

    void restartEntry(std::size_t entry);
    void setFrozen(std::size_t entry, bool frozen);

    /// Removes an entry for good, or adds it.
    void setRunning(std::size_t entry, bool running);

    /// Divides the network between entries: they reach only entries of the same partition.
    void setPartition(std::size_t entry, int partition);

    /// Ends servers at the same moment, as a kill from outside or the loss of a rack does.
    void killServers(std::size_t count);

    /// Changes the rate of a group.
    void setRate(std::size_t group, double perSecond);

    /// Returns the number of servers that the requests of a group have crashed.
    std::size_t crashes(std::size_t group) const;

    /// Returns the number of requests of a group that reached servers later than \p after the crash number \p crash,
    /// counted from 1, sent by entries that had been running and connected for \p after.
    std::size_t lateArrivals(std::size_t group, std::size_t crash, std::chrono::milliseconds after) const;

    /// Returns the number of requests of a group from \p from on, and of those that were refused as quarantined.
    std::size_t sent(std::size_t group, std::chrono::milliseconds from) const;
    std::size_t refused(std::size_t group, std::chrono::milliseconds from) const;

    /// Returns the number of entries that refuse the requests of a group now.
    std::size_t refusingEntries(std::size_t group);

    /// Returns the max bytes per second that one entry sent and received, on average over the whole run.
    double maxBytesPerSecond() const;

    /// Returns the max number of crash reports that one entry keeps.
    std::size_t maxReports() const;

    std::chrono::milliseconds now() const;

private:
    struct Entry
    {
        std::unique_ptr<EntryTree> tree;
        std::unique_ptr<SharedSuspects> suspects;
        AbandonedRuns abandoned;
        bool isFrozen = false;
        bool isRunning = true;
        int partition = 0;
        SteadyTime disturbedAt; ///< last start, end of a freeze, or end of a cut
        std::uint64_t bytes = 0;
    };

    struct Request
    {
        std::size_t group = 0;
        std::string id;
        RequestTraits traits;
        std::size_t entry = 0;
        int attempt = 1;
        SteadyTime sentAt;
        SteadyTime respondsAt;
        bool isAbandoned = false; ///< the caller has left
    };

    struct Server
    {
        std::string id;
        SteadyTime backAt; ///< alive from then on
        std::vector<Request> running;
    };

    struct Sending
    {
        SteadyTime at;
        std::size_t group = 0;
        bool isRefused = false;
        bool isInTouch = false;
    };

    struct Message
    {
        SteadyTime arrivesAt;
        std::size_t from = 0;
        std::size_t to = 0;
        std::string bytes;
        EvidenceBatch batch;
    };

    void step();
    void startEntry(std::size_t entry);
    void exchange();
    void maintain(std::size_t index);
    void deliver(const Message &message);
    void sendNotices(std::size_t entry);
    void arrive(std::size_t group);
    void arriveAt(std::size_t entry, Request request);
    void send(Request request);
    void finishRuns();
    void abandonRuns(Server &server);
    void detectCrashes(const Server &server);
    void detectAbandoned(const std::string &server, std::size_t entry);
    void recordCrash(std::size_t entry, const CrashReport &report);
    std::chrono::milliseconds messageDelay();
    void crash(Server &server, std::optional<std::size_t> group);
    bool isReachable(std::size_t from, std::size_t to) const;
    static std::string peer(std::size_t entry);

    SuspectFleetSetup m_setup;
    std::mt19937_64 m_random;
    const SteadyTime m_start{ std::chrono::hours(100) };
    SteadyTime m_now{ m_start };
    std::vector<Entry> m_entries;
    std::set<std::string> m_listed; ///< peer addresses of the entries that run
    std::vector<Server> m_servers;
    std::deque<Message> m_messages;
    std::deque<std::pair<SteadyTime, std::function<void()>>> m_later;
    std::vector<Sending> m_sendings;
    std::vector<std::vector<SteadyTime>> m_crashes; ///< by group
    std::uint64_t m_nextId = 1;
    std::size_t m_nextDeadlyEntry = 0;
};

} // namespace zinniadock::test
