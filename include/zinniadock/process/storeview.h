#pragma once

#include <array>
#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "zinniadock/connection/httplistener.h"
#include "zinniadock/process/entryregistration.h"
#include "zinniadock/process/forwardingservices.h"
#include "zinniadock/process/prefixwatch.h"
#include "zinniadock/process/relaymessages.h"

namespace zinniadock
{

/// What a view of the store tells its owner, on the network thread.
struct StoreViewEvents
{
    std::function<void(const wire::StoreItem &, const std::string &source)> configuration;
    std::function<void(const std::vector<wire::StoreItem> &)> servers;
    std::function<void(const std::string &)> announced; ///< an encoded announcement that another entry holds
    std::function<std::map<std::string, std::string>()> announcements; ///< those of this entry
};

/// What this entry knows of the store: it reads for itself, or follows two entries that read.
///
/// In a small fleet each entry reads. In a larger one a few do, chosen alike by all (see readerchoice.h), and each of
/// the others follows two of them at a time. One that is silent, behind, or itself without the store is replaced by the
/// next in order; an entry that hears from nobody reads for itself.
class StoreView
{
public:
    StoreView(ForwardingServices &services, StoreViewEvents events);

    void start();

    /// Takes this entry off the list of those that may be followed.
    void leave();

    void stop();

    /// Answers a RelayQuery of another entry.
    Awaitable<void> answerRelay(std::shared_ptr<HttpConnection> connection, RelayQuery query);

    /// Returns when the store last confirmed what is known here; nothing before the first time.
    std::optional<SteadyTime> confirmedAt() const;

    /// Says whether the store has confirmed what is known here lately.
    bool isFresh() const;

    /// Says whether the list of servers was read, here or by another entry.
    bool knowsServers() const;

    /// Returns until when removed servers may come back after an outage of the store; nothing if there was none.
    std::optional<SteadyTime> settledAt() const;

    /// Says whether this entry reads the store at present.
    bool reads() const;

    std::uint64_t storeCalls() const;

private:
    void watch(StorePart part, const std::string &prefix);
    std::optional<WatchRhythm> rhythm(StorePart part) const;
    void take(StorePart part, const StoreChanges &changes, const std::string &source);
    void storeReachable(bool answers);
    void membersChanged();
    Awaitable<void> follow(std::size_t place);
    Awaitable<void> askSource(std::size_t place, std::string peer);
    void takeAnswer(const RelayAnswer &answer, SteadyTime askedAt, const std::string &peer);
    std::optional<std::string> chooseSource(std::size_t place) const;
    bool hasNews(const PerPart<std::int64_t> &after) const;
    bool isLargeFleet() const;
    bool isStarting() const;
    std::chrono::milliseconds serverWait() const;
    std::chrono::milliseconds staleAfter() const;
    std::optional<SteadyTime> ownAnsweredAt() const;

    ForwardingServices &m_services;
    const StoreViewEvents m_events;
    std::string m_self; ///< where this entry listens for others
    PerPart<StoreMirror> m_mirrors;
    PerPart<std::shared_ptr<PrefixWatch>> m_watches;
    std::shared_ptr<EntryRegistration> m_registration;
    std::vector<EntryMember> m_members;
    std::vector<std::string> m_order; ///< of those to follow
    bool m_isReader = true;
    bool m_isSeed = true; ///< others ask this entry when they start
    SteadyTime m_startedAt;
    std::map<std::string, SteadyTime> m_avoidedUntil; ///< by peer
    std::array<std::string, 2> m_followed; ///< peers that are followed at present
    std::optional<SteadyTime> m_relayedAt; ///< as of when another entry confirmed what is known here
    std::optional<SteadyTime> m_storeLostAt; ///< since when the own calls are not answered
    std::optional<SteadyTime> m_returnedAt; ///< when the store answered again after an outage
    AsyncCondition m_changed;
    bool m_stopped = false;
};

} // namespace zinniadock
