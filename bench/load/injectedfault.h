#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include <nlohmann/json.hpp>

namespace zinniadock::load
{

/// A fault that was injected into a run, as the recorded history describes it.
struct InjectedFault
{
    std::string kind;
    std::string target; ///< affected process; for a fault of a relay, the server behind the relay
    std::int64_t from = 0; ///< microseconds since the epoch
    std::int64_t until = 0; ///< microseconds since the epoch; equal to \c from if the event has no end

    /// Returns the target, or the server of the sidecar if the target is a sidecar.
    std::string server() const
    {
        constexpr std::string_view prefix = "sidecar-";
        return target.starts_with(prefix) ? target.substr(prefix.size()) : target;
    }
};

/// Parses an event of a history. Returns nothing if the event is not a fault.
inline std::optional<InjectedFault> parseFault(const nlohmann::json &event)
{
    if (event.value("event", std::string()) != "fault") {
        return std::nullopt;
    }
    const auto from = event.value("time", std::int64_t());
    return InjectedFault{ .kind = event.value("kind", std::string()),
                          .target = event.value("target", std::string()),
                          .from = from,
                          .until = event.value("until", from) };
}

} // namespace zinniadock::load
