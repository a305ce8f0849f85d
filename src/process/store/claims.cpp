#include "zinniadock/process/store/claims.h"

#include <nlohmann/json.hpp>

#include "zinniadock/version/configuration.h"

namespace zinniadock
{

namespace
{

using Json = nlohmann::json;

Json binary(const std::string &bytes)
{
    return Json::binary({ bytes.begin(), bytes.end() });
}

std::string bytesOf(const Json &value)
{
    if (!value.is_binary()) {
        return {};
    }
    return { value.get_binary().begin(), value.get_binary().end() };
}

} // namespace

std::string encodeClaim(const ClaimRecord &record)
{
    Json object{ { "nonce", record.nonce }, { "request", record.request }, { "body", record.bodyDigest } };
    if (record.outcome) {
        object["outcome"] = { { "status", record.outcome->status },
                              { "type", binary(record.outcome->contentType) },
                              { "end_stated", record.outcome->isEndStated },
                              { "answer", binary(record.outcome->body) } };
    }
    std::string out;
    Json::to_cbor(object, out);
    return out;
}

std::optional<ClaimRecord> decodeClaim(const std::string &bytes)
{
    const Json object = Json::from_cbor(bytes, true, false);
    if (!object.is_object()) {
        return std::nullopt;
    }
    try {
        ClaimRecord record;
        record.nonce = object.at("nonce").get<std::uint64_t>();
        record.request = object.at("request").get<std::string>();
        record.bodyDigest = object.at("body").get<std::string>();
        if (const auto outcome = object.find("outcome"); outcome != object.end()) {
            record.outcome = ClaimOutcome{ .status = outcome->at("status").get<std::uint32_t>(),
                                           .contentType = bytesOf(outcome->at("type")),
                                           .body = bytesOf(outcome->at("answer")),
                                           .isEndStated = outcome->value("end_stated", true) };
        }
        return record;
    } catch (const Json::exception &) {
        return std::nullopt;
    }
}

std::string claimKey(const std::string &prefix, const std::string &account, const std::string &idempotencyKey)
{
    // Hashes the caller's key, so its length and content have no effect on the layout of the store's keys.
    return prefix + "/claim/" + account + "/" + sha256(idempotencyKey);
}

} // namespace zinniadock
