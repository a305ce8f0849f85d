#include "zinniadock/process/store/storeview.h"

#include <algorithm>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include "zinniadock/process/observing/eventlog.h"

namespace zinniadock
{

namespace
{

/// Maximum backoff while the store does not respond: backoffPerEntry for each known entry, but at least
/// minBackoffLimit.
constexpr std::chrono::milliseconds backoffPerEntry{ 20 };
constexpr std::chrono::milliseconds minBackoffLimit{ 600 };

/// After an outage of the store, missing servers are unlisted only after this time. Servers whose records expired
/// during the outage are listed again within 2 s of its end.
constexpr std::chrono::milliseconds recoveryGracePeriod{ 2300 };

/// A source responds within maxRelayWait. It is skipped for sourceSkipTime if it has not responded after the additional
/// relayTimeoutSlack, and for staleSourceSkipTime if its view is stale.
constexpr std::chrono::milliseconds maxRelayWait{ 700 };
constexpr std::chrono::milliseconds relayTimeoutSlack{ 400 };
constexpr std::chrono::milliseconds sourceSkipTime{ 2000 };
constexpr std::chrono::milliseconds staleSourceSkipTime{ 300 };

/// A response that arrives later by this time than a source may hold the query is still used.
constexpr std::chrono::milliseconds maxResponseDelay{ 1000 };

/// An entry with a stale view waits only this long for a source that is stale as well. After maxSearchTime it waits for
/// maxRelayWait and skips such sources for sourceSkipTime, since the store is away for all.
constexpr std::chrono::milliseconds searchWait{ 100 };
constexpr std::chrono::milliseconds maxSearchTime{ 4000 };

/// Requests wait this long for the configuration to be confirmed, from the first one that finds it overdue.
constexpr std::chrono::milliseconds maxConfirmationWait{ 400 };

/// An entry that starts waits this long for a current configuration before it uses a stale one.
constexpr std::chrono::milliseconds maxStartWait{ 1500 };

/// A starting entry that is not a seed queries the seeds for this time before it reads the store itself, since a whole
/// fleet may start at the same time. During this time, a seed that is not usable yet is skipped for only
/// startupSourceSkipTime.
constexpr std::chrono::milliseconds startupTime{ 500 };
constexpr std::chrono::milliseconds startupSourceSkipTime{ 60 };

/// Minimum intervals between two responses of the first and of the second source. The second source is only a standby.
constexpr std::array<std::chrono::milliseconds, 2> minRelayIntervals{ std::chrono::milliseconds(200),
                                                                      std::chrono::milliseconds(500) };

/// After the store went back, entries that it has lost count as registered for this time, so that they can register
/// again. They do so after a random delay of at most registrationSpread for each known entry, since a whole fleet
/// registers again.
constexpr std::chrono::milliseconds memberHoldTime{ 10000 };
constexpr std::chrono::milliseconds registrationSpread{ 25 };

/// Interval at which an entry that has no source, or needs none, checks again for a source.
constexpr std::chrono::milliseconds idleInterval{ 100 };

/// Longest record of a server or of an entry that is kept.
constexpr std::size_t maxRecordBytes = 16384;

/// Age of a part in log lines if it is not known.
constexpr std::chrono::milliseconds unknownAge{ -1 };

/// Name of the store as the source of a change.
constexpr const char *storeSource = "store";

constexpr std::size_t indexOf(StorePart part)
{
    return static_cast<std::size_t>(part);
}

std::chrono::milliseconds elapsed(SteadyTime since)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now() - since);
}

} // namespace

StoreView::StoreView(ForwardingServices &services, StoreViewCallbacks callbacks)
    : m_services(services)
    , m_callbacks(std::move(callbacks))
    , m_changed(services.context)
    , m_queryEnded(services.context)
{
}

