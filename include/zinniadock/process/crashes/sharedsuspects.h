#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "zinniadock/process/crashes/suspecttable.h"
#include "zinniadock/process/membership/entrytree.h"

namespace zinniadock
{

/// What one entry tells another about crashes.
struct CrashEvidence
{
    std::vector<CrashReport> crashes;
    std::vector<ClearedTrait> cleared;
    std::vector<QuarantineConclusion> conclusions;
};

/// Evidence for one peer.
struct EvidenceBatch
{
    CrashEvidence evidence;
    std::set<std::uint64_t> items; ///< numbers of the items
    std::size_t bytes = 0; ///< about the size of the evidence in a message
};

/// Limits the average of the bytes that are sent, and allows bursts.
class ByteBudget
{
public:
    /// Adds the bytes that were earned since the last call.
    void earn(double bytesPerSecond, SteadyTime now);

    /// Returns whether anything may be sent now. The next bytes may exceed what is left.
    bool hasCredit() const;

    /// Returns whether what can't wait may be sent now. It may use the bytes of the next seconds.
    bool hasUrgentCredit() const;

    void spend(std::size_t bytes);

    /// Gives back bytes that were not sent after all.
    void refund(std::size_t bytes);

private:
    double m_credit = 0; ///< bytes
    std::optional<SteadyTime> m_creditedUntil;
};

/// The suspect table of an entry, shared with the other entries along their tree. Each entry sends all that it learns
/// to its parent, so that the crashes that a trait explains are added up on the way to the root. To its children, and
/// to other entries that it hears from, it sends only crashes with a trait that has several, and that such a trait is
/// cleared. The root, which gets all reports, concludes the quarantines. Its conclusions go to all entries, so that the
/// same ones hold everywhere. An entry without a reachable parent is the root of those that it reaches. An item is sent
/// to a peer until the peer confirms it; what can change a decision goes first. An entry that starts introduces itself
/// to one other entry. Logs each change of the quarantines.
///
/// Has no network, clock or thread of its own; the messages are exchanged by EntryExchange. Not thread-safe.
class SharedSuspects
{
public:
    /// \param tree  the entries; must exist as long as this object
    /// \param start  identifies the start of this process; random
    SharedSuspects(EntryTree &tree, std::uint64_t start);

    /// Returns the start of this process, which is sent with each message.
    std::uint64_t start() const;

    /// Records a crash that this entry has detected.
    void recordCrash(const CrashReport &report, SteadyTime now);

    /// Records that a server responded to a request of this entry.
    void recordResponse(const RequestTraits &traits, SteadyTime now);

    /// Returns the quarantine of a request, see SuspectTable::findQuarantine().
    std::optional<Quarantine> findQuarantine(const RequestTraits &traits, const std::string &requestId, SteadyTime now);

    /// Applies a message of a peer.
    void apply(const CrashEvidence &evidence, const std::string &peer, std::uint64_t peerStart, SteadyTime now);

    /// Applies evidence whose sender does not become a neighbour.
    void learn(const CrashEvidence &evidence, SteadyTime now);

    /// Returns what another entry must know to refuse the same requests and to conclude from later crashes: the
    /// conclusions, and the crashes of suspects. The newest, if it is too much.
    CrashEvidence openEvidence() const;

    /// Returns the peers to send a notice to, and counts the notices. Each must be followed by nextFor() and
    /// recordSent().
    std::vector<std::string> peersToNotify(SteadyTime now);

    /// Returns the next items for a peer.
    EvidenceBatch nextFor(const std::string &peer, SteadyTime now);

    /// Records the result of a message with a batch.
    /// \param peerStart  start of the peer's process, from its response; nothing if it did not respond
    void recordSent(const std::string &peer, const EvidenceBatch &batch, std::optional<std::uint64_t> peerStart,
                    SteadyTime now);

    /// Quarantines the traits that have been chosen for long enough.
    void settle(SteadyTime now);

    /// Returns whether a message to a peer is on its way.
    bool isSending() const;

    /// Forgets what is too old, and peers that are no longer in the tree.
    void prune(SteadyTime now);

    /// Returns whether no request needs to be checked.
    bool isEmpty() const;

    const SuspectTable &table() const;

private:
    using Content = std::variant<CrashReport, ClearedTrait, QuarantineConclusion>;

    struct Item
    {
        std::uint64_t number = 0;
        std::set<std::string> knownBy; ///< peers that have sent or confirmed it
        Content content;
    };

    struct Peer
    {
        std::uint64_t start = 0; ///< 0 if not known
        SteadyTime heardAt;
        SteadyTime notifiedAt;
        bool isBusy = false; ///< a message is on its way
        bool getsUrgentOnly = false; ///< in this message, for lack of budget
    };

    void add(Content content, const std::string &sender);
    void applyItems(const CrashEvidence &evidence, const std::string &peer, SteadyTime now);
    void applyItem(const CrashReport &report, const std::string &peer, SteadyTime now);
    void applyItem(const ClearedTrait &cleared, const std::string &peer, SteadyTime now);
    void applyItem(const QuarantineConclusion &conclusion, const std::string &peer, SteadyTime now);
    void discardSurplus();
    void updateRole(SteadyTime now);
    void publishChanges(const std::string &source);
    void recordPeerStart(const std::string &peer, std::uint64_t start, SteadyTime now);
    bool hasNewsFor(const std::string &peer, bool isParent) const;
    bool isConcludedBy(RequestTrait trait, const std::string &peer) const;
    bool hasUrgentNewsFor(const std::string &peer) const;
    bool isUrgentFor(const Item &item, const std::string &peer) const;
    bool mayNotify(const std::string &peer, const Peer &state, bool isHeartbeat, SteadyTime now) const;
    bool isRelevant(const Item &item, const std::string &peer) const;
    bool isOpenSuspect(RequestTrait trait) const;
    CrashReport relevantPart(const CrashReport &report) const;
    bool isSuspectedBy(RequestTrait trait, const std::string &peer) const;
    std::vector<const Item *> newsFor(const std::string &peer, bool isParent) const;
    std::size_t priority(const Item &item) const;
    SteadyTime notifiedAt(const std::string &peer) const;
    std::vector<std::string> neighbours(SteadyTime now) const;
    bool isHeartbeatDue(SteadyTime now) const;
    double bytesPerSecond() const;

    EntryTree &m_tree;
    const std::uint64_t m_start;
    SuspectTable m_table;
    std::deque<Item> m_items;
    std::uint64_t m_nextNumber = 1;
    std::map<std::string, Peer> m_peers; ///< by peer address
    ByteBudget m_budget;
    bool m_isIntroduced = false; ///< a peer has responded since the start of the process
    SteadyTime m_lastHeartbeat;
};

} // namespace zinniadock
