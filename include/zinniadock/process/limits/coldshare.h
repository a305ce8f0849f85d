#pragma once

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <string>

#include "zinniadock/process/servers/serverdirectory.h"

namespace zinniadock
{

/// The part of this entry in the requests per second that cold servers tolerate from all entries together.
///
/// The bound holds without messages between the entries: each of them sends at most its equal part. With less than one
/// request a second for each entry, an entry may send in a second chosen at random only, so that entries that have been
/// idle do not send a burst together. Has no network, clock or thread. Not thread-safe.
class ColdShare
{
public:
    /// \param seed  differs between the entries
    explicit ColdShare(std::uint64_t seed);

    /// Returns whether a request may be sent to a cold server now.
    /// \param perSecond  requests per second that the server tolerates, above 0
    /// \param entries  entries that share them, above 0
    /// Complexity: logarithmic in the cold servers.
    bool maySend(const std::string &server, double perSecond, std::uint32_t entries, SteadyTime now) const;

    /// Records that a request is sent to a cold server.
    void recordSent(const std::string &server, SteadyTime now);

    /// Forgets the servers to which nothing was sent for some time.
    void prune(SteadyTime now);

private:
    std::size_t sentSince(const std::string &server, SteadyTime since) const;
    bool isChosenSecond(const std::string &server, double share, SteadyTime now) const;

    std::uint64_t m_seed;
    std::map<std::string, std::deque<SteadyTime>> m_sent; ///< times of the last requests, by server ID
};

} // namespace zinniadock