void StoreView::start()
{
    m_ownPeer = m_services.settings.forwarding.peer.text();
    m_startedAt = std::chrono::steady_clock::now();
    const std::vector<Endpoint> &seeds = m_services.settings.forwarding.seeds;
    m_isSeed
        = seeds.empty() || std::find(seeds.begin(), seeds.end(), m_services.settings.forwarding.peer) != seeds.end();
    updateMembers();
    watch(StorePart::Configuration, wire::configurationPrefix());
    watch(StorePart::Servers, wire::serverPrefix());
    watch(StorePart::Entries, registrationPrefix());
    const EntryMember self{ .peer = m_ownPeer, .capacity = m_services.settings.forwarding.capacity };
    m_registration = std::make_shared<EntryRegistration>(m_services.pool, m_services.settings.store.endpoint, self,
                                                         [this](wire::StoreEra era) {
                                                             observeEra(era, storeSource);
                                                         });
    m_registration->start();
    for (std::size_t slot = 0; slot < SourceChoice::slotCount; ++slot) {
        asio::co_spawn(
            m_services.context,
            [this, slot]() {
                return followSource(slot);
            },
            asio::detached);
    }
}

void StoreView::watch(StorePart part, const std::string &prefix)
{
    const PrefixWatchCallbacks callbacks{ .onChanges =
                                              [this, part](StoreChanges changes, SteadyTime confirmedAt) {
                                                  if (part != StorePart::Configuration) {
                                                      clearLongValues(changes, maxRecordBytes);
                                                  }
                                                  applyChanges(part, changes, storeSource);
                                                  m_freshness.recordOwn(part, confirmedAt);
                                                  handleConfirmation();
                                              },
                                          .onCallEnded =
                                              [this, part](StoreCallEnd end, bool onNewConnection) {
                                                  recordCall(part, end, onNewConnection);
                                              },
                                          .onEra =
                                              [this](wire::StoreEra era) {
                                                  observeEra(era, storeSource);
                                              } };
    const auto timingOfPart = [this, part] {
        return watchTiming(part);
    };
    m_watches[indexOf(part)] = std::make_shared<PrefixWatch>(m_services.pool, m_services.settings.store.endpoint,
                                                             prefix, m_mirrors[indexOf(part)], timingOfPart, callbacks);
    m_watches[indexOf(part)]->start();
}

std::optional<WatchTiming> StoreView::watchTiming(StorePart part)
{
    if (!isReading(part)) {
        return std::nullopt;
    }
    startSubstitution(part);
    const ChangeBudget budget = budgetOf(part);
    WatchTiming timing;
    timing.maxBackoff = std::max(minBackoffLimit, backoffPerEntry * static_cast<int>(m_members.size()));
    timing.callInterval = budget.pause;
    timing.maxWait = budget.wait;
    timing.bound = budget.bound;
    return timing;
}

ChangeBudget StoreView::budgetOf(StorePart part) const
{
    return changeBudget(part, m_services.settings.forwarding, m_members.size());
}

void StoreView::applyChanges(StorePart part, const StoreChanges &changes, const std::string &source)
{
    StoreMirror &mirror = m_mirrors[indexOf(part)];
    const wire::StoreEra previousEra = mirror.position().era;
    const std::vector<wire::StoreItem> changedItems = mirror.apply(changes);
    const bool wentBack = previousEra > 0 && mirror.position().era > previousEra;
    const bool isFirstAfterRecovery = part == StorePart::Servers && m_storeRecoveredAt && !m_recoveredRevision;
    if (isFirstAfterRecovery && source == storeSource && changes.era == m_era) {
        m_recoveredRevision = changes.revision;
    }
    if (changedItems.empty()) {
        return;
    }
    if (wentBack && part == StorePart::Entries) {
        holdMissingMembers(changedItems);
    }
    if (part == StorePart::Configuration) {
        for (const wire::StoreItem &item : changedItems) {
            m_callbacks.onConfigurationItem(item, source);
        }
    } else if (part == StorePart::Servers) {
        m_callbacks.onServerItems(changedItems, removalGrace(changes));
    } else {
        updateMembers();
    }
    m_changed.notify();
}

