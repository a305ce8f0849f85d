#include "storestandin.h"

#include <thread>

#include <Poco/Exception.h>
#include <Poco/Net/HTTPServerRequestImpl.h>
#include <nlohmann/json.hpp>

namespace zinniadock::standin
{

namespace
{

using Json = nlohmann::json;

constexpr int maxThreads = 1024;
constexpr std::chrono::milliseconds watchPollInterval{ 50 };

std::int64_t integerField(const Json &object, const char *key)
{
    const auto position = object.find(key);
    if (position == object.end()) {
        return 0;
    }
    return position->is_string() ? std::strtoll(position->get<std::string>().c_str(), nullptr, 10)
                                 : position->get<std::int64_t>();
}

bool isDisconnected(HTTPServerRequest &request)
{
    Poco::Net::StreamSocket &socket = static_cast<Poco::Net::HTTPServerRequestImpl &>(request).socket();
    try {
        char byte = 0;
        return socket.poll(Poco::Timespan(0), Poco::Net::Socket::SELECT_READ)
            && socket.receiveBytes(&byte, 1, MSG_PEEK) == 0;
    } catch (const Poco::Exception &) {
        return true;
    }
}

} // namespace

StoreStandin::StoreStandin(const StoreStandinSettings &settings)
    : m_history(settings.history)
    , m_random(settings.seed)
    , m_server(std::make_unique<LoopbackHttpServer>(settings.port, maxThreads, [this](auto &request, auto &response) {
        handle(request, response);
    }))
{
}

StoreStandin::~StoreStandin()
{
    stop();
}

std::uint16_t StoreStandin::port() const
{
    return m_server->port();
}

void StoreStandin::setFaults(const StoreFaults &faults)
{
    {
        const std::lock_guard lock(m_mutex);
        m_faults = faults;
    }
    m_changed.notify_all();
}

std::uint64_t StoreStandin::calls() const
{
    return m_calls;
}

void StoreStandin::stop()
{
    {
        const std::lock_guard lock(m_mutex);
        m_stopping = true;
    }
    m_changed.notify_all();
    m_server->stop();
}

void StoreStandin::handle(HTTPServerRequest &request, HTTPServerResponse &response)
{
    if (request.getURI() == "/control") {
        control(request, response);
        return;
    }
    ++m_calls;
    StoreFaults faults;
    {
        const std::lock_guard lock(m_mutex);
        faults = m_faults;
    }
    const std::string body = readBody(request);
    if (faults.down) {
        cutConnection(request);
        return;
    }
    std::this_thread::sleep_for(faults.delay);
    if (request.getURI() == "/v3/watch") {
        watch(request, body, response);
        return;
    }
    const Json document = Json::parse(body, nullptr, false);
    if (!document.is_object()) {
        sendJson(response, R"({"error":"not a JSON object","code":3})", HTTPServerResponse::HTTP_BAD_REQUEST);
        return;
    }
    Json result;
    bool dropResponse = false;
    {
        const std::lock_guard lock(m_mutex);
        expireLeases();
        result = execute(request.getURI(), document);
        const bool isWrite = request.getURI() != "/v3/kv/range";
        dropResponse = isWrite && std::uniform_real_distribution<double>()(m_random) < m_faults.responseLossRate;
    }
    m_changed.notify_all();
    if (dropResponse) {
        cutConnection(request);
    } else {
        sendJson(response, result.dump());
    }
}

void StoreStandin::control(HTTPServerRequest &request, HTTPServerResponse &response)
{
    const Json body = Json::parse(readBody(request), nullptr, false);
    StoreFaults faults;
    if (body.is_object()) {
        faults.down = body.value("down", false);
        faults.delay = std::chrono::milliseconds(body.value("delay_ms", 0));
        faults.responseLossRate = body.value("lose_answers", 0.0);
        setFaults(faults);
    }
    sendJson(response, "{}");
}

void StoreStandin::watch(HTTPServerRequest &request, const std::string &body, HTTPServerResponse &response)
{
    const Json create = Json::parse(body, nullptr, false).value("create_request", Json::object());
    const std::string key = create.value("key", std::string());
    const std::int64_t start = integerField(create, "start_revision");
    response.setChunkedTransferEncoding(true);
    response.setContentType("application/json");
    std::ostream &out = response.send();
    std::unique_lock lock(m_mutex);
    out << Json{ { "result", { { "header", header() }, { "created", true } } } }.dump() << "\n" << std::flush;
    std::size_t nextChange = 0;
    while (!m_stopping && !m_faults.down && out.good()) {
        Json events = Json::array();
        for (; nextChange < m_changes.size(); ++nextChange) {
            const Change &change = m_changes[nextChange];
            if (change.revision >= start && change.value.key == key) {
                events.push_back({ { "type", change.erased ? "DELETE" : "PUT" },
                                   { "kv",
                                     { { "key", change.value.key },
                                       { "value", change.value.value },
                                       { "mod_revision", std::to_string(change.revision) } } } });
            }
        }
        if (!events.empty()) {
            const std::string line = Json{ { "result", { { "header", header() }, { "events", events } } } }.dump();
            lock.unlock();
            out << line << "\n" << std::flush;
            lock.lock();
            continue;
        }
        m_changed.wait_for(lock, watchPollInterval);
        if (isDisconnected(request)) {
            break;
        }
    }
}

Json StoreStandin::execute(const std::string &path, const Json &body)
{
    if (path == "/v3/kv/range") {
        return range(body);
    }
    if (path == "/v3/kv/txn") {
        return executeTransaction(body);
    }
    if (path == "/v3/kv/put") {
        ++m_revision;
        put(body);
        return Json{ { "header", header() } };
    }
    if (path == "/v3/lease/grant") {
        return grantLease(body);
    }
    if (path == "/v3/lease/revoke") {
        m_leases[integerField(body, "ID")] = std::chrono::steady_clock::now();
        expireLeases();
        return Json{ { "header", header() } };
    }
    return Json{ { "error", "the call is not supported" }, { "code", 12 } };
}

Json StoreStandin::range(const Json &body) const
{
    Json values = Json::array();
    const auto position = m_values.find(body.value("key", std::string()));
    if (position != m_values.end()) {
        const Value &value = position->second;
        values.push_back({ { "key", value.key },
                           { "value", value.value },
                           { "create_revision", std::to_string(value.createRevision) },
                           { "mod_revision", std::to_string(value.modRevision) },
                           { "version", std::to_string(value.version) },
                           { "lease", std::to_string(value.lease) } });
    }
    return Json{ { "header", header() }, { "kvs", values }, { "count", std::to_string(values.size()) } };
}

Json StoreStandin::executeTransaction(const Json &body)
{
    bool succeeded = true;
    for (const Json &comparison : body.value("compare", Json::array())) {
        succeeded = succeeded && compare(comparison);
    }
    Json responses = Json::array();
    bool wrote = false;
    for (const Json &operation : body.value(succeeded ? "success" : "failure", Json::array())) {
        responses.push_back(executeOperation(operation, wrote));
    }
    return Json{ { "header", header() }, { "succeeded", succeeded }, { "responses", responses } };
}

Json StoreStandin::executeOperation(const Json &operation, bool &wrote)
{
    if (operation.contains("requestRange")) {
        return Json{ { "response_range", range(operation["requestRange"]) } };
    }
    m_revision += wrote ? 0 : 1;
    wrote = true;
    if (operation.contains("requestPut")) {
        put(operation["requestPut"]);
        return Json{ { "response_put", { { "header", header() } } } };
    }
    const bool erased = operation.contains("requestDeleteRange") && erase(operation["requestDeleteRange"]);
    return Json{ { "response_delete_range", { { "deleted", erased ? "1" : "0" } } } };
}

bool StoreStandin::compare(const Json &comparison) const
{
    const auto position = m_values.find(comparison.value("key", std::string()));
    const Value value = position == m_values.end() ? Value() : position->second;
    const std::string target = comparison.value("target", std::string("VERSION"));
    if (target == "MOD") {
        return value.modRevision == integerField(comparison, "mod_revision");
    }
    if (target == "CREATE") {
        return value.createRevision == integerField(comparison, "create_revision");
    }
    if (target == "VALUE") {
        return value.value == comparison.value("value", std::string());
    }
    return value.version == integerField(comparison, "version");
}

void StoreStandin::put(const Json &body)
{
    const std::string key = body.value("key", std::string());
    Value &value = m_values[key];
    value.key = key;
    value.value = body.value("value", std::string());
    value.createRevision = value.createRevision == 0 ? m_revision : value.createRevision;
    value.modRevision = m_revision;
    value.version += 1;
    value.lease = integerField(body, "lease");
    m_changes.push_back({ m_revision, false, value });
    m_history.record(
        { { "event", "store_put" }, { "key", key }, { "value", value.value }, { "revision", m_revision } });
}

bool StoreStandin::erase(const Json &body)
{
    const auto position = m_values.find(body.value("key", std::string()));
    if (position == m_values.end()) {
        return false;
    }
    m_changes.push_back({ m_revision, true, position->second });
    m_history.record({ { "event", "store_erase" }, { "key", position->first }, { "revision", m_revision } });
    m_values.erase(position);
    return true;
}

Json StoreStandin::grantLease(const Json &body)
{
    const std::int64_t seconds = integerField(body, "TTL");
    ++m_lastLease;
    m_leases[m_lastLease] = std::chrono::steady_clock::now() + std::chrono::seconds(seconds);
    return Json{ { "header", header() }, { "ID", std::to_string(m_lastLease) }, { "TTL", std::to_string(seconds) } };
}

void StoreStandin::expireLeases()
{
    const auto now = std::chrono::steady_clock::now();
    for (auto lease = m_leases.begin(); lease != m_leases.end();) {
        if (lease->second > now) {
            ++lease;
            continue;
        }
        for (auto value = m_values.begin(); value != m_values.end();) {
            if (value->second.lease == lease->first) {
                m_changes.push_back({ ++m_revision, true, value->second });
                value = m_values.erase(value);
            } else {
                ++value;
            }
        }
        lease = m_leases.erase(lease);
    }
}

Json StoreStandin::header() const
{
    return Json{ { "revision", std::to_string(m_revision) } };
}

} // namespace zinniadock::standin
