#include "zinniadock/process/observing/requestplace.h"

namespace zinniadock
{

std::string_view toString(RequestPlace place)
{
    constexpr PerPlace<std::string_view> names{ "received",   "configuration", "turn",   "limit", "reservation",
                                                "connection", "server",        "stream", "move" };
    return names.at(static_cast<std::size_t>(place));
}

} // namespace zinniadock