// Learns that the store has come back from a copy of itself. Servers and entries that the copy does not have may
// register again, as after an outage.
void StoreView::observeEra(wire::StoreEra era, const std::string &source)
{
    if (era <= m_era) {
        return;
    }
    const wire::StoreEra previous = std::exchange(m_era, era);
    if (previous == 0) {
        return;
    }
    logEvent("store", "came back from a copy",
             { { "era", era },
               { "previous_era", previous },
               { "revision", m_mirrors[indexOf(StorePart::Servers)].position().revision },
               { "source", source } });
    beginRecovery(std::chrono::steady_clock::now(), std::nullopt);
    for (const auto &watch : m_watches) {
        watch->requireEra(era);
    }
    const auto maxDelay = registrationSpread * static_cast<int>(m_members.size());
    m_registration->requireEra(
        era, std::chrono::duration_cast<std::chrono::milliseconds>(m_services.randomFraction() * maxDelay));
    m_callbacks.onWentBack();
}

void StoreView::holdMissingMembers(const std::vector<wire::StoreItem> &items)
{
    for (const wire::StoreItem &item : items) {
        const auto member = std::find_if(m_members.begin(), m_members.end(), [&item](const EntryMember &each) {
            return registrationPrefix() + each.peer == item.key;
        });
        if (!item.value && member != m_members.end()) {
            m_heldMembers.push_back(*member);
        }
    }
    asio::co_spawn(
        m_services.context,
        [this]() {
            return dropHeldMembers();
        },
        asio::detached);
}

Awaitable<void> StoreView::dropHeldMembers()
{
    const wire::StoreEra era = m_era;
    co_await sleepFor(memberHoldTime + registrationSpread * static_cast<int>(m_members.size()));
    if (era == m_era && !m_stopped) {
        m_heldMembers.clear();
        updateMembers();
    }
}

void StoreView::addHeldMembers()
{
    for (const EntryMember &held : m_heldMembers) {
        const bool isRegistered = std::any_of(m_members.begin(), m_members.end(), [&held](const EntryMember &member) {
            return member.peer == held.peer;
        });
        if (!isRegistered) {
            m_members.push_back(held);
        }
    }
}

void StoreView::updateMembers()
{
    m_members.clear();
    m_services.peerAddresses.clear();
    bool listsSelf = false;
    for (const wire::StoreItem &item : m_mirrors[indexOf(StorePart::Entries)].items()) {
        if (const auto member = parseRegistration(item)) {
            m_members.push_back(*member);
            listsSelf = listsSelf || member->peer == m_ownPeer;
        }
    }
    addHeldMembers();
    listsSelf = listsSelf || std::any_of(m_members.begin(), m_members.end(), [this](const EntryMember &member) {
                    return member.peer == m_ownPeer;
                });
    if (!listsSelf) {
        m_members.push_back({ .peer = m_ownPeer, .capacity = m_services.settings.forwarding.capacity });
    }
    for (const EntryMember &member : m_members) {
        if (member.peer != m_ownPeer) {
            m_services.peerAddresses.insert(member.peer);
        }
    }
    const bool wasReader = m_isReader;
    m_isReader = isReader(m_ownPeer, m_members);
    std::vector<std::string> ranking = sourceRanking(m_ownPeer, m_members);
    for (const Endpoint &seed : m_services.settings.forwarding.seeds) {
        const std::string peer = seed.text();
        if (peer != m_ownPeer && std::find(ranking.begin(), ranking.end(), peer) == ranking.end()) {
            ranking.push_back(peer);
        }
    }
    m_sources.setRanking(std::move(ranking), readerCount(m_members.size()), readerRank(m_ownPeer, m_members));
    if (wasReader != m_isReader) {
        logEvent("store", m_isReader ? "became a reader" : "became a follower",
                 { { "entries", m_members.size() }, { "readers", readerCount(m_members.size()) } });
    }
}

