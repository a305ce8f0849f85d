#include "commands.h"

#include <iomanip>
#include <iostream>
#include <thread>

#include <Poco/Exception.h>
#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/StreamCopier.h>
#include <nlohmann/json.hpp>

namespace zinniadock::cli
{

namespace
{

using Json = nlohmann::json;

constexpr int adminTimeoutSeconds = 2;
constexpr std::chrono::milliseconds watchInterval{ 1000 };
constexpr const char *clearScreen = "\x1b[H\x1b[2J";

std::string fieldText(const Json &status, const char *key)
{
    const auto position = status.find(key);
    if (position == status.end()) {
        return "-";
    }
    return position->is_string() ? position->get<std::string>() : position->dump();
}

void printRow(const Json &status)
{
    const bool isEntry = fieldText(status, "role") == "entry";
    std::cout << std::left << std::setw(24) << fieldText(status, "instance") << std::setw(9)
              << fieldText(status, "role") << std::setw(11) << fieldText(status, "data_centre") << std::setw(9)
              << fieldText(status, "revision") << std::setw(9)
              << (status.value("draining", false) ? "draining" : "serving");
    if (isEntry) {
        const Json links = status.value("links", Json::object());
        std::cout << "links " << fieldText(links, "open") << " up " << fieldText(links, "down") << " down, connections "
                  << fieldText(status, "connections") << ", tokens " << fieldText(status, "tokens")
                  << ", first token p95 " << fieldText(status, "first_token_p95_ms") << " ms, gap p95 "
                  << fieldText(status, "token_gap_p95_ms") << " ms, store "
                  << (status.value("store_answers", false) ? "up" : "down");
    } else {
        std::cout << (status.value("backend_answers", false) ? "backend up" : "backend down") << ", running "
                  << fieldText(status, "running") << ", waiting " << fieldText(status, "waiting") << ", blocks "
                  << fieldText(status, "used_blocks") << "/" << fieldText(status, "usable_blocks") << ", preemptions "
                  << fieldText(status, "preemptions");
    }
    std::cout << "\n";
}

// Calls the admin interface of each instance and prints the returned status of each.
ExitCode callInstances(const Options &options, const std::string &method, const std::string &path)
{
    ExitCode result = ExitCode::Done;
    Json statuses = Json::array();
    for (const Endpoint &instance : options.admins) {
        const auto response = callAdmin(options, instance, method, path);
        const Json status = response ? Json::parse(*response, nullptr, false) : Json();
        if (!status.is_object()) {
            std::cerr << instance.text() << " does not respond\n";
            result = ExitCode::Unavailable;
            continue;
        }
        statuses.push_back(status);
        if (!options.json) {
            printRow(status);
        }
    }
    if (options.json) {
        std::cout << statuses.dump(2) << "\n";
    }
    return result;
}

} // namespace

std::optional<std::string> callAdmin(const Options &options, const Endpoint &instance, const std::string &method,
                                     const std::string &path)
{
    try {
        Poco::Net::HTTPClientSession session(instance.address, instance.port);
        session.setTimeout(Poco::Timespan(adminTimeoutSeconds, 0));
        Poco::Net::HTTPRequest request(method, path, Poco::Net::HTTPMessage::HTTP_1_1);
        request.setContentLength(0);
        if (!options.adminKey.empty()) {
            request.set("Authorization", "Bearer " + options.adminKey);
        }
        session.sendRequest(request);
        Poco::Net::HTTPResponse response;
        std::string body;
        Poco::StreamCopier::copyToString(session.receiveResponse(response), body);
        return response.getStatus() == Poco::Net::HTTPResponse::HTTP_OK ? std::optional(body) : std::nullopt;
    } catch (const Poco::Exception &) {
        return std::nullopt;
    }
}

ExitCode showStatus(const Options &options, bool watch)
{
    ExitCode result = callInstances(options, "GET", "/status");
    while (watch && std::cout.flush()) {
        std::this_thread::sleep_for(watchInterval);
        std::cout << clearScreen;
        result = callInstances(options, "GET", "/status");
    }
    return result;
}

ExitCode drainInstances(const Options &options)
{
    return callInstances(options, "POST", "/drain");
}

} // namespace zinniadock::cli
