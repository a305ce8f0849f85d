#pragma once

#include <chrono>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "zinniadock/process/limits/limitbudget.h"
#include "zinniadock/process/limits/reportpacing.h"
#include "zinniadock/process/limits/serverlimit.h"
#include "zinniadock/process/membership/entrymessages.h"
#include "zinniadock/process/membership/entrytree.h"

namespace zinniadock
{

/// Decides whether this entry may send a request to a backend server that limits its requests per second, and shares
/// the limits with the other entries. Logs each change of a limit. Has no network, clock or thread of its own; the
/// messages are exchanged by EntryExchange. Not thread-safe.
class ServerLimiter
{
public:
    /// Returns whether this entry knows a server. Reported limits of other servers are ignored.
    using KnownServerCheck = std::function<bool(const ServerIncarnation &)>;

    /// \param tree  along which the limits are shared; must exist as long as this object
    ServerLimiter(RandomSource draw, KnownServerCheck isKnownServer, EntryTree &tree);

    /// Applies the limit fields of a response of a server.
    /// \param values  values of the limit fields, empty if the response has none
    /// \param source  ID of the request to which the server responded
    void observe(const ServerRecord &server, const std::vector<std::string> &values, const std::string &source,
                 SteadyTime now);

    /// Returns whether a server has a limit.
    bool isLimited(const ServerRecord &server) const;

    /// Returns whether a request may be sent to a server now. Complexity: logarithmic in the limits.
    bool maySend(const ServerRecord &server, SteadyTime now) const;

    /// Records that a request is sent to a server, and uses a permit if the server has a limit.
    void recordSent(const ServerRecord &server, SendReason reason, SteadyTime now);

    /// Gives back the permit of recordSent() for a request that was not sent after all.
    void undoSent(const ServerRecord &server, SteadyTime now);

    /// Records a request that could use each limited server of a pool. Complexity: linear in the limits.
    void recordDemand(const ServerDirectory &directory, const std::string &pool, SteadyTime now);

    /// Records that a request is waiting for a permit of any server of a pool. Complexity: linear in the limits.
    void recordWaiting(const ServerDirectory &directory, const std::string &pool);

    /// Records that a request was refused because of the limits of a pool. Returns the time after which the caller
    /// finds a permit, or nothing if no server of the pool has a limit.
    std::optional<std::chrono::milliseconds> refuse(const ServerDirectory &directory, const std::string &pool,
                                                    SteadyTime now);

    /// Forgets the limits of a server.
    void forget(const std::string &serverId);

    const KnownLimits &limits() const;

    /// Updates the part of each limit that this entry creates as permits. Called after each change of the tree.
    void updatePosition(SteadyTime now);

    /// Returns whether there are limits to share or ends of limits to report.
    bool isActive(SteadyTime now) const;

    /// Returns whether a report to the parent is due although no request waits for a permit (ReportPacing::isDue()).
    bool isReportDue(SteadyTime now) const;

    /// Returns whether a report to the parent may be sent now, and counts it (ReportPacing::take()).
    bool takeReport(SteadyTime now);

    /// Returns the min average time between two reports to the parent.
    std::chrono::milliseconds interval() const;

    /// Returns the entry to report to. Returns nothing if there is none; this entry is then the root of its subtree.
    std::optional<std::string> chooseParent(SteadyTime now);

    /// Returns the report to a parent. The permits that it gives away are no longer in this entry.
    EntryReport makeReport(const std::string &parent, SteadyTime now);

    /// Applies the response of the parent, or its absence.
    void applyReply(const std::string &parent, const std::optional<EntryReply> &reply, SteadyTime now);

    /// Grants permits of this entry's subtree to this entry itself.
    void grantToSelf(SteadyTime now);

    /// Applies the limits that another entry reports.
    void applyReport(const EntryReport &report, SteadyTime now);

    /// Returns whether a report asks for permits that this entry does not have, and records that the sender waits for
    /// them.
    bool lacksPermits(const EntryReport &report, SteadyTime now);

    /// Takes the permits of a report of a child and returns the response. \pre applyReport() was called with the report
    EntryReply reply(const EntryReport &report, SteadyTime now);

    /// Returns the children that may not know a limit, since they have not reported. Returns each at most once per
    /// \c noticeInterval.
    std::vector<std::string> childrenToNotify(SteadyTime now);

    /// Returns the notice for children.
    EntryReport makeNotice(SteadyTime now) const;

private:
    /// An entry that reports to this one.
    struct Child
    {
        std::size_t subtreeSize = 0;
        SteadyTime reportedAt;
    };

    void applyChange(LimitChange change, const ServerIncarnation &server, std::optional<double> previous,
                     SteadyTime now);
    void mergeState(const LimitState &state, const std::string &peer, SteadyTime now);
    bool isReporting(const std::string &child, SteadyTime now) const;
    std::size_t subtreeSize(SteadyTime now) const;
    std::vector<LimitState> reportedStates(SteadyTime now) const;
    std::vector<ServerIncarnation> limitedServers(const ServerDirectory &directory, const std::string &pool) const;

    RandomSource m_draw;
    KnownServerCheck m_isKnownServer;
    KnownLimits m_limits;
    LimitBudget m_budget;
    EntryTree &m_tree;
    std::map<std::string, Child> m_children; ///< entries that report to this one, by peer
    std::map<std::string, SteadyTime> m_notifiedAt; ///< last notice to each child, by peer
    ReportPacing m_pacing;
};

} // namespace zinniadock