void StoreView::recordCall(StorePart part, StoreCallEnd end, bool onNewConnection)
{
    ++m_callEnds[end];
    const bool wasAnyOut = m_contact.isAnyOut();
    const bool hasChanged = m_contact.record(part, end, onNewConnection);
    if (!hasChanged) {
        return;
    }
    logEvent("store", m_contact.isOut(part) ? "lost" : "regained",
             { { "watch", toString(part) },
               { "revision", m_mirrors[indexOf(StorePart::Servers)].position().revision },
               { "end", toString(end) } });
    m_outages += m_contact.isAnyOut() && !wasAnyOut ? 1 : 0;
    if (part == StorePart::Servers && !m_contact.isOut(part)) {
        beginRecovery(std::chrono::steady_clock::now(), std::nullopt);
    }
}

void StoreView::beginRecovery(SteadyTime at, std::optional<std::int64_t> revision)
{
    m_storeRecoveredAt = at;
    m_recoveredRevision = revision;
}

// The deletions that follow from a snapshot have no revision of their own.
RemovalGrace StoreView::removalGrace(const StoreChanges &changes) const
{
    RemovalGrace grace;
    if (m_storeRecoveredAt) {
        grace.end = *m_storeRecoveredAt + recoveryGracePeriod;
    }
    if (m_recoveredRevision && !changes.isSnapshot) {
        grace.lastRevision = *m_recoveredRevision;
    }
    return grace;
}

bool StoreView::isCurrent(const std::optional<std::chrono::milliseconds> &age, StorePart part) const
{
    return age && *age < budgetOf(part).staleAfter();
}

bool StoreView::isFresh(StorePart part) const
{
    return isCurrent(age(part), part);
}

bool StoreView::isFresh() const
{
    return std::all_of(storeParts.begin(), storeParts.end(), [this](StorePart part) {
        return isFresh(part);
    });
}

bool StoreView::isConfirmedBy(const std::optional<SteadyTime> &confirmedAt, StorePart part) const
{
    return confirmedAt && isCurrent(elapsed(*confirmedAt), part);
}

std::optional<std::chrono::milliseconds> StoreView::age(StorePart part) const
{
    return m_freshness.age(part, std::chrono::steady_clock::now());
}

bool StoreView::hasServerList() const
{
    return m_mirrors[indexOf(StorePart::Servers)].position().revision > 0;
}

bool StoreView::hasConfigurationList() const
{
    return m_mirrors[indexOf(StorePart::Configuration)].position().revision > 0;
}

bool StoreView::hasEntryList() const
{
    return m_mirrors[indexOf(StorePart::Entries)].position().revision > 0;
}

// The watches of the parts must not depend on each other: a source may relay one part and have an old copy of another.
bool StoreView::isReading(StorePart part) const
{
    const bool isRelayed = isConfirmedBy(m_freshness.relayedConfirmedAt(part), part);
    return !isStarting() && (m_isReader || m_isSubstitute[indexOf(part)] || !isRelayed);
}

// An entry that had to read a part itself goes on until an entry that precedes it relays what it reads itself. If it
// stopped for any other entry, entries could follow each other while none of them reads the store.
void StoreView::startSubstitution(StorePart part)
{
    bool &isSubstitute = m_isSubstitute[indexOf(part)];
    if (!m_isReader && !isSubstitute) {
        isSubstitute = true;
        logEvent("store", "reads in place of readers", { { "watch", toString(part) } });
    }
}

void StoreView::endSubstitution(StorePart part)
{
    bool &isSubstitute = m_isSubstitute[indexOf(part)];
    if (isSubstitute && isConfirmedBy(m_freshness.readerConfirmedAt(part), part)) {
        isSubstitute = false;
        logEvent("store", "follows readers again", { { "watch", toString(part) } });
    }
}

bool StoreView::isStarting() const
{
    return !m_freshness.relayedConfirmedAt(StorePart::Servers) && !m_isSeed && elapsed(m_startedAt) < startupTime;
}

bool StoreView::isReadingStore() const
{
    return std::any_of(storeParts.begin(), storeParts.end(), [this](StorePart part) {
        return isReading(part);
    });
}

// Returns whether this entry reads all parts of the store, and the store confirms all of them.
bool StoreView::isHealthyReader() const
{
    return m_isReader && std::all_of(storeParts.begin(), storeParts.end(), [this](StorePart part) {
               return !m_contact.isOut(part) && isConfirmedBy(m_freshness.ownConfirmedAt(part), part);
           });
}

