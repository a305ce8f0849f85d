#pragma once

#include <array>
#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "zinniadock/process/store/storemirror.h"

namespace zinniadock
{

/// A part of the store that entries watch. Each part has its own key prefix.
enum class StorePart {
    Configuration,
    Servers,
    Entries, ///< registrations of entries
};

constexpr std::size_t storePartCount = 3;

constexpr std::array<StorePart, storePartCount> storeParts{ StorePart::Configuration, StorePart::Servers,
                                                            StorePart::Entries };

std::string_view toString(StorePart part);

/// One value for each part of the store.
template <typename Value>
using PerPart = std::array<Value, storePartCount>;

/// A long poll of an entry for changes of the store, sent to another entry.
struct RelayQuery
{
    PerPart<StorePosition> known{}; ///< position of each part that the querying entry has
    bool hasEras = true; ///< false if the querying entry is of an earlier version and states revisions only
    std::chrono::milliseconds minInterval{ 0 }; ///< minimum time between a query and a response with changes
    std::chrono::milliseconds maxWait{ 0 }; ///< maximum time to wait for changes
    bool isStale = false; ///< the view of the querying entry is stale: a current view responds at once
};

/// The response to a RelayQuery.
struct RelayResponse
{
    bool readsStore = false; ///< the responding entry currently reads the server list from the store itself
    /// Time since the store last confirmed the server list to the responding entry. Entries of an earlier version state
    /// and read only this age.
    std::chrono::milliseconds age{ 0 };
    /// Time since the store last confirmed each part to the responding entry, directly or through another entry;
    /// nothing if it has not, or if the responding entry is of an earlier version.
    PerPart<std::optional<std::chrono::milliseconds>> ages{};
    /// As ages, but for the confirmations that the store gave the responding entry itself. An entry of an earlier
    /// version that reads the store states none; then they are the same as ages.
    PerPart<std::optional<std::chrono::milliseconds>> ownAges{};
    std::chrono::milliseconds held{ 0 }; ///< time between the arrival of the query and the response
    std::optional<std::chrono::milliseconds> storeRecoveredAgo; ///< time since the store recovered from an outage
    /// Revision of the store when it recovered; nothing if it is not known yet.
    std::optional<std::int64_t> recoveredRevision;
    PerPart<StoreChanges> changes;
    /// Encoded announcements of servers that the store does not list, by server ID.
    std::map<std::string, std::string> announcements;
};

/// Target of RelayQuery requests at an entry's peer address.
constexpr const char *relayTarget = "/changes";

std::string encode(const RelayQuery &query);
std::string encode(const RelayResponse &response);

/// Decode a message. Return nothing if the bytes are malformed or a field has the wrong type.
std::optional<RelayQuery> decodeRelayQuery(const std::string &bytes);
std::optional<RelayResponse> decodeRelayResponse(const std::string &bytes);

} // namespace zinniadock
