#pragma once

#include <memory>
#include <optional>
#include <string>

#include "zinniadock/connection/httpclient.h"
#include "zinniadock/connection/wireform.h"
#include "zinniadock/process/readerchoice.h"

namespace zinniadock
{

/// Prefix of the keys under which entries register.
std::string registrationPrefix();

/// Parses the registration of an entry. Returns nothing if the registration is malformed or its key is not an address.
std::optional<EntryMember> parseRegistration(const wire::StoreItem &item);

/// Keeps this entry registered in the store with a lease.
///
/// Other entries use a registration only as a hint and skip a registered entry that does not respond, so correctness
/// does not depend on the timely expiry of a lease.
class EntryRegistration : public std::enable_shared_from_this<EntryRegistration>
{
public:
    EntryRegistration(ConnectionPool &pool, Endpoint store, EntryMember self);

    void start();

    /// Stops renewing the lease and revokes it with a single call. If that call fails, the lease expires after its time
    /// to live.
    void stop();

private:
    Awaitable<void> run();
    Awaitable<bool> registerSelf();
    Awaitable<bool> renewLease();
    Awaitable<void> revokeLease();

    ConnectionPool &m_pool;
    const Endpoint m_store;
    const EntryMember m_self;
    std::string m_lease; ///< empty while not registered
    bool m_stopped = false;
};

} // namespace zinniadock
