#pragma once

#include <chrono>
#include <cstddef>

#include "zinniadock/process/settings.h"
#include "zinniadock/process/store/relaymessages.h"

namespace zinniadock
{

/// Interval at which the suspended watch of an entry checks whether to resume.
constexpr std::chrono::milliseconds resumeInterval{ 100 };

/// Time in which an entry with a stale view gets a response from the store on a new connection, or from one of the
/// other entries that it asks.
constexpr std::chrono::milliseconds askTime{ 250 };

/// The time that each hop of a change may take, from the acknowledgement of the store to the views of all entries. See
/// docs/design/store-contact.md. No network, no clock.
struct ChangeBudget
{
    std::chrono::milliseconds bound{ 0 }; ///< within which a change must be in every view
    std::chrono::milliseconds pause{ 0 }; ///< between two watches of a reader
    std::chrono::milliseconds wait{ 0 }; ///< maximum time that the store holds a watch without a change
    std::chrono::milliseconds slack{ 0 }; ///< from a confirmation of the store to the views of the followers
    std::chrono::milliseconds search{ 0 }; ///< from a stale view to one that is confirmed by another path

    /// Returns the longest time between two confirmations of a reader by a store that serves it.
    std::chrono::milliseconds confirmationInterval() const;

    /// Returns the age at which a view is stale: its source has failed, and the entry looks for another one.
    std::chrono::milliseconds staleAfter() const;

    /// Returns the longest time until a change is in a view whose source has failed.
    std::chrono::milliseconds total() const;
};

/// Returns the budget of one part of the store.
/// \param entries  number of entries of the fleet. \pre entries > 0
ChangeBudget changeBudget(StorePart part, const ForwardingSection &settings, std::size_t entries);

} // namespace zinniadock
