#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include <nlohmann/json.hpp>

namespace zinniadock::load
{

/// One fault of a recorded history.
struct InjectedFault
{
    std::string kind;
    std::string target; ///< a process; a relay goes by the server behind it
    std::int64_t from = 0; ///< microseconds since the epoch
    std::int64_t until = 0;

    /// Returns the target, or the server beside it where the target is a sidecar.
    std::string server() const
    {
        constexpr std::string_view prefix = "sidecar-";
        return target.starts_with(prefix) ? target.substr(prefix.size()) : target;
    }
};

/// Reads an event of a history; nothing if it is no fault.
inline std::optional<InjectedFault> readFault(const nlohmann::json &event)
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
