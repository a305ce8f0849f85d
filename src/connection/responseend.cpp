#include "zinniadock/connection/responseend.h"

namespace zinniadock
{

StreamPlace placeInStream(std::size_t events, std::size_t incompleteBytes)
{
    if (incompleteBytes > 0) {
        return StreamPlace::InsideEvent;
    }
    return events > 0 ? StreamPlace::BetweenEvents : StreamPlace::BeforeEvents;
}

std::string_view toString(BodyFraming framing)
{
    switch (framing) {
    case BodyFraming::NoBody:
        return "no body";
    case BodyFraming::Length:
        return "length";
    case BodyFraming::Chunks:
        return "chunks";
    case BodyFraming::Connection:
        return "connection";
    }
    return "unknown";
}

std::string_view toString(StreamPlace place)
{
    switch (place) {
    case StreamPlace::BeforeEvents:
        return "before events";
    case StreamPlace::BetweenEvents:
        return "between events";
    case StreamPlace::InsideEvent:
        return "inside an event";
    }
    return "unknown";
}

} // namespace zinniadock
