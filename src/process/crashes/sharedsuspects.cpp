#include "zinniadock/process/crashes/sharedsuspects.h"

#include <algorithm>
#include <limits>

#include "zinniadock/process/observing/eventlog.h"
#include "zinniadock/process/store/readerchoice.h"

namespace zinniadock
{

namespace
{

constexpr std::chrono::minutes itemRetention{ 60 };
constexpr std::size_t maxItems = 512;

/// Max evidence in one message. A new entry gets all of it in several messages.
constexpr std::size_t maxBatchBytes = 1400;

/// Max evidence that openEvidence() returns, in bytes.
constexpr std::size_t maxEvidenceBytes = 32768;

/// Sizes in a message, in bytes.
constexpr std::size_t noticeBytes = 230; ///< a notice and its response, with the heads, without evidence
constexpr std::size_t traitBytes = 9;
constexpr std::size_t runBytes = 10; ///< without traits
constexpr std::size_t crashBytes = 32; ///< without runs
constexpr std::size_t clearedBytes = 14;
constexpr std::size_t conclusionBytes = 16; ///< without crashes
constexpr std::size_t concludedCrashBytes = 26;

/// Average bytes per second that an entry sends about crashes. It receives as much from its neighbours.
constexpr double largeFleetBytesPerSecond = 600;
constexpr double smallFleetBytesPerSecond = 4000;
constexpr double burstBytes = 6000;

/// Interval between two notices to a child about reports, in a large fleet. Conclusions do not wait.
constexpr std::chrono::milliseconds childNoticeInterval{ 500 };

/// Interval at which an entry with evidence sends a notice to its parent also without news. By it an entry learns that
/// its parent has restarted, and a parent learns which entries have chosen it.
constexpr std::chrono::milliseconds heartbeatInterval{ 10000 };

/// Interval between two attempts of a new entry to introduce itself.
constexpr std::chrono::milliseconds introductionInterval{ 500 };

/// An entry that was not heard from for this time is no longer a neighbour.
constexpr std::chrono::milliseconds neighbourTimeout{ 25000 };

SteadyTime timeOf(const CrashReport &report)
{
    return report.at;
}

SteadyTime timeOf(const ClearedTrait &cleared)
{
    return cleared.at;
}

SteadyTime timeOf(const QuarantineConclusion &conclusion)
{
    return conclusion.crashes.back().at;
}

template <typename Content>
SteadyTime observedAt(const Content &content)
{
    return std::visit(
        [](const auto &item) {
            return timeOf(item);
        },
        content);
}

std::size_t bytesOf(const CrashReport &report)
{
    std::size_t bytes = crashBytes;
    for (const EndedRun &run : report.runs) {
        bytes += runBytes + traitBytes * run.traits.size();
    }
    return bytes;
}

std::size_t bytesOf(const ClearedTrait & /*cleared*/)
{
    return clearedBytes;
}

std::size_t bytesOf(const QuarantineConclusion &conclusion)
{
    return conclusionBytes + concludedCrashBytes * conclusion.crashes.size();
}

/// Adds an item of a message.
void append(CrashEvidence &evidence, const CrashReport &report)
{
    evidence.crashes.push_back(report);
}

void append(CrashEvidence &evidence, const ClearedTrait &cleared)
{
    evidence.cleared.push_back(cleared);
}

void append(CrashEvidence &evidence, const QuarantineConclusion &conclusion)
{
    evidence.conclusions.push_back(conclusion);
}

template <typename Content>
std::size_t messageBytes(const Content &content)
{
    return std::visit(
        [](const auto &item) {
            return bytesOf(item);
        },
        content);
}

/// Records that a peer knows the items with a content that satisfies \p matches. Does nothing if \p peer is empty.
template <typename Content, typename Items, typename Predicate>
void markKnown(Items &items, const std::string &peer, Predicate matches)
{
    if (peer.empty()) {
        return;
    }
    for (auto &item : items) {
        const auto *known = std::get_if<Content>(&item.content);
        if (known && matches(*known)) {
            item.knownBy.insert(peer);
        }
    }
}

/// Returns a number from 0 to 1 that differs between processes.
double fractionOf(std::uint64_t start)
{
    constexpr std::uint64_t steps = 1000;
    return static_cast<double>(start % steps) / static_cast<double>(steps);
}

} // namespace

void ByteBudget::earn(double bytesPerSecond, SteadyTime now)
{
    if (!m_creditedUntil) {
        m_credit = burstBytes;
    } else {
        const std::chrono::duration<double> elapsed = now - *m_creditedUntil;
        m_credit = std::min(m_credit + elapsed.count() * bytesPerSecond, burstBytes);
    }
    m_creditedUntil = now;
}

bool ByteBudget::hasCredit() const
{
    return m_credit > 0;
}

bool ByteBudget::hasUrgentCredit() const
{
    return m_credit > -burstBytes;
}

void ByteBudget::refund(std::size_t bytes)
{
    m_credit += static_cast<double>(bytes);
}

void ByteBudget::spend(std::size_t bytes)
{
    m_credit -= static_cast<double>(bytes);
}

SharedSuspects::SharedSuspects(EntryTree &tree, std::uint64_t start)
    : m_tree(tree)
    , m_start(start)
    , m_table({ .alwaysSettles = true }, fractionOf(start))
{
}

std::uint64_t SharedSuspects::start() const
{
    return m_start;
}

void SharedSuspects::add(Content content, const std::string &sender)
{
    std::set<std::string> knownBy;
    if (!sender.empty()) {
        knownBy.insert(sender);
    }
    if (const auto *conclusion = std::get_if<QuarantineConclusion>(&content)) {
        std::erase_if(m_items, [trait = conclusion->trait](const Item &item) {
            const auto *earlier = std::get_if<QuarantineConclusion>(&item.content);
            return earlier && earlier->trait == trait;
        });
    }
    m_items.push_back({ m_nextNumber++, std::move(knownBy), std::move(content) });
    discardSurplus();
}

// Reports are discarded first: what they led to is in the conclusions.
void SharedSuspects::discardSurplus()
{
    if (m_items.size() <= maxItems) {
        return;
    }
    const auto report = std::find_if(m_items.begin(), m_items.end(), [](const Item &item) {
        return std::holds_alternative<CrashReport>(item.content);
    });
    m_items.erase(report == m_items.end() ? m_items.begin() : report);
}

// All reports meet at the root. Any other entry knows a part of them, by which sound requests may look suspect.
void SharedSuspects::updateRole(SteadyTime now)
{
    m_table.setConcludes(!m_tree.parent(now));
}

void SharedSuspects::recordCrash(const CrashReport &report, SteadyTime now)
{
    updateRole(now);
    if (m_table.recordCrash(report, now)) {
        add(report, "");
        publishChanges("");
    }
}

void SharedSuspects::recordResponse(const RequestTraits &traits, SteadyTime now)
{
    m_table.recordResponse(traits, now);
    if (!m_table.isEmpty()) {
        publishChanges("");
    }
}

std::optional<Quarantine> SharedSuspects::findQuarantine(const RequestTraits &traits, const std::string &requestId,
                                                         SteadyTime now)
{
    auto quarantine = m_table.findQuarantine(traits, requestId, now);
    publishChanges("");
    return quarantine;
}

void SharedSuspects::apply(const CrashEvidence &evidence, const std::string &peer, std::uint64_t peerStart,
                           SteadyTime now)
{
    recordPeerStart(peer, peerStart, now);
    applyItems(evidence, peer, now);
}

void SharedSuspects::learn(const CrashEvidence &evidence, SteadyTime now)
{
    applyItems(evidence, "", now);
}

void SharedSuspects::applyItems(const CrashEvidence &evidence, const std::string &peer, SteadyTime now)
{
    updateRole(now);
    for (const CrashReport &report : evidence.crashes) {
        applyItem(report, peer, now);
    }
    for (const ClearedTrait &cleared : evidence.cleared) {
        applyItem(cleared, peer, now);
    }
    for (const QuarantineConclusion &conclusion : evidence.conclusions) {
        applyItem(conclusion, peer, now);
    }
    publishChanges(peer);
}

void SharedSuspects::applyItem(const CrashReport &report, const std::string &peer, SteadyTime now)
{
    if (m_table.recordCrash(report, now)) {
        add(report, peer);
        return;
    }
    markKnown<CrashReport>(m_items, peer, [&report](const CrashReport &known) {
        return known.id == report.id;
    });
}

void SharedSuspects::applyItem(const ClearedTrait &cleared, const std::string &peer, SteadyTime now)
{
    if (m_table.recordCleared(cleared, now)) {
        add(cleared, peer);
        return;
    }
    markKnown<ClearedTrait>(m_items, peer, [&cleared](const ClearedTrait &known) {
        return known.trait == cleared.trait && known.at <= cleared.at;
    });
}

void SharedSuspects::applyItem(const QuarantineConclusion &conclusion, const std::string &peer, SteadyTime now)
{
    if (m_table.recordConclusion(conclusion, now)) {
        add(conclusion, peer);
        return;
    }
    markKnown<QuarantineConclusion>(m_items, peer, [&conclusion](const QuarantineConclusion &known) {
        return known.trait == conclusion.trait && known.crashes.size() <= conclusion.crashes.size();
    });
}

void SharedSuspects::publishChanges(const std::string &source)
{
    for (const QuarantineConclusion &conclusion : m_table.takeConclusionsToShare()) {
        add(conclusion, "");
    }
    for (const ClearedTrait &cleared : m_table.takeClearedToShare()) {
        add(cleared, "");
    }
    for (const QuarantineChange &change : m_table.takeChanges()) {
        logEvent("quarantine", change.hasBegun ? "begun" : "ended",
                 { { "trait", toText(change.quarantine.trait) },
                   { "crashes", change.quarantine.crashes },
                   { "server", change.quarantine.lastServer },
                   { "source", source },
                   { "reports", m_table.reportCount() },
                   { "trial_in_ms", change.quarantine.timeLeft } });
    }
}

// A process that has started again knows nothing, also of what it has told others before.
void SharedSuspects::recordPeerStart(const std::string &peer, std::uint64_t start, SteadyTime now)
{
    Peer &state = m_peers[peer];
    state.heardAt = now;
    if (state.start == start) {
        return;
    }
    if (state.start != 0) {
        for (Item &item : m_items) {
            item.knownBy.erase(peer);
        }
    }
    state.start = start;
}

bool SharedSuspects::hasNewsFor(const std::string &peer, bool isParent) const
{
    return std::any_of(m_items.rbegin(), m_items.rend(), [this, &peer, isParent](const Item &item) {
        return !item.knownBy.contains(peer) && (isParent || isRelevant(item, peer));
    });
}

// One crash alone quarantines nothing, and a peer that does not know the crashes of a trait does not suspect it.
bool SharedSuspects::isRelevant(const Item &item, const std::string &peer) const
{
    if (std::holds_alternative<QuarantineConclusion>(item.content)) {
        return true;
    }
    const auto *cleared = std::get_if<ClearedTrait>(&item.content);
    if (cleared) {
        return isSuspectedBy(cleared->trait, peer);
    }
    return !relevantPart(std::get<CrashReport>(item.content)).runs.empty();
}

// A trait that had responses is worth a message from the second crash on.
bool SharedSuspects::isOpenSuspect(RequestTrait trait) const
{
    constexpr std::size_t minRelevantCrashes = 2;
    const bool isRelevant = m_table.isSuspect({ trait }) || m_table.crashCount({ trait }) >= minRelevantCrashes;
    return isRelevant && !m_table.isQuarantined(trait);
}

// Only these traits may get a response elsewhere that matters.
CrashReport SharedSuspects::relevantPart(const CrashReport &report) const
{
    CrashReport part = report;
    for (EndedRun &run : part.runs) {
        std::erase_if(run.traits, [this](RequestTrait trait) {
            return !isOpenSuspect(trait);
        });
    }
    std::erase_if(part.runs, [](const EndedRun &run) {
        return run.traits.empty();
    });
    return part;
}

bool SharedSuspects::isSuspectedBy(RequestTrait trait, const std::string &peer) const
{
    const bool hasReport = std::any_of(m_items.begin(), m_items.end(), [trait, &peer](const Item &item) {
        const auto *report = std::get_if<CrashReport>(&item.content);
        return report && item.knownBy.contains(peer)
            && std::any_of(report->runs.begin(), report->runs.end(), [trait](const EndedRun &run) {
                   return std::find(run.traits.begin(), run.traits.end(), trait) != run.traits.end();
               });
    });
    return hasReport || isConcludedBy(trait, peer);
}

CrashEvidence SharedSuspects::openEvidence() const
{
    CrashEvidence evidence;
    std::size_t bytes = 0;
    for (auto item = m_items.rbegin(); item != m_items.rend() && bytes < maxEvidenceBytes; ++item) {
        const auto *report = std::get_if<CrashReport>(&item->content);
        const auto *conclusion = std::get_if<QuarantineConclusion>(&item->content);
        if (conclusion) {
            append(evidence, *conclusion);
        } else if (report) {
            const CrashReport part = relevantPart(*report);
            if (!part.runs.empty()) {
                append(evidence, part);
            }
        }
        bytes += messageBytes(item->content);
    }
    return evidence;
}

std::size_t SharedSuspects::priority(const Item &item) const
{
    const auto *report = std::get_if<CrashReport>(&item.content);
    if (!report) {
        return std::numeric_limits<std::size_t>::max();
    }
    std::size_t crashes = 0;
    for (const EndedRun &run : report->runs) {
        crashes = std::max(crashes, m_table.crashCount(run.traits));
    }
    return crashes;
}

std::vector<const SharedSuspects::Item *> SharedSuspects::newsFor(const std::string &peer, bool isParent) const
{
    std::vector<std::pair<std::size_t, const Item *>> news;
    for (const Item &item : m_items) {
        if (!item.knownBy.contains(peer) && (isParent || isRelevant(item, peer))) {
            news.emplace_back(priority(item), &item);
        }
    }
    std::sort(news.begin(), news.end(), [](const auto &left, const auto &right) {
        return left.first != right.first ? left.first > right.first : left.second->number > right.second->number;
    });
    std::vector<const Item *> items;
    for (const auto &[itemPriority, item] : news) {
        items.push_back(item);
    }
    return items;
}

SteadyTime SharedSuspects::notifiedAt(const std::string &peer) const
{
    const auto found = m_peers.find(peer);
    return found == m_peers.end() ? SteadyTime() : found->second.notifiedAt;
}

// The one that was not notified for the longest time comes first, so that each gets its turn if the budget is short.
std::vector<std::string> SharedSuspects::neighbours(SteadyTime now) const
{
    std::vector<std::string> peers;
    if (const auto parent = m_tree.parent(now)) {
        peers.push_back(*parent);
    }
    for (const std::string &child : m_tree.reachableChildren(now)) {
        peers.push_back(child);
    }
    for (const auto &[peer, state] : m_peers) {
        const bool isHeard = state.start != 0 && now - state.heardAt < neighbourTimeout;
        if (isHeard && m_tree.isReachable(peer, now) && std::find(peers.begin(), peers.end(), peer) == peers.end()) {
            peers.push_back(peer);
        }
    }
    std::stable_sort(peers.begin(), peers.end(), [this](const std::string &left, const std::string &right) {
        return notifiedAt(left) < notifiedAt(right);
    });
    return peers;
}

double SharedSuspects::bytesPerSecond() const
{
    return m_tree.size() <= maxSmallFleetSize ? smallFleetBytesPerSecond : largeFleetBytesPerSecond;
}

bool SharedSuspects::isHeartbeatDue(SteadyTime now) const
{
    if (!m_isIntroduced) {
        return now - m_lastHeartbeat >= introductionInterval;
    }
    return !m_items.empty() && now - m_lastHeartbeat >= heartbeatInterval;
}

std::vector<std::string> SharedSuspects::peersToNotify(SteadyTime now)
{
    std::vector<std::string> chosen;
    bool isHeartbeat = isHeartbeatDue(now);
    if (m_items.empty() && !isHeartbeat) {
        return chosen;
    }
    m_budget.earn(bytesPerSecond(), now);
    for (const std::string &peer : neighbours(now)) {
        Peer &state = m_peers[peer];
        if (!mayNotify(peer, state, isHeartbeat, now)) {
            continue;
        }
        if (isHeartbeat) {
            m_lastHeartbeat = now;
            isHeartbeat = false;
        }
        state.isBusy = true;
        state.notifiedAt = now;
        state.getsUrgentOnly = !m_budget.hasCredit();
        m_budget.spend(noticeBytes);
        chosen.push_back(peer);
    }
    return chosen;
}

bool SharedSuspects::mayNotify(const std::string &peer, const Peer &state, bool isHeartbeat, SteadyTime now) const
{
    if (state.isBusy) {
        return false;
    }
    if (hasUrgentNewsFor(peer)) {
        return m_budget.hasUrgentCredit();
    }
    if (!m_budget.hasCredit()) {
        return false;
    }
    const bool isParent = m_tree.parent(now) == peer;
    const bool isDue = isParent || m_tree.size() <= maxSmallFleetSize || now - state.notifiedAt >= childNoticeInterval;
    return isHeartbeat || (isDue && hasNewsFor(peer, isParent));
}

// A conclusion, or that one has ended.
bool SharedSuspects::isUrgentFor(const Item &item, const std::string &peer) const
{
    if (item.knownBy.contains(peer) || std::holds_alternative<CrashReport>(item.content)) {
        return false;
    }
    const auto *cleared = std::get_if<ClearedTrait>(&item.content);
    return !cleared || isConcludedBy(cleared->trait, peer);
}

bool SharedSuspects::isConcludedBy(RequestTrait trait, const std::string &peer) const
{
    return std::any_of(m_items.begin(), m_items.end(), [trait, &peer](const Item &item) {
        const auto *conclusion = std::get_if<QuarantineConclusion>(&item.content);
        return conclusion && conclusion->trait == trait && item.knownBy.contains(peer);
    });
}

bool SharedSuspects::hasUrgentNewsFor(const std::string &peer) const
{
    return std::any_of(m_items.rbegin(), m_items.rend(), [this, &peer](const Item &item) {
        return isUrgentFor(item, peer);
    });
}

EvidenceBatch SharedSuspects::nextFor(const std::string &peer, SteadyTime now)
{
    EvidenceBatch batch;
    const bool isParent = m_tree.parent(now) == peer;
    const bool sendsUrgentOnly = m_peers[peer].getsUrgentOnly;
    for (const Item *item : newsFor(peer, isParent)) {
        const auto *report = std::get_if<CrashReport>(&item->content);
        if (sendsUrgentOnly && !isUrgentFor(*item, peer)) {
            continue;
        }
        const Content content = report && !isParent ? relevantPart(*report) : item->content;
        const std::size_t itemBytes = messageBytes(content);
        if (batch.bytes + itemBytes > maxBatchBytes && !batch.items.empty()) {
            break;
        }
        std::visit(
            [&batch](const auto &part) {
                append(batch.evidence, part);
            },
            content);
        batch.items.insert(item->number);
        batch.bytes += itemBytes;
    }
    m_budget.spend(batch.bytes);
    return batch;
}

void SharedSuspects::recordSent(const std::string &peer, const EvidenceBatch &batch,
                                std::optional<std::uint64_t> peerStart, SteadyTime now)
{
    m_peers[peer].isBusy = false;
    if (!peerStart) {
        m_budget.refund(noticeBytes + batch.bytes);
        m_tree.recordUnreachable(peer, now);
        return;
    }
    m_isIntroduced = true;
    recordPeerStart(peer, *peerStart, now);
    for (Item &item : m_items) {
        if (batch.items.contains(item.number)) {
            item.knownBy.insert(peer);
        }
    }
}

void SharedSuspects::settle(SteadyTime now)
{
    updateRole(now);
    m_table.settle(now);
    publishChanges("");
}

bool SharedSuspects::isSending() const
{
    return std::any_of(m_peers.begin(), m_peers.end(), [](const auto &peer) {
        return peer.second.isBusy;
    });
}

void SharedSuspects::prune(SteadyTime now)
{
    std::erase_if(m_items, [now](const Item &item) {
        return now - observedAt(item.content) > itemRetention;
    });
    std::erase_if(m_peers, [now](const auto &peer) {
        return !peer.second.isBusy && now - peer.second.heardAt > itemRetention;
    });
    m_table.prune(now);
    publishChanges("");
}

bool SharedSuspects::isEmpty() const
{
    return m_table.isEmpty();
}

const SuspectTable &SharedSuspects::table() const
{
    return m_table;
}

} // namespace zinniadock
