#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <thread>

#include "zinniadock/process/store/publishedtext.h"
#include "zinniadock/process/store/store.h"
#include "zinniadock/version/configuration.h"

namespace zinniadock
{

/// The record of the newest accepted configuration in the store.
struct ConfigurationHead
{
    std::uint64_t revision = 0;
    std::string digest; ///< SHA-256 of the text; also part of the key of the text
    std::string parent; ///< digest of the previous revision
    std::string changeId; ///< identifies the accepted change
    std::string author;
    std::string delta; ///< from the previous revision, in the form of formatDelta(); empty if too long or unknown
};

/// Maximum size of a delta that is stored in the head, in bytes. Without a delta, followers read the whole text.
constexpr std::size_t maxInlineDeltaSize = 16384;

std::string encodeHead(const ConfigurationHead &head);
std::optional<ConfigurationHead> decodeHead(const std::string &text);

std::string headKey(const std::string &prefix);
std::string textKey(const std::string &prefix, const std::string &digest);
std::string historyKey(const std::string &prefix, std::uint64_t revision);

enum class PublishResult {
    Accepted, ///< the change took effect; the head is this change or a later one
    Unchanged, ///< the head already has this content
    Conflict, ///< another change was accepted first
    Unavailable, ///< the store does not respond and nothing was accepted
    Unknown, ///< the store does not respond and the change may have been accepted
};

struct PublishOutcome
{
    PublishResult result = PublishResult::Unavailable;
    ConfigurationHead head; ///< the accepted head; the current head if unchanged or in conflict
};

/// The head with its store revision, which compare-and-swap expects.
struct HeadRead
{
    StoreStatus status = StoreStatus::Unavailable;
    std::optional<ConfigurationHead> head;
    std::int64_t modRevision = absentKey;
};

/// Publishes checked configurations. A configuration is accepted once a compare-and-swap has written the head
/// record in the store (see ConfigurationHead).
template <Store StoreType>
class Publisher
{
public:
    static constexpr std::chrono::milliseconds defaultRetryDelay{ 100 };

    /// \param retryDelay  time between attempts while the store does not respond
    Publisher(StoreType &store, std::string prefix, std::chrono::milliseconds retryDelay = defaultRetryDelay)
        : m_store(store)
        , m_prefix(std::move(prefix))
        , m_retryDelay(retryDelay)
    {
    }

    HeadRead readHead()
    {
        const StoreRead found = m_store.read(headKey(m_prefix));
        HeadRead result{ .status = found.status, .head = {}, .modRevision = absentKey };
        if (found.value) {
            result.head = decodeHead(found.value->value);
            result.modRevision = found.value->modRevision;
        }
        return result;
    }

    /// Reads a text and verifies its digest.
    std::optional<std::string> readText(const std::string &digest)
    {
        return readPublishedText(m_store, textKey(m_prefix, digest), digest);
    }

    /// Reads the head record of an earlier revision.
    std::optional<ConfigurationHead> readHistory(std::uint64_t revision)
    {
        const StoreRead found = m_store.read(historyKey(m_prefix, revision));
        return found.value ? decodeHead(found.value->value) : std::nullopt;
    }

    /// Publishes a canonical text as the successor of the head in \p base.
    /// \param delta  from the text of \p base to \p text
    /// \pre the text has passed checkConfiguration()
    PublishOutcome publish(const std::string &text, const std::string &delta, const HeadRead &base,
                           const std::string &changeId, const std::string &author)
    {
        const ConfigurationHead before = base.head.value_or(ConfigurationHead());
        PublishOutcome outcome;
        outcome.head = ConfigurationHead{ .revision = before.revision + 1,
                                          .digest = sha256(text),
                                          .parent = before.digest,
                                          .changeId = changeId,
                                          .author = author,
                                          .delta = delta.size() <= maxInlineDeltaSize ? delta : std::string() };
        if (before.digest == outcome.head.digest) {
            outcome.result = PublishResult::Unchanged;
            outcome.head = before;
            return outcome;
        }
        // Stores the text before the head that refers to it, so no reader finds a head without its text.
        const bool stored = writePublishedText(textKey(m_prefix, outcome.head.digest), text,
                                               [this](const std::string &key, const std::string &value) {
                                                   return writeIfAbsent(key, value);
                                               });
        if (!stored) {
            return outcome;
        }
        if (before.revision > 0 && !writeIfAbsent(historyKey(m_prefix, before.revision), encodeHead(before))) {
            return outcome;
        }
        return swapHead(base.modRevision, outcome);
    }

private:
    static constexpr int maxAttempts = 5;

    bool writeIfAbsent(const std::string &key, const std::string &value)
    {
        for (int attempt = 0; attempt < maxAttempts; ++attempt) {
            const StoreStatus status = m_store.compareAndSwap(key, absentKey, value, LeaseId());
            if (status == StoreStatus::Done || status == StoreStatus::Conflict) {
                return true;
            }
            std::this_thread::sleep_for(m_retryDelay);
        }
        return false;
    }

    PublishOutcome swapHead(std::int64_t modRevision, PublishOutcome outcome)
    {
        bool mayBeWritten = false;
        for (int attempt = 0; attempt < maxAttempts; ++attempt) {
            const StoreStatus status
                = m_store.compareAndSwap(headKey(m_prefix), modRevision, encodeHead(outcome.head), LeaseId());
            if (status == StoreStatus::Done) {
                outcome.result = PublishResult::Accepted;
                return outcome;
            }
            mayBeWritten = mayBeWritten || status == StoreStatus::Unknown;
            if (status == StoreStatus::Conflict) {
                return resolveConflict(mayBeWritten, std::move(outcome));
            }
            std::this_thread::sleep_for(m_retryDelay);
        }
        outcome.result = mayBeWritten ? PublishResult::Unknown : PublishResult::Unavailable;
        return outcome;
    }

    // After a lost response, the comparison fails either because this change took effect or because another change did.
    // The history of heads distinguishes the two: it contains the change ID of this change if it took effect, either in
    // the head or in an earlier revision.
    PublishOutcome resolveConflict(bool mayBeWritten, PublishOutcome outcome)
    {
        for (int attempt = 0; attempt < maxAttempts; ++attempt) {
            const HeadRead now = readHead();
            if (now.status != StoreStatus::Done || !now.head) {
                std::this_thread::sleep_for(m_retryDelay);
                continue;
            }
            const bool isHead = now.head->changeId == outcome.head.changeId;
            if (isHead || !mayBeWritten || now.head->revision == outcome.head.revision) {
                outcome.result = isHead ? PublishResult::Accepted : PublishResult::Conflict;
                outcome.head = *now.head;
                return outcome;
            }
            const auto earlier = readHistory(outcome.head.revision);
            if (earlier) {
                const bool accepted = earlier->changeId == outcome.head.changeId;
                outcome.result = accepted ? PublishResult::Accepted : PublishResult::Conflict;
                outcome.head = accepted ? *earlier : *now.head;
                return outcome;
            }
        }
        outcome.result = mayBeWritten ? PublishResult::Unknown : PublishResult::Conflict;
        return outcome;
    }

    StoreType &m_store;
    std::string m_prefix;
    std::chrono::milliseconds m_retryDelay;
};

} // namespace zinniadock
