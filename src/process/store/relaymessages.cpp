#include "zinniadock/process/store/relaymessages.h"

#include "zinniadock/detail/cbormessage.h"

namespace zinniadock
{

namespace
{

using Json = nlohmann::json;
using detail::fromCbor;
using detail::toCbor;

// Encodes an item as an array of key, revision and, unless the key was deleted, value.
Json toJson(const wire::StoreItem &item)
{
    Json row = Json::array({ item.key, item.revision });
    if (item.value) {
        row.push_back(Json::binary(std::vector<std::uint8_t>(item.value->begin(), item.value->end())));
    }
    return row;
}

wire::StoreItem itemFromJson(const Json &row)
{
    wire::StoreItem item;
    item.key = row.at(0).get<std::string>();
    item.revision = row.at(1).get<std::int64_t>();
    if (row.size() > 2) {
        const auto &bytes = row.at(2).get_binary();
        item.value = std::string(bytes.begin(), bytes.end());
    }
    return item;
}

Json toJson(const StoreChanges &changes)
{
    Json items = Json::array();
    for (const wire::StoreItem &item : changes.items) {
        items.push_back(toJson(item));
    }
    return { { "whole", changes.isSnapshot },
             { "era", changes.era },
             { "revision", changes.revision },
             { "items", std::move(items) } };
}

StoreChanges changesFromJson(const Json &document)
{
    StoreChanges changes;
    changes.isSnapshot = document.at("whole").get<bool>();
    changes.era = document.value("era", wire::StoreEra{ 0 });
    changes.revision = document.at("revision").get<std::int64_t>();
    for (const Json &row : document.at("items")) {
        changes.items.push_back(itemFromJson(row));
    }
    return changes;
}

std::chrono::milliseconds duration(const Json &document, const char *key)
{
    return std::chrono::milliseconds(document.at(key).get<std::int64_t>());
}

// Encodes the ages of the parts as an array, with null for an unknown age.
Json toJson(const PerPart<std::optional<std::chrono::milliseconds>> &ages)
{
    Json row = Json::array();
    for (const auto &age : ages) {
        row.push_back(age ? Json(age->count()) : Json());
    }
    return row;
}

PerPart<std::optional<std::chrono::milliseconds>> agesFromJson(const Json &row)
{
    PerPart<std::optional<std::chrono::milliseconds>> ages;
    for (std::size_t part = 0; part < storePartCount; ++part) {
        if (!row.at(part).is_null()) {
            ages[part] = std::chrono::milliseconds(row.at(part).get<std::int64_t>());
        }
    }
    return ages;
}

} // namespace

std::string_view toString(StorePart part)
{
    return part == StorePart::Configuration ? "configuration" : part == StorePart::Servers ? "servers" : "entries";
}

std::string encode(const RelayQuery &query)
{
    PerPart<std::int64_t> revisions{};
    PerPart<wire::StoreEra> eras{};
    for (std::size_t part = 0; part < storePartCount; ++part) {
        revisions[part] = query.known[part].revision;
        eras[part] = query.known[part].era;
    }
    return toCbor({ { "after", revisions },
                    { "eras", eras },
                    { "spacing_ms", query.minInterval.count() },
                    { "wait_ms", query.maxWait.count() },
                    { "stale", query.isStale } });
}

std::string encode(const RelayResponse &response)
{
    Json changes = Json::array();
    for (const StoreChanges &each : response.changes) {
        changes.push_back(toJson(each));
    }
    Json document{ { "reads", response.readsStore },       { "age_ms", response.age.count() },
                   { "ages_ms", toJson(response.ages) },   { "own_ages_ms", toJson(response.ownAges) },
                   { "held_ms", response.held.count() },   { "changes", std::move(changes) },
                   { "announced", response.announcements } };
    if (response.storeRecoveredAgo) {
        document["returned_ms"] = response.storeRecoveredAgo->count();
    }
    if (response.recoveredRevision) {
        document["returned_revision"] = *response.recoveredRevision;
    }
    return toCbor(document);
}

std::optional<RelayQuery> decodeRelayQuery(const std::string &bytes)
{
    return fromCbor<RelayQuery>(bytes, [](const Json &document) {
        RelayQuery query;
        const auto revisions = document.at("after").get<PerPart<std::int64_t>>();
        query.hasEras = document.contains("eras");
        const auto eras
            = query.hasEras ? document.at("eras").get<PerPart<wire::StoreEra>>() : PerPart<wire::StoreEra>{};
        for (std::size_t part = 0; part < storePartCount; ++part) {
            query.known[part] = { eras[part], revisions[part] };
        }
        query.minInterval = duration(document, "spacing_ms");
        query.maxWait = duration(document, "wait_ms");
        query.isStale = document.value("stale", false);
        return query;
    });
}

std::optional<RelayResponse> decodeRelayResponse(const std::string &bytes)
{
    return fromCbor<RelayResponse>(bytes, [](const Json &document) {
        RelayResponse response;
        response.readsStore = document.at("reads").get<bool>();
        response.age = duration(document, "age_ms");
        if (document.contains("ages_ms")) {
            response.ages = agesFromJson(document.at("ages_ms"));
            response.held = duration(document, "held_ms");
        } else if (response.readsStore) {
            response.ages[static_cast<std::size_t>(StorePart::Servers)] = response.age;
        }
        if (document.contains("own_ages_ms")) {
            response.ownAges = agesFromJson(document.at("own_ages_ms"));
        } else if (response.readsStore) {
            response.ownAges = response.ages;
        }
        if (document.contains("returned_ms")) {
            response.storeRecoveredAgo = duration(document, "returned_ms");
        }
        if (document.contains("returned_revision")) {
            response.recoveredRevision = document.at("returned_revision").get<std::int64_t>();
        }
        for (std::size_t part = 0; part < storePartCount; ++part) {
            response.changes[part] = changesFromJson(document.at("changes").at(part));
        }
        response.announcements = document.at("announced").get<std::map<std::string, std::string>>();
        return response;
    });
}

} // namespace zinniadock