bool StoreView::hasCurrentConfiguration() const
{
    return hasConfigurationList() && (m_hasCurrentConfiguration || elapsed(m_startedAt) >= maxStartWait);
}

// Wakes the queries of other entries, which tell them that the store has confirmed the view, and the requests that wait
// for the configuration.
void StoreView::handleConfirmation()
{
    const bool isCurrent = isFresh(StorePart::Configuration);
    m_hasCurrentConfiguration = m_hasCurrentConfiguration || isCurrent;
    if (configurationTrust() == ConfigurationTrust::Current) {
        m_overdueSince.reset();
    }
    if (isFresh()) {
        m_staleSince.reset();
    }
    m_changed.notify();
}

// What this entry knows is older by the pause, also where the steady clock did not count it, and its connections may be
// dead.
void StoreView::handlePause(const ProcessPause &pause)
{
    m_freshness.addAge(pause.uncounted);
    m_uncountedPauses += pause.uncounted;
    const auto known = age(StorePart::Configuration);
    for (const auto &watch : m_watches) {
        watch->checkNow(pause.uncounted);
    }
    logEvent("store", "view checked after a pause",
             { { "pause_ms", pause.duration },
               { "configuration_age_ms", known.value_or(unknownAge) },
               { "requests_wait", configurationTrust() == ConfigurationTrust::Overdue ? 1 : 0 } });
}

ConfigurationTrust StoreView::configurationTrust() const
{
    return m_configurationJudge.judge(age(StorePart::Configuration), budgetOf(StorePart::Configuration).bound,
                                      m_sources.size(), std::chrono::steady_clock::now());
}

// The version is chosen after the wait, so that one that has come in force meanwhile is used.
Awaitable<ConfigurationTrust> StoreView::confirmConfiguration()
{
    ConfigurationTrust trust = configurationTrust();
    if (trust == ConfigurationTrust::Overdue) {
        m_overdueSince = m_overdueSince.value_or(std::chrono::steady_clock::now());
        const SteadyTime until = *m_overdueSince + maxConfirmationWait;
        m_configurationWaits += std::chrono::steady_clock::now() < until ? 1 : 0;
        while (trust == ConfigurationTrust::Overdue && std::chrono::steady_clock::now() < until) {
            const auto left = until - std::chrono::steady_clock::now();
            co_await m_changed.wait(std::chrono::ceil<std::chrono::milliseconds>(left));
            trust = configurationTrust();
        }
    }
    recordTrust(trust);
    co_return trust;
}

void StoreView::recordTrust(ConfigurationTrust trust)
{
    if (std::exchange(m_lastTrust, trust) != trust) {
        logEvent("configuration", toString(trust),
                 { { "age_ms", age(StorePart::Configuration).value_or(unknownAge) },
                   { "bound_ms", budgetOf(StorePart::Configuration).bound },
                   { "other_entries", m_sources.size() } });
    }
}

std::uint64_t StoreView::configurationWaits() const
{
    return m_configurationWaits;
}

wire::StoreEra StoreView::storeEra() const
{
    return m_era;
}

const StoreMirror &StoreView::mirror(StorePart part) const
{
    return m_mirrors[indexOf(part)];
}

std::uint64_t StoreView::storeCalls() const
{
    std::uint64_t calls = 0;
    for (const auto &watch : m_watches) {
        calls += watch->calls();
    }
    return calls;
}

const std::map<StoreCallEnd, std::uint64_t> &StoreView::callEnds() const
{
    return m_callEnds;
}

std::uint64_t StoreView::outages() const
{
    return m_outages;
}

std::optional<std::chrono::milliseconds> StoreView::ageOf(const std::optional<SteadyTime> &confirmedAt)
{
    return confirmedAt ? std::optional(elapsed(*confirmedAt)) : std::nullopt;
}

