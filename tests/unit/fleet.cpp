#include "fleet.h"

#include <istream>
#include <ostream>

#include <Poco/Exception.h>
#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/StreamCopier.h>
#include <nlohmann/json.hpp>

#include "zinniadock/process/store/configurationeditor.h"

namespace zinniadock::test
{

namespace
{

using Json = nlohmann::json;

constexpr int clientTimeoutSeconds = 60;
constexpr std::chrono::milliseconds pollInterval{ 2 };
constexpr std::chrono::milliseconds storeTimeout{ 1000 };

void prepare(Poco::Net::HTTPRequest &request, const Call &call)
{
    request.set("Authorization", "Bearer " + call.key);
    request.setContentType("application/json");
    request.setContentLength(static_cast<std::streamsize>(call.body.size()));
    if (!call.idempotencyKey.empty()) {
        request.set("Idempotency-Key", call.idempotencyKey);
    }
    if (!call.deadline.empty()) {
        request.set("X-Zinniadock-Deadline-Ms", call.deadline);
    }
}

} // namespace

bool eventually(const std::function<bool()> &condition, std::chrono::milliseconds limit)
{
    const auto deadline = std::chrono::steady_clock::now() + limit;
    while (!condition()) {
        if (std::chrono::steady_clock::now() > deadline) {
            return false;
        }
        std::this_thread::sleep_for(pollInterval);
    }
    return true;
}

CallResponse send(std::uint16_t port, const Call &call)
{
    CallResponse callResponse;
    try {
        Poco::Net::HTTPClientSession session("127.0.0.1", port);
        session.setTimeout(Poco::Timespan(clientTimeoutSeconds, 0));
        Poco::Net::HTTPRequest request(call.method, call.path, Poco::Net::HTTPMessage::HTTP_1_1);
        prepare(request, call);
        session.sendRequest(request) << call.body << std::flush;
        Poco::Net::HTTPResponse response;
        Poco::StreamCopier::copyToString(session.receiveResponse(response), callResponse.body);
        callResponse.status = response.getStatus();
        callResponse.verdict = response.get("X-Zinniadock-Verdict", "");
        callResponse.requestId = response.get("X-Request-Id", "");
        callResponse.replayed = response.has("Idempotent-Replayed");
        callResponse.retryAfter = std::chrono::seconds(std::atoi(response.get("Retry-After", "0").c_str()));
    } catch (const Poco::Exception &) {
        callResponse.status = 0;
    }
    return callResponse;
}

StreamResponse streamGeneration(std::uint16_t port, const std::string &prompt,
                                const std::function<bool(std::size_t)> &onToken)
{
    StreamResponse streamResponse;
    try {
        Poco::Net::HTTPClientSession session("127.0.0.1", port);
        session.setTimeout(Poco::Timespan(clientTimeoutSeconds, 0));
        const Call call{ .path = "/v1/completions",
                         .body
                         = Json{ { "model", "fitting-brief" }, { "prompt", prompt }, { "stream", true } }.dump() };
        Poco::Net::HTTPRequest request(call.method, call.path, Poco::Net::HTTPMessage::HTTP_1_1);
        prepare(request, call);
        session.sendRequest(request) << call.body << std::flush;
        Poco::Net::HTTPResponse response;
        std::istream &stream = session.receiveResponse(response);
        streamResponse.status = response.getStatus();
        streamResponse.verdict = response.get("X-Zinniadock-Verdict", "");
        if (response.getContentType() != "text/event-stream") {
            Poco::StreamCopier::copyToString(stream, streamResponse.body);
            return streamResponse;
        }
        for (std::string line; std::getline(stream, line);) {
            if (!line.starts_with("data: ")) {
                continue;
            }
            if (line == "data: [DONE]") {
                streamResponse.complete = true;
                break;
            }
            const Json event = Json::parse(line.substr(6));
            if (event.contains("error")) {
                streamResponse.failed = true;
                streamResponse.body = line.substr(6);
                break;
            }
            if (event["choices"][0]["finish_reason"].is_null()) {
                streamResponse.tokens.push_back(event["choices"][0]["text"].get<std::string>());
                if (onToken && !onToken(streamResponse.tokens.size())) {
                    break;
                }
            }
        }
    } catch (const Poco::Exception &) {
        streamResponse.failed = true;
    }
    return streamResponse;
}

bool hasExpectedTokens(const StreamResponse &response, const std::string &prompt, std::size_t count)
{
    if (!response.complete || response.tokens.size() != count) {
        return false;
    }
    const std::string prefix = standin::promptHash(prompt) + ":";
    const std::string first = response.tokens.front();
    const std::string generation = first.substr(prefix.size(), first.find(':', prefix.size()) - prefix.size());
    for (std::size_t i = 0; i < count; ++i) {
        if (response.tokens[i] != prefix + generation + ":" + std::to_string(i) + " ") {
            return false;
        }
    }
    return true;
}

Fleet::Fleet(std::size_t engineCount, std::size_t entryCount, std::chrono::microseconds stepBase)
    : store(std::make_unique<standin::StoreStandin>(standin::StoreStandinSettings()))
    , service(std::make_unique<standin::ServiceStandin>(standin::ServiceStandinSettings()))
{
    engineSettings.model.stepBase = stepBase;
    engineSettings.model.stepPerSequence = std::chrono::microseconds(10);
    engineSettings.exitOnCrash = false;
    engineSettings.loadLag = std::chrono::milliseconds(50);
    for (std::size_t i = 0; i < engineCount; ++i) {
        engines.push_back(std::make_unique<standin::EngineStandin>(engineSettings));
    }
    m_sidecarPorts.resize(engineCount + 1, 0);
    for (std::size_t i = 0; i <= engineCount; ++i) {
        sidecars.push_back(std::make_unique<Sidecar>(DaemonSection{ .dataCentre = "campina" }, sidecarSettings(i)));
        sidecars.back()->start();
        m_sidecarPorts[i] = sidecars.back()->port();
    }
    for (std::size_t i = 0; i < entryCount; ++i) {
        startEntry();
    }
    publish(configurationText());
    waitUntilLinked();
}

Fleet::~Fleet()
{
    entries.clear();
    sidecars.clear();
    engines.clear();
}

void Fleet::startEntry()
{
    Settings settings;
    settings.daemon.role = "entry";
    settings.daemon.instance = "entry-" + std::to_string(entries.size());
    settings.daemon.dataCentre = "campina";
    settings.store.endpoint = Endpoint{ .address = "127.0.0.1", .port = store->port() };
    settings.entry.listen = Endpoint{ .address = "127.0.0.1", .port = 0 };
    settings.entry.readTimeout = std::chrono::milliseconds(2000);
    entries.push_back(std::make_unique<Entry>(settings));
    entries.back()->start();
}

void Fleet::addEntry()
{
    startEntry();
    waitUntilLinked();
}

void Fleet::insertRelays()
{
    for (const std::uint16_t port : m_sidecarPorts) {
        relays.push_back(std::make_unique<standin::LinkRelay>(
            standin::LinkRelaySettings{ .server = "127.0.0.1:" + std::to_string(port) }));
    }
    publish(configurationText());
    waitUntilLinked();
}

std::string Fleet::configurationText() const
{
    std::string text = "[model drafting]\n[version drafting-1]\nmodel = drafting\n";
    std::string servers;
    for (std::size_t i = 0; i < sidecars.size(); ++i) {
        const std::string name = "server-" + std::to_string(i);
        const std::uint16_t port = relays.empty() ? m_sidecarPorts[i] : relays[i]->port();
        text += "[server " + name + "]\naddress = 127.0.0.1:" + std::to_string(port) + "\ndata_centre = campina\n";
        servers += i < engines.size() ? (i > 0 ? ", " : "") + name : "";
    }
    const std::string last = "server-" + std::to_string(engines.size());
    text += "[pool drafting]\nservers = " + servers + "\nversion = drafting-1\n[pool orders]\nservers = " + last + "\n";
    text += "[route fitting-brief]\npool = drafting\ndeadline_ms = 30000\n";
    text += "[route work-orders]\npool = orders\npath = /work-orders\ndeadline_ms = 5000\n";
    text += "[route status]\npool = orders\npath = /status\nidempotent = yes\ndeadline_ms = 5000\n";
    text += "[account sites]\nkey_digest = " + sha256("site-key")
        + "\nrequests_per_second = 10000\nconcurrency = 1000\n";
    text += "[account small]\nkey_digest = " + sha256("small-key")
        + "\nrequests_per_second = 2\nconcurrency = 1\nroutes = status\n";
    return text;
}

void Fleet::publish(const std::string &text)
{
    EtcdStore client(Endpoint{ .address = "127.0.0.1", .port = store->port() }, storeTimeout);
    ConfigurationEditor<EtcdStore> editor(client, "zinniadock");
    Problems problems;
    const std::string canonical = formatConfiguration(parseConfiguration(text, "test", problems));
    const EditOutcome outcome = editor.replace(canonical, RequestId::random().text(), "test");
    for (const Problem &problem : outcome.problems) {
        throw std::runtime_error(problem.text());
    }
    const std::uint64_t revision = outcome.publish.head.revision;
    eventually([&] {
        for (const auto &entry : entries) {
            if (entry->status().revision < revision) {
                return false;
            }
        }
        for (const auto &sidecar : sidecars) {
            if (sidecar && sidecar->revision() < revision) {
                return false;
            }
        }
        return true;
    });
}

void Fleet::waitUntilLinked()
{
    eventually([&] {
        for (const auto &entry : entries) {
            const EntryStatus status = entry->status();
            if (status.links.open != sidecars.size()) {
                return false;
            }
        }
        return true;
    });
}

void Fleet::restartSidecar(std::size_t index)
{
    sidecars[index].reset();
    sidecars[index] = std::make_unique<Sidecar>(DaemonSection{ .dataCentre = "campina" }, sidecarSettings(index));
    sidecars[index]->start();
}

void Fleet::restartEngine(std::size_t index)
{
    standin::EngineStandinSettings settings = engineSettings;
    settings.port = engines[index]->port();
    engines[index].reset();
    engines[index] = std::make_unique<standin::EngineStandin>(settings);
}

std::uint16_t Fleet::entryPort(std::size_t index) const
{
    return entries[index]->port();
}

SidecarSection Fleet::sidecarSettings(std::size_t index) const
{
    const bool isEngine = index < engines.size();
    SidecarSection settings;
    settings.server = "server-" + std::to_string(index);
    settings.kind = isEngine ? "engine" : "service";
    settings.listen = Endpoint{ .address = "127.0.0.1", .port = m_sidecarPorts[index] };
    settings.backend = Endpoint{ .address = "127.0.0.1", .port = isEngine ? engines[index]->port() : service->port() };
    settings.orphanTimeout = std::chrono::milliseconds(1000);
    return settings;
}

} // namespace zinniadock::test
