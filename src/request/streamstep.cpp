#include "zinniadock/request/streamstep.h"

namespace zinniadock
{

StreamStep nextStep(CallerResponse caller, StreamReply reply, StreamAttempt attempt)
{
    switch (reply) {
    case StreamReply::Events:
        return StreamStep::ForwardEvents;
    case StreamReply::WholeResponse:
        return caller == CallerResponse::NotBegun ? StreamStep::ForwardResponse : StreamStep::Fail;
    case StreamReply::Refusal:
        return attempt == StreamAttempt::Resume ? StreamStep::Fail : StreamStep::TryNext;
    case StreamReply::OtherEvents:
    case StreamReply::Unusable:
        break;
    }
    return StreamStep::Fail;
}

// A stream whose events have no IDs can't be checked.
bool isContinuation(std::optional<std::uint64_t> lastId, std::optional<std::uint64_t> firstId, bool isConsecutive)
{
    if (!lastId) {
        return true;
    }
    if (!firstId) {
        return false;
    }
    return isConsecutive ? *firstId == *lastId + 1 : *firstId > *lastId;
}

} // namespace zinniadock
