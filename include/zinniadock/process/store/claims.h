#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include "zinniadock/process/store/store.h"
#include "zinniadock/request/requestid.h"

namespace zinniadock
{

/// The recorded response of a call with an idempotency key.
struct ClaimOutcome
{
    std::uint32_t status = 0;
    std::string contentType;
    std::string body;
    bool isEndStated = true; ///< the service has stated that the body is complete
};

/// The value that the store holds for an idempotency key.
struct ClaimRecord
{
    std::uint64_t nonce = 0; ///< random number that identifies the claim, drawn by the process that may send the call
    std::string request; ///< ID of the request that claimed the key
    std::string bodyDigest; ///< distinguishes a resend from a different call with the same key
    std::optional<ClaimOutcome> outcome;
};

std::string encodeClaim(const ClaimRecord &record);
std::optional<ClaimRecord> decodeClaim(const std::string &bytes);

/// Returns the store key of a claim. Different (account, idempotency key) pairs have different store keys.
std::string claimKey(const std::string &prefix, const std::string &account, const std::string &idempotencyKey);

/// The result of IdempotencyClaims::acquire().
enum class ClaimResult {
    Acquired, ///< this process, and no other, may send the call once
    Completed, ///< an earlier call with the key has completed, and the record holds its response
    InUse, ///< an earlier call with the key may still run, or its response is unknown
    Mismatch, ///< the key belongs to a call with a different body
    Unavailable, ///< the store does not respond; the call must not be sent
};

struct ClaimDecision
{
    ClaimResult result = ClaimResult::Unavailable;
    ClaimRecord record; ///< record of the earlier call, or of this call if the result is Acquired
    std::int64_t modRevision = absentKey;
};

/// Ensures by compare-and-swap in the store that all entries together send at most one call per idempotency key.
///
/// A claim must not expire while its holder may still send the call. The retention of a claim is days, so a process
/// that pauses for longer has lost the connection to its caller.
template <Store StoreType>
class IdempotencyClaims
{
public:
    IdempotencyClaims(StoreType &store, std::string prefix, std::chrono::milliseconds retention)
        : m_store(store)
        , m_prefix(std::move(prefix))
        , m_retention(retention)
    {
    }

    /// Claims an idempotency key. Must be called before the call is sent.
    ClaimDecision acquire(const std::string &account, const std::string &idempotencyKey, const RequestId &request,
                          const std::string &bodyDigest)
    {
        const std::string key = claimKey(m_prefix, account, idempotencyKey);
        ClaimDecision decision;
        decision.record = ClaimRecord{
            .nonce = randomNumber(), .request = request.text(), .bodyDigest = bodyDigest, .outcome = {}
        };
        const std::string bytes = encodeClaim(decision.record);
        const std::optional<LeaseId> lease = retentionLease();
        if (!lease) {
            return decision;
        }
        for (int attempt = 0; attempt < maxAttempts; ++attempt) {
            const StoreStatus status = m_store.compareAndSwap(key, absentKey, bytes, *lease);
            if (status == StoreStatus::Unavailable) {
                std::this_thread::sleep_for(retryDelay);
                continue;
            }
            // Reads the record back in every case: the nonce shows whether a write without a response took effect, and
            // complete() needs the revision of the key.
            const StoreRead found = m_store.read(key);
            if (found.status != StoreStatus::Done) {
                std::this_thread::sleep_for(retryDelay);
                continue;
            }
            if (found.value) {
                return evaluateClaim(*found.value, std::move(decision));
            }
        }
        deferRelease(key, decision.record.nonce);
        return decision;
    }

    /// Records the response of a call that this process sent. Returns whether the write is confirmed.
    bool complete(const std::string &account, const std::string &idempotencyKey, const ClaimDecision &claim,
                  const ClaimOutcome &outcome)
    {
        const std::string key = claimKey(m_prefix, account, idempotencyKey);
        ClaimRecord record = claim.record;
        record.outcome = outcome;
        const std::string bytes = encodeClaim(record);
        const std::optional<LeaseId> lease = retentionLease();
        for (int attempt = 0; lease && attempt < maxAttempts; ++attempt) {
            const StoreStatus status = m_store.compareAndSwap(key, claim.modRevision, bytes, *lease);
            if (status == StoreStatus::Done) {
                return true;
            }
            const StoreRead found = m_store.read(key);
            if (found.value && found.value->value == bytes) {
                return true;
            }
            if (status == StoreStatus::Conflict) {
                return false;
            }
            std::this_thread::sleep_for(retryDelay);
        }
        return false;
    }

