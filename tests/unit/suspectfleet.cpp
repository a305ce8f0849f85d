#include "suspectfleet.h"

#include <algorithm>

namespace zinniadock::test
{

namespace
{

constexpr std::chrono::milliseconds stepTime{ 10 };

/// Time from the end of a server until an entry has found out that it has crashed.
constexpr std::chrono::milliseconds detectionTime{ 20 };

/// Time from the end of a server until the next connection of an entry to it is refused.
constexpr std::chrono::milliseconds nextConnectionTime{ 300 };

/// Bytes of the heads of a request and its response between entries.
constexpr std::size_t headBytes = 170;

/// Steps from one maintenance of an entry to the next.
constexpr std::size_t maintenanceSteps = 10;

/// Bytes of an attempt to connect to an entry that does not run or is cut off.
constexpr std::size_t connectBytes = 60;

} // namespace

SuspectFleet::SuspectFleet(const SuspectFleetSetup &setup)
    : m_setup(setup)
    , m_random(setup.seed)
    , m_entries(setup.entries)
    , m_servers(setup.servers)
    , m_crashes(setup.groups.size())
{
    for (std::size_t i = 0; i < m_entries.size(); ++i) {
        startEntry(i);
    }
    for (Server &server : m_servers) {
        server.id = "i-" + std::to_string(m_nextId++);
    }
}

std::string SuspectFleet::peer(std::size_t entry)
{
    return "10.0.0." + std::to_string(entry) + ":80";
}

void SuspectFleet::startEntry(std::size_t entry)
{
    Entry &state = m_entries[entry];
    state.tree = std::make_unique<EntryTree>();
    state.suspects = std::make_unique<SharedSuspects>(*state.tree, m_random() | 1U);
    state.disturbedAt = m_now;
    m_listed.clear();
    for (std::size_t i = 0; i < m_entries.size(); ++i) {
        if (m_entries[i].isRunning) {
            m_listed.insert(peer(i));
        }
    }
    maintain(entry);
}

void SuspectFleet::run(std::chrono::milliseconds duration)
{
    const SteadyTime end = m_now + duration;
    while (m_now < end) {
        m_now += stepTime;
        step();
    }
}

void SuspectFleet::step()
{
    std::vector<std::function<void()>> due;
    std::erase_if(m_later, [this, &due](const auto &later) {
        const bool isDue = later.first <= m_now;
        if (isDue) {
            due.push_back(later.second);
        }
        return isDue;
    });
    for (const auto &function : due) {
        function();
    }
    finishRuns();
    for (std::size_t group = 0; group < m_setup.groups.size(); ++group) {
        std::poisson_distribution<int> arrivals(m_setup.groups[group].perSecond
                                                * std::chrono::duration<double>(stepTime).count());
        for (int count = arrivals(m_random); count > 0; --count) {
            arrive(group);
        }
    }
    exchange();
}

void SuspectFleet::arrive(std::size_t group)
{
    const CallerGroup &callers = m_setup.groups[group];
    Request request{ .group = group, .id = {} };
    const std::size_t number = callers.distinct > 0 ? m_random() % callers.distinct : m_nextId;
    request.traits.push_back(std::hash<std::string>()(std::to_string(group) + "/" + std::to_string(number)));
    request.traits.insert(request.traits.end(), callers.sharedTraits.begin(), callers.sharedTraits.end());
    const bool isSpread = callers.isDeadly && m_setup.spreadsRetries;
    for (std::size_t copy = 0; copy < callers.copies; ++copy) {
        request.id = std::to_string(m_nextId++);
        arriveAt(isSpread ? ++m_nextDeadlyEntry % m_entries.size() : m_random() % m_entries.size(), request);
    }
}

void SuspectFleet::arriveAt(std::size_t entry, Request request)
{
    request.entry = entry;
    send(std::move(request));
}

void SuspectFleet::send(Request request)
{
    Entry &entry = m_entries[request.entry];
    if (entry.isFrozen || !entry.isRunning) {
        return;
    }
    const bool isRefused = entry.suspects->findQuarantine(request.traits, request.id, m_now).has_value();
    const bool isInTouch = m_now - entry.disturbedAt >= std::chrono::milliseconds(3000) && entry.partition == 0;
    std::vector<Server *> alive;
    for (Server &server : m_servers) {
        if (server.backAt <= m_now) {
            alive.push_back(&server);
        }
    }
    if (alive.empty()) {
        return;
    }
    m_sendings.push_back({ m_now, request.group, isRefused, isInTouch });
    if (!isRefused) {
        request.sentAt = m_now;
        request.respondsAt = m_now + m_setup.groups[request.group].duration;
        alive[m_random() % alive.size()]->running.push_back(std::move(request));
    }
}

void SuspectFleet::finishRuns()
{
    for (Server &server : m_servers) {
        abandonRuns(server);
        const auto deadly = std::find_if(server.running.begin(), server.running.end(), [this](const Request &request) {
            return m_setup.groups[request.group].isDeadly && request.respondsAt <= m_now;
        });
        if (deadly != server.running.end()) {
            crash(server, deadly->group);
        }
        std::erase_if(server.running, [this](const Request &request) {
            const Entry &entry = m_entries[request.entry];
            const bool isDone = request.respondsAt <= m_now;
            if (isDone && !request.isAbandoned && !entry.isFrozen && entry.isRunning) {
                entry.suspects->recordResponse(request.traits, m_now);
            }
            return isDone;
        });
    }
}

void SuspectFleet::abandonRuns(Server &server)
{
    for (Request &request : server.running) {
        const auto patience = m_setup.groups[request.group].patience;
        if (request.isAbandoned || patience.count() == 0 || m_now - request.sentAt < patience) {
            continue;
        }
        request.isAbandoned = true;
        AbandonedRun run{ .server = {},
                          .run = { .requestId = request.id, .traits = request.traits, .promptParts = {} },
                          .sentAt = request.sentAt,
                          .abandonedAt = m_now };
        run.server.id = server.id;
        m_entries[request.entry].abandoned.record(std::move(run));
    }
}

void SuspectFleet::crash(Server &server, std::optional<std::size_t> group)
{
    if (group) {
        m_crashes[*group].push_back(m_now);
    }
    detectCrashes(server);
    server.running.clear();
    server.id = "i-" + std::to_string(m_nextId++);
    server.backAt = m_now + m_setup.returnDelay;
}

// An entry whose caller has left has closed the connection. It learns of the end of the server when the next connection
// is refused.
void SuspectFleet::detectCrashes(const Server &server)
{
    std::map<std::size_t, CrashReport> reports;
    std::set<std::size_t> others;
    for (const Request &request : server.running) {
        if (request.isAbandoned) {
            others.insert(request.entry);
            continue;
        }
        const auto duration = std::chrono::duration_cast<std::chrono::milliseconds>(m_now - request.sentAt);
        CrashReport &report = reports[request.entry];
        report.id = m_random();
        report.server = server.id;
        report.at = m_now;
        report.runs.push_back({ request.id, duration, request.traits });
        if (request.attempt < m_setup.groups[request.group].attempts) {
            Request retry = request;
            ++retry.attempt;
            m_later.emplace_back(m_now + detectionTime + stepTime, [this, retry] {
                send(retry);
            });
        }
    }
    for (const auto &[entry, report] : reports) {
        m_later.emplace_back(m_now + detectionTime, [this, entry = entry, report = report] {
            recordCrash(entry, report);
        });
    }
    for (const std::size_t entry : others) {
        const auto delay = reports.contains(entry) ? detectionTime : nextConnectionTime;
        m_later.emplace_back(m_now + delay, [this, id = server.id, entry] {
            detectAbandoned(id, entry);
        });
    }
}

void SuspectFleet::detectAbandoned(const std::string &server, std::size_t entry)
{
    CrashReport report{ .id = m_random(), .server = server, .at = m_now, .runs = {} };
    report.runs = m_entries[entry].abandoned.take(server, m_now);
    if (!report.runs.empty()) {
        recordCrash(entry, report);
    }
}

void SuspectFleet::recordCrash(std::size_t entry, const CrashReport &report)
{
    if (!m_entries[entry].isFrozen && m_entries[entry].isRunning) {
        m_entries[entry].suspects->recordCrash(report, m_now);
        sendNotices(entry);
    }
}

std::chrono::milliseconds SuspectFleet::messageDelay()
{
    const auto steps = static_cast<std::uint64_t>(m_setup.maxMessageDelay / stepTime);
    return stepTime * static_cast<int>(1 + m_random() % std::max<std::uint64_t>(steps, 1));
}

void SuspectFleet::killServers(std::size_t count)
{
    for (Server &server : m_servers) {
        if (count > 0 && server.backAt <= m_now) {
            crash(server, std::nullopt);
            --count;
        }
    }
}

void SuspectFleet::exchange()
{
    std::deque<Message> arrived;
    std::erase_if(m_messages, [this, &arrived](const Message &message) {
        const bool isDue = message.arrivesAt <= m_now;
        if (isDue) {
            arrived.push_back(message);
        }
        return isDue;
    });
    for (const Message &message : arrived) {
        deliver(message);
    }
    const auto stepNumber = static_cast<std::size_t>((m_now - m_start) / stepTime);
    for (std::size_t i = stepNumber % maintenanceSteps; i < m_entries.size(); i += maintenanceSteps) {
        maintain(i);
    }
}

void SuspectFleet::maintain(std::size_t index)
{
    Entry &entry = m_entries[index];
    if (entry.isFrozen || !entry.isRunning) {
        return;
    }
    entry.tree->update(peer(index), m_listed, 1, m_now);
    entry.suspects->prune(m_now);
    sendNotices(index);
}

void SuspectFleet::sendNotices(std::size_t entry)
{
    Entry &sender = m_entries[entry];
    for (const std::string &target : sender.suspects->peersToNotify(m_now)) {
        Message message{ .arrivesAt = m_now + messageDelay(), .from = entry, .to = 0, .bytes = {}, .batch = {} };
        message.to = std::stoul(target.substr(std::string("10.0.0.").size()));
        message.batch = sender.suspects->nextFor(target, m_now);
        EntryReport notice;
        notice.sender = peer(entry);
        notice.start = sender.suspects->start();
        notice.isNotice = true;
        notice.evidence = message.batch.evidence;
        message.bytes = encode(notice, m_now);
        m_messages.push_back(std::move(message));
    }
}

void SuspectFleet::deliver(const Message &message)
{
    Entry &sender = m_entries[message.from];
    Entry &target = m_entries[message.to];
    const bool isConnected = target.isRunning && target.partition == sender.partition;
    sender.bytes += isConnected ? message.bytes.size() + headBytes : connectBytes;
    std::optional<std::uint64_t> start;
    if (isReachable(message.from, message.to)) {
        const auto notice = decodeEntryReport(message.bytes, m_now);
        target.suspects->apply(notice->evidence, notice->sender, notice->start, m_now);
        start = target.suspects->start();
        const std::size_t replyBytes = encode(EntryReply{ .start = *start, .rows = {} }).size();
        sender.bytes += replyBytes;
        target.bytes += message.bytes.size() + headBytes + replyBytes;
        sendNotices(message.to);
    }
    if (!sender.isFrozen && sender.isRunning) {
        sender.suspects->recordSent(peer(message.to), message.batch, start, m_now);
        sendNotices(message.from);
    }
}

bool SuspectFleet::isReachable(std::size_t from, std::size_t to) const
{
    const Entry &target = m_entries[to];
    return !target.isFrozen && target.isRunning && target.partition == m_entries[from].partition;
}

void SuspectFleet::restartEntry(std::size_t entry)
{
    startEntry(entry);
}

void SuspectFleet::setFrozen(std::size_t entry, bool frozen)
{
    m_entries[entry].isFrozen = frozen;
    m_entries[entry].disturbedAt = m_now;
}

void SuspectFleet::setRunning(std::size_t entry, bool running)
{
    m_entries[entry].isRunning = running;
    startEntry(entry);
}

void SuspectFleet::setPartition(std::size_t entry, int partition)
{
    m_entries[entry].partition = partition;
    m_entries[entry].disturbedAt = m_now;
}

void SuspectFleet::setRate(std::size_t group, double perSecond)
{
    m_setup.groups[group].perSecond = perSecond;
}

std::size_t SuspectFleet::crashes(std::size_t group) const
{
    return m_crashes[group].size();
}

std::size_t SuspectFleet::lateArrivals(std::size_t group, std::size_t crash, std::chrono::milliseconds after) const
{
    if (m_crashes[group].size() < crash) {
        return 0;
    }
    const SteadyTime from = m_crashes[group][crash - 1] + after;
    return static_cast<std::size_t>(
        std::count_if(m_sendings.begin(), m_sendings.end(), [group, from](const Sending &sending) {
            return sending.group == group && sending.at > from && !sending.isRefused && sending.isInTouch;
        }));
}

std::size_t SuspectFleet::sent(std::size_t group, std::chrono::milliseconds from) const
{
    return static_cast<std::size_t>(
        std::count_if(m_sendings.begin(), m_sendings.end(), [this, group, from](const Sending &sending) {
            return sending.group == group && sending.at >= m_start + from;
        }));
}

std::size_t SuspectFleet::refused(std::size_t group, std::chrono::milliseconds from) const
{
    return static_cast<std::size_t>(
        std::count_if(m_sendings.begin(), m_sendings.end(), [this, group, from](const Sending &sending) {
            return sending.group == group && sending.at >= m_start + from && sending.isRefused;
        }));
}

std::size_t SuspectFleet::refusingEntries(std::size_t group)
{
    const CallerGroup &callers = m_setup.groups[group];
    RequestTraits traits{ std::hash<std::string>()(std::to_string(group) + "/0") };
    traits.insert(traits.end(), callers.sharedTraits.begin(), callers.sharedTraits.end());
    return static_cast<std::size_t>(std::count_if(m_entries.begin(), m_entries.end(), [&](const Entry &entry) {
        return entry.isRunning && entry.suspects->findQuarantine(traits, "probe", m_now).has_value();
    }));
}

double SuspectFleet::maxBytesPerSecond() const
{
    std::uint64_t maxBytes = 0;
    for (const Entry &entry : m_entries) {
        maxBytes = std::max(maxBytes, entry.bytes);
    }
    return static_cast<double>(maxBytes) / std::chrono::duration<double>(m_now - m_start).count();
}

std::size_t SuspectFleet::maxReports() const
{
    std::size_t reports = 0;
    for (const Entry &entry : m_entries) {
        reports = std::max(reports, entry.suspects->table().reportCount());
    }
    return reports;
}

std::chrono::milliseconds SuspectFleet::now() const
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(m_now - m_start);
}

} // namespace zinniadock::test
