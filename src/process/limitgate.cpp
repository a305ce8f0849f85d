#include "zinniadock/process/limitgate.h"

#include <algorithm>

#include "zinniadock/process/eventlog.h"
#include "zinniadock/process/readerchoice.h"

namespace zinniadock
{

namespace
{

/// Share of each limit that the entries use. The sidecar beside an engine uses the rest.
constexpr double entryShare = 1 - sidecarLimitShare;

/// Time for which the end of a limit is reported to other entries.
constexpr std::chrono::milliseconds endReportTime{ 10000 };

constexpr std::chrono::milliseconds childLifetime{ 3000 };
constexpr std::chrono::milliseconds noticeInterval{ 2000 };

/// Time after which a report is due, in intervals, and max number of reports at once.
constexpr int heartbeatIntervals = 2;
constexpr double maxReportBurst = 3;

/// Min average interval between reports in a small fleet and in a large one.
constexpr std::chrono::milliseconds smallFleetInterval{ 250 };
constexpr std::chrono::milliseconds largeFleetInterval{ 1000 };

/// Estimated bytes of a report and its reply: heads and fixed fields, and each row. With the reports of its children,
/// an entry exchanges at most maxBytesPerSecond.
constexpr double bytesPerExchange = 230;
constexpr double bytesPerRow = 70;
constexpr double maxBytesPerSecond = 1900;

std::chrono::milliseconds ageOf(SteadyTime observedAt, SteadyTime now)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::max(now, observedAt) - observedAt);
}

} // namespace

LimitGate::LimitGate(RandomSource draw, ServerFilter isKnownServer)
    : m_draw(draw)
    , m_isKnownServer(std::move(isKnownServer))
    , m_budget(std::move(draw))
{
}

void LimitGate::observe(const ServerRecord &server, const std::vector<std::string> &values, const std::string &source,
                        SteadyTime now)
{
    const ServerIncarnation incarnation = incarnationOf(server);
    const LimitReading reading = readLimit(values);
    if (!reading.problem.empty() && m_limits.isNewProblem(incarnation, reading.problem)) {
        logEvent("limit", "invalid value",
                 { { "server", server.id }, { "id", source }, { "reason", reading.problem } });
    }
    const auto previous = m_limits.find(incarnation);
    updateBudget(m_limits.observe(incarnation, reading, source, now), incarnation, previous, now);
}

void LimitGate::updateBudget(LimitChange change, const ServerIncarnation &server, std::optional<double> previous,
                             SteadyTime now)
{
    if (change == LimitChange::None) {
        return;
    }
    const KnownLimit &limit = m_limits.all().at(server);
    if (limit.perSecond) {
        m_budget.setLimit(server, entryShare * *limit.perSecond, now);
    } else {
        m_budget.removeLimit(server);
        m_lastEnd = now;
    }
    logEvent("limit", toString(change),
             { { "server", server.id },
               { "per_second", limit.perSecond.value_or(0) },
               { "previous", previous.value_or(0) },
               { "source", limit.source },
               { "age_ms", ageOf(limit.observedAt, now) },
               { "entries", m_tree.size() } });
}

bool LimitGate::isLimited(const ServerRecord &server) const
{
    return m_limits.find(incarnationOf(server)).has_value();
}

bool LimitGate::maySend(const ServerRecord &server, SteadyTime now) const
{
    if (m_limits.all().empty()) {
        return true;
    }
    const ServerIncarnation incarnation = incarnationOf(server);
    return !m_limits.find(incarnation) || m_budget.hasPermit(incarnation, now);
}

void LimitGate::recordSent(const ServerRecord &server, SendReason reason, SteadyTime now)
{
    if (m_limits.all().empty()) {
        return;
    }
    const ServerIncarnation incarnation = incarnationOf(server);
    m_limits.recordSent(incarnation, reason);
    m_budget.takePermit(incarnation, now);
}

void LimitGate::undoSent(const ServerRecord &server, SteadyTime now)
{
    m_budget.returnPermit(incarnationOf(server), now);
}

