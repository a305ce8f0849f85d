#pragma once

#include <array>
#include <cstddef>
#include <string_view>

namespace zinniadock
{

/// Where a forwarded request is: what it waits for, or how far it has got.
enum class RequestPlace {
    Received, ///< it was read, and nothing was done for it yet
    Configuration, ///< waits until the configuration is confirmed
    Turn, ///< waits until other generations of its pool have been placed, or for free capacity
    Limit, ///< waits for a permit of a server with a limit
    Reservation, ///< waits for the admission or the reservation of an engine
    Connection, ///< a server was chosen, and the request was not written yet
    Server, ///< was written, and the response has not begun
    Stream, ///< events of the response arrive
    Move, ///< its stream has ended for a move to another engine
};

constexpr std::size_t requestPlaceCount = 9;

std::string_view toString(RequestPlace place);

/// One value for each place of a request.
template <typename Value>
using PerPlace = std::array<Value, requestPlaceCount>;

} // namespace zinniadock
