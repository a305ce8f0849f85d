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

/// Reads the registration of an entry; nothing for one that can't be read.
std::optional<EntryMember> parseRegistration(const wire::StoreItem &item);

/// Keeps this entry registered in the store, under a lease.
///
/// A registration is only a hint whom to ask: an entry that is registered and silent is passed over, so that nothing
/// depends on a lease that lapses in time.
class EntryRegistration : public std::enable_shared_from_this<EntryRegistration>
{
public:
    EntryRegistration(ConnectionPool &pool, Endpoint store, EntryMember self);

    void start();

    /// Ends the registration, as far as the store can be reached at once.
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
