#pragma once

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace zinniadock
{

class BudgetShare;

/// Why a connection or its request was refused. Such a request has not run.
enum class RefusalCause {
    Memory, ///< the budget is used up
    Stalled, ///< the body made no progress, or too little
    Framing, ///< trailers and chunk extensions exceed their limit
    Connections, ///< the maximum number of connections is reached
};

constexpr std::size_t refusalCauseCount = 4;

/// Returns the name of a cause in metrics and log lines.
std::string_view toString(RefusalCause cause);

struct BudgetLimits
{
    std::size_t totalBytes = 24U << 20U;
    std::size_t reservedBytes = 4U << 20U; ///< part of the total that only small requests use
};

/// A connection that holds at most this much counts as a small request.
constexpr std::size_t smallRequestBytes = 32U << 10U;

/// Returns the memory that a body takes. The unused part of a large capacity is not resident.
std::size_t residentBytes(const std::string &body);

/// Progress of a body that is received. Decides when it is too slow.
class BodyProgress
{
public:
    explicit BodyProgress(std::chrono::steady_clock::time_point startedAt);

    void record(std::size_t bytes, std::chrono::steady_clock::time_point now);

    /// Returns whether the body stands still or arrives below the minimum rate. Starts a new period if one is over.
    bool isTooSlow(std::chrono::steady_clock::time_point now);

    /// Returns when to call isTooSlow() next.
    std::chrono::steady_clock::time_point nextCheck() const;

private:
    std::chrono::steady_clock::time_point m_lastProgress;
    std::chrono::steady_clock::time_point m_periodStart;
    std::size_t m_periodBytes = 0;
};

/// The bytes that all clients of one process have sent and that are not yet served. If the budget is used up, abandons
/// the request that stands still for the longest time, else the newest large one. Thread-safe.
class CallerBudget
{
public:
    /// Receives a cause and the number of its refusals since the last call; called at most once in ten seconds a cause.
    using RefusalLogger = std::function<void(RefusalCause cause, std::uint64_t count)>;

    explicit CallerBudget(BudgetLimits limits = {}, RefusalLogger logger = {});

    std::size_t heldBytes() const;

    std::uint64_t refusals(RefusalCause cause) const;

    void recordRefusal(RefusalCause cause, std::chrono::steady_clock::time_point now);

    /// Abandons the request that stands still for the longest time, of all that are still received.
    /// Returns whether there was one.
    bool abandonForConnection();

private:
    friend class BudgetShare;

    struct RefusalCount
    {
        std::uint64_t total = 0;
        std::uint64_t sinceLogLine = 0;
        std::optional<std::chrono::steady_clock::time_point> lastLogLine;
    };

    bool hold(BudgetShare &share, std::size_t bytes, std::chrono::steady_clock::time_point now);
    void recordProgress(BudgetShare &share, std::chrono::steady_clock::time_point now);
    void startService(BudgetShare &share);
    void release(BudgetShare &share);

    bool fits(const BudgetShare &share, std::size_t bytes) const;
    BudgetShare *longestStandstill(std::chrono::steady_clock::time_point latest) const;
    BudgetShare *newestLarge() const;
    void abandon(BudgetShare &share, RefusalCause cause);
    void remove(BudgetShare &share);

    const BudgetLimits m_limits;
    const RefusalLogger m_logger;
    mutable std::mutex m_mutex;
    std::vector<BudgetShare *> m_shares; ///< those that hold bytes
    std::size_t m_heldBytes = 0;
    std::uint64_t m_lastNumber = 0;
    std::array<RefusalCount, refusalCauseCount> m_refusals;
};

/// The part of a budget that one connection holds. Returns it when it is destroyed.
class BudgetShare
{
public:
    /// \param abandon  frees what the connection has received and makes it refuse the request. It is called on the
    /// thread of another connection and must not use the budget.
    BudgetShare(std::shared_ptr<CallerBudget> budget, std::function<void(RefusalCause)> abandon);
    ~BudgetShare();

    BudgetShare(const BudgetShare &) = delete;
    BudgetShare &operator=(const BudgetShare &) = delete;

    /// Sets what the connection holds, in bytes, while it receives a request. Returns false if the budget has no room
    /// for it; what it held before is unchanged then.
    bool hold(std::size_t bytes, std::chrono::steady_clock::time_point now);

    /// Records that bytes of the request have arrived.
    void recordProgress(std::chrono::steady_clock::time_point now);

    /// Records that the request is complete. It is never abandoned from then on.
    void startService();

    /// Returns everything that the connection holds.
    void release();

    CallerBudget &budget();

private:
    friend class CallerBudget;

    const std::shared_ptr<CallerBudget> m_budget;
    const std::function<void(RefusalCause)> m_abandon;
    std::size_t m_bytes = 0;
    std::size_t m_position = 0; ///< index in the list of the budget while m_isListed
    bool m_isListed = false;
    bool m_isServed = false;
    std::uint64_t m_number = 0; ///< rises with each request of the process
    std::chrono::steady_clock::time_point m_lastProgress;
};

} // namespace zinniadock
