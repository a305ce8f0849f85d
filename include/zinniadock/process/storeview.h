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
struct StoreViewCallbacks
{
    std::function<void(const wire::StoreItem &, const std::string &source)> onConfigurationItem;
    std::function<void(const std::vector<wire::StoreItem> &)> onServerItems;
    std::function<void(const std::string &)> onAnnouncement; ///< an encoded announcement that another entry holds
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
    StoreView(ForwardingServices &services, StoreViewCallbacks callbacks);

    void start();

    /// Takes this entry off the list of those that may be followed.
    void unregister();

    void stop();

    /// Answers a RelayQuery of another entry.
    Awaitable<void> answerRelay(std::shared_ptr<HttpConnection> connection, RelayQuery query);

    /// Returns when the store last confirmed what is known here; nothing before the first time.
    std::optional<SteadyTime> confirmedAt() const;

    /// Says whether the store has confirmed what is known here lately.
    bool isFresh() const;

    /// Says whether the list of servers was read, here or by another entry.
    bool hasServerList() const;

    /// Returns until when removed servers may come back after an outage of the store; nothing if there was none.
    std::optional<SteadyTime> recoveryGraceEnd() const;

    /// Says whether this entry reads the store at present.
    bool isReadingStore() const;

    std::uint64_t storeCalls() const;

private:
    void watch(StorePart part, const std::string &prefix);
    std::optional<WatchTiming> watchTiming(StorePart part) const;
    void applyChanges(StorePart part, const StoreChanges &changes, const std::string &source);
    void setStoreReachable(bool isReachable);
    void updateMembers();
    Awaitable<void> followSource(std::size_t slot);
    Awaitable<void> querySource(std::size_t slot, std::string peer);
    void applyAnswer(const RelayAnswer &answer, SteadyTime askedAt, const std::string &peer);
    std::optional<std::string> chooseSource(std::size_t slot) const;
    bool hasChangesAfter(const PerPart<std::int64_t> &after) const;
    bool isLargeFleet() const;
    bool isStarting() const;
    std::chrono::milliseconds serverWatchWait() const;
    std::chrono::milliseconds confirmationTimeout() const;
    std::optional<SteadyTime> ownConfirmedAt() const;

    ForwardingServices &m_services;
    const StoreViewCallbacks m_callbacks;
    std::string m_ownPeer; ///< where this entry listens for others
    PerPart<StoreMirror> m_mirrors;
    PerPart<std::shared_ptr<PrefixWatch>> m_watches;
    std::shared_ptr<EntryRegistration> m_registration;
    std::vector<EntryMember> m_members;
    std::vector<std::string> m_sourceRanking; ///< of those to follow
    bool m_isReader = true;
    bool m_isSeed = true; ///< others ask this entry when they start
    SteadyTime m_startedAt;
    std::map<std::string, SteadyTime> m_skippedUntil; ///< by peer
    std::array<std::string, 2> m_currentSources; ///< peers that are followed at present
    std::optional<SteadyTime> m_relayConfirmedAt; ///< as of when another entry confirmed what is known here
    std::optional<SteadyTime> m_storeUnreachableSince; ///< since when the own calls are not answered
    std::optional<SteadyTime> m_storeRecoveredAt; ///< when the store answered again after an outage
    AsyncCondition m_changed;
    bool m_stopped = false;
};

} // namespace zinniadock
