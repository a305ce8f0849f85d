#pragma once

#include <chrono>
#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace zinniadock
{

/// How far an entry may rely on its copy of the configuration.
enum class ConfigurationTrust {
    Current, ///< it has each version that was accepted longer ago than the bound
    Unconfirmed, ///< older than the bound, as that of all entries which respond: the store answers none of them
    Overdue, ///< older than the bound, and other entries may have a later version
};

std::string_view toString(ConfigurationTrust trust);

/// Returns whether a copy of the configuration is older than the bound, or was never confirmed.
/// \param age  time since the store last confirmed it; nothing if it never did
bool isOverdue(const std::optional<std::chrono::milliseconds> &age, std::chrono::milliseconds bound);

/// Judges the copy of the configuration by its age, and by what other entries say of theirs. No network, no clock.
///
/// A store that is down for all entries can't accept a version, so that requests go on by the last one. A store that
/// turns away one entry looks the same to that entry. Only the other entries tell the difference.
class ConfigurationJudge
{
public:
    using Time = std::chrono::steady_clock::time_point;

    /// Records that another entry has responded.
    /// \param hasOverdueCopy  whether its copy of the configuration is overdue
    void recordResponse(const std::string &peer, bool hasOverdueCopy, Time now);

    /// Records that another entry has not responded.
    void recordNoResponse(const std::string &peer, Time now);

    /// Judges the copy of this entry.
    /// \param age  time since the store last confirmed it; nothing if it never did
    /// \param otherEntries  number of other entries that are known
    ConfigurationTrust judge(const std::optional<std::chrono::milliseconds> &age, std::chrono::milliseconds bound,
                             std::size_t otherEntries, Time now) const;

private:
    /// The last query to another entry.
    struct Query
    {
        Time endedAt;
        bool hasOverdueCopy = false; ///< the other entry has responded, with a copy that is overdue as well
    };

    std::map<std::string, Query> m_queries; ///< by peer; without the entries whose copy was current
};

} // namespace zinniadock
