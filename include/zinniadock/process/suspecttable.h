#pragma once

#include <chrono>
#include <cstdint>
#include <mutex>
#include <set>
#include <unordered_map>

namespace zinniadock
{

/// Remembers which requests were running when engines crashed, so that one that crashes each server it runs on is
/// stopped after its second crash. Thread-safe.
class SuspectTable
{
public:
    using Time = std::chrono::steady_clock::time_point;

    /// Crashes after which a request is not run any more.
    static constexpr std::size_t quarantineThreshold = 2;

    /// Notes that a request ran on an engine that crashed.
    /// \param fingerprint  the same for every resend of the request
    /// \param crash  names the crash, so that one told of twice counts once
    void recordCrash(std::uint64_t fingerprint, std::uint64_t crash, Time now);

    /// Returns the number of crashes that a request was in lately. Complexity: constant.
    std::size_t crashCount(std::uint64_t fingerprint, Time now) const;

private:
    static constexpr std::chrono::minutes memory{ 60 };
    static constexpr std::size_t maxSuspects = 16384;

    struct Suspect
    {
        std::set<std::uint64_t> crashes;
        Time last;
    };

    mutable std::mutex m_mutex;
    std::unordered_map<std::uint64_t, Suspect> m_suspects;
};

} // namespace zinniadock