Awaitable<void> StoreView::followSource(std::size_t slot)
{
    while (!m_stopped) {
        const std::optional<std::string> peer = chooseSource(slot);
        if (!peer) {
            co_await sleepFor(idleInterval);
            continue;
        }
        co_await querySource(slot, *peer);
    }
}

std::optional<std::string> StoreView::chooseSource(std::size_t slot)
{
    if (isHealthyReader()) {
        m_sources.release(slot);
        return std::nullopt;
    }
    return m_sources.choose(slot, std::chrono::steady_clock::now(), !m_staleSince, [this] {
        return m_services.randomFraction();
    });
}

RelayQuery StoreView::makeQuery(std::size_t slot)
{
    const bool isStale = !isFresh();
    if (isStale) {
        m_staleSince = m_staleSince.value_or(std::chrono::steady_clock::now());
    }
    RelayQuery query;
    query.minInterval = isStale ? std::chrono::milliseconds(0) : minRelayIntervals.at(slot);
    query.maxWait = isStale && !isStoreAway() ? searchWait : maxRelayWait;
    query.isStale = isStale;
    for (std::size_t part = 0; part < storePartCount; ++part) {
        query.known[part] = m_mirrors[part].position();
    }
    return query;
}

// Returns whether this view has been stale for so long that the store is probably away for all entries.
bool StoreView::isStoreAway() const
{
    return m_staleSince && elapsed(*m_staleSince) >= maxSearchTime;
}

// Queries a source, and again on a new connection if it does not respond in time, since the kept connection may be dead
// and not the other entry. A response that arrives later is used as well: an entry whose event loop is busy responds
// late.
Awaitable<void> StoreView::querySource(std::size_t slot, std::string peer)
{
    RelayQuery query = makeQuery(slot);
    const std::chrono::milliseconds patience = patienceFor(query);
    const bool mayUseKeptConnection = m_services.pool.hasIdle(peer);
    std::shared_ptr<SourceQuery> last = startQuery(slot, peer, query, false);
    co_await waitFor(*last, patience);
    if (!last->isUseful && !last->hasResponse && mayUseKeptConnection) {
        query.maxWait = std::chrono::milliseconds(0);
        const auto first = std::exchange(last, startQuery(slot, peer, query, true));
        co_await waitFor(*last, askTime);
        last = first->isUseful ? first : last;
    }
    if (last->isUseful) {
        co_return;
    }
    const auto skipTime = isStarting()        ? startupSourceSkipTime
        : last->hasResponse && !isStoreAway() ? staleSourceSkipTime
                                              : sourceSkipTime;
    m_sources.skip(peer, std::chrono::steady_clock::now() + skipTime);
    logEvent("store", "source skipped",
             { { "peer", peer },
               { "status", last->status },
               { "response_begun", last->hasResponseBegun ? 1 : 0 },
               { "reads_store", last->readsStore ? 1 : 0 },
               { "age_ms", last->ages[indexOf(StorePart::Servers)].value_or(unknownAge) },
               { "configuration_age_ms", last->ages[indexOf(StorePart::Configuration)].value_or(unknownAge) },
               { "reason", last->reason } });
}

std::shared_ptr<StoreView::SourceQuery> StoreView::startQuery(std::size_t slot, const std::string &peer,
                                                              const RelayQuery &query, bool usesNewConnection)
{
    auto started = std::make_shared<SourceQuery>();
    CallOptions options{ .timeout = query.maxWait + maxResponseDelay, .usesNewConnection = usesNewConnection };
    asio::co_spawn(
        m_services.context,
        [this, slot, peer, request = makePost(relayTarget, encode(query)), options, started]() {
            return runQuery(slot, peer, request, options, started);
        },
        asio::detached);
    return started;
}

