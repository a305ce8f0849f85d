#pragma once

#include <array>
#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "zinniadock/process/storemirror.h"

namespace zinniadock
{

/// The prefixes of the store that entries follow.
enum class StorePart {
    Configuration,
    Servers,
    Entries, ///< the entries themselves, as they register
};

constexpr std::size_t storePartCount = 3;

/// One value for each part of the store.
template <typename Value>
using PerPart = std::array<Value, storePartCount>;

/// An entry's wait for news of the store at another entry.
struct RelayQuery
{
    PerPart<std::int64_t> knownRevisions{}; ///< the revisions that it has
    std::chrono::milliseconds minInterval{ 0 }; ///< least time between two answers
    std::chrono::milliseconds maxWait{ 0 }; ///< longest time without news
};

/// What an entry tells another one of the store.
struct RelayAnswer
{
    bool readsStore = false; ///< it reads the store itself at present
    std::chrono::milliseconds age{ 0 }; ///< since the store last confirmed what it knows
    std::optional<std::chrono::milliseconds> storeRecoveredAgo; ///< since the store came back from an outage
    PerPart<StoreChanges> changes;
    std::map<std::string, std::string> announcements; ///< encoded announcements of servers that the store does not list
};

/// Target of RelayQuery requests at an entry's peer address.
constexpr const char *relayTarget = "/changes";

std::string encode(const RelayQuery &query);
std::string encode(const RelayAnswer &answer);

/// Decode a message; nothing for malformed bytes.
std::optional<RelayQuery> decodeRelayQuery(const std::string &bytes);
std::optional<RelayAnswer> decodeRelayAnswer(const std::string &bytes);

} // namespace zinniadock
