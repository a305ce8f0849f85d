#include "zinniadock/process/membership/entryregistration.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <nlohmann/json.hpp>

#include "zinniadock/process/observing/eventlog.h"

namespace zinniadock
{

namespace
{

using Json = nlohmann::json;

constexpr std::chrono::milliseconds leaseDuration{ 60000 };
constexpr std::chrono::milliseconds renewalInterval{ 20000 };
constexpr std::chrono::milliseconds retryInterval{ 1500 };
constexpr std::chrono::milliseconds callTimeout{ 1000 };

constexpr unsigned leaseNotFound = 404;

} // namespace

std::string registrationPrefix()
{
    return "zinniadock/entries/";
}

std::optional<EntryMember> parseRegistration(const wire::StoreItem &item)
{
    const Json document = Json::parse(item.value.value_or(""), nullptr, false);
    Endpoint ignored;
    EntryMember member;
    member.peer = item.key.substr(std::min(item.key.size(), registrationPrefix().size()));
    if (!document.is_object() || !document.contains("capacity") || !document.at("capacity").is_number()
        || !detail::parseValue(member.peer, detail::Range{}, ignored)) {
        return std::nullopt;
    }
    member.capacity = document.at("capacity").get<double>();
    return member;
}

EntryRegistration::EntryRegistration(ConnectionPool &pool, Endpoint store, EntryMember self,
                                     std::function<void(wire::StoreEra)> onEra)
    : m_pool(pool)
    , m_store(std::move(store))
    , m_self(std::move(self))
    , m_onEra(std::move(onEra))
    , m_eraChanged(pool.context())
{
}

void EntryRegistration::start()
{
    const auto self = shared_from_this();
    asio::co_spawn(
        m_pool.context(),
        [self]() {
            return self->run();
        },
        asio::detached);
}

void EntryRegistration::stop()
{
    if (m_stopped) {
        return;
    }
    m_stopped = true;
    if (m_lease.empty()) {
        return;
    }
    const auto self = shared_from_this();
    asio::co_spawn(
        m_pool.context(),
        [self]() {
            return self->deleteRegistration();
        },
        asio::detached);
}

void EntryRegistration::requireEra(wire::StoreEra era, std::chrono::milliseconds delay)
{
    m_era = std::max(m_era, era);
    if (!m_lease.empty() && m_leaseEra < m_era) {
        logEvent("entry", "registration lost",
                 { { "peer", m_self.peer }, { "lease_era", m_leaseEra }, { "era", m_era }, { "delay_ms", delay } });
        m_lease.clear();
        m_delay = delay;
        m_eraChanged.notify();
    }
}

Awaitable<void> EntryRegistration::run()
{
    const auto self = shared_from_this();
    while (!m_stopped) {
        bool succeeded = false;
        if (m_lease.empty()) {
            co_await sleepFor(std::exchange(m_delay, std::chrono::milliseconds(0)));
            succeeded = co_await registerSelf();
        } else {
            succeeded = co_await renewLease();
        }
        const bool isLeaseLost = succeeded && m_lease.empty();
        if (!isLeaseLost) {
            co_await m_eraChanged.wait(succeeded ? renewalInterval : retryInterval);
        }
    }
}

// Returns the era of a response, or the latest known one if the response states none.
wire::StoreEra EntryRegistration::observeEra(const CallResult &result)
{
    const wire::StoreEra era = result.error ? 0 : wire::parseStoreEra(result.head);
    if (era > 0) {
        m_era = std::max(m_era, era);
        m_onEra(era);
    }
    return era > 0 ? era : m_era;
}

// After a failed call the next one uses a new connection, since the others may be silent too.
Awaitable<CallResult> EntryRegistration::callStore(HttpRequest request)
{
    const CallOptions options{ .timeout = callTimeout, .usesNewConnection = m_hasFailed };
    CallResult result = co_await call(m_pool, m_store, std::move(request), options);
    m_hasFailed = static_cast<bool>(result.error);
    co_return result;
}

Awaitable<bool> EntryRegistration::registerSelf()
{
    const CallResult made = co_await callStore(wire::leaseRequest(leaseDuration));
    const wire::StoreEra leaseEra = observeEra(made);
    const std::string lease = made.succeeded() ? wire::parseLeaseId(made.body) : "";
    if (lease.empty() || m_stopped) {
        co_return false;
    }
    const std::string value = Json{ { "capacity", m_self.capacity } }.dump();
    const HttpRequest request = wire::writeRequest(registrationPrefix() + m_self.peer, value, lease);
    const CallResult written = co_await callStore(request);
    // A write without a response may have taken effect. In this case the next registration overwrites its value, and
    // its lease expires. A write in a later era than that of the lease may have used the lease of another client.
    const bool isRegistered = written.succeeded() && observeEra(written) == leaseEra && leaseEra == m_era;
    m_lease = isRegistered ? lease : "";
    m_leaseEra = leaseEra;
    logEvent("entry", m_lease.empty() ? "registration failed" : "registered",
             { { "peer", m_self.peer },
               { "era", leaseEra },
               { "status", written.status },
               { "reason", written.error.message() } });
    if (m_stopped) {
        co_await deleteRegistration();
    }
    co_return !m_lease.empty();
}

Awaitable<bool> EntryRegistration::renewLease()
{
    const CallResult result = co_await callStore(wire::renewLeaseRequest(m_lease));
    if (!result.error && result.status == leaseNotFound) {
        logEvent("entry", "registration lease expired", { { "peer", m_self.peer } });
        m_lease.clear();
    }
    requireEra(observeEra(result), std::chrono::milliseconds(0));
    co_return result.succeeded() || m_lease.empty();
}

// Deletes the key and does not end the lease, whose number may belong to another client after the store went back.
Awaitable<void> EntryRegistration::deleteRegistration()
{
    const auto self = shared_from_this();
    const HttpRequest request = wire::deleteRequest(registrationPrefix() + m_self.peer);
    co_await callStore(request);
}

} // namespace zinniadock
