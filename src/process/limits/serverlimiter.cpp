#include "zinniadock/process/limits/serverlimiter.h"

#include <algorithm>

#include "zinniadock/process/observing/eventlog.h"
#include "zinniadock/process/store/readerchoice.h"

namespace zinniadock
{

namespace
{

/// Share of each limit that the entries use. The sidecar beside an engine uses the rest.
constexpr double entryShare = 1 - sidecarLimitShare;

/// Time for which the end of a limit is reported to other entries.
constexpr std::chrono::milliseconds endReportTime{ 10000 };

/// Min time between two notices to a child that does not report.
constexpr std::chrono::milliseconds noticeInterval{ 2000 };

/// Min average interval between reports in a small fleet and in a large one.
constexpr std::chrono::milliseconds smallFleetInterval{ 250 };
constexpr std::chrono::milliseconds largeFleetInterval{ 1000 };

/// Bytes of a report and its reply without rows, and of a row in both. The interval is chosen such that an entry, with
/// the reports of its children, exchanges at most maxBytesPerSecond.
constexpr double bytesPerExchange = 230;
constexpr double bytesPerRow = 70;
constexpr double maxBytesPerSecond = 1900;

std::chrono::milliseconds ageOf(SteadyTime observedAt, SteadyTime now)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::max(now, observedAt) - observedAt);
}

/// Returns whether a limit is reported to other entries: it is in force, or has ended a short time ago.
bool isReported(const KnownLimit &limit, SteadyTime now)
{
    return limit.perSecond || now - limit.observedAt < endReportTime;
}

} // namespace

ServerLimiter::ServerLimiter(RandomSource draw, KnownServerCheck isKnownServer, EntryTree &tree)
    : m_draw(draw)
    , m_isKnownServer(std::move(isKnownServer))
    , m_budget(std::move(draw))
    , m_tree(tree)
{
}

void ServerLimiter::observe(const ServerRecord &server, const std::vector<std::string> &values,
                            const std::string &source, SteadyTime now)
{
    const ServerIncarnation incarnation = incarnationOf(server);
    const auto previous = m_limits.find(incarnation);
    applyChange(observeLimit(m_limits, incarnation, values, source, now), incarnation, previous, now);
}

void ServerLimiter::applyChange(LimitChange change, const ServerIncarnation &server, std::optional<double> previous,
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
    }
    logEvent("limit", toString(change),
             { { "server", server.id },
               { "per_second", limit.perSecond.value_or(0) },
               { "previous", previous.value_or(0) },
               { "source", limit.source },
               { "age_ms", ageOf(limit.observedAt, now) },
               { "entries", m_tree.size() } });
}

bool ServerLimiter::isLimited(const ServerRecord &server) const
{
    return m_limits.find(incarnationOf(server)).has_value();
}

bool ServerLimiter::maySend(const ServerRecord &server, SteadyTime now) const
{
    if (m_limits.all().empty()) {
        return true;
    }
    const ServerIncarnation incarnation = incarnationOf(server);
    return !m_limits.find(incarnation) || m_budget.hasPermit(incarnation, now);
}

void ServerLimiter::recordSent(const ServerRecord &server, SendReason reason, SteadyTime now)
{
    if (m_limits.all().empty()) {
        return;
    }
    const ServerIncarnation incarnation = incarnationOf(server);
    m_limits.recordSent(incarnation, reason);
    m_budget.takePermit(incarnation, now);
}

void ServerLimiter::undoSent(const ServerRecord &server, SteadyTime now)
{
    m_budget.returnPermit(incarnationOf(server), now);
}

std::vector<ServerIncarnation> ServerLimiter::limitedServers(const ServerDirectory &directory,
                                                             const std::string &pool) const
{
    std::vector<ServerIncarnation> servers;
    for (const auto &[incarnation, limit] : m_limits.all()) {
        const auto found = directory.servers().find(incarnation.id);
        const bool isInPool = found != directory.servers().end() && found->second.record.pool == pool
            && incarnationOf(found->second.record) == incarnation && found->second.acceptsWork();
        if (limit.perSecond && isInPool) {
            servers.push_back(incarnation);
        }
    }
    return servers;
}

void ServerLimiter::recordDemand(const ServerDirectory &directory, const std::string &pool, SteadyTime now)
{
    for (const ServerIncarnation &server : limitedServers(directory, pool)) {
        m_budget.recordDemand(server);
        if (!m_budget.hasPermit(server, now)) {
            m_pacing.recordUnmetDemand();
        }
    }
}

void ServerLimiter::recordWaiting(const ServerDirectory &directory, const std::string &pool)
{
    for (const ServerIncarnation &server : limitedServers(directory, pool)) {
        m_budget.recordWaiting(server);
    }
}

// Callers that are refused between two reports get the same expected wait. The random part spreads their returns.
std::optional<std::chrono::milliseconds> ServerLimiter::refuse(const ServerDirectory &directory,
                                                               const std::string &pool, SteadyTime now)
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

void ServerLimiter::forget(const std::string &serverId)
{
    for (const ServerIncarnation &server : m_limits.remove(serverId)) {
        m_budget.removeLimit(server);
    }
}

