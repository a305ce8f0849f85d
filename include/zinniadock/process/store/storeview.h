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
#include "zinniadock/process/forwardingservices.h"
#include "zinniadock/process/membership/entryregistration.h"
#include "zinniadock/process/pausedetector.h"
#include "zinniadock/process/store/changebudget.h"
#include "zinniadock/process/store/configurationtrust.h"
#include "zinniadock/process/store/prefixwatch.h"
#include "zinniadock/process/store/relaymessages.h"
#include "zinniadock/process/store/sourcechoice.h"
#include "zinniadock/process/store/storecontact.h"
#include "zinniadock/process/store/viewfreshness.h"

namespace zinniadock
{

/// Callbacks of a StoreView. They are called on the network thread.
struct StoreViewCallbacks
{
    std::function<void(const wire::StoreItem &, const std::string &source)> onConfigurationItem;
    std::function<void(const std::vector<wire::StoreItem> &, const RemovalGrace &)> onServerItems;
    std::function<void()> onWentBack; ///< the store has come back from a copy of itself
    std::function<void(const std::string &)> onAnnouncement; ///< an encoded announcement that another entry relays
    /// Returns the encoded announcements that this entry knows, by server ID.
    std::function<std::map<std::string, std::string>()> announcements;
};

/// A view of the store, which this entry reads itself or follows through two other entries that read the store.
///
/// In a small fleet every entry reads the store. In a larger fleet only a few entries do (readers), which all entries
/// choose in the same way (see readerchoice.h). Every other entry (follower) follows two readers at a time. A follower
/// replaces a source that does not respond, or whose view is stale, by the next one in its order, and reads those parts
/// of the store itself that no source relays in time, until an entry that precedes it in the order of readers reads and
/// relays them. A reader whose own view is stale follows others. Times: see changebudget.h.
class StoreView
{
public:
    StoreView(ForwardingServices &services, StoreViewCallbacks callbacks);

    void start();

    /// Revokes the registration of this entry in the store, so that other entries stop reading the store through it.
    void unregister();

    void stop();

    /// Waits for changes as a RelayQuery of another entry specifies, and responds to the query.
    Awaitable<void> handleRelayQuery(std::shared_ptr<HttpConnection> connection, RelayQuery query);

    /// Returns whether the last confirmation of a part is recent enough for this view of it not to be stale.
    bool isFresh(StorePart part) const;

    /// Returns whether all parts of this view are fresh.
    bool isFresh() const;

    /// Returns whether the configuration was current at some time since the start, or the entry has waited long enough
    /// for a current one to use what it knows.
    bool hasCurrentConfiguration() const;

    /// Checks the view with new calls to the store, after a time in which the process did not run.
    void handlePause(const ProcessPause &pause);

    /// Returns how far requests may rely on the configuration of this view.
    ConfigurationTrust configurationTrust() const;

    /// Waits until the configuration is no longer overdue, for a short time after it has become so. Later requests do
    /// not wait. Returns how far the request may rely on the configuration.
    Awaitable<ConfigurationTrust> confirmConfiguration();

    /// Returns the number of requests that have waited for a confirmation.
    std::uint64_t configurationWaits() const;

    /// Returns the time since the store last confirmed a part of this view, directly or through another entry. Returns
    /// nothing before the first confirmation.
    std::optional<std::chrono::milliseconds> age(StorePart part) const;

    /// Returns whether the list of servers was read, by this entry or through another one.
    bool hasServerList() const;

    /// Returns whether the keys of the operators have been read, so that evacuations are known.
    bool hasConfigurationList() const;

    /// Returns whether the list of entries was read, by this entry or through another one.
    bool hasEntryList() const;

    /// Returns whether this entry currently reads a part of the store itself.
    bool isReading(StorePart part) const;

    /// Returns whether this entry currently reads any part of the store itself.
    bool isReadingStore() const;

    /// Returns the latest era of the store that is known; 0 if there is none.
    wire::StoreEra storeEra() const;

    /// Returns the copy of a part of the store.
    const StoreMirror &mirror(StorePart part) const;

    /// Returns the number of calls that this entry has made to the store.
    std::uint64_t storeCalls() const;

    /// Returns how many calls to the store ended in each way.
    const std::map<StoreCallEnd, std::uint64_t> &callEnds() const;

    /// Returns the number of outages of the store that this entry has seen.
    std::uint64_t outages() const;

private:
    /// A query to another entry, and what is known of its end.
    struct SourceQuery
    {
        bool hasEnded = false;
        bool hasResponse = false; ///< a valid one
        bool isUseful = false; ///< the response makes this view current, with what the store confirms to this entry
        bool hasResponseBegun = false;
        bool readsStore = false; ///< the other entry reads the server list itself
        unsigned status = 0;
        PerPart<std::optional<std::chrono::milliseconds>> ages{}; ///< of the other entry's view
        std::string reason = "no response in time"; ///< why it is not useful
    };

