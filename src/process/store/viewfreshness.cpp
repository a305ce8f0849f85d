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

/// Sets a time to a later one; has no effect if it is not later.
void raise(std::optional<ViewFreshness::Time> &time, ViewFreshness::Time to)
{
    time = std::max(time.value_or(to), to);
}

} // namespace

void ViewFreshness::recordOwn(StorePart part, Time confirmedAt)
{
    raise(m_own[indexOf(part)], confirmedAt);
}

void ViewFreshness::recordRelayed(StorePart part, Time confirmedAt)
{
    raise(m_relayed[indexOf(part)], confirmedAt);
}

void ViewFreshness::recordReader(StorePart part, Time confirmedAt)
{
    raise(m_reader[indexOf(part)], confirmedAt);
}

void ViewFreshness::addAge(std::chrono::milliseconds uncounted)
{
    for (auto *times : { &m_own, &m_relayed, &m_reader }) {
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

std::optional<ViewFreshness::Time> ViewFreshness::readerConfirmedAt(StorePart part) const
{
    return m_reader[indexOf(part)];
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