    /// Releases a key whose call is proven not to have run.
    void release(const std::string &account, const std::string &idempotencyKey, const ClaimDecision &claim)
    {
        const std::string key = claimKey(m_prefix, account, idempotencyKey);
        const StoreStatus status = m_store.compareAndErase(key, claim.modRevision);
        if (status != StoreStatus::Done && status != StoreStatus::Conflict) {
            deferRelease(key, claim.record.nonce);
        }
    }

    /// Retries the release of keys whose claim or release got no response from the store. The thread that follows the
    /// configuration in the store calls this periodically.
    void retryPendingReleases()
    {
        std::vector<PendingRelease> pending;
        {
            const std::lock_guard lock(m_mutex);
            pending.swap(m_pendingReleases);
        }
        for (const PendingRelease &entry : pending) {
            const StoreRead found = m_store.read(entry.key);
            if (found.status != StoreStatus::Done) {
                deferRelease(entry.key, entry.nonce);
                continue;
            }
            const auto record = found.value ? decodeClaim(found.value->value) : std::nullopt;
            if (record && record->nonce == entry.nonce
                && m_store.compareAndErase(entry.key, found.value->modRevision) != StoreStatus::Done) {
                deferRelease(entry.key, entry.nonce);
            }
        }
    }

    std::size_t pendingReleaseCount() const
    {
        const std::lock_guard lock(m_mutex);
        return m_pendingReleases.size();
    }

private:
    struct PendingRelease
    {
        std::string key;
        std::uint64_t nonce = 0;
    };

    static constexpr int maxAttempts = 4;
    static constexpr std::chrono::milliseconds retryDelay{ 50 };
    static constexpr std::chrono::minutes leaseReuseTime{ 60 };
    static constexpr std::size_t maxPendingReleases = 4096;

    static ClaimDecision evaluateClaim(const StoreValue &found, ClaimDecision attempted)
    {
        const auto record = decodeClaim(found.value);
        if (!record) {
            attempted.result = ClaimResult::InUse;
            return attempted;
        }
        ClaimDecision decision{ .result = ClaimResult::InUse, .record = *record, .modRevision = found.modRevision };
        if (record->nonce == attempted.record.nonce) {
            decision.result = ClaimResult::Acquired;
        } else if (record->bodyDigest != attempted.record.bodyDigest) {
            decision.result = ClaimResult::Mismatch;
        } else if (record->outcome) {
            decision.result = ClaimResult::Completed;
        }
        return decision;
    }

    // All claims of an hour share one lease, so retention costs one store call per hour instead of one per claim.
    std::optional<LeaseId> retentionLease()
    {
        const std::lock_guard lock(m_mutex);
        const auto now = std::chrono::steady_clock::now();
        if (m_lease && now - m_leaseGranted < leaseReuseTime) {
            return m_lease;
        }
        const auto granted = m_store.grantLease(m_retention + leaseReuseTime);
        if (granted) {
            m_lease = granted;
            m_leaseGranted = now;
        }
        return granted;
    }

    void deferRelease(const std::string &key, std::uint64_t nonce)
    {
        const std::lock_guard lock(m_mutex);
        if (m_pendingReleases.size() < maxPendingReleases) {
            m_pendingReleases.push_back({ key, nonce });
        }
    }

    StoreType &m_store;
    std::string m_prefix;
    std::chrono::milliseconds m_retention;
    mutable std::mutex m_mutex;
    std::optional<LeaseId> m_lease;
    std::chrono::steady_clock::time_point m_leaseGranted;
    std::vector<PendingRelease> m_pendingReleases;
};

} // namespace zinniadock