    void watch(StorePart part, const std::string &prefix);
    std::optional<WatchTiming> watchTiming(StorePart part);
    void startSubstitution(StorePart part);
    void endSubstitution(StorePart part);
    static std::optional<std::chrono::milliseconds> ageOf(const std::optional<SteadyTime> &confirmedAt);
    void applyChanges(StorePart part, const StoreChanges &changes, const std::string &source);
    void recordCall(StorePart part, StoreCallEnd end, bool onNewConnection);
    void beginRecovery(SteadyTime at, std::optional<std::int64_t> revision);
    RemovalGrace removalGrace(const StoreChanges &changes) const;
    void observeEra(wire::StoreEra era, const std::string &source);
    void holdMissingMembers(const std::vector<wire::StoreItem> &items);
    Awaitable<void> dropHeldMembers();
    void addHeldMembers();
    void updateMembers();
    Awaitable<void> followSource(std::size_t slot);
    Awaitable<void> querySource(std::size_t slot, std::string peer);
    RelayQuery makeQuery(std::size_t slot);
    std::shared_ptr<SourceQuery> startQuery(std::size_t slot, const std::string &peer, const RelayQuery &query,
                                            bool usesNewConnection);
    Awaitable<void> runQuery(std::size_t slot, std::string peer, HttpRequest request, CallOptions options,
                             std::shared_ptr<SourceQuery> query);
    Awaitable<void> waitFor(const SourceQuery &query, std::chrono::milliseconds patience);
    bool isStoreAway() const;
    void applyRelayResponse(const RelayResponse &response, SteadyTime askedAt, const std::string &peer);
    std::optional<std::string> chooseSource(std::size_t slot);
    bool hasChangesAfter(const PerPart<StorePosition> &known) const;
    PerPart<StorePosition> knownPositions(const RelayQuery &query) const;
    bool isBehind(const RelayResponse &response) const;
    bool completesView(const RelayResponse &response) const;
    std::chrono::milliseconds patienceFor(const RelayQuery &query) const;
    PerPart<std::optional<SteadyTime>> confirmations() const;
    bool hasNewerConfirmation(const PerPart<std::optional<SteadyTime>> &before) const;
    bool isStarting() const;
    bool isHealthyReader() const;

    /// Returns whether a part that was confirmed before a time \p age is not stale. All decisions on freshness use
    /// this function.
    bool isCurrent(const std::optional<std::chrono::milliseconds> &age, StorePart part) const;
    bool isConfirmedBy(const std::optional<SteadyTime> &confirmedAt, StorePart part) const;
    ChangeBudget budgetOf(StorePart part) const;
    void handleConfirmation();
    void recordTrust(ConfigurationTrust trust);

    ForwardingServices &m_services;
    const StoreViewCallbacks m_callbacks;
    std::string m_ownPeer; ///< address on which this entry listens for other entries
    PerPart<StoreMirror> m_mirrors;
    PerPart<std::shared_ptr<PrefixWatch>> m_watches;
    std::shared_ptr<EntryRegistration> m_registration;
    std::vector<EntryMember> m_members;
    std::vector<EntryMember> m_heldMembers; ///< entries whose registration the store lost when it went back
    wire::StoreEra m_era = 0; ///< latest era of the store that is known
    SourceChoice m_sources;
    bool m_isReader = true;
    bool m_isSeed = true; ///< other entries query this entry when they start
    PerPart<bool> m_isSubstitute{}; ///< whether this entry reads a part because no reader does
    SteadyTime m_startedAt;
    std::optional<SteadyTime> m_staleSince; ///< first query of another entry since this view became stale
    std::chrono::milliseconds m_uncountedPauses{ 0 }; ///< time that the steady clock did not count, since the start
    bool m_hasCurrentConfiguration = false; ///< the configuration was current at some time since the start
    ConfigurationJudge m_configurationJudge;
    ConfigurationTrust m_lastTrust = ConfigurationTrust::Current; ///< of the last request
    std::optional<SteadyTime> m_overdueSince; ///< first request since the configuration became overdue
    std::uint64_t m_configurationWaits = 0;
    ViewFreshness m_freshness; ///< of each part
    StoreContact m_contact; ///< of this entry's own calls
    std::map<StoreCallEnd, std::uint64_t> m_callEnds;
    std::uint64_t m_outages = 0;
    std::optional<SteadyTime> m_storeRecoveredAt; ///< end of the last outage of the store
    std::optional<std::int64_t> m_recoveredRevision; ///< of the store at that time; nothing if it is not known yet
    AsyncCondition m_changed;
    AsyncCondition m_queryEnded;
    bool m_stopped = false;
};

} // namespace zinniadock
