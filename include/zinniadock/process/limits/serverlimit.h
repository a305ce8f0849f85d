#pragma once

#include <array>
#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <tuple>
#include <vector>

#include "zinniadock/process/servers/serverdirectory.h"

namespace zinniadock
{

/// One start of a backend server. Limits belong to it, since a restarted server may have the same ID and knows nothing
/// of its earlier limits.
struct ServerIncarnation
{
    std::string id;
    std::int64_t startTimeMs = 0; ///< in Unix milliseconds

    friend bool operator==(const ServerIncarnation &left, const ServerIncarnation &right)
    {
        return left.startTimeMs == right.startTimeMs && left.id == right.id;
    }

    friend bool operator<(const ServerIncarnation &left, const ServerIncarnation &right)
    {
        return std::tie(left.id, left.startTimeMs) < std::tie(right.id, right.startTimeMs);
    }
};

/// Returns the incarnation that a record describes.
ServerIncarnation incarnationOf(const ServerRecord &record);

/// Smallest and largest limit that is enforced, in requests per second. With the smallest limit, enough requests are
/// sent to notice that it has ended.
constexpr double minRequestLimit = 0.05;
constexpr double maxRequestLimit = 1e6;

/// The limit that a response states.
struct LimitReading
{
    std::optional<double> perSecond; ///< requests per second; nothing if the response states no usable limit
    std::string problem; ///< what is wrong with the fields; empty if they are valid or absent
};

/// Reads the limit from the values of the limit fields of one response.
///
/// A value below \c minRequestLimit or above \c maxRequestLimit is replaced by that bound. Of several values the lowest
/// usable one counts. A value that is no decimal number, is negative or is not finite is not usable.
LimitReading readLimit(const std::vector<std::string> &values);

/// How a response or a message has changed what is known of a limit.
enum class LimitChange {
    None,
    Named, ///< the server had no limit
    Changed, ///< the limit has another value
    Ended,
};

/// Why a request is sent to a server.
enum class SendReason {
    FirstAttempt,
    Retry,
    Move, ///< continues a generation that was moved
    Control, ///< load report or reservation
};

constexpr std::size_t sendReasonCount = 4;

/// What is known of the limit of one incarnation.
struct KnownLimit
{
    std::optional<double> perSecond; ///< nothing after the limit has ended
    SteadyTime observedAt; ///< when the server last stated the limit, or that it has none
    std::string source; ///< ID of the request whose response stated it, or the peer that reported it
    std::uint32_t responsesWithout = 0; ///< consecutive responses without the field
    std::array<std::uint64_t, sendReasonCount> sent{}; ///< requests sent while the limit was in force, by SendReason
    std::uint64_t withheld = 0; ///< requests that could not be sent to the server because of the limit
};

/// The limits on requests per second that backend servers state in their responses, or that other entries report.
/// Not thread-safe.
class KnownLimits
{
public:
    /// Applies the reading from a response of a server. A limit ends after \c responsesUntilEnd consecutive responses
    /// without the field, since a single response may have lost it.
    LimitChange observe(const ServerIncarnation &server, const LimitReading &reading, const std::string &source,
                        SteadyTime now);

    /// Applies what another entry knows. Older knowledge than the own is ignored.
    LimitChange merge(const ServerIncarnation &server, std::optional<double> perSecond, SteadyTime observedAt,
                      const std::string &source);

    /// Returns the limit in requests per second; nothing if the server has none.
    std::optional<double> find(const ServerIncarnation &server) const;

    /// Returns whether a problem has not been reported yet for this server, and records it as reported.
    bool isNewProblem(const ServerIncarnation &server, const std::string &problem);

    /// Removes the limits of a server. Returns its incarnations.
    std::vector<ServerIncarnation> remove(const std::string &serverId);

    void recordSent(const ServerIncarnation &server, SendReason reason);
    void recordWithheld(const ServerIncarnation &server);

    /// Returns all limits, also those that have ended.
    const std::map<ServerIncarnation, KnownLimit> &all() const;

private:
    std::map<ServerIncarnation, KnownLimit> m_limits;
    std::map<ServerIncarnation, std::string> m_reportedProblems; ///< the last one of each server
};

/// Number of consecutive responses without a limit after which the limit has ended.
constexpr std::uint32_t responsesUntilEnd = 2;

/// Share of the limit of an engine that the sidecar beside it uses for load reports.
constexpr double sidecarLimitShare = 0.05;

/// Reads the limit fields of a response, applies them, and logs invalid values once for each server.
/// \param values  values of the limit fields, empty if the response has none
/// \param source  ID of the request, or what the response was to
LimitChange observeLimit(KnownLimits &limits, const ServerIncarnation &server, const std::vector<std::string> &values,
                         const std::string &source, SteadyTime now);

/// Appends the metrics of all limits in Prometheus text format.
void appendLimitMetrics(const KnownLimits &limits, SteadyTime now, std::string &out);

/// Returns the name of a change in the log.
const char *toString(LimitChange change);

} // namespace zinniadock
