#include "zinniadock/connection/responseend.h"

namespace zinniadock
{

// An end by FIN looks the same whether the server has finished, has crashed or has broken off its response. So it is
// never reported as complete.
ResponseEnd judgeResponse(BodyFraming framing, bool isParsed)
{
    if (!isParsed) {
        return ResponseEnd::BrokenOff;
    }
    return framing == BodyFraming::Connection ? ResponseEnd::Unconfirmed : ResponseEnd::Complete;
}

ResponseEnd judgeStream(ResponseEnd response, StreamPlace place)
{
    if (place == StreamPlace::InsideEvent) {
        return ResponseEnd::BrokenOff;
    }
    const bool isEmpty = place == StreamPlace::BeforeEvents;
    return isEmpty && response == ResponseEnd::Unconfirmed ? ResponseEnd::BrokenOff : response;
}

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

std::string_view toString(ResponseEnd end)
{
    switch (end) {
    case ResponseEnd::Complete:
        return "complete";
    case ResponseEnd::Unconfirmed:
        return "unconfirmed";
    case ResponseEnd::BrokenOff:
        return "broken off";
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
