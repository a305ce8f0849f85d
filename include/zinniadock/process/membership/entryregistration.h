#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "zinniadock/connection/httpclient.h"
#include "zinniadock/connection/wireform.h"
#include "zinniadock/process/store/readerchoice.h"

namespace zinniadock
{

/// Prefix of the keys under which entries register.
std::string registrationPrefix();

/// Parses the registration of an entry. Returns nothing if the registration is malformed or its key is not an address.
std::optional<EntryMember> parseRegistration(const wire::StoreItem &item);

/// Keeps this entry registered in the store with a lease.
///
/// Other entries use a registration only as a hint and skip a registered entry that does not respond, so correctness
/// does not depend on the timely expiry of a lease. A lease belongs to the era of the store that granted it: in a later
/// era its number may be given to another client, so that the entry gets a new lease and never uses the earlier one.
class EntryRegistration : public std::enable_shared_from_this<EntryRegistration>
{
public:
    /// \param onEra  called with the era of each response of the store that states one
    EntryRegistration(ConnectionPool &pool, Endpoint store, EntryMember self,
                      std::function<void(wire::StoreEra)> onEra);

    void start();

    /// Registers again after \p delay, unless the lease is of this era or a later one.
    void requireEra(wire::StoreEra era, std::chrono::milliseconds delay);

    /// Stops renewing the lease and deletes the registration with a single call. If that call fails, the lease expires
    /// after its time to live.
    void stop();

private:
    Awaitable<void> run();
    Awaitable<CallResult> callStore(HttpRequest request);
    Awaitable<bool> registerSelf();
    Awaitable<bool> renewLease();
    Awaitable<void> deleteRegistration();
    wire::StoreEra observeEra(const CallResult &result);

    ConnectionPool &m_pool;
    const Endpoint m_store;
    const EntryMember m_self;
    const std::function<void(wire::StoreEra)> m_onEra;
    std::string m_lease; ///< empty while not registered
    wire::StoreEra m_leaseEra = 0; ///< era of the store that granted the lease
    wire::StoreEra m_era = 0; ///< latest era of the store that is known
    AsyncCondition m_eraChanged;
    std::chrono::milliseconds m_delay{ 0 }; ///< before the next registration
    bool m_hasFailed = false; ///< the last call got no response
    bool m_stopped = false;
};

} // namespace zinniadock