std::vector<ServerIncarnation> LimitGate::limitedServers(const ServerDirectory &directory,
                                                         const std::string &pool) const
{
    std::vector<ServerIncarnation> servers;
    for (const auto &[incarnation, limit] : m_limits.all()) {
        const auto found = directory.servers().find(incarnation.id);
        const bool isInPool = found != directory.servers().end() && found->second.record.pool == pool
            && found->second.record.startTimeMs == incarnation.startTimeMs && !found->second.isDraining();
        if (limit.perSecond && isInPool) {
            servers.push_back(incarnation);
        }
    }
    return servers;
}

void LimitGate::recordDemand(const ServerDirectory &directory, const std::string &pool, SteadyTime now)
{
    for (const ServerIncarnation &server : limitedServers(directory, pool)) {
        m_budget.recordDemand(server);
        m_hasUnmetDemand = m_hasUnmetDemand || !m_budget.hasPermit(server, now);
    }
}

void LimitGate::recordWaiting(const ServerDirectory &directory, const std::string &pool)
{
    for (const ServerIncarnation &server : limitedServers(directory, pool)) {
        m_budget.recordWaiting(server);
    }
}

// Callers that are refused between two reports get the same expected wait. The random part spreads their returns.
std::optional<std::chrono::milliseconds> LimitGate::refuse(const ServerDirectory &directory, const std::string &pool,
                                                           SteadyTime now)
{
    std::optional<std::chrono::milliseconds> wait;
    for (const ServerIncarnation &server : limitedServers(directory, pool)) {
        m_limits.recordWithheld(server);
        const auto expected = m_budget.expectedWait(server, now);
        wait = std::min(wait.value_or(expected), expected);
    }
    if (wait) {
        *wait += std::chrono::duration_cast<std::chrono::milliseconds>((1 + m_draw()) * interval());
    }
    return wait;
}

void LimitGate::forget(const std::string &serverId)
{
    for (const ServerIncarnation &server : m_limits.remove(serverId)) {
        m_budget.removeLimit(server);
    }
}

const KnownLimits &LimitGate::limits() const
{
    return m_limits;
}

void LimitGate::setFleet(const std::string &self, const std::set<std::string> &peers, std::size_t minEntries,
                         SteadyTime now)
{
    m_self = self;
    m_tree.update(self, peers, minEntries, now);
    updatePosition(now);
}

void LimitGate::updatePosition(SteadyTime now)
{
    std::erase_if(m_children, [now](const auto &child) {
        return now - child.second.reportedAt > childLifetime;
    });
    m_budget.setPosition({ .entries = m_tree.size(), .subtree = subtreeSize(now), .isRoot = !m_tree.isAttached() });
}

std::size_t LimitGate::subtreeSize(SteadyTime now) const
{
    std::size_t size = 1;
    for (const auto &[peer, child] : m_children) {
        size += now - child.reportedAt <= childLifetime ? child.subtreeSize : 0;
    }
    return std::min(size, m_tree.size());
}

bool LimitGate::isActive(SteadyTime now) const
{
    const auto &limits = m_limits.all();
    const bool hasLimit = std::any_of(limits.begin(), limits.end(), [](const auto &limit) {
        return limit.second.perSecond.has_value();
    });
    return hasLimit || (m_lastEnd && now - *m_lastEnd < endReportTime);
}

bool LimitGate::isReportDue(SteadyTime now) const
{
    return now - m_lastReport >= (m_hasUnmetDemand ? 1 : heartbeatIntervals) * interval();
}

bool LimitGate::takeReport(SteadyTime now)
{
    const double intervals = std::chrono::duration<double>(now - m_creditedUntil) / interval();
    m_reportCredit = std::min(m_reportCredit + intervals, maxReportBurst);
    m_creditedUntil = now;
    if (m_reportCredit < 1) {
        return false;
    }
    m_reportCredit -= 1;
    m_lastReport = now;
    m_hasUnmetDemand = false;
    return true;
}

std::chrono::milliseconds LimitGate::interval() const
{
    if (m_tree.size() <= maxSmallFleetSize) {
        return smallFleetInterval;
    }
    const auto &limits = m_limits.all();
    const auto rows = static_cast<double>(std::count_if(limits.begin(), limits.end(), [](const auto &limit) {
        return limit.second.perSecond.has_value();
    }));
    const double bytes = (maxChildren + 1) * (bytesPerExchange + bytesPerRow * rows);
    const auto affordable = std::chrono::milliseconds(static_cast<std::int64_t>(1000 * bytes / maxBytesPerSecond));
    return std::max(largeFleetInterval, affordable);
}

