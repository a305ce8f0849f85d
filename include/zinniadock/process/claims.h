#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include "zinniadock/process/store.h"
#include "zinniadock/request/requestid.h"

namespace zinniadock
{

/// The recorded answer of a keyed call.
struct ClaimOutcome
{
    std::uint32_t status = 0;
    std::string contentType;
    std::string body;
};

/// What the store holds under the key of a keyed call.
struct ClaimRecord
{
    std::uint64_t nonce = 0; ///< drawn by the one that may send the call
    std::string request; ///< the request that claimed the key
    std::string bodyDigest; ///< tells a resend from another call under the same key
    std::optional<ClaimOutcome> outcome;
};

std::string encodeClaim(const ClaimRecord &record);
std::optional<ClaimRecord> decodeClaim(const std::string &bytes);

/// Returns the store key of a claim; any two (account, key) pairs give different ones.
std::string claimKey(const std::string &prefix, const std::string &account, const std::string &idempotencyKey);

/// What a caller of IdempotencyClaims::acquire() may do.
enum class ClaimResult {
    Acquired, ///< this process, and no other, may send the call once
    Answered, ///< an earlier call under the key has the recorded answer
    InUse, ///< an earlier call under the key may still run, or its answer is unknown
    Mismatch, ///< the key belongs to another call
    Unavailable, ///< the store does not answer; the call must not be sent
};

struct ClaimDecision
{
    ClaimResult result = ClaimResult::Unavailable;
    ClaimRecord record; ///< of the earlier call, or of this one when Acquired
    std::int64_t modRevision = absentKey;
};

/// Lets one call per idempotency key be sent over all entries, by compare-and-swap in the store.
///
/// A claim does not lapse while its holder may still send: its retention is days, far beyond any pause that leaves a
/// caller connected.
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

    /// Claims a key before its call is sent.
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
            // The record is read back in every case: a lost answer is settled by the nonce, and a later write of the
            // outcome needs the revision of the key.
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

    /// Records the answer of a call that this process sent; false if that could not be confirmed.
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

    /// Frees a key whose call is proven not to have run.
    void release(const std::string &account, const std::string &idempotencyKey, const ClaimDecision &claim)
    {
        const std::string key = claimKey(m_prefix, account, idempotencyKey);
        const StoreStatus status = m_store.compareAndErase(key, claim.modRevision);
        if (status != StoreStatus::Done && status != StoreStatus::Conflict) {
            deferRelease(key, claim.record.nonce);
        }
    }

    /// Tries again to free keys whose claim or release got no answer. Called now and then by the store's thread.
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
            decision.result = ClaimResult::Answered;
        }
        return decision;
    }

    // One lease serves all claims of an hour, so that retention costs a call an hour and not a call a claim.
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
