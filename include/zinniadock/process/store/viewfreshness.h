#pragma once

#include <chrono>
#include <optional>

#include "zinniadock/process/store/relaymessages.h"

namespace zinniadock
{

/// When the store last confirmed each part of an entry's view, to the entry itself or through another entry. No
/// network, no clock.
///
/// A confirmation of one part says nothing of another part: each part has a watch of its own, which may be silent while
/// the others are answered.
class ViewFreshness
{
public:
    using Time = std::chrono::steady_clock::time_point;

    /// Records that the store confirmed a part to this entry. Earlier confirmations than the last one have no effect.
    void recordOwn(StorePart part, Time confirmedAt);

    /// Records that another entry relayed a part that the store confirmed at that time.
    void recordRelayed(StorePart part, Time confirmedAt);

    /// Records that an entry which reads the store in place of this one relayed a part that the store confirmed to it
    /// at that time.
    void recordReader(StorePart part, Time confirmedAt);

    /// Makes all confirmations older by a time that the steady clock did not count.
    void addAge(std::chrono::milliseconds uncounted);

    /// Returns the last confirmation to this entry itself; nothing if there was none.
    std::optional<Time> ownConfirmedAt(StorePart part) const;

    /// Returns the last confirmation through another entry; nothing if there was none.
    std::optional<Time> relayedConfirmedAt(StorePart part) const;

    /// Returns the last confirmation to an entry that reads the store in place of this one; nothing if there was none.
    std::optional<Time> readerConfirmedAt(StorePart part) const;

    /// Returns the last confirmation; nothing if there was none.
    std::optional<Time> confirmedAt(StorePart part) const;

    /// Returns the time since the last confirmation; nothing if there was none.
    std::optional<std::chrono::milliseconds> age(StorePart part, Time now) const;

private:
    PerPart<std::optional<Time>> m_own;
    PerPart<std::optional<Time>> m_relayed;
    PerPart<std::optional<Time>> m_reader;
};

} // namespace zinniadock
