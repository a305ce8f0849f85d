#include "zinniadock/process/store/viewfreshness.h"

#include <algorithm>

namespace zinniadock
{

namespace
{

constexpr std::size_t indexOf(StorePart part)
{
    return static_cast<std::size_t>(part);
}

} // namespace

void ViewFreshness::recordOwn(StorePart part, Time confirmedAt)
{
    std::optional<Time> &own = m_own[indexOf(part)];
    own = std::max(own.value_or(confirmedAt), confirmedAt);
}

void ViewFreshness::recordRelayed(StorePart part, Time confirmedAt)
{
    std::optional<Time> &relayed = m_relayed[indexOf(part)];
    relayed = std::max(relayed.value_or(confirmedAt), confirmedAt);
}

void ViewFreshness::addAge(std::chrono::milliseconds uncounted)
{
    for (auto *times : { &m_own, &m_relayed }) {
        for (std::optional<Time> &time : *times) {
            if (time) {
                *time -= uncounted;
            }
        }
    }
}

std::optional<ViewFreshness::Time> ViewFreshness::ownConfirmedAt(StorePart part) const
{
    return m_own[indexOf(part)];
}

std::optional<ViewFreshness::Time> ViewFreshness::relayedConfirmedAt(StorePart part) const
{
    return m_relayed[indexOf(part)];
}

// An empty optional is less than any time.
std::optional<ViewFreshness::Time> ViewFreshness::confirmedAt(StorePart part) const
{
    return std::max(ownConfirmedAt(part), relayedConfirmedAt(part));
}

std::optional<std::chrono::milliseconds> ViewFreshness::age(StorePart part, Time now) const
{
    const std::optional<Time> confirmed = confirmedAt(part);
    return confirmed ? std::optional(std::chrono::duration_cast<std::chrono::milliseconds>(now - *confirmed))
                     : std::nullopt;
}

} // namespace zinniadock