Awaitable<void> StoreView::runQuery(std::size_t slot, std::string peer, HttpRequest request, CallOptions options,
                                    std::shared_ptr<SourceQuery> query)
{
    Endpoint endpoint;
    detail::parseValue(peer, detail::Range{}, endpoint);
    const auto askedAt = std::chrono::steady_clock::now();
    const std::chrono::milliseconds uncountedBefore = m_uncountedPauses;
    const CallResult result = co_await call(m_services.pool, endpoint, std::move(request), std::move(options));
    const auto response = result.succeeded() ? decodeRelayResponse(result.body) : std::nullopt;
    query->status = result.status;
    query->hasResponseBegun = result.hasResponseBegun;
    query->reason = result.error ? result.error.message() : "unreadable";
    if (!response) {
        m_configurationJudge.recordNoResponse(peer, std::chrono::steady_clock::now());
    }
    if (response && !m_stopped) {
        // A response that was under way during a suspension is older than the steady clock shows.
        applyRelayResponse(*response, askedAt - (m_uncountedPauses - uncountedBefore), peer);
        const bool hasOverdueCopy
            = isOverdue(response->ages[indexOf(StorePart::Configuration)], budgetOf(StorePart::Configuration).bound);
        m_configurationJudge.recordResponse(peer, hasOverdueCopy, std::chrono::steady_clock::now());
        query->hasResponse = true;
        query->readsStore = response->readsStore;
        query->ages = response->ages;
        query->isUseful = !isBehind(*response) && completesView(*response);
        query->reason = isBehind(*response) ? "behind" : response->readsStore ? "stale" : "not a reader";
    }
    if (query->isUseful) {
        m_sources.recordUseful(slot, peer);
    }
    query->hasEnded = true;
    m_queryEnded.notify();
}

// Waits until a query has ended, but not longer than a time.
Awaitable<void> StoreView::waitFor(const SourceQuery &query, std::chrono::milliseconds patience)
{
    const SteadyTime until = std::chrono::steady_clock::now() + patience;
    while (!query.hasEnded && std::chrono::steady_clock::now() < until) {
        const auto left = until - std::chrono::steady_clock::now();
        co_await m_queryEnded.wait(std::chrono::ceil<std::chrono::milliseconds>(left));
    }
}

// An entry waits for a source while its view is fresh. A stale one asks the next source after askTime.
std::chrono::milliseconds StoreView::patienceFor(const RelayQuery &query) const
{
    std::chrono::milliseconds patience = query.maxWait + relayTimeoutSlack;
    for (const StorePart part : storeParts) {
        const auto known = age(part);
        const auto left = known ? budgetOf(part).staleAfter() - *known : std::chrono::milliseconds(0);
        patience = std::min(patience, std::max(left, askTime));
    }
    return patience;
}

// Returns whether a source has a current copy of each part that the store does not confirm to this entry itself.
bool StoreView::completesView(const RelayResponse &response) const
{
    return std::all_of(storeParts.begin(), storeParts.end(), [&](StorePart part) {
        return isCurrent(response.ages[indexOf(part)], part) || isConfirmedBy(m_freshness.ownConfirmedAt(part), part);
    });
}

// Returns whether a source has not noticed yet that the store went back. A source that has read one part again is about
// to read the others.
bool StoreView::isBehind(const RelayResponse &response) const
{
    return std::all_of(response.changes.begin(), response.changes.end(), [this](const StoreChanges &changes) {
        return changes.era < m_era;
    });
}

// Dates the confirmations by the time at which the query was sent and the time for which the source held it, and not by
// the arrival of the response, since the response may have been delayed in transit.
void StoreView::applyRelayResponse(const RelayResponse &response, SteadyTime askedAt, const std::string &peer)
{
    if (response.storeRecoveredAgo) {
        const SteadyTime recoveredAt = askedAt - *response.storeRecoveredAgo;
        if (!m_storeRecoveredAt || recoveredAt > *m_storeRecoveredAt) {
            beginRecovery(recoveredAt, response.recoveredRevision);
        }
    }
    for (const StorePart part : storeParts) {
        const StoreChanges &changes = response.changes[indexOf(part)];
        observeEra(changes.era, peer);
        applyChanges(part, changes, peer);
        const auto &sourceAge = response.ages[indexOf(part)];
        if (sourceAge && changes.era >= m_era) {
            m_freshness.recordRelayed(part, askedAt + response.held - *sourceAge);
        }
        const auto &ownAge = response.ownAges[indexOf(part)];
        if (ownAge && changes.era >= m_era && m_sources.precedes(peer)) {
            m_freshness.recordReader(part, askedAt + response.held - *ownAge);
            endSubstitution(part);
        }
    }
    for (const auto &[id, announcement] : response.announcements) {
        m_callbacks.onAnnouncement(announcement);
    }
    handleConfirmation();
}