std::optional<std::string> LimitGate::parent(SteadyTime now)
{
    auto parent = m_tree.parent(now);
    if (!parent) {
        m_tree.detach();
        updatePosition(now);
    }
    return parent;
}

std::vector<LimitState> LimitGate::states(SteadyTime now) const
{
    std::vector<LimitState> states;
    for (const auto &[server, limit] : m_limits.all()) {
        if (limit.perSecond || now - limit.observedAt < endReportTime) {
            states.push_back({ server, limit.perSecond, ageOf(limit.observedAt, now) });
        }
    }
    return states;
}

LimitReport LimitGate::makeReport(const std::string &parent, SteadyTime now)
{
    LimitReport report{ .sender = m_self, .isNotice = false, .subtreeSize = subtreeSize(now), .rows = {} };
    const bool givesAway = m_tree.isAttachedTo(parent);
    for (LimitState &state : states(now)) {
        const PermitRequest request = m_budget.requestToParent(state.server, givesAway, now);
        report.rows.push_back({ std::move(state), request });
    }
    return report;
}

void LimitGate::applyReply(const std::string &parent, const std::optional<LimitReply> &reply, SteadyTime now)
{
    if (!reply) {
        m_tree.recordFailure(parent, now);
        updatePosition(now);
        return;
    }
    m_tree.recordSuccess(parent);
    updatePosition(now);
    for (const LimitReplyRow &row : reply->rows) {
        mergeState(row.state, parent, now);
        m_budget.applyGrant(row.state.server, row.grant, now);
    }
}

void LimitGate::grantToSelf(SteadyTime now)
{
    for (const auto &[server, limit] : m_limits.all()) {
        m_budget.grantToSelf(server, now);
    }
}

void LimitGate::mergeState(const LimitState &state, const std::string &peer, SteadyTime now)
{
    if (!m_isKnownServer(state.server)) {
        return;
    }
    const auto previous = m_limits.find(state.server);
    const LimitChange change = m_limits.merge(state.server, state.perSecond, now - state.age, peer);
    updateBudget(change, state.server, previous, now);
}

void LimitGate::applyReport(const LimitReport &report, SteadyTime now)
{
    for (const LimitReportRow &row : report.rows) {
        mergeState(row.state, report.sender, now);
    }
    if (!report.isNotice) {
        m_children[report.sender] = { .subtreeSize = report.subtreeSize, .reportedAt = now };
        updatePosition(now);
    }
}

bool LimitGate::lacksPermits(const LimitReport &report, SteadyTime now)
{
    bool lacks = false;
    for (const LimitReportRow &row : report.rows) {
        if (row.request.wanted > 0 && !m_budget.hasUngranted(row.state.server, now)) {
            m_budget.recordWaitingChild(row.state.server);
            lacks = true;
        }
    }
    return lacks;
}

LimitReply LimitGate::reply(const LimitReport &report, SteadyTime now)
{
    std::map<ServerIncarnation, PermitGrant> grants;
    for (const LimitReportRow &row : report.rows) {
        grants[row.state.server] = m_budget.grant(row.state.server, report.sender, row.request, now);
    }
    LimitReply reply;
    for (LimitState &state : states(now)) {
        const PermitGrant grant = grants[state.server];
        reply.rows.push_back({ std::move(state), grant });
    }
    return reply;
}

std::vector<std::string> LimitGate::childrenToNotify(SteadyTime now)
{
    std::erase_if(m_notifiedAt, [now](const auto &child) {
        return now - child.second >= noticeInterval;
    });
    std::vector<std::string> children;
    for (const std::string &child : m_tree.children()) {
        SteadyTime &notifiedAt = m_notifiedAt[child];
        const auto found = m_children.find(child);
        const bool reports = found != m_children.end() && now - found->second.reportedAt <= childLifetime;
        if (!reports && now - notifiedAt >= noticeInterval) {
            notifiedAt = now;
            children.push_back(child);
        }
    }
    return children;
}

LimitReport LimitGate::makeNotice(SteadyTime now) const
{
    LimitReport notice{ .sender = m_self, .isNotice = true, .subtreeSize = subtreeSize(now), .rows = {} };
    for (LimitState &state : states(now)) {
        notice.rows.push_back({ std::move(state), PermitRequest() });
    }
    return notice;
}

} // namespace zinniadock
