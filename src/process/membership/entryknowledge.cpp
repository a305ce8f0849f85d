#include "zinniadock/process/membership/entryknowledge.h"

#include <algorithm>
#include <array>
#include <limits>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include "zinniadock/detail/cbormessage.h"
#include "zinniadock/detail/evidencejson.h"
#include "zinniadock/process/observing/eventlog.h"

namespace zinniadock
{

namespace
{

using Json = nlohmann::json;

constexpr std::chrono::milliseconds exchangeTimeout{ 300 };

/// Pauses before the rounds. Each round about triples the number of entries that know what one of them knows, so the
/// rounds reach a fleet of some hundred entries, also if some of them do not respond in a round.
constexpr std::array<std::chrono::milliseconds, 7> roundPauses{
    std::chrono::milliseconds(150), std::chrono::milliseconds(250), std::chrono::milliseconds(350),
    std::chrono::milliseconds(450), std::chrono::milliseconds(600), std::chrono::milliseconds(1000),
    std::chrono::milliseconds(2500)
};
constexpr std::size_t entriesPerRound = 2;

Json toRow(const Departure &departure)
{
    return Json::array({ departure.server, departure.startTimeMs, departure.sequence, departure.isDraining,
                         departure.isGone, departure.era });
}

Departure departureFromRow(const Json &row)
{
    return { .server = row.at(0).get<std::string>(),
             .startTimeMs = row.at(1).get<std::int64_t>(),
             .sequence = row.at(2).get<std::uint64_t>(),
             .isDraining = row.at(3).get<bool>(),
             .isGone = row.at(4).get<bool>(),
             .era = row.at(5).get<wire::StoreEra>() };
}

Json toRow(const Evacuation &evacuation)
{
    return Json::array({ evacuation.dataCentre, evacuation.position.era, evacuation.position.revision });
}

Evacuation evacuationFromRow(const Json &row)
{
    return { .dataCentre = row.at(0).get<std::string>(),
             .position = { .era = row.at(1).get<wire::StoreEra>(), .revision = row.at(2).get<std::int64_t>() } };
}

} // namespace

std::string encode(const EntryKnowledge &knowledge, SteadyTime now)
{
    Json departures = Json::array();
    for (const Departure &departure : knowledge.departures) {
        departures.push_back(toRow(departure));
    }
    Json evacuations = Json::array();
    for (const Evacuation &evacuation : knowledge.evacuations) {
        evacuations.push_back(toRow(evacuation));
    }
    const std::string &text = knowledge.configuration;
    return detail::toCbor({ { "version", knowledge.configurationVersion },
                            { "configuration", Json::binary(std::vector<std::uint8_t>(text.begin(), text.end())) },
                            { "departed", std::move(departures) },
                            { "crashes", detail::toJson(knowledge.evidence, now) },
                            { "evacuations", std::move(evacuations) } });
}

std::optional<EntryKnowledge> decodeEntryKnowledge(const std::string &bytes, SteadyTime now)
{
    return detail::fromCbor<EntryKnowledge>(bytes, [now](const Json &document) {
        EntryKnowledge knowledge;
        knowledge.configurationVersion = document.at("version").get<std::uint64_t>();
        const auto &text = document.at("configuration").get_binary();
        knowledge.configuration.assign(text.begin(), text.end());
        for (const Json &row : document.at("departed")) {
            knowledge.departures.push_back(departureFromRow(row));
        }
        if (document.contains("crashes")) {
            knowledge.evidence = detail::evidenceFromJson(document.at("crashes"), now);
        }
        // An entry of an earlier version does not send the field.
        if (document.contains("evacuations")) {
            for (const Json &row : document.at("evacuations")) {
                knowledge.evacuations.push_back(evacuationFromRow(row));
            }
        }
        return knowledge;
    });
}

struct KnowledgeExchange::Round
{
    explicit Round(asio::io_context &context)
        : exchangeEnded(context)
    {
    }

    std::size_t inProgress = 0;
    std::size_t responses = 0;
    AsyncCondition exchangeEnded;
};

KnowledgeExchange::KnowledgeExchange(ForwardingServices &services, KnowledgeCallbacks callbacks)
    : m_services(services)
    , m_callbacks(std::move(callbacks))
{
}

void KnowledgeExchange::start()
{
    const std::uint64_t number = ++m_starts;
    asio::co_spawn(
        m_services.context,
        [self = shared_from_this(), number]() {
            return self->runRounds(number);
        },
        asio::detached);
}

Awaitable<void> KnowledgeExchange::runRounds(std::uint64_t number)
{
    const auto self = shared_from_this();
    for (const std::chrono::milliseconds pause : roundPauses) {
        const double jitter = 0.5 + m_services.randomFraction();
        co_await sleepFor(std::chrono::duration_cast<std::chrono::milliseconds>(jitter * pause));
        if (number != m_starts) {
            co_return;
        }
        co_await ask(chooseEntries(entriesPerRound));
    }
}

std::vector<Endpoint> KnowledgeExchange::chooseEntries(std::size_t count)
{
    std::vector<std::string> peers(m_services.peerAddresses.begin(), m_services.peerAddresses.end());
    std::vector<Endpoint> chosen;
    while (!peers.empty() && chosen.size() < count) {
        const auto index = static_cast<std::size_t>(m_services.randomFraction() * static_cast<double>(peers.size()));
        Endpoint endpoint;
        if (detail::parseValue(peers[index], detail::Range{}, endpoint)) {
            chosen.push_back(endpoint);
        }
        peers.erase(peers.begin() + static_cast<std::ptrdiff_t>(index));
    }
    return chosen;
}

Awaitable<std::size_t> KnowledgeExchange::ask(std::vector<Endpoint> entries)
{
    const auto self = shared_from_this();
    const auto round = std::make_shared<Round>(m_services.context);
    round->inProgress = entries.size();
    for (const Endpoint &entry : entries) {
        asio::co_spawn(
            m_services.context,
            [self, entry, round]() {
                return self->exchangeWith(entry, round);
            },
            asio::detached);
    }
    while (round->inProgress > 0) {
        co_await round->exchangeEnded.wait(exchangeTimeout);
    }
    co_return round->responses;
}

Awaitable<void> KnowledgeExchange::exchangeWith(Endpoint entry, std::shared_ptr<Round> round)
{
    const auto self = shared_from_this();
    const EntryKnowledge own = m_callbacks.knowledge(std::numeric_limits<std::uint64_t>::max());
    const HttpRequest request = makePost(knowledgeTarget, encode(own, std::chrono::steady_clock::now()));
    const CallResult result = co_await call(m_services.pool, entry, request, exchangeTimeout);
    const auto knowledge
        = result.succeeded() ? decodeEntryKnowledge(result.body, std::chrono::steady_clock::now()) : std::nullopt;
    if (knowledge) {
        ++round->responses;
        m_callbacks.onKnowledge(*knowledge, entry.text());
    }
    --round->inProgress;
    round->exchangeEnded.notify();
}

Awaitable<void> KnowledgeExchange::handleQuery(std::shared_ptr<HttpConnection> connection, EntryKnowledge query)
{
    const auto self = shared_from_this();
    const EntryKnowledge own = m_callbacks.knowledge(query.configurationVersion);
    m_callbacks.onKnowledge(query, "another entry");
    co_await connection->respond(
        makeResponse(http::status::ok, encode(own, std::chrono::steady_clock::now()), "application/cbor"));
}

} // namespace zinniadock
