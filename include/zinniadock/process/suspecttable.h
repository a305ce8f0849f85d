#pragma once

#include <chrono>
#include <cstdint>
#include <mutex>
#include <set>
#include <unordered_map>

namespace zinniadock
{

/// Counts, for each request, the engine crashes during which the request was running. A request with
/// \c quarantineThreshold such crashes is not run again, so that it can't crash every engine in turn. Thread-safe.
class SuspectTable
{
public:
    using Time = std::chrono::steady_clock::time_point;

    /// Number of crashes after which a request is not run any more.
    static constexpr std::size_t quarantineThreshold = 2;

    /// Records that a request was running on an engine that crashed. Ignores a new request while the table holds
    /// \c maxSuspects recent ones.
    /// \param fingerprint  identifies the request; the same for every resend
    /// \param crash  identifies the crash, so that a crash that is reported twice counts once
    void recordCrash(std::uint64_t fingerprint, std::uint64_t crash, Time now);

    /// Returns the number of recent crashes during which a request was running. Complexity: constant.
    std::size_t crashCount(std::uint64_t fingerprint, Time now) const;

private:
    static constexpr std::chrono::minutes retention{ 60 };
    static constexpr std::size_t maxSuspects = 16384;

    struct Suspect
    {
        std::set<std::uint64_t> crashes;
        Time lastCrash;
    };

    mutable std::mutex m_mutex;
    std::unordered_map<std::uint64_t, Suspect> m_suspects;
};

} // namespace zinniadock