const KnownLimits &ServerLimiter::limits() const
{
    return m_limits;
}

void ServerLimiter::updatePosition(SteadyTime now)
{
    std::erase_if(m_children, [now](const auto &child) {
        return now - child.second.reportedAt > childReportTimeout;
    });
    m_budget.setPosition({ .entries = m_tree.size(), .subtree = subtreeSize(now), .isRoot = !m_tree.isAttached() });
}

bool ServerLimiter::isReporting(const std::string &child, SteadyTime now) const
{
    const auto found = m_children.find(child);
    return found != m_children.end() && now - found->second.reportedAt <= childReportTimeout;
}

std::size_t ServerLimiter::subtreeSize(SteadyTime now) const
{
    std::size_t size = 1;
    for (const auto &[peer, child] : m_children) {
        size += isReporting(peer, now) ? child.subtreeSize : 0;
    }
    return std::min(size, m_tree.size());
}

bool ServerLimiter::isActive(SteadyTime now) const
{
    const auto &limits = m_limits.all();
    return std::any_of(limits.begin(), limits.end(), [now](const auto &limit) {
        return isReported(limit.second, now);
    });
}

bool ServerLimiter::isReportDue(SteadyTime now) const
{
    return m_pacing.isDue(interval(), now);
}

bool ServerLimiter::takeReport(SteadyTime now)
{
    return m_pacing.take(interval(), now);
}

std::chrono::milliseconds ServerLimiter::interval() const
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

std::optional<std::string> ServerLimiter::chooseParent(SteadyTime now)
{
    auto parent = m_tree.parent(now);
    if (!parent) {
        m_tree.detach();
        updatePosition(now);
    }
    return parent;
}

std::vector<LimitState> ServerLimiter::reportedStates(SteadyTime now) const
{
    std::vector<LimitState> states;
    for (const auto &[server, limit] : m_limits.all()) {
        if (isReported(limit, now)) {
            states.push_back({ server, limit.perSecond, ageOf(limit.observedAt, now) });
        }
    }
    return states;
}

EntryReport ServerLimiter::makeReport(const std::string &parent, SteadyTime now)
{
    EntryReport report{ .sender = m_tree.self(), .isNotice = false, .subtreeSize = subtreeSize(now), .rows = {} };
    const bool givesAway = m_tree.isAttachedTo(parent);
    for (LimitState &state : reportedStates(now)) {
        const PermitRequest request = m_budget.takeRequestForParent(state.server, givesAway, now);
        report.rows.push_back({ std::move(state), request });
    }
    return report;
}

void ServerLimiter::applyReply(const std::string &parent, const std::optional<EntryReply> &reply, SteadyTime now)
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

void ServerLimiter::grantToSelf(SteadyTime now)
{
    for (const auto &[server, limit] : m_limits.all()) {
        m_budget.grantToSelf(server, now);
    }
}

void ServerLimiter::mergeState(const LimitState &state, const std::string &peer, SteadyTime now)
{
    if (!m_isKnownServer(state.server)) {
        return;
    }
    const auto previous = m_limits.find(state.server);
    const LimitChange change = m_limits.merge(state.server, state.perSecond, now - state.age, peer);
    applyChange(change, state.server, previous, now);
}

void ServerLimiter::applyReport(const EntryReport &report, SteadyTime now)
{
    for (const LimitReportRow &row : report.rows) {
        mergeState(row.state, report.sender, now);
    }
    if (!report.isNotice) {
        m_children[report.sender] = { .subtreeSize = report.subtreeSize, .reportedAt = now };
        updatePosition(now);
    }
}

bool ServerLimiter::lacksPermits(const EntryReport &report, SteadyTime now)
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

EntryReply ServerLimiter::reply(const EntryReport &report, SteadyTime now)
{
    std::map<ServerIncarnation, PermitGrant> grants;
    for (const LimitReportRow &row : report.rows) {
        grants[row.state.server] = m_budget.grant(row.state.server, report.sender, row.request, now);
    }
    EntryReply reply;
    for (LimitState &state : reportedStates(now)) {
        const PermitGrant grant = grants[state.server];
        reply.rows.push_back({ std::move(state), grant });
    }
    return reply;
}

std::vector<std::string> ServerLimiter::childrenToNotify(SteadyTime now)
{
    std::erase_if(m_notifiedAt, [now](const auto &child) {
        return now - child.second >= noticeInterval;
    });
    std::vector<std::string> children;
    for (const std::string &child : m_tree.children()) {
        SteadyTime &notifiedAt = m_notifiedAt[child];
        if (!isReporting(child, now) && now - notifiedAt >= noticeInterval) {
            notifiedAt = now;
            children.push_back(child);
        }
    }
    return children;
}

EntryReport ServerLimiter::makeNotice(SteadyTime now) const
{
    EntryReport notice{ .sender = m_tree.self(), .isNotice = true, .subtreeSize = subtreeSize(now), .rows = {} };
    for (LimitState &state : reportedStates(now)) {
        notice.rows.push_back({ std::move(state), PermitRequest() });
    }
    return notice;
}

} // namespace zinniadock
