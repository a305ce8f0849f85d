#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "zinniadock/connection/httplistener.h"
#include "zinniadock/process/forwardingservices.h"
#include "zinniadock/process/servers/departedservers.h"
#include "zinniadock/process/servers/evacuations.h"

namespace zinniadock
{

/// What an entry knows that is lost with it, or that a store which came back from a copy may have lost. Entries send it
/// to each other.
struct EntryKnowledge
{
    std::uint64_t configurationVersion = 0; ///< version in force; 0 before the first configuration
    std::string configuration; ///< text of the version in force; empty if the receiver has it or a later one
    std::vector<Departure> departures;
    CrashEvidence evidence;
    std::vector<Evacuation> evacuations; ///< in force
};

/// Target of EntryKnowledge requests at an entry's peer address. The response is an EntryKnowledge too.
constexpr const char *knowledgeTarget = "/knowledge";

/// Encodes a message. Times in it are encoded as ages at \p now.
std::string encode(const EntryKnowledge &knowledge, SteadyTime now);

/// Decodes a message. Returns nothing if the bytes are malformed or a field has the wrong type.
/// \param now  time of arrival, to which the ages in the message refer
std::optional<EntryKnowledge> decodeEntryKnowledge(const std::string &bytes, SteadyTime now);

/// Callbacks of a KnowledgeExchange. They are called on the network thread.
struct KnowledgeCallbacks
{
    /// Returns what this entry knows, for an entry with a configuration version.
    std::function<EntryKnowledge(std::uint64_t knownVersion)> knowledge;
    std::function<void(const EntryKnowledge &, const std::string &source)> onKnowledge;
};

/// Exchanges EntryKnowledge with other entries: when an entry starts or stops, and for a few seconds after the store
/// has come back from a copy.
class KnowledgeExchange : public std::enable_shared_from_this<KnowledgeExchange>
{
public:
    KnowledgeExchange(ForwardingServices &services, KnowledgeCallbacks callbacks);

    /// Exchanges knowledge with some entries at once. Waits a short time for those that don't respond.
    /// Returns the number of responses.
    Awaitable<std::size_t> ask(std::vector<Endpoint> entries);

    /// Returns some other registered entries at random.
    std::vector<Endpoint> chooseEntries(std::size_t count);

    /// Starts to exchange knowledge with other entries, a few at a time, in rounds until all entries have it.
    void start();

    Awaitable<void> handleQuery(std::shared_ptr<HttpConnection> connection, EntryKnowledge query);

private:
    /// Exchanges with several entries in progress.
    struct Round;

    Awaitable<void> runRounds(std::uint64_t number);
    Awaitable<void> exchangeWith(Endpoint entry, std::shared_ptr<Round> round);

    ForwardingServices &m_services;
    const KnowledgeCallbacks m_callbacks;
    std::uint64_t m_starts = 0; ///< number of calls of start(); a later call ends the rounds of an earlier one
};

} // namespace zinniadock