// An entry of an earlier version states no eras. Its revisions count as those of the current era.
PerPart<StorePosition> StoreView::knownPositions(const RelayQuery &query) const
{
    PerPart<StorePosition> known = query.known;
    for (std::size_t part = 0; part < storePartCount && !query.hasEras; ++part) {
        known[part].era = m_mirrors[part].position().era;
    }
    return known;
}

bool StoreView::hasChangesAfter(const PerPart<StorePosition> &known) const
{
    for (std::size_t part = 0; part < storePartCount; ++part) {
        const StoreChanges changes = m_mirrors[part].changesAfter(known[part]);
        if (!changes.items.empty()) {
            return true;
        }
    }
    return false;
}

// Holds a query until there are changes, or until the store has confirmed the view again, which the other entry must
// know as well. A query of an entry whose view is stale is held only while this view is stale too.
Awaitable<void> StoreView::handleRelayQuery(std::shared_ptr<HttpConnection> connection, RelayQuery query)
{
    const auto startedAt = std::chrono::steady_clock::now();
    const std::chrono::milliseconds wait = std::min(query.maxWait, maxRelayWait);
    const PerPart<StorePosition> known = knownPositions(query);
    const PerPart<std::optional<SteadyTime>> confirmed = confirmations();
    while (!m_stopped && elapsed(startedAt) < wait && isFresh() != query.isStale) {
        const bool hasNews = hasChangesAfter(known) || hasNewerConfirmation(confirmed);
        const std::chrono::milliseconds limit = hasNews ? std::min(query.minInterval, wait) : wait;
        const std::chrono::milliseconds left = limit - elapsed(startedAt);
        if (left.count() <= 0) {
            break;
        }
        co_await m_changed.wait(left);
    }
    RelayResponse response;
    response.readsStore = isReading(StorePart::Servers) && m_freshness.ownConfirmedAt(StorePart::Servers);
    response.age = age(StorePart::Servers).value_or(std::chrono::milliseconds(0));
    if (m_storeRecoveredAt) {
        response.storeRecoveredAgo = elapsed(*m_storeRecoveredAt);
        response.recoveredRevision = m_recoveredRevision;
    }
    for (const StorePart part : storeParts) {
        response.changes[indexOf(part)] = m_mirrors[indexOf(part)].changesAfter(known[indexOf(part)]);
        response.ages[indexOf(part)] = age(part);
        response.ownAges[indexOf(part)] = ageOf(m_freshness.ownConfirmedAt(part));
    }
    response.held = elapsed(startedAt);
    response.announcements = m_callbacks.announcements();
    co_await connection->respond(makeResponse(http::status::ok, encode(response), "application/cbor"));
}

PerPart<std::optional<SteadyTime>> StoreView::confirmations() const
{
    PerPart<std::optional<SteadyTime>> confirmed;
    for (const StorePart part : storeParts) {
        confirmed[indexOf(part)] = m_freshness.confirmedAt(part);
    }
    return confirmed;
}

// Returns whether the store has confirmed a part again whose age decides which source another entry follows.
bool StoreView::hasNewerConfirmation(const PerPart<std::optional<SteadyTime>> &before) const
{
    return std::any_of(storeParts.begin(), storeParts.end(), [&](StorePart part) {
        return m_freshness.confirmedAt(part) > before[indexOf(part)];
    });
}

void StoreView::unregister()
{
    m_registration->stop();
}

void StoreView::stop()
{
    m_stopped = true;
    for (const auto &watch : m_watches) {
        if (watch) {
            watch->stop();
        }
    }
}

} // namespace zinniadock
