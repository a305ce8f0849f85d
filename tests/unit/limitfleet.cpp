#include "limitfleet.h"

#include <algorithm>
#include <cmath>

#include "requestwindow.h"

namespace zinniadock::test
{

namespace
{

constexpr std::chrono::milliseconds stepTime{ 10 };
constexpr std::size_t groupCount = 4;

/// Bytes of the heads of a request and its response between entries.
constexpr std::size_t headBytes = 170;

/// Attempts of a caller that was refused, including the first.
constexpr int maxAttempts = 3;

} // namespace

LimitFleet::LimitFleet(const LimitFleetSetup &setup)
    : m_setup(setup)
    , m_random(setup.seed)
    , m_demand(setup.demand)
    , m_servedByGroup(groupCount)
{
    for (std::size_t i = 0; i < setup.limits.size(); ++i) {
        Server server;
        server.record.id = "server-" + std::to_string(i);
        server.record.pool = "pool";
        server.record.startTimeMs = 1000;
        server.limit = setup.limits[i];
        m_directory.addOrUpdate(server.record, m_now);
        m_servers.push_back(server);
    }
    std::vector<double> shares;
    m_entries.resize(setup.entries);
    std::set<std::string> peers;
    for (std::size_t i = 0; i < setup.entries; ++i) {
        const std::string peer = "10.0.0." + std::to_string(i) + ":80";
        m_indexes[peer] = i;
        peers.insert(peer);
        shares.push_back(std::pow(static_cast<double>(i) + 1, -setup.skew));
    }
    m_shares = std::discrete_distribution<std::size_t>(shares.begin(), shares.end());
    for (std::size_t i = 0; i < setup.entries; ++i) {
        m_entries[i].listed = peers;
        startLimiter(i);
    }
}

void LimitFleet::startLimiter(std::size_t entry)
{
    Entry &state = m_entries[entry];
    state.tree = std::make_unique<EntryTree>();
    state.limiter = std::make_unique<ServerLimiter>(
        [this] {
            return std::uniform_real_distribution<>(0, 1)(m_random);
        },
        [this](const ServerIncarnation &server) {
            const TrackedServer *tracked = m_directory.find(server.id);
            return tracked && incarnationOf(tracked->record) == server;
        },
        *state.tree);
    state.toldAt.assign(m_servers.size(), SteadyTime::max());
    state.nextMaintenance = m_now + std::chrono::milliseconds(m_random() % 1000);
    state.isAsking = false;
}

void LimitFleet::run(std::chrono::milliseconds duration)
{
    const SteadyTime end = m_now + duration;
    while (m_now < end) {
        m_now += stepTime;
        step();
    }
}

void LimitFleet::step()
{
    for (std::size_t i = 0; i < m_entries.size(); ++i) {
        Entry &entry = m_entries[i];
        if (entry.isFrozen || !entry.isRunning || entry.nextMaintenance > m_now) {
            continue;
        }
        entry.tree->update("10.0.0." + std::to_string(i) + ":80", entry.listed, 1, m_now);
        entry.limiter->updatePosition(m_now);
        entry.nextMaintenance = m_now + 10 * stepTime;
        if (entry.limiter->isActive(m_now)) {
            for (const std::string &child : entry.limiter->childrenToNotify(m_now)) {
                report(i, child, entry.limiter->makeNotice(m_now));
            }
            if (entry.limiter->isReportDue(m_now)) {
                refresh(i);
            }
        }
    }
    std::poisson_distribution<int> arrivals(m_demand * std::chrono::duration<double>(stepTime).count());
    for (int count = arrivals(m_random); count > 0; --count) {
        handleRequest(randomEntry(), m_nextGroup++ % groupCount, 1, false);
    }
    std::deque<Return> due;
    std::erase_if(m_returns, [this, &due](const Return &each) {
        if (each.at <= m_now) {
            due.push_back(each);
        }
        return each.at <= m_now;
    });
    for (const Return &each : due) {
        handleRequest(randomEntry(), each.group, each.attempt, true);
    }
}

void LimitFleet::sendBurst(std::size_t count)
{
    for (std::size_t i = 0; i < count; ++i) {
        handleRequest(randomEntry(), i % groupCount, 1, true);
    }
}

// Callers reach only entries that run. Requests to a frozen entry are lost.
std::size_t LimitFleet::randomEntry()
{
    std::size_t entry = m_shares(m_random);
    while (!m_entries[entry].isRunning) {
        entry = m_shares(m_random);
    }
    return entry;
}

void LimitFleet::handleRequest(std::size_t entry, std::size_t group, int attempt, bool returns)
{
    if (m_entries[entry].isFrozen) {
        return;
    }
    ServerLimiter &limiter = *m_entries[entry].limiter;
    limiter.recordDemand(m_directory, "pool", m_now);
    std::optional<std::size_t> server = chooseServer(entry);
    if (!server) {
        limiter.recordWaiting(m_directory, "pool");
        refresh(entry);
        server = chooseServer(entry);
    }
    if (server) {
        send(entry, *server);
        ++m_servedByGroup[group];
        m_servedLater += returns && attempt > 1 ? 1 : 0;
        return;
    }
    ++m_refused;
    const auto wait = limiter.refuse(m_directory, "pool", m_now);
    if (!returns) {
        return;
    }
    if (attempt == maxAttempts) {
        ++m_neverServed;
    } else {
        m_returns.push_back({ m_now + wait.value_or(std::chrono::milliseconds(0)), group, attempt + 1 });
    }
}

std::optional<std::size_t> LimitFleet::chooseServer(std::size_t entry)
{
    std::vector<std::size_t> servers;
    for (std::size_t i = 0; i < m_servers.size(); ++i) {
        if (m_entries[entry].limiter->maySend(m_servers[i].record, m_now)) {
            servers.push_back(i);
        }
    }
    return servers.empty() ? std::nullopt : std::optional(servers[m_random() % servers.size()]);
}

void LimitFleet::send(std::size_t entry, std::size_t server)
{
    Entry &sender = m_entries[entry];
    Server &receiver = m_servers[server];
    sender.limiter->recordSent(receiver.record, SendReason::FirstAttempt, m_now);
    const bool wasTold
        = sender.toldAt[server] != SteadyTime::max() && m_now - sender.toldAt[server] >= limitReactionTime;
    receiver.arrivals.emplace_back(m_now, wasTold);
    std::vector<std::string> values;
    if (receiver.limit > 0) {
        values.push_back(std::to_string(receiver.limit));
        sender.toldAt[server] = std::min(sender.toldAt[server], m_now);
    }
    sender.limiter->observe(receiver.record, values, "request", m_now);
}

void LimitFleet::refresh(std::size_t entry)
{
    Entry &state = m_entries[entry];
    if (state.isAsking || !state.limiter->takeReport(m_now)) {
        return;
    }
    state.isAsking = true;
    if (const auto parent = state.limiter->chooseParent(m_now)) {
        const auto reply = report(entry, *parent, state.limiter->makeReport(*parent, m_now));
        state.limiter->applyReply(*parent, reply, m_now);
    }
    state.limiter->grantToSelf(m_now);
    state.isAsking = false;
}

std::optional<EntryReply> LimitFleet::report(std::size_t from, const std::string &to, const EntryReport &report)
{
    const std::size_t target = indexOf(to);
    const std::string message = encode(report, m_now);
    m_entries[from].bytes += message.size() + headBytes;
    if (!isReachable(from, target)) {
        return std::nullopt;
    }
    ServerLimiter &limiter = *m_entries[target].limiter;
    const auto received = decodeEntryReport(message, m_now);
    limiter.applyReport(*received, m_now);
    EntryReply reply;
    if (!received->isNotice) {
        if (limiter.lacksPermits(*received, m_now)) {
            refresh(target);
        }
        reply = limiter.reply(*received, m_now);
    }
    const std::string response = encode(reply);
    m_entries[from].bytes += response.size();
    m_entries[target].bytes += message.size() + response.size() + headBytes;
    return decodeEntryReply(response);
}

bool LimitFleet::isReachable(std::size_t from, std::size_t to) const
{
    const Entry &target = m_entries[to];
    return !target.isFrozen && target.isRunning && target.partition == m_entries[from].partition;
}

void LimitFleet::setDemand(double perSecond)
{
    m_demand = perSecond;
}

void LimitFleet::setLimit(std::size_t server, double perSecond)
{
    m_servers[server].limit = perSecond;
    for (Entry &entry : m_entries) {
        entry.toldAt[server] = SteadyTime::max();
    }
}

void LimitFleet::restartServer(std::size_t server)
{
    m_servers[server].record.startTimeMs += 1000;
    m_directory.addOrUpdate(m_servers[server].record, m_now);
    for (Entry &entry : m_entries) {
        entry.toldAt[server] = SteadyTime::max();
    }
}

void LimitFleet::restartEntry(std::size_t entry)
{
    startLimiter(entry);
}

void LimitFleet::setFrozen(std::size_t entry, bool frozen)
{
    m_entries[entry].isFrozen = frozen;
}

void LimitFleet::setRunning(std::size_t entry, bool running)
{
    m_entries[entry].isRunning = running;
    startLimiter(entry);
}

void LimitFleet::setPartition(std::size_t entry, int partition)
{
    m_entries[entry].partition = partition;
}

void LimitFleet::setListed(std::size_t entry, const std::set<std::size_t> &listed)
{
    m_entries[entry].listed.clear();
    for (const std::size_t each : listed) {
        m_entries[entry].listed.insert("10.0.0." + std::to_string(each) + ":80");
    }
}

std::size_t LimitFleet::busiestWindow(std::size_t server, std::chrono::milliseconds from) const
{
    std::vector<SteadyTime> times;
    for (const auto &[at, counts] : m_servers[server].arrivals) {
        if (counts) {
            times.push_back(at);
        }
    }
    return test::busiestWindow(std::move(times), time(from));
}

std::size_t LimitFleet::sentTo(std::size_t server, std::chrono::milliseconds from) const
{
    const auto &arrivals = m_servers[server].arrivals;
    return static_cast<std::size_t>(std::count_if(arrivals.begin(), arrivals.end(), [this, from](const auto &arrival) {
        return arrival.first >= time(from);
    }));
}

std::size_t LimitFleet::refused() const
{
    return m_refused;
}

const std::vector<std::size_t> &LimitFleet::servedByGroup() const
{
    return m_servedByGroup;
}

std::size_t LimitFleet::servedLater() const
{
    return m_servedLater;
}

std::size_t LimitFleet::neverServed() const
{
    return m_neverServed;
}

double LimitFleet::maxBytesPerSecond() const
{
    std::uint64_t maxBytes = 0;
    for (const Entry &entry : m_entries) {
        maxBytes = std::max(maxBytes, entry.bytes);
    }
    return static_cast<double>(maxBytes) / std::chrono::duration<double>(m_now - m_start).count();
}

std::chrono::milliseconds LimitFleet::now() const
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(m_now - m_start);
}

std::size_t LimitFleet::indexOf(const std::string &peer) const
{
    return m_indexes.at(peer);
}

SteadyTime LimitFleet::time(std::chrono::milliseconds sinceStart) const
{
    return m_start + sinceStart;
}

} // namespace zinniadock::test
