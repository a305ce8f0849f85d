#pragma once

#include <chrono>
#include <concepts>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>

namespace zinniadock
{

/// The result of a call to the platform's store.
enum class StoreStatus {
    Done, ///< the store responded; a write took effect
    Conflict, ///< the store responded; the comparison failed and nothing was written
    Unavailable, ///< the call failed; nothing took effect
    Unknown, ///< the response was lost; a write may have taken effect
};

/// A value with the store revision of its last change.
struct StoreValue
{
    std::string value;
    std::int64_t modRevision = 0;
};

/// The result of a read; \c value is empty where the key does not exist.
struct StoreRead
{
    StoreStatus status = StoreStatus::Unavailable;
    std::optional<StoreValue> value;
    std::int64_t storeRevision = 0;
};

/// Identifies a lease of the store, which limits the retention of keys. A key with lease 0 does not expire.
using LeaseId = std::int64_t;

/// Mod revision of a key that does not exist.
constexpr std::int64_t absentKey = 0;

/// A key-value service with compare-and-swap, leases and watches.
template <typename Type>
concept Store = requires(Type store, const std::string &text, std::int64_t revision, std::chrono::milliseconds duration,
                         const std::function<bool(const StoreValue &)> &changed)
{
    {
        store.read(text)
        } -> std::same_as<StoreRead>;
    {
        store.compareAndSwap(text, revision, text, LeaseId())
        } -> std::same_as<StoreStatus>;
    {
        store.compareAndErase(text, revision)
        } -> std::same_as<StoreStatus>;
    {
        store.grantLease(duration)
        } -> std::same_as<std::optional<LeaseId>>;
    store.interruptWatches();
    {
        store.watch(text, revision, duration, changed)
        } -> std::same_as<StoreStatus>;
};

} // namespace zinniadock
