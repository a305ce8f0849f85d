#include "zinniadock/process/entryregistration.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <nlohmann/json.hpp>

#include "zinniadock/process/eventlog.h"

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

EntryRegistration::EntryRegistration(ConnectionPool &pool, Endpoint store, EntryMember self)
    : m_pool(pool)
    , m_store(std::move(store))
    , m_self(std::move(self))
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
    const auto self = shared_from_this();
    asio::co_spawn(
        m_pool.context(),
        [self]() {
            return self->revokeLease();
        },
        asio::detached);
}

Awaitable<void> EntryRegistration::run()
{
    const auto self = shared_from_this();
    while (!m_stopped) {
        bool succeeded = false;
        if (m_lease.empty()) {
            succeeded = co_await registerSelf();
        } else {
            succeeded = co_await renewLease();
        }
        co_await sleepFor(succeeded ? renewalInterval : retryInterval);
    }
}

Awaitable<bool> EntryRegistration::registerSelf()
{
    const CallResult made = co_await call(m_pool, m_store, wire::leaseRequest(leaseDuration), callTimeout);
    const std::string lease = made.succeeded() ? wire::parseLeaseId(made.body) : "";
    if (lease.empty()) {
        co_return false;
    }
    const std::string value = Json{ { "capacity", m_self.capacity } }.dump();
    const HttpRequest request = wire::writeRequest(registrationPrefix() + m_self.peer, value, lease);
    const CallResult written = co_await call(m_pool, m_store, request, callTimeout);
    // A write without a response may have taken effect. In this case the next registration overwrites its value, and
    // its lease expires.
    m_lease = written.succeeded() ? lease : "";
    logEvent("entry", m_lease.empty() ? "registration failed" : "registered",
             { { "peer", m_self.peer }, { "status", written.status }, { "reason", written.error.message() } });
    co_return !m_lease.empty();
}

Awaitable<bool> EntryRegistration::renewLease()
{
    const CallResult result = co_await call(m_pool, m_store, wire::renewLeaseRequest(m_lease), callTimeout);
    if (!result.error && result.status == leaseNotFound) {
        logEvent("entry", "registration lease expired", { { "peer", m_self.peer } });
        m_lease.clear();
    }
    co_return result.succeeded();
}

Awaitable<void> EntryRegistration::revokeLease()
{
    const auto self = shared_from_this();
    if (!m_lease.empty()) {
        co_await call(m_pool, m_store, wire::revokeLeaseRequest(m_lease), callTimeout);
    }
}

} // namespace zinniadock
