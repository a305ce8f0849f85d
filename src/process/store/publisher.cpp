#include "zinniadock/process/store/publisher.h"

#include <nlohmann/json.hpp>

namespace zinniadock
{

namespace
{

using Json = nlohmann::json;

} // namespace

std::string encodeHead(const ConfigurationHead &head)
{
    Json object{ { "revision", head.revision },
                 { "digest", head.digest },
                 { "parent", head.parent },
                 { "change_id", head.changeId },
                 { "author", head.author } };
    if (!head.delta.empty()) {
        object["delta"] = head.delta;
    }
    return object.dump();
}

std::optional<ConfigurationHead> decodeHead(const std::string &text)
{
    const Json object = Json::parse(text, nullptr, false);
    if (!object.is_object()) {
        return std::nullopt;
    }
    try {
        return ConfigurationHead{ .revision = object.at("revision").get<std::uint64_t>(),
                                  .digest = object.at("digest").get<std::string>(),
                                  .parent = object.at("parent").get<std::string>(),
                                  .changeId = object.at("change_id").get<std::string>(),
                                  .author = object.at("author").get<std::string>(),
                                  .delta = object.value("delta", std::string()) };
    } catch (const Json::exception &) {
        return std::nullopt;
    }
}

std::string headKey(const std::string &prefix)
{
    return prefix + "/config/head";
}

std::string textKey(const std::string &prefix, const std::string &digest)
{
    return prefix + "/config/text/" + digest;
}

std::string historyKey(const std::string &prefix, std::uint64_t revision)
{
    return prefix + "/config/history/" + std::to_string(revision);
}

} // namespace zinniadock
