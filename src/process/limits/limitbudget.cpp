#include "zinniadock/process/limits/limitbudget.h"

#include <algorithm>
#include <cmath>

namespace zinniadock
{

namespace
{

using Seconds = std::chrono::duration<double>;

/// Time for whose permits the root keeps a buffer, and min size of the buffer.
constexpr Seconds bufferTime{ 1.5 };
constexpr double minBuffer = 2;

/// An entry passes permits that it has not used or granted for this time back to its parent.
constexpr std::chrono::milliseconds permitLifetime{ 1500 };

/// Max time for which permits are created at once. A process that was paused has lost the rest.
constexpr Seconds maxCreationTime{ 3.0 };

/// Interval at which a subtree that gets less than minBuffer permits in bufferTime decides at random whether it gets
/// one.
constexpr std::chrono::milliseconds drawInterval{ 1000 };

/// Share of its permits that a subtree gets if it decides at random. Many subtrees decide independently, so that the
/// sum of their permits varies.
constexpr double drawnShare = 0.75;

/// Weight of the earlier demand in the recent demand, and the permits to ask for per recent request. Together they ask
/// for 1.2 times a steady demand.
constexpr double demandDecay = 0.5;
constexpr double wantedPerRecentRequest = 0.6;

/// Max number of permits that an entry owes, after requests that it sent without one.
constexpr double maxDebt = 20;

} // namespace

LimitBudget::LimitBudget(RandomSource draw)
    : m_draw(std::move(draw))
{
}

void LimitBudget::setLimit(const ServerIncarnation &server, double perSecond, SteadyTime now)
{
    const auto [position, isNew] = m_accounts.try_emplace(server);
    Account &account = position->second;
    if (isNew) {
        account.createdUntil = now;
        account.drawnAt = now;
    }
    createPermits(account, now);
    // A lower limit also holds for the permits of the higher one.
    const double scale = account.perSecond > 0 ? std::min(1.0, perSecond / account.perSecond) : 1;
    account.perSecond = perSecond;
    account.pool *= scale;
    account.forParent *= scale;
    account.held = account.held > 0 ? std::floor(account.held * scale) : account.held;
}

void LimitBudget::removeLimit(const ServerIncarnation &server)
{
    m_accounts.erase(server);
}

void LimitBudget::setPosition(const FleetPosition &position)
{
    m_position = position;
}

void LimitBudget::recordDemand(const ServerIncarnation &server)
{
    const auto found = m_accounts.find(server);
    if (found != m_accounts.end()) {
        found->second.demand += 1;
    }
}

void LimitBudget::recordWaiting(const ServerIncarnation &server)
{
    const auto found = m_accounts.find(server);
    if (found != m_accounts.end()) {
        found->second.isWaiting = true;
    }
}

void LimitBudget::recordWaitingChild(const ServerIncarnation &server)
{
    const auto found = m_accounts.find(server);
    if (found != m_accounts.end()) {
        found->second.isChildWaiting = true;
    }
}

bool LimitBudget::hasPermit(const ServerIncarnation &server, SteadyTime now) const
{
    const auto found = m_accounts.find(server);
    return found != m_accounts.end() && found->second.held >= 1 && now - found->second.heldSince <= permitLifetime;
}

void LimitBudget::takePermit(const ServerIncarnation &server, SteadyTime now)
{
    if (Account *account = advancedAccount(server, now)) {
        account->held = std::max(account->held - 1, -maxDebt);
    }
}

void LimitBudget::returnPermit(const ServerIncarnation &server, SteadyTime now)
{
    if (Account *account = advancedAccount(server, now)) {
        account->held += 1;
    }
}

PermitRequest LimitBudget::takeRequestForParent(const ServerIncarnation &server, bool givesAway, SteadyTime now)
{
    Account *account = advancedAccount(server, now);
    if (!account) {
        return {};
    }
    const bool isWaiting = account->isWaiting || account->isChildWaiting;
    PermitRequest request{ .returned = 0, .wanted = wantedFor(subtreeDemand(*account, now), isWaiting) };
    if (givesAway) {
        request.returned = account->forParent;
        account->forParent = 0;
    }
    return request;
}

void LimitBudget::applyGrant(const ServerIncarnation &server, const PermitGrant &grant, SteadyTime now)
{
    if (Account *account = advancedAccount(server, now)) {
        account->pool += grant.permits;
        account->poolFilledAt = grant.permits > 0 ? now : account->poolFilledAt;
        account->parentWait = grant.wait;
    }
}

PermitGrant LimitBudget::grant(const ServerIncarnation &server, const std::string &child, const PermitRequest &request,
                               SteadyTime now)
{
    Account *account = advancedAccount(server, now);
    if (!account) {
        return {};
    }
    account->forParent = std::min(account->forParent + request.returned, account->perSecond * maxCreationTime.count());
    createPermits(*account, now);
    ChildDemand &demand = account->children[child];
    demand.recent = demandDecay * demand.recent + request.wanted;
    demand.reportedAt = now;
    const std::uint32_t permits = takeFromPool(*account, request.wanted, demand.recent, now);
    return { .permits = permits, .wait = expectedWait(server, now) };
}

void LimitBudget::grantToSelf(const ServerIncarnation &server, SteadyTime now)
{
    Account *account = advancedAccount(server, now);
    if (!account) {
        return;
    }
    account->recentDemand = demandDecay * account->recentDemand + account->demand;
    account->demand = 0;
    const double wanted = wantedFor(account->recentDemand, account->isWaiting) - account->held;
    account->isWaiting = false;
    account->isChildWaiting = false;
    const std::uint32_t permits
        = takeFromPool(*account, static_cast<std::uint32_t>(std::max(wanted, 0.0)), account->recentDemand, now);
    account->held += permits;
    account->heldSince = permits > 0 ? now : account->heldSince;
}

bool LimitBudget::hasUngranted(const ServerIncarnation &server, SteadyTime now)
{
    const Account *account = advancedAccount(server, now);
    return account && account->pool >= 1;
}

// The root expects to create the wanted permits that it doesn't have at its rate. Other entries pass on the expectation
// of the root.
std::chrono::milliseconds LimitBudget::expectedWait(const ServerIncarnation &server, SteadyTime now)
{
    const Account *account = advancedAccount(server, now);
    if (!account) {
        return std::chrono::milliseconds(0);
    }
    if (!m_position.isRoot) {
        return account->parentWait;
    }
    const double wanted = wantedPerRecentRequest * subtreeDemand(*account, now);
    const double missing = std::max(1.0, wanted - account->pool);
    return std::chrono::ceil<std::chrono::milliseconds>(Seconds(missing / subtreeRate(*account)));
}

LimitBudget::Account *LimitBudget::advancedAccount(const ServerIncarnation &server, SteadyTime now)
{
    const auto found = m_accounts.find(server);
    if (found == m_accounts.end()) {
        return nullptr;
    }
    createPermits(found->second, now);
    return &found->second;
}

void LimitBudget::createPermits(Account &account, SteadyTime now) const
{
    const Seconds elapsed = std::min<Seconds>(now - account.createdUntil, maxCreationTime);
    account.createdUntil = now;
    account.forParent += account.perSecond / static_cast<double>(m_position.entries) * std::max(elapsed.count(), 0.0);
    if (account.held > 0 && now - account.heldSince > permitLifetime) {
        account.forParent += account.held;
        account.held = 0;
    }
    if (!m_position.isRoot && now - account.poolFilledAt > permitLifetime) {
        account.forParent += account.pool;
        account.pool = 0;
    }
    account.forParent = std::min(account.forParent, account.perSecond * maxCreationTime.count());
    if (m_position.isRoot) {
        fillRootPool(account, now);
    }
}

// There may be many small subtrees at the same time. If each kept up to minBuffer permits, they could send a burst
// together. A small subtree therefore decides at random each drawInterval whether it has a permit, with the probability
// that corresponds to its rate.
void LimitBudget::fillRootPool(Account &account, SteadyTime now) const
{
    const double buffer = subtreeRate(account) * bufferTime.count();
    const bool isMajority = 2 * m_position.subtree > m_position.entries;
    if (isMajority || buffer >= minBuffer) {
        account.pool = std::min(account.pool + account.forParent, std::max(buffer, minBuffer));
        account.forParent = 0;
    } else if (now - account.drawnAt >= drawInterval) {
        const double drawn = drawnShare * account.forParent;
        account.pool = std::floor(drawn) + (m_draw() < drawn - std::floor(drawn) ? 1 : 0);
        account.forParent = 0;
        account.drawnAt = now;
    }
}

double LimitBudget::subtreeRate(const Account &account) const
{
    const std::size_t subtree = std::min(m_position.subtree, m_position.entries);
    return account.perSecond * static_cast<double>(subtree) / static_cast<double>(m_position.entries);
}

double LimitBudget::subtreeDemand(const Account &account, SteadyTime now)
{
    double demand = std::max(account.recentDemand, account.demand);
    for (const auto &[peer, child] : account.children) {
        demand += now - child.reportedAt <= childReportTimeout ? child.recent : 0;
    }
    return demand;
}

// Rounds down, so that an entry with few requests asks for a permit only when a request is waiting. Otherwise most
// permits would expire at entries that have no request at the moment.
std::uint32_t LimitBudget::wantedFor(double recentDemand, bool isWaiting)
{
    const auto wanted = static_cast<std::uint32_t>(wantedPerRecentRequest * recentDemand);
    return std::max(wanted, isWaiting ? 1U : 0U);
}

// Grants at least one permit if there is one, so that a permit does not wait for a request that may not come.
std::uint32_t LimitBudget::takeFromPool(Account &account, std::uint32_t wanted, double recentDemand, SteadyTime now)
{
    if (wanted == 0 || account.pool < 1) {
        return 0;
    }
    const double total = std::max(subtreeDemand(account, now), recentDemand);
    const double share = total > 0 ? recentDemand / total : 1;
    const double permits = std::clamp(std::round(account.pool * share), 1.0, std::floor(account.pool));
    const double granted = std::min(permits, static_cast<double>(wanted));
    account.pool -= granted;
    return static_cast<std::uint32_t>(granted);
}

} // namespace zinniadock
